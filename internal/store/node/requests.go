package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

const (
	maxCalls    = 64                  // concurrent calls of one connection
	callTimeout = 10 * time.Second    // for a call that is neither a watch nor a backup
	maxCommand  = 1 << 20             // bytes of a command that a client may propose
	maxRequest  = maxCommand + 64<<10 // bytes of a request's frame
)

// errDenied is the error of a request that the certificate's role does not permit.
var errDenied = errors.New("store: not allowed with this certificate")

// rejectedError marks an error that a retry would only repeat, at this instance or another.
type rejectedError struct{ error }

func (r rejectedError) Unwrap() error { return r.error }

// reject returns a rejectedError with a text.
func reject(text string) error { return rejectedError{errors.New("store: " + text)} }

// clientConn is a client's connection.
type clientConn struct {
	node  *Node
	conn  net.Conn
	owner string // name in the client's certificate
	role  pki.Role
	mu    sync.Mutex // held while a response is written
}

// serveClient serves a client's calls, up to maxCalls concurrently, until the connection ends.
func (n *Node) serveClient(conn net.Conn, reader *bufio.Reader, owner string, role pki.Role) error {
	client := &clientConn{node: n, conn: conn, owner: owner, role: role}
	ctx, cancel := context.WithCancel(n.ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	slots := make(chan struct{}, maxCalls)
	for {
		kind, body, err := frame.Read(reader, nil, maxRequest)
		if err != nil {
			return protocolError(err)
		}
		if kind != frame.RequestKind {
			continue
		}
		request := &frame.Request{}
		if err := frame.DecodeValue(body, request); err != nil {
			return err
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			client.call(ctx, request)
		})
	}
}

