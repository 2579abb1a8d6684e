// Package transport carries messages between the instances of a store over TCP with mutual TLS. Each instance dials
// the others for what it sends; what cannot be sent is dropped, as raft allows, and never waited for.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
)

const (
	queueLength  = 1024            // envelopes that wait for one peer
	writeTimeout = 3 * time.Second // a peer that takes nothing for so long is dialled anew
	dialTimeout  = 2 * time.Second
	redialAfter  = 200 * time.Millisecond
	redialMost   = 3 * time.Second
	helloTimeout = 3 * time.Second
)

// ErrRemoved says that the others have removed this instance, or are another cluster: it has no place there.
var ErrRemoved = errors.New("store: the other instances do not take this one")

// Config of a transport.
type Config struct {
	TLS     *tls.Config
	Hello   frame.Hello // as this instance presents itself
	Routes  map[string]string
	Log     zerolog.Logger
	Refused func(error) // a final refusal
}

// Transport sends to peers.
type Transport struct {
	conf   Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	peers  map[uint64]*peer
}

type peer struct {
	id      uint64
	name    string
	address string
	queue   chan core.Envelope
	cancel  context.CancelFunc
}

// New returns a transport that knows nobody yet.
func New(conf Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{conf: conf, ctx: ctx, cancel: cancel, peers: map[uint64]*peer{}}
}

// Member is where a peer is.
type Member struct {
	ID            uint64
	Name, Address string
}

// Members says who the peers are; whom it lacks is forgotten.
func (t *Transport) Members(all []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := map[uint64]bool{}
	for _, m := range all {
		keep[m.ID] = true
		t.know(m)
	}
	for id, p := range t.peers {
		if !keep[id] {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// Know adds a peer that has introduced itself before the state names it.
func (t *Transport) Know(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[m.ID] == nil {
		t.know(m)
	}
}

func (t *Transport) know(m Member) {
	if route, ok := t.conf.Routes[m.Name]; ok {
		m.Address = route
	}
	if p := t.peers[m.ID]; p != nil {
		if p.address == m.Address {
			return
		}
		p.cancel()
	}
	if t.ctx.Err() != nil || m.ID == t.conf.Hello.ID {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{id: m.ID, name: m.Name, address: m.Address, queue: make(chan core.Envelope, queueLength), cancel: cancel}
	t.peers[m.ID] = p
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.serve(ctx, p)
	}()
}

// Send queues envelopes for their peers, and drops those for which there is no room.
func (t *Transport) Send(all []core.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range all {
		if p := t.peers[e.To]; p != nil {
			select {
			case p.queue <- e:
			default:
			}
		}
	}
}

// Close ends all connections.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// serve keeps a connection to one peer.
func (t *Transport) serve(ctx context.Context, p *peer) {
	wait := redialAfter
	for ctx.Err() == nil {
		began := time.Now()
		err := t.connect(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrRemoved) {
			t.conf.Refused(err)
		}
		if time.Since(began) > 5*time.Second {
			wait = redialAfter
		}
		t.conf.Log.Warn().Err(err).Str("peer", p.name).Str("address", p.address).Msg("store: no connection to a peer")
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMost)
		for len(p.queue) > 0 { // what was said meanwhile is old
			<-p.queue
		}
	}
}

func (t *Transport) connect(ctx context.Context, p *peer) error {
	c, _, err := Dial(ctx, p.address, t.conf.TLS, t.conf.Hello, p.name)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	gone := make(chan struct{})
	go func() { // the other end says nothing more; it can only close
		defer close(gone)
		var b [1]byte
		_, _ = c.Read(b[:])
	}()
	w := bufio.NewWriterSize(c, 64<<10)
	var buf []byte
	for {
		var e core.Envelope
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gone:
			return errors.New("closed by the peer")
		case e = <-p.queue:
		}
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		for more := true; more; {
			if buf, err = frame.AppendEnvelope(buf[:0], e); err != nil {
				return err
			}
			if _, err = w.Write(buf); err != nil {
				return err
			}
			select {
			case e = <-p.queue:
			default:
				more = false
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if cap(buf) > 1<<20 {
			buf = nil
		}
	}
}

// Dial connects, introduces this end, and checks who the other is. An empty name takes any instance.
func Dial(ctx context.Context, address string, conf *tls.Config, hello frame.Hello, name string) (net.Conn, *frame.Welcome, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	c := tls.Client(raw, conf)
	_ = c.SetDeadline(time.Now().Add(helloTimeout))
	w, err := introduce(ctx, c, hello, name)
	if err != nil {
		raw.Close()
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, w, nil
}

func introduce(ctx context.Context, c *tls.Conn, hello frame.Hello, name string) (*frame.Welcome, error) {
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	owner, role, err := pki.Owner(c.ConnectionState())
	if err != nil {
		return nil, err
	}
	if role != pki.Instance || name != "" && owner != name {
		return nil, fmt.Errorf("store: %q (%s) answers where instance %q was expected", owner, role, name)
	}
	hello.Form = 1
	if err := frame.Write(c, frame.HelloKind, &hello); err != nil {
		return nil, err
	}
	kind, body, err := frame.Read(c, nil, 64<<10)
	if err != nil {
		return nil, err
	}
	var w frame.Welcome
	if kind != frame.WelcomeKind {
		return nil, errors.New("store: no welcome came")
	}
	if err := frame.Value(body, &w); err != nil {
		return nil, err
	}
	if w.Error != "" && w.Final {
		return nil, fmt.Errorf("%w: %s", ErrRemoved, w.Error)
	}
	if w.Error != "" {
		return nil, errors.New(w.Error)
	}
	return &w, nil
}
