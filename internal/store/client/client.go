// Package client calls the instances of a store: one after another until one answers, each write under a session, so
// that a retry is applied once.
package client

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

// Config of a client.
type Config struct {
	Endpoints []string
	TLS       *tls.Config
	Try       time.Duration // how long one instance may take to answer; 3 s if 0
	Pinned    bool          // ask the first endpoint only
}

// Error is a refusal or failure that the store has told.
type Error struct{ Code, Message string }

func (e *Error) Error() string { return e.Message }

// ErrUnavailable says that no instance could answer.
var ErrUnavailable = errors.New("store: no instance answers")

// Client is safe for concurrent use.
type Client struct {
	conf Config
	mu   sync.Mutex
	at   int
	conn *conn
	next uint64

	smu     sync.Mutex // one write of the session at a time
	session uint64
	seq     uint64
}

// New returns a client; it connects when it is first asked.
func New(conf Config) *Client {
	if conf.Try == 0 {
		conf.Try = 3 * time.Second
	}
	return &Client{conf: conf}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.c.Close()
		c.conn = nil
	}
}

// conn is one connection with the calls that wait on it.
type conn struct {
	c    net.Conn
	wmu  sync.Mutex
	mu   sync.Mutex
	call map[uint64]chan *frame.Response
	gone chan struct{}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.gone:
			c.conn = nil // or a dial that fails would not lead on to the next instance
		default:
			return c.conn, nil
		}
	}
	if len(c.conf.Endpoints) == 0 {
		return nil, errors.New("store: no endpoints are given")
	}
	raw, _, err := transport.Dial(ctx, c.conf.Endpoints[c.at%len(c.conf.Endpoints)], c.conf.TLS, frame.Hello{}, "")
	if err != nil {
		return nil, err
	}
	k := &conn{c: raw, call: map[uint64]chan *frame.Response{}, gone: make(chan struct{})}
	c.conn = k
	go k.read()
	return k, nil
}

// elsewhere goes over to the next instance, if this connection is still the one in use.
func (c *Client) elsewhere(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == k {
		if k != nil {
			k.c.Close()
		}
		c.conn = nil
		if !c.conf.Pinned {
			c.at++
		}
	}
}

func (k *conn) read() {
	defer close(k.gone)
	defer k.c.Close()
	rd := bufio.NewReader(k.c)
	for {
		kind, body, err := frame.Read(rd, nil, frame.Max)
		if err != nil {
			return
		}
		a := &frame.Response{}
		if kind != frame.ResponseKind || frame.Value(body, a) != nil {
			continue
		}
		k.mu.Lock()
		ch := k.call[a.ID]
		if !a.More {
			delete(k.call, a.ID)
		}
		k.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
}

// stream sends a request and hands on each answer until the last. Its error says that none came.
func (c *Client) stream(ctx context.Context, q *frame.Request, limit time.Duration, part func(*frame.Response) error) (*conn, *frame.Response, error) {
	dialling, cancel := context.WithTimeout(ctx, c.conf.Try)
	k, err := c.connect(dialling)
	cancel()
	if err != nil {
		c.elsewhere(nil)
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.mu.Lock()
	c.next++
	q.ID = c.next
	c.mu.Unlock()
	b, err := frame.AppendValue(nil, frame.RequestKind, q)
	if err != nil {
		return k, nil, err
	}
	ch := make(chan *frame.Response, 16)
	k.mu.Lock()
	k.call[q.ID] = ch
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.call, q.ID)
		k.mu.Unlock()
		for len(ch) > 0 {
			<-ch
		}
	}()
	k.wmu.Lock()
	_ = k.c.SetWriteDeadline(time.Now().Add(c.conf.Try))
	_, err = k.c.Write(b)
	k.wmu.Unlock()
	if err != nil {
		return k, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var late <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		late = t.C
	}
	for {
		select {
		case a := <-ch:
			if !a.More {
				return k, a, nil
			}
			if err := part(a); err != nil {
				k.c.Close()
				return k, nil, err
			}
		case <-k.gone:
			select {
			case a := <-ch:
				if !a.More {
					return k, a, nil
				}
			default:
			}
			return k, nil, fmt.Errorf("%w: the connection ended", ErrUnavailable)
		case <-late:
			return k, nil, fmt.Errorf("%w: no answer in time", ErrUnavailable)
		case <-ctx.Done():
			return k, nil, ctx.Err()
		}
	}
}