// send writes one response. If the write fails, it closes the connection.
func (cc *clientConn) send(response *frame.Response) error {
	encoded, err := frame.AppendValue(nil, frame.ResponseKind, response)
	if err != nil {
		failed := &frame.Response{ID: response.ID, Code: frame.CodeFailed, Error: err.Error()}
		encoded, err = frame.AppendValue(nil, frame.ResponseKind, failed)
	}
	if err != nil {
		return err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if err := cc.conn.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	_, err = cc.conn.Write(encoded)
	if err != nil {
		_ = cc.conn.Close() // the write error is returned
	}
	return err
}

// errorCode returns the code of a response, which tells the client whether to retry.
func errorCode(err error) string {
	var rejected rejectedError
	switch {
	case errors.As(err, &rejected), errors.Is(err, errDenied):
		return frame.CodeRefused
	case errors.Is(err, core.ErrNoLeader), errors.Is(err, core.ErrBusy), errors.Is(err, core.ErrHalted):
		return frame.CodeRetry
	case errors.Is(err, core.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, ErrStopped):
		return frame.CodeOutcomeUnknown
	}
	return frame.CodeFailed
}

// call handles one request and sends the final response.
func (cc *clientConn) call(ctx context.Context, request *frame.Request) {
	if request.Op != frame.OpWatch && request.Op != frame.OpBackup {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	response := &frame.Response{ID: request.ID}
	if err := cc.handle(ctx, request, response); err != nil {
		response.Code = errorCode(err)
		response.Error = err.Error()
	}
	_ = cc.send(response) // on failure the connection is closed, and the client retries
}

// allowed returns errDenied if the role in the client's certificate does not permit an operation. All roles may read,
// only operators may change the store, and observers may not join it.
func (cc *clientConn) allowed(op string) error {
	denied := false
	switch op {
	case frame.OpPropose, frame.OpRemove, frame.OpTransfer, frame.OpDocument, frame.OpBackup:
		denied = cc.role != pki.Operator
	case frame.OpJoin:
		denied = cc.role == pki.Observer
	}
	if denied {
		return fmt.Errorf("%w: %s has the role %s", errDenied, cc.owner, cc.role)
	}
	return nil
}

func (cc *clientConn) handle(ctx context.Context, request *frame.Request, response *frame.Response) error {
	if err := cc.allowed(request.Op); err != nil {
		return err
	}
	switch request.Op {
	case frame.OpPropose:
		return cc.propose(ctx, request, response)
	case frame.OpRead:
		return cc.read(ctx, request, response)
	case frame.OpWatch:
		return cc.watch(ctx, request)
	case frame.OpStatus:
		return cc.status(ctx, response)
	case frame.OpJoin:
		return cc.join(ctx, request)
	case frame.OpRemove:
		return cc.node.removeMember(ctx, request.NodeID)
	case frame.OpTransfer:
		return cc.node.transferLeadership(ctx)
	case frame.OpBackup:
		return cc.backup(ctx, request)
	case frame.OpDocument:
		return cc.changeDocument(ctx, request, response)
	}
	return rejectedError{fmt.Errorf("store: unknown operation %q", request.Op)}
}

func (cc *clientConn) propose(ctx context.Context, request *frame.Request, response *frame.Response) (err error) {
	command := request.Command
	if command == nil || command.Kind == machine.AdvanceClockKind || command.Kind == machine.RaiseFormatKind {
		return reject("the request has no command, or one that only the store itself may propose")
	}
	for _, ops := range [][]machine.Op{command.Then, command.Else} {
		for _, op := range ops {
			if op.Kind.Writes() && protected(op.NS) {
				return rejectedError{fmt.Errorf("store: clients may not write to namespace %s", op.NS)}
			}
		}
	}
	response.Result, err = cc.node.Propose(ctx, command)
	return err
}

// protected reports whether clients may not write a namespace directly. Of the store's own namespaces, they may write
// only core.TokensNS.
func protected(ns string) bool {
	internal := len(ns) > 0 && ns[0] == '_' && ns != core.TokensNS
	return internal || ns == documents.NS
}

func (cc *clientConn) read(ctx context.Context, request *frame.Request, response *frame.Response) error {
	staleness, err := cc.node.Read(ctx, request.Stale, func(m *machine.Machine) {
		if request.Limit != 0 {
			response.Result.KVs = m.List(request.NS, request.Key, max(request.Limit, 0))
		} else if kv, found := m.Get(request.NS, request.Key); found {
			response.Result.KVs = []machine.KV{kv}
		}
		response.Result.Revision = m.Revision()
	})
	response.StalenessMS = staleness.Milliseconds()
	if staleness < 0 {
		response.StalenessMS = -1
	}
	return err
}

func (cc *clientConn) watch(ctx context.Context, request *frame.Request) error {
	send := func(events []machine.Event, upTo int64, complete bool) error {
		part := &frame.Response{ID: request.ID, More: true, Events: events, Result: machine.Result{Revision: upTo}}
		if !complete {
			part.Result.Code = machine.RevisionCompacted
		}
		return cc.send(part)
	}
	return cc.node.Watch(ctx, request.NS, request.Key, request.After, send)
}

func (cc *clientConn) status(ctx context.Context, response *frame.Response) error {
	status, err := cc.node.Status(ctx)
	if err != nil {
		return err
	}
	response.Body, err = json.Marshal(&status)
	return err
}

// changeDocument validates a document's next revision and commits it, provided that the document is still at the
// revision on which the operator's change is based.
func (cc *clientConn) changeDocument(ctx context.Context, request *frame.Request, response *frame.Response) error {
	change := documents.Change{
		Name:       request.Name,
		Author:     cc.owner,
		Note:       request.Token,
		AtMS:       time.Now().UnixMilli(),
		Body:       request.Body,
		Base:       request.After,
		RollBackTo: int64(request.Limit),
	}
	var command *machine.Command
	var revision *documents.Revision
	var schema []byte
	var invalid error
	_, err := cc.node.Read(ctx, false, func(m *machine.Machine) {
		command, revision, invalid = documents.PlanChange(m, change)
		if schemaDocument, err := documents.ReadRevision(m, change.Name+documents.SchemaSuffix, 0); err == nil {
			schema = schemaDocument.Body
		}
	})
	if err != nil {
		return err
	}
	if invalid == nil && cc.node.conf.Validate != nil {
		invalid = cc.node.conf.Validate(revision.Name, revision.Body, schema)
	}
	if invalid != nil {
		return rejectedError{invalid}
	}
	result, err := cc.node.Propose(ctx, command)
	if err != nil {
		return err
	}
	if result.Code != machine.OK || !result.Holds {
		return rejectedError{fmt.Errorf("%w: %s", documents.ErrConflict, request.Name)}
	}
	response.Result = result
	revision.Body = nil
	response.Body, err = json.Marshal(revision)
	return err
}
