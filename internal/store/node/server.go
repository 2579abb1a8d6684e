package node

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
	"cloverrock/internal/store/transport"
)

const (
	maxConns     = 128              // connections at a time, of instances and clients
	maxCalls     = 64               // calls of one client at a time
	greetTimeout = 3 * time.Second  // for the handshake and the hello
	callTimeout  = 10 * time.Second // for a call, watches and backups aside
	peerSilence  = 2 * time.Minute
	backupPiece  = 256 << 10
)

// accept takes connections until the instance ends.
func (n *Node) accept() {
	log := n.log.Sample(&zerolog.BurstSampler{Burst: 5, Period: 10 * time.Second}) // strangers fill no log
	for {
		c, err := n.ln.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			log.Warn().Err(err).Msg("store: accept")
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(100 * time.Millisecond): // descriptors have run out, maybe
			}
			continue
		}
		if n.conns.Add(1) > maxConns {
			n.conns.Add(-1)
			c.Close()
			continue
		}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			defer n.conns.Add(-1)
			defer c.Close()
			stop := context.AfterFunc(n.ctx, func() { c.Close() })
			defer stop()
			if err := n.serve(c); err != nil && n.ctx.Err() == nil {
				log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("store: a connection was ended")
			}
		}()
	}
}

// serve greets whoever connects and takes what it sends.
func (n *Node) serve(raw net.Conn) error {
	c := tls.Server(raw, n.conf.TLS)
	_ = c.SetDeadline(time.Now().Add(greetTimeout))
	if err := c.HandshakeContext(n.ctx); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	owner, role, err := pki.Owner(c.ConnectionState())
	if err != nil {
		return err
	}
	rd := bufio.NewReaderSize(c, 32<<10)
	kind, body, err := frame.Read(rd, nil, 4096)
	if err != nil || kind != frame.HelloKind {
		return fmt.Errorf("no hello came: %w", errors.Join(err, frame.ErrTooLong))
	}
	var h frame.Hello
	if err := frame.Value(body, &h); err != nil {
		return err
	}
	view := n.view.Load()
	w := frame.Welcome{Form: 1, Cluster: view.Cluster, Name: n.conf.Name}
	if h.Peer {
		if err := n.admits(view, &h, owner, role); err != nil {
			w.Error, w.Final = err.Error(), errors.Is(err, transport.ErrRemoved)
		}
	}
	if err := frame.Write(c, frame.WelcomeKind, &w); err != nil {
		return err
	}
	if w.Error != "" {
		return fmt.Errorf("%s (%016x) is refused: %s", owner, h.ID, w.Error)
	}
	_ = c.SetDeadline(time.Time{})
	if h.Peer {
		n.net.Know(transport.Member{ID: h.ID, Name: owner, Address: h.Address})
		return n.hear(c, rd, h.ID)
	}
	return n.answer(c, rd, owner, role)
}

// admits tells whether an instance may send here. One that was removed never may again; one that is not known yet
// may while this instance knows nobody, and while its own change is on its way.
func (n *Node) admits(v *View, h *frame.Hello, owner string, role pki.Role) error {
	switch {
	case role != pki.Instance:
		return fmt.Errorf("%s is no instance", owner)
	case h.Cluster != v.Cluster:
		return fmt.Errorf("%w: it is of cluster %016x, this is %016x", transport.ErrRemoved, h.Cluster, v.Cluster)
	case v.Removed(h.ID):
		return fmt.Errorf("%w: %016x was removed", transport.ErrRemoved, h.ID)
	}
	if m, known := v.Members[h.ID]; known && m.Name != owner {
		return fmt.Errorf("%016x is %s, and the certificate is of %s", h.ID, m.Name, owner)
	} else if !known && len(v.Members) > 0 {
		return fmt.Errorf("%016x is not known here yet", h.ID)
	}
	return nil
}

