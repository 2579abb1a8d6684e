// Package transport carries messages between the instances of a store over TCP with mutual TLS. Each instance dials
// the others for what it sends; what cannot be sent is dropped, as raft allows, and never waited for.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
)

const (
	queueLength   = 1024            // envelopes that wait for one peer
	writeTimeout  = 3 * time.Second // a peer that takes nothing for so long is dialed again
	redialMin     = 200 * time.Millisecond
	redialMax     = 3 * time.Second
	stableAfter   = 5 * time.Second // a connection that lasted so long resets the backoff
	writeBuffer   = 64 << 10        // bytes
	maxKeptBuffer = 1 << 20         // bytes; a larger encoding buffer is not kept
)

// ErrRemoved says that the others have removed this instance, or are another cluster: it has no place there.
var ErrRemoved = errors.New("store: the other instances do not take this one")

// Config of a transport.
type Config struct {
	TLS       *tls.Config
	Hello     frame.Hello       // as this instance presents itself
	Routes    map[string]string // by name: where to dial a peer instead of its own address
	Log       zerolog.Logger
	OnRemoved func(error) // called with an ErrRemoved
}

// Transport sends to peers. It is safe for concurrent use.
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

// New returns a transport without peers.
func New(conf Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{conf: conf, ctx: ctx, cancel: cancel, peers: map[uint64]*peer{}}
}

// Member is where a peer is.
type Member struct {
	ID            uint64
	Name, Address string
}

// SetMembers sets the peers; those that it lacks are forgotten.
func (t *Transport) SetMembers(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := map[uint64]bool{}
	for _, m := range members {
		keep[m.ID] = true
		t.setMember(m)
	}
	for id, p := range t.peers {
		if !keep[id] {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// AddMember adds a peer that has introduced itself before the state names it.
func (t *Transport) AddMember(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[m.ID] == nil {
		t.setMember(m)
	}
}

// setMember starts a connection to a peer unless there is one to its address. The caller holds mu.
func (t *Transport) setMember(m Member) {
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
	t.wg.Go(func() { t.maintain(ctx, p) })
}

// Send queues envelopes for their peers, and drops those for which there is no room. It does not wait.
func (t *Transport) Send(envelopes []core.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range envelopes {
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

// maintain keeps a connection to one peer until the context ends.
func (t *Transport) maintain(ctx context.Context, p *peer) {
	backoff := redialMin
	for ctx.Err() == nil {
		began := time.Now()
		err := t.connect(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrRemoved) {
			t.conf.OnRemoved(err)
		}
		if time.Since(began) > stableAfter {
			backoff = redialMin
		}
		t.conf.Log.Warn().Err(err).Str("peer", p.name).Str("address", p.address).Msg("store: peer connection lost, reconnecting")
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, redialMax)
		p.dropQueue()
	}
}

// dropQueue drops what was queued while there was no connection: it is outdated.
func (p *peer) dropQueue() {
	for len(p.queue) > 0 {
		<-p.queue
	}
}

// connect dials a peer and sends what is queued until the connection or the context ends.
func (t *Transport) connect(ctx context.Context, p *peer) error {
	conn, _, err := Dial(ctx, p.address, t.conf.TLS, t.conf.Hello, p.name)
	if err != nil {
		return err
	}
	closeConn := func() { _ = conn.Close() } // what is lost with it is sent again by raft
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	closed := make(chan struct{})
	go func() { // the peer sends nothing more; a read ends when the connection does
		defer close(closed)
		var b [1]byte
		_, _ = conn.Read(b[:])
	}()
	w := &queueWriter{conn: conn, writer: bufio.NewWriterSize(conn, writeBuffer), queue: p.queue}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errors.New("closed by the peer")
		case first := <-p.queue:
			if err := w.send(first); err != nil {
				return err
			}
		}
	}
}

// queueWriter writes envelopes to a connection.
type queueWriter struct {
	conn   net.Conn
	writer *bufio.Writer
	queue  <-chan core.Envelope
	buf    []byte
}

// send writes an envelope and all that are queued behind it.
func (w *queueWriter) send(envelope core.Envelope) (err error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for more := true; more; {
		w.buf, err = frame.AppendEnvelope(w.buf[:0], envelope)
		if err != nil {
			return err
		}
		if _, err := w.writer.Write(w.buf); err != nil {
			return err
		}
		select {
		case envelope = <-w.queue:
		default:
			more = false
		}
	}
	if cap(w.buf) > maxKeptBuffer {
		w.buf = nil
	}
	return w.writer.Flush()
}