// Call asks until an instance answers or the context ends. With again false, a request whose answer was lost is not
// sent a second time.
func (c *Client) Call(ctx context.Context, q *frame.Request, again bool) (*frame.Response, error) {
	wait := 20 * time.Millisecond
	for {
		one := *q
		k, a, err := c.stream(ctx, &one, c.conf.Try, func(*frame.Response) error { return nil })
		switch {
		case err == nil && a.Code == frame.CodeOK:
			return a, nil
		case err == nil && a.Code != frame.CodeRetry && (a.Code != frame.CodeUnknown || !again):
			return a, &Error{a.Code, a.Error}
		case err == nil:
			err = &Error{a.Code, a.Error}
		case k != nil && !again: // it was sent, and may have been done
			c.elsewhere(k)
			return nil, err
		}
		c.elsewhere(k)
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w (%w)", err, ctx.Err())
		case <-time.After(wait):
		}
		wait = min(2*wait, time.Second)
	}
}

// Txn has a command applied once, whatever is lost on the way.
func (c *Client) Txn(ctx context.Context, cmd machine.Command) (machine.Result, error) {
	c.smu.Lock()
	defer c.smu.Unlock()
	for {
		if c.session == 0 {
			a, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: &machine.Command{Kind: machine.OpenSessionKind}}, true)
			if err != nil {
				return machine.Result{}, err
			}
			c.session, c.seq = a.Result.ID, 0
		}
		c.seq++
		cmd.Session, cmd.Seq = c.session, c.seq
		a, err := c.Call(ctx, &frame.Request{Op: frame.OpPropose, Command: &cmd}, true)
		if err != nil {
			c.session = 0 // its last command may still come to be applied: nothing new under its name
			return machine.Result{}, err
		}
		if a.Result.Code == machine.NoSession { // dropped for room before it was used: nothing was done
			c.session = 0
			if c.seq == 1 {
				continue
			}
			return a.Result, &Error{frame.CodeUnknown, "store: the session was dropped; whether the command was applied is not known"}
		}
		if a.Result.Code != machine.OK {
			return a.Result, &Error{frame.CodeRefused, "store: " + a.Result.Code.String()}
		}
		return a.Result, nil
	}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, ns, key string, stale bool) (kv machine.KV, found bool, age int64, err error) {
	a, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: key, Stale: stale}, true)
	if err != nil {
		return kv, false, 0, err
	}
	if len(a.Result.KVs) == 0 {
		return kv, false, a.AgeMS, nil
	}
	return a.Result.KVs[0], true, a.AgeMS, nil
}

// List reads the keys with a prefix; limit -1 is all.
func (c *Client) List(ctx context.Context, ns, prefix string, limit int, stale bool) ([]machine.KV, int64, error) {
	a, err := c.Call(ctx, &frame.Request{Op: frame.OpRead, NS: ns, Key: prefix, Limit: limit, Stale: stale}, true)
	if err != nil {
		return nil, 0, err
	}
	return a.Result.KVs, a.AgeMS, nil
}

// Watch hands on the events after a revision, at one instance after another, until the context ends or f returns an
// error. With ok false events were lost to compaction, and upTo is where the watch goes on.
func (c *Client) Watch(ctx context.Context, ns, prefix string, after int64, f func(events []machine.Event, upTo int64, ok bool) error) error {
	for {
		q := &frame.Request{Op: frame.OpWatch, NS: ns, Key: prefix, After: after}
		var ended error
		k, a, err := c.stream(ctx, q, 0, func(a *frame.Response) error {
			after = a.Result.Revision
			ended = f(a.Events, a.Result.Revision, a.Result.Code != machine.IsCompacted)
			return ended
		})
		if ended != nil {
			return ended
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && a.Code == frame.CodeRefused {
			return &Error{a.Code, a.Error}
		}
		c.elsewhere(k)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Backup writes a snapshot of the whole state.
func (c *Client) Backup(ctx context.Context, w io.Writer) error {
	k, a, err := c.stream(ctx, &frame.Request{Op: frame.OpBackup}, 0, func(a *frame.Response) error {
		_, err := w.Write(a.Body)
		return err
	})
	if err != nil {
		c.elsewhere(k)
		return err
	}
	if a.Code != frame.CodeOK {
		return &Error{a.Code, a.Error}
	}
	return nil
}