// hear takes what a peer sends.
func (n *Node) hear(c net.Conn, rd *bufio.Reader, from uint64) error {
	var buf []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(peerSilence))
		kind, body, err := frame.Read(rd, buf, frame.Max)
		if err != nil {
			if errors.Is(err, frame.ErrTooLong) {
				return err
			}
			return nil // the peer went, as peers do
		}
		buf = body
		e, known, err := frame.Envelope(kind, body, from, n.store.Identity.Node)
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		if n.view.Load().Removed(from) {
			return transport.ErrRemoved
		}
		select {
		case n.inbox <- e:
		case <-n.stop:
			return nil
		}
	}
}

// caller is a client's connection.
type caller struct {
	n     *Node
	c     net.Conn
	owner string
	role  pki.Role
	mu    sync.Mutex
}

func (n *Node) answer(c net.Conn, rd *bufio.Reader, owner string, role pki.Role) error {
	cl := &caller{n: n, c: c, owner: owner, role: role}
	ctx, cancel := context.WithCancel(n.ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	room := make(chan struct{}, maxCalls)
	for {
		kind, body, err := frame.Read(rd, nil, maxCommand+64<<10)
		if err != nil {
			if errors.Is(err, frame.ErrTooLong) {
				return err
			}
			return nil
		}
		if kind != frame.RequestKind {
			continue
		}
		q := &frame.Request{}
		if err := frame.Value(body, q); err != nil {
			return err
		}
		room <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-room }()
			cl.call(ctx, q)
		}()
	}
}

// reply writes one answer; a client that does not read it loses its connection.
func (cl *caller) reply(a *frame.Response) error {
	b, err := frame.AppendValue(nil, frame.ResponseKind, a)
	if err != nil {
		b, err = frame.AppendValue(nil, frame.ResponseKind, &frame.Response{ID: a.ID, Code: frame.CodeFailed, Error: err.Error()})
	}
	if err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	_ = cl.c.SetWriteDeadline(time.Now().Add(callTimeout))
	if _, err = cl.c.Write(b); err != nil {
		cl.c.Close()
	}
	return err
}

// code is what a client does about an error.
func code(err error) string {
	switch {
	case errors.Is(err, core.ErrNoLeader), errors.Is(err, core.ErrBusy), errors.Is(err, core.ErrHalted):
		return frame.CodeRetry
	case errors.Is(err, core.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, ErrStopped):
		return frame.CodeUnknown
	}
	return frame.CodeFailed
}

// errDenied says that a role may not do what it asked for.
var errDenied = errors.New("store: not allowed with this certificate")

// refusal is an error that no other instance and no other time would mend.
type refusal struct{ error }

