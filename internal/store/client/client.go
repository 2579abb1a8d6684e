// Package client calls the instances of a store over mutual TLS. A call is retried at the configured endpoints until an
// instance answers. Transact executes writes in a session, so that a retried command is applied once.
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

const (
	defaultAttemptTimeout = 3 * time.Second
	minBackoff            = 20 * time.Millisecond // pause after the first failed attempt of a call, doubled after each further one
	maxBackoff            = time.Second           // largest pause between attempts of a call
)

// Config of a client.
type Config struct {
	Endpoints      []string // HOST:PORT of instances
	TLS            *tls.Config
	AttemptTimeout time.Duration // separate limit for each dial, write and wait for an answer; 0: defaultAttemptTimeout
	SingleEndpoint bool          // use only the first endpoint
}

// Idempotence states whether a request may be executed more than once.
type Idempotence bool

// The values of Idempotence.
const (
	Idempotent    Idempotence = true  // repeated if the outcome is unknown
	NotIdempotent Idempotence = false // not repeated if it may have been executed
)

// Error is an error that an instance returned. Code is one of the codes of package frame.
type Error struct{ Code, Message string }

func (e *Error) Error() string { return e.Message }

// ErrUnavailable is the error for an instance that could not be reached or did not answer.
var ErrUnavailable = errors.New("store: no instance answers")

// Client has one connection at a time, to one of the endpoints. It is safe for concurrent use; calls of Transact are
// serialized.
type Client struct {
	conf Config

	mu       sync.Mutex
	endpoint int // number of changes of the endpoint; modulo len(Endpoints) it is the index of the current endpoint
	conn     *connection
	lastID   uint64

	sessionMu sync.Mutex // held by Transact, because a session executes one command at a time
	session   uint64     // 0: none is open
	seq       uint64     // of the session's last command
}

// New returns a client. It connects with the first call.
func New(conf Config) *Client {
	if conf.AttemptTimeout == 0 {
		conf.AttemptTimeout = defaultAttemptTimeout
	}
	return &Client{conf: conf}
}

// Close closes the current connection. All calls must have ended: a call in progress may open a new connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// connect returns the current connection, or dials the current endpoint.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.closed:
			c.conn = nil // so that nextEndpoint(nil) takes effect if the dial fails
		default:
			return c.conn, nil
		}
	}
	if len(c.conf.Endpoints) == 0 {
		return nil, errors.New("store: no endpoints are configured")
	}
	address := c.conf.Endpoints[c.endpoint%len(c.conf.Endpoints)]
	conn, _, err := transport.Dial(ctx, address, c.conf.TLS, frame.Hello{}, "")
	if err != nil {
		return nil, err
	}
	c.conn = newConnection(conn)
	return c.conn, nil
}

// nextEndpoint closes a failed connection and advances to the next endpoint, provided that failed is still the current
// connection; failed is nil if the dial failed. With SingleEndpoint set the endpoint stays the same.
func (c *Client) nextEndpoint(failed *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != failed {
		return
	}
	if failed != nil {
		failed.close()
	}
	c.conn = nil
	if !c.conf.SingleEndpoint {
		c.endpoint++
	}
}

func (c *Client) nextID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.lastID
}

// attempt sends a request to the current endpoint, passes each response but the last to part, and returns the last. limit
// bounds the wait for the last response; 0: only the context does. If the dial failed, the returned connection is nil, and
// the request was not sent. After any error the caller advances to the next endpoint.
func (c *Client) attempt(ctx context.Context, request *frame.Request, limit time.Duration, part partHandler) (*connection, *frame.Response, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.conf.AttemptTimeout)
	conn, err := c.connect(dialCtx)
	cancel()
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request.ID = c.nextID()
	data, err := frame.AppendValue(nil, frame.RequestKind, request)
	if err != nil {
		return conn, nil, err
	}
	responses, unregister := conn.register(request.ID)
	defer unregister()
	if err := conn.write(data, c.conf.AttemptTimeout); err != nil {
		return conn, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := conn.receive(ctx, responses, limit, part)
	return conn, response, err
}

