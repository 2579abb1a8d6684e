// Package transport sends messages between the instances of a store over TCP with mutual TLS. Each instance dials all
// others and sends only on the connections that it dialed. A message that cannot be sent is dropped, which raft
// tolerates. Sending never blocks.
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
	queueLength   = 1024                   // messages queued for one peer
	writeTimeout  = 3 * time.Second        // a connection that accepts no data for this long is replaced
	redialMin     = 200 * time.Millisecond // pause before the first attempt to reconnect, doubled for each further one
	redialMax     = 3 * time.Second
	stableAfter   = 5 * time.Second // after a connection that lasted this long, the pause is redialMin again
	writeBuffer   = 64 << 10        // bytes
	maxKeptBuffer = 1 << 20         // bytes; a larger encoding buffer is released
)

// ErrRemoved is the error of an instance that was removed from the cluster, or belongs to another cluster.
var ErrRemoved = errors.New("store: this instance was removed from the cluster or belongs to another one")

// Config of a transport.
type Config struct {
	TLS       *tls.Config
	Hello     frame.Hello       // sent on each connection
	Routes    map[string]string // by the peer's name: the address to dial instead of the peer's own
	Log       zerolog.Logger
	OnRemoved func(error) // called when a peer refuses this instance permanently; the error wraps ErrRemoved
}

// Transport sends messages to peers, with one goroutine for each. It is safe for concurrent use.
type Transport struct {
	conf   Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	peers  map[uint64]*peer
}

type peer struct {
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

// Member is the name and address (HOST:PORT) of a peer.
type Member struct {
	ID            uint64
	Name, Address string
}

// SetMembers replaces the set of peers. Connections to all other peers are closed.
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

// AddMember adds a peer that connected before this instance has its member record. An existing peer is not changed.
func (t *Transport) AddMember(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[m.ID] == nil {
		t.setMember(m)
	}
}

// setMember starts a goroutine that maintains a connection to a peer, unless there is one for the same address. The
// caller holds mu.
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
	p := &peer{name: m.Name, address: m.Address, queue: make(chan core.Envelope, queueLength), cancel: cancel}
	t.peers[m.ID] = p
	t.wg.Go(func() { t.maintain(ctx, p) })
}

// Send queues messages for their peers. It does not block: messages for a full queue or an unknown peer are dropped.
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

// Close closes all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// maintain keeps a connection to one peer: it reconnects after each failure, until the context ends.
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

// dropQueue discards the messages that were queued while there was no connection, since they are outdated.
func (p *peer) dropQueue() {
	for len(p.queue) > 0 {
		<-p.queue
	}
}

// connect dials a peer and sends queued messages until the connection or the context ends. The error is never nil.
func (t *Transport) connect(ctx context.Context, p *peer) error {
	conn, _, err := Dial(ctx, p.address, t.conf.TLS, t.conf.Hello, p.name)
	if err != nil {
		return err
	}
	closeConn := func() { _ = conn.Close() } // raft repeats lost messages
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	closed := make(chan struct{})
	go func() { // the peer sends no data, so Read returns when the connection ends
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
			return errors.New("connection closed by the peer")
		case first := <-p.queue:
			if err := w.send(first); err != nil {
				return err
			}
		}
	}
}

// queueWriter writes the messages of a queue to a connection.
type queueWriter struct {
	conn   net.Conn
	writer *bufio.Writer
	queue  <-chan core.Envelope
	buf    []byte
}

// send writes a message and all messages that are queued after it, and flushes once.
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