func (cl *caller) call(ctx context.Context, q *frame.Request) {
	if q.Op != frame.OpWatch && q.Op != frame.OpBackup {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	a := &frame.Response{ID: q.ID}
	if err := cl.do(ctx, q, a); err != nil {
		var no refusal
		if a.Code, a.Error = code(err), err.Error(); errors.As(err, &no) || errors.Is(err, errDenied) {
			a.Code = frame.CodeRefused
		}
	}
	a.More = false
	_ = cl.reply(a)
}

func (cl *caller) do(ctx context.Context, q *frame.Request, a *frame.Response) (err error) {
	n := cl.n
	writes := q.Op == frame.OpPropose || q.Op == frame.OpRemove || q.Op == frame.OpTransfer || q.Op == frame.OpDocument || q.Op == frame.OpBackup
	if writes && cl.role != pki.Operator || q.Op == frame.OpJoin && cl.role == pki.Observer {
		return fmt.Errorf("%w: %s is an %s", errDenied, cl.owner, cl.role)
	}
	switch q.Op {
	case frame.OpPropose:
		if q.Command == nil || q.Command.Kind == machine.ClockKind || q.Command.Kind == machine.RaiseKind {
			return refusal{errors.New("store: no command, or one that only the store gives")}
		}
		for _, ops := range [][]machine.Op{q.Command.Then, q.Command.Else} {
			for _, o := range ops {
				if o.Kind <= machine.Delete && (o.NS == documents.NS || len(o.NS) > 0 && o.NS[0] == '_' && o.NS != core.TokensNS) {
					return refusal{fmt.Errorf("store: namespace %s is not written directly", o.NS)}
				}
			}
		}
		a.Result, err = n.Propose(ctx, q.Command)
		return err
	case frame.OpRead:
		age, err := n.Read(ctx, q.Stale, func(m *machine.Machine) {
			if q.Limit != 0 {
				a.Result.KVs = m.List(q.NS, q.Key, max(q.Limit, 0))
			} else if kv, found := m.Get(q.NS, q.Key); found {
				a.Result.KVs = []machine.KV{kv}
			}
			a.Result.Revision = m.Revision()
		})
		if a.AgeMS = age.Milliseconds(); age < 0 {
			a.AgeMS = -1
		}
		return err
	case frame.OpWatch:
		return n.Watch(ctx, q.NS, q.Key, q.After, func(events []machine.Event, upTo int64, ok bool) error {
			part := &frame.Response{ID: q.ID, More: true, Events: events, Result: machine.Result{Revision: upTo}}
			if !ok {
				part.Result.Code = machine.IsCompacted
			}
			return cl.reply(part)
		})
	case frame.OpStatus:
		s, err := n.Status(ctx)
		if err != nil {
			return err
		}
		a.Body, err = json.Marshal(&s)
		return err
	case frame.OpJoin:
		return cl.join(ctx, q)
	case frame.OpRemove:
		return n.dismiss(ctx, q.Node)
	case frame.OpTransfer:
		return n.handOver(ctx)
	case frame.OpBackup:
		return cl.backup(ctx, q)
	case frame.OpDocument:
		return cl.document(ctx, q, a)
	}
	return refusal{fmt.Errorf("store: no operation %q here", q.Op)}
}

// TokenKey is where a token is kept: the store holds no token itself.
func TokenKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// change proposes a change of members.
func (n *Node) change(ctx context.Context, plan func() (func(token uint64), error)) error {
	answers := make(chan core.Answer, 1)
	if !n.post(func() {
		f, err := plan()
		if err != nil {
			answers <- core.Answer{Err: err}
			return
		}
		if n.stalled != nil {
			answers <- core.Answer{Err: core.ErrNoLeader}
			return
		}
		n.token++
		n.waits[n.token] = func(a core.Answer) { answers <- a }
		f(n.token)
	}) {
		return ErrStopped
	}
	select {
	case a := <-answers:
		if a.Err == nil && a.Result.Code != machine.OK {
			return refusal{errors.New("store: " + a.Result.Code.String())}
		}
		return a.Err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ended:
		return ErrStopped
	}
}

// join takes an instance in as a learner. A name that is a member has its certificate for proof; a new one needs a
// token, too, which is spent by it.
func (cl *caller) join(ctx context.Context, q *frame.Request) error {
	n, key := cl.n, ""
	if cl.role != pki.Instance || q.Node == 0 || q.Address == "" {
		return refusal{errors.New("store: an instance joins with its own certificate, an id and an address")}
	}
	var no error
	if _, err := n.Read(ctx, false, func(m *machine.Machine) {
		known := false
		for id, mb := range core.Members(m) {
			known = known || mb.Name == cl.owner
			if id == q.Node {
				no = refusal{errors.New("store: the id is taken")}
			}
		}
		if _, found := m.Get(core.RemovedNS, core.MemberKey(q.Node)); found {
			no = refusal{errors.New("store: the id was removed")}
		}
		if !known {
			if key = TokenKey(q.Token); q.Token == "" {
				no = refusal{fmt.Errorf("store: %s is new here and needs a token", cl.owner)}
			} else if _, found := m.Get(core.TokensNS, key); !found {
				no = refusal{errors.New("store: the token is not known, was used, or has ended")}
			}
		}
	}); err != nil {
		return err
	}
	if no != nil {
		return no
	}
	return n.change(ctx, func() (func(uint64), error) {
		change, cmd, err := core.PlanJoin(n.core.Machine(), q.Node, core.Member{Name: cl.owner, Address: q.Address, Format: machine.Format}, key)
		return func(token uint64) { n.core.ProposeMembershipChange(token, change, cmd) }, err
	})
}

func (n *Node) dismiss(ctx context.Context, id uint64) error {
	return n.change(ctx, func() (func(uint64), error) {
		members := core.Members(n.core.Machine())
		if _, in := members[id]; !in {
			return nil, refusal{fmt.Errorf("store: %016x is no member", id)}
		}
		if s := n.core.Status(); len(s.Voters) == 1 && s.Voters[0] == id {
			return nil, refusal{errors.New("store: the last voter cannot be removed")}
		}
		if id == n.store.Identity.Node && n.core.IsLeader() { // it leaves in order: another leads first, and is asked then
			n.core.TransferLeadership()
			return nil, core.ErrNoLeader
		}
		change, cmd := core.PlanRemoval(n.core.Machine(), id)
		return func(token uint64) { n.core.ProposeMembershipChange(token, change, cmd) }, nil
	})
}

func (n *Node) handOver(ctx context.Context) error {
	result := make(chan error, 1)
	if !n.post(func() {
		if _, led := n.core.TransferLeadership(); !led {
			result <- fmt.Errorf("%w: this instance does not lead", core.ErrNoLeader)
			return
		}
		result <- nil
	}) {
		return ErrStopped
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backup sends the whole state as a snapshot.
func (cl *caller) backup(ctx context.Context, q *frame.Request) error {
	var s *core.Snapshot
	if _, err := cl.n.Read(ctx, false, func(*machine.Machine) { s = cl.n.core.CurrentSnapshot() }); err != nil {
		return err
	}
	if s == nil {
		return core.ErrNoLeader
	}
	w := &pieces{cl: cl, id: q.ID}
	bw := bufio.NewWriterSize(w, backupPiece)
	if err := disk.EncodeSnapshot(bw, s.Meta, s.Image.Write); err != nil {
		return err
	}
	return bw.Flush()
}

type pieces struct {
	cl *caller
	id uint64
}

func (p *pieces) Write(b []byte) (int, error) {
	for at := 0; at < len(b); at += backupPiece {
		if err := p.cl.reply(&frame.Response{ID: p.id, More: true, Body: b[at:min(at+backupPiece, len(b))]}); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// document changes a document: checked, numbered, and only if it stands where the operator saw it.
func (cl *caller) document(ctx context.Context, q *frame.Request, a *frame.Response) error {
	n := cl.n
	c := documents.Change{Name: q.Name, Author: cl.owner, Note: q.Token, AtMS: time.Now().UnixMilli(), Body: q.Body, Base: q.After, Back: int64(q.Limit)}
	var cmd *machine.Command
	var rev *documents.Revision
	var schema []byte
	var no error
	if _, err := n.Read(ctx, false, func(m *machine.Machine) {
		cmd, rev, no = documents.Plan(m, c)
		if form, err := documents.At(m, c.Name+".schema", 0); err == nil {
			schema = form.Body
		}
	}); err != nil {
		return err
	}
	if no == nil && n.conf.Validate != nil {
		no = n.conf.Validate(rev.Name, rev.Body, schema)
	}
	if no != nil {
		return refusal{no}
	}
	res, err := n.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	if res.Code != machine.OK || !res.Holds {
		return refusal{fmt.Errorf("%w: %s", documents.ErrConflict, q.Name)}
	}
	a.Result = res
	rev.Body = nil
	a.Body, err = json.Marshal(rev)
	return err
}