// pause waits, and reports false if the context ended before that.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// Call retries a request until an instance answers it or the context ends, and returns the last response. A response with
// a code other than frame.CodeOK is returned as an *Error. A NotIdempotent request that may have been executed is
// not sent again, and the error of that attempt is returned.
func (c *Client) Call(ctx context.Context, request *frame.Request, idempotence Idempotence) (*frame.Response, error) {
	ignore := func(*frame.Response) error { return nil }
	backoff := minBackoff
	for {
		attempt := *request
		conn, response, err := c.attempt(ctx, &attempt, c.conf.AttemptTimeout, ignore)
		if err == nil {
			if response.Code == frame.CodeOK {
				return response, nil
			}
			err = &Error{response.Code, response.Error}
			retryable := response.Code == frame.CodeRetry || response.Code == frame.CodeOutcomeUnknown && idempotence == Idempotent
			if !retryable {
				return response, err
			}
		} else if conn != nil && idempotence == NotIdempotent { // the request may have been executed
			c.nextEndpoint(conn)
			return nil, err
		}
		c.nextEndpoint(conn)
		if !pause(ctx, backoff) {
			return nil, fmt.Errorf("%w (%w)", err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Transact executes a command once, even if requests or responses are lost and repeated. If the outcome is unknown, the
// error is an *Error with frame.CodeOutcomeUnknown or wraps the error of the context. For a rejected command it is an
// *Error with frame.CodeRefused. Conditions that do not hold are not an error; see Result.Holds.
func (c *Client) Transact(ctx context.Context, command machine.Command) (machine.Result, error) {
	c.sessionMu.Lock()
	defer c.sessionMu.Unlock()
	for {
		if c.session == 0 {
			if err := c.openSession(ctx); err != nil {
				return machine.Result{}, err
			}
		}
		c.seq++
		command.Session = c.session
		command.Seq = c.seq
		response, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: &command}, Idempotent)
		if err != nil {
			c.session = 0 // the last command may still be applied, so the session cannot be used for another one
			return machine.Result{}, err
		}
		result := response.Result
		switch {
		case result.Code == machine.OK:
			return result, nil
		case result.Code != machine.NoSession:
			return result, &Error{frame.CodeRefused, "store: " + result.Code.String()}
		}
		c.session = 0
		if c.seq > 1 {
			return result, &Error{frame.CodeOutcomeUnknown, "store: the session was dropped; whether the command was applied is not known"}
		}
		// The session was dropped before its first command, which was therefore not applied: retry in a new session.
	}
}

// openSession opens a session for Transact. The caller holds sessionMu.
func (c *Client) openSession(ctx context.Context) error {
	open := &machine.Command{Kind: machine.OpenSessionKind}
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: open}, Idempotent)
	if err != nil {
		return err
	}
	c.session = response.Result.ID
	c.seq = 0
	return nil
}

// Get reads a key linearizably or, if stale is set, from the local state of one instance. stalenessMS is an upper bound in
// milliseconds on how far that state is behind; -1: unknown. It is 0 for a linearizable read.
func (c *Client) Get(ctx context.Context, ns, key string, stale bool) (kv machine.KV, found bool, stalenessMS int64, err error) {
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: key, Stale: stale}, Idempotent)
	if err != nil {
		return kv, false, 0, err
	}
	if len(response.Result.KVs) == 0 {
		return kv, false, response.StalenessMS, nil
	}
	return response.Result.KVs[0], true, response.StalenessMS, nil
}

// List reads at most limit keys with a prefix in ascending order; -1: all. stale and stalenessMS are as for Get.
func (c *Client) List(ctx context.Context, ns, prefix string, limit int, stale bool) (kvs []machine.KV, stalenessMS int64, err error) {
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: prefix, Limit: limit, Stale: stale}, Idempotent)
	if err != nil {
		return nil, 0, err
	}
	return response.Result.KVs, response.StalenessMS, nil
}

// Backup writes the latest state to w as an encoded snapshot. It is not retried, because after an error an incomplete
// snapshot has been written to w.
func (c *Client) Backup(ctx context.Context, w io.Writer) error {
	conn, response, err := c.attempt(ctx, &frame.Request{Op: frame.OpBackup}, 0, func(part *frame.Response) error {
		_, err := w.Write(part.Body)
		return err
	})
	if err != nil {
		c.nextEndpoint(conn)
		return err
	}
	if response.Code != frame.CodeOK {
		return &Error{response.Code, response.Error}
	}
	return nil
}
