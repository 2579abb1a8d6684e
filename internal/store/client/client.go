// Package client calls the instances of a store: one after another until one answers, each write under a session, so
// that a retry is applied once.
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
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = time.Second
	watchRetry            = 200 * time.Millisecond // pause before a watch goes on at the next instance
)

// Config of a client.
type Config struct {
	Endpoints      []string // HOST:PORT of instances
	TLS            *tls.Config
	AttemptTimeout time.Duration // for one instance to answer; 0: 3 s
	SingleEndpoint bool          // ask the first endpoint only
}

// Error is a refusal or failure that the store has answered. Its code is one of package frame.
type Error struct{ Code, Message string }

func (e *Error) Error() string { return e.Message }

// ErrUnavailable says that no instance could answer.
var ErrUnavailable = errors.New("store: no instance answers")

// Client is safe for concurrent use.
type Client struct {
	conf Config

	mu       sync.Mutex
	endpoint int // counts up; modulo the endpoints, the one in use
	conn     *connection
	lastID   uint64

	sessionMu sync.Mutex // held for a write: the session has one at a time
	session   uint64     // 0: none is open
	seq       uint64
}

// New returns a client; it connects when it is first asked.
func New(conf Config) *Client {
	if conf.AttemptTimeout == 0 {
		conf.AttemptTimeout = defaultAttemptTimeout
	}
	return &Client{conf: conf}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// connect returns the connection in use, or a new one.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.closed:
			c.conn = nil // else nextEndpoint would not go on after a dial that fails
		default:
			return c.conn, nil
		}
	}
	if len(c.conf.Endpoints) == 0 {
		return nil, errors.New("store: no endpoints are given")
	}
	address := c.conf.Endpoints[c.endpoint%len(c.conf.Endpoints)]
	conn, _, err := transport.Dial(ctx, address, c.conf.TLS, frame.Hello{}, "")
	if err != nil {
		return nil, err
	}
	c.conn = newConnection(conn)
	return c.conn, nil
}

// nextEndpoint goes over to the next instance, if the given connection is still the one in use; nil: there was none.
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

// attempt sends a request to one instance, passes each response but the last to part, and returns the last. An error
// says that none came. The connection is nil if there is none, and nothing was sent.
func (c *Client) attempt(ctx context.Context, request *frame.Request, limit time.Duration, part partHandler) (*connection, *frame.Response, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.conf.AttemptTimeout)
	conn, err := c.connect(dialCtx)
	cancel()
	if err != nil {
		c.nextEndpoint(nil)
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

// pause waits, and reports false if the context ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// Call asks until an instance answers or the context ends. Without idempotent, a request whose answer was lost is not
// sent a second time.
func (c *Client) Call(ctx context.Context, request *frame.Request, idempotent bool) (*frame.Response, error) {
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
			retryable := response.Code == frame.CodeRetry || response.Code == frame.CodeOutcomeUnknown && idempotent
			if !retryable {
				return response, err
			}
		} else if conn != nil && !idempotent { // it was sent, and may have been done
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

// Transact has a command applied once, whatever is lost on the way. If it is not known whether the command was applied,
// the error is an *Error with frame.CodeOutcomeUnknown or that of the context.
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
		response, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: &command}, true)
		if err != nil {
			c.session = 0 // its last command may still be applied: nothing new may come under its name
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
		// The session was dropped before it was used: nothing was done.
	}
}

func (c *Client) openSession(ctx context.Context) error {
	open := &machine.Command{Kind: machine.OpenSessionKind}
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: open}, true)
	if err != nil {
		return err
	}
	c.session = response.Result.ID
	c.seq = 0
	return nil
}

// Get reads a key. The age in milliseconds is how far the state may be behind, -1: not known; it is 0 unless stale is
// set.
func (c *Client) Get(ctx context.Context, ns, key string, stale bool) (kv machine.KV, found bool, ageMS int64, err error) {
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: key, Stale: stale}, true)
	if err != nil {
		return kv, false, 0, err
	}
	if len(response.Result.KVs) == 0 {
		return kv, false, response.AgeMS, nil
	}
	return response.Result.KVs[0], true, response.AgeMS, nil
}

// List reads the keys with a prefix; limit -1 is all. The age is that of Get.
func (c *Client) List(ctx context.Context, ns, prefix string, limit int, stale bool) (kvs []machine.KV, ageMS int64, err error) {
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: prefix, Limit: limit, Stale: stale}, true)
	if err != nil {
		return nil, 0, err
	}
	return response.Result.KVs, response.AgeMS, nil
}

// Watch passes the events after a revision to handle, at one instance after another, until the context ends or handle
// returns an error.
func (c *Client) Watch(ctx context.Context, ns, prefix string, after int64, handle machine.EventHandler) error {
	for {
		request := &frame.Request{Op: frame.OpWatch, NS: ns, Key: prefix, After: after}
		var handleErr error
		conn, response, err := c.attempt(ctx, request, 0, func(part *frame.Response) error {
			after = part.Result.Revision
			handleErr = handle(part.Events, after, part.Result.Code != machine.IsCompacted)
			return handleErr
		})
		if handleErr != nil {
			return handleErr
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && response.Code == frame.CodeRefused {
			return &Error{response.Code, response.Error}
		}
		c.nextEndpoint(conn)
		if !pause(ctx, watchRetry) {
			return ctx.Err()
		}
	}
}

// Backup writes the whole state as an encoded snapshot.
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
