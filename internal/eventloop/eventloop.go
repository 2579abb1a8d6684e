// Package loop runs the network engine, the clock and the timers. Whatever happens on a socket or at a time is
// handed to one goroutine, which alone owns the state of the program: handlers need no locks.
package eventloop

import (
	"container/heap"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"
)

// spareEvents bounds the queue's spare room: one that a flood has made longer is not kept for good.
const spareEvents = 4096

// maxPackets bounds the datagrams that are read before connections have their turn.
const maxPackets = 3

// Handler is told what happens to a connection, always on the loop's goroutine. After Closed, or once the
// connection was closed from this side, nothing more is told.
type Handler interface {
	Data(b []byte)    // b belongs to the handler
	Closed(err error) // the peer or the network ended it
}

// Loop is the engine with its one goroutine.
type Loop struct {
	engine *nbio.Engine
	log    zerolog.Logger
	gate   *gate
	buffer []byte // the engine's goroutine reads into it
	start  time.Time
	base   int64 // Unix time of start in microseconds

	mu    sync.Mutex
	room  *sync.Cond
	queue []event
	bytes int
	// backlog bounds the bytes read and not yet handled. A poller that has read more waits, so that a client
	// that floods the program is slowed by its own socket and not held in memory.
	backlog int
	over    bool // Run has ended: nobody makes room any more
	wake    chan struct{}

	spare   []event
	timers  timers
	stopped bool
	done    chan struct{}
	packet  func(from net.Addr, b []byte)
}

// event is one callback on its way to the loop's goroutine.
type event struct {
	conn *Conn
	kind kind
	data []byte
	err  error
	call func()
}

type kind uint8

const (
	called kind = iota
	read
	closed
)

// New returns a loop that may hold so many descriptors, and so many bytes read and not yet handled.
func New(files, backlog int, log zerolog.Logger) *Loop {
	now := time.Now()
	l := &Loop{log: log, backlog: backlog, start: now, base: now.UnixMicro(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	l.room = sync.NewCond(&l.mu)
	logging.SetLogger(engineLog{log})
	// The engine keeps a table of this many connections from the start, and takes no descriptor beyond it.
	nbio.MaxOpenFiles = max(files, 1024)
	return l
}

// Start opens the engine. It listens on address, if not empty; accept is called for each new connection. Of those that
// were accepted at most so many are open at a time; more wait in the system's queue, and hold no descriptor.
func (l *Loop) Start(address string, most int, accept func(*Conn) Handler) error {
	conf := nbio.Config{
		Name: "cloverrock", Network: "tcp", NPoller: 1, ReadBufferSize: 1, UDPReadTimeout: time.Minute,
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := net.Listen(network, addr)
			if err != nil {
				return nil, err
			}
			l.gate = newGate(ln.(*net.TCPListener), most, l.log)
			return l.gate, nil
		},
	}
	if address != "" {
		conf.Addrs = []string{address}
	}
	l.engine = nbio.NewEngine(conf)
	l.engine.OnOpen(func(nb *nbio.Conn) { l.open(nb, accept) })
	l.buffer = make([]byte, 64<<10)
	l.engine.OnRead(l.read)
	l.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c, ok := nb.Session().(*Conn); ok {
			if c.accepted {
				l.gate.closed()
			}
			l.post(event{conn: c, kind: closed, err: err})
		}
	})
	l.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*Conn); ok {
			c.written.Add(int64(n))
		}
	})
	if err := l.engine.Start(); err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	return nil
}

// open is told, on the goroutine that accepts, of a connection.
func (l *Loop) open(nb *nbio.Conn, accept func(*Conn) Handler) {
	if _, udp := nb.RemoteAddr().(*net.UDPAddr); udp || nb.Session() != nil {
		return
	}
	c := &Conn{loop: l, nb: nb, accepted: true}
	nb.SetSession(c)
	l.order()
	l.gate.opened()
	l.post(event{call: func() { c.handler = accept(c) }})
}

// read is told, on the engine's goroutine, that something has come or that the peer's side has ended. It reads to the end
// of what is there: the engine closes the socket after it where the peer has, whatever was not read.
func (l *Loop) read(nb *nbio.Conn) {
	l.order()
	c, ok := nb.Session().(*Conn)
	if !ok {
		l.receive(nb)
		return
	}
	for {
		n, err := c.take(l.buffer)
		if n == 0 {
			if err != nil {
				l.post(event{conn: c, kind: closed, err: err})
			}
			return
		}
		l.post(event{conn: c, kind: read, data: append([]byte(nil), l.buffer[:n]...)})
	}
}

// order stands between the making of a connection and the engine's first sight of it: its table has no lock.
func (l *Loop) order() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// receive takes datagrams.
func (l *Loop) receive(nb *nbio.Conn) {
	for range maxPackets {
		b := l.buffer
		from, n, err := nb.ReadAndGetConn(&b)
		if err != nil || n <= 0 {
			return
		}
		data := append([]byte(nil), b[:n]...)
		if addr, udp := from.RemoteAddr().(*net.UDPAddr); udp {
			l.post(event{call: func() { l.packet(addr, data) }})
		}
	}
}

// Address tells where the loop listens.
func (l *Loop) Address() string { return l.engine.Addrs[0] }

// StopListening refuses new connections from now on; those that are open stay, and what the system has accepted already is
// taken. Then done is called, behind the last accept.
func (l *Loop) StopListening(done func()) {
	if l.gate == nil {
		l.Post(done)
		return
	}
	l.gate.stop(func() { l.Post(done) })
}

// Now is the time in microseconds since 1970. It is taken from the system's clock once and then only advances,
// also when that clock is set back; a time in Unix milliseconds is exact on it.
func (l *Loop) Now() int64 { return l.base + time.Since(l.start).Microseconds() }

// Post runs f on the loop's goroutine.
func (l *Loop) Post(f func()) { l.post(event{call: f}) }

func (l *Loop) post(ev event) {
	l.mu.Lock()
	for ev.kind == read && l.bytes > l.backlog && !l.over {
		l.room.Wait()
	}
	l.queue = append(l.queue, ev)
	l.bytes += len(ev.data)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run handles events and timers until Stop. It is the loop's goroutine.
func (l *Loop) Run() {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for !l.stopped {
		l.mu.Lock()
		batch := l.queue
		l.queue, l.bytes = l.spare[:0], 0
		l.mu.Unlock()
		l.room.Broadcast()
		for i := range batch {
			l.handle(&batch[i])
			batch[i] = event{}
		}
		if l.spare = batch; cap(batch) > spareEvents {
			l.spare = nil
		}
		for now := l.Now(); len(l.timers) > 0 && l.timers[0].at <= now; {
			t := heap.Pop(&l.timers).(*Timer)
			t.call()
		}
		if len(batch) > 0 {
			continue
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = time.Duration(l.timers[0].at-l.Now()) * time.Microsecond
		}
		alarm.Reset(wait)
		select {
		case <-l.wake:
		case <-alarm.C:
		}
	}
}

// Done is closed when Run has ended: what is posted from then on is not run.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends Run after the event that is being handled. The sockets are left to the end of the process, or to Close.
func (l *Loop) Stop() { l.stopped = true }

// Close ends Run, if it has not ended, and then the engine with its sockets and goroutines, for a process that goes on. It
// is called from outside the loop's goroutine. A process that ends leaves all that to the system, which does not wait.
func (l *Loop) Close() {
	l.begun()
	l.Post(l.Stop)
	<-l.done
	l.mu.Lock()
	l.over = true
	l.mu.Unlock()
	l.room.Broadcast()
	l.engine.Stop()
}

// begun waits until the engine's goroutines run. They take back any word of their end as they begin, and one that was told
// too soon would run for good.
func (l *Loop) begun() {
	if l.gate != nil {
		<-l.gate.begun
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer ln.Close()
	s := seen(make(chan struct{}))
	l.Post(func() { l.Dial(ln.Addr().String(), s) })
	go func() {
		if c, err := ln.Accept(); err == nil {
			c.Close()
		}
	}()
	select {
	case <-s:
	case <-l.done: // it has served
	}
}

// seen is a handler that waits for the end.
type seen chan struct{}

func (seen) Data([]byte)    {}
func (s seen) Closed(error) { close(s) }

func (l *Loop) handle(ev *event) {
	c := ev.conn
	if ev.kind == read {
		c.told()
	}
	switch {
	case ev.call != nil:
		ev.call()
	case c == nil || c.closed || c.handler == nil:
	case ev.kind == read:
		c.handler.Data(ev.data)
	case ev.kind == closed:
		c.closed = true
		c.handler.Closed(ev.err)
	}
}

// Timer is one call to come.
type Timer struct {
	loop  *Loop
	at    int64
	index int
	call  func()
}

// CallAt calls f on the loop's goroutine at the given time or as soon as possible after it.
func (l *Loop) CallAt(at int64, f func()) *Timer {
	t := &Timer{loop: l, at: at, call: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop withdraws the call; a nil timer or one that has run is left alone.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timers is a heap by time; equal times in no fixed order.
type timers []*Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	t.index = -1
	return t
}

// engineLog passes the engine's own lines on.
type engineLog struct{ log zerolog.Logger }

func (e engineLog) Debug(string, ...any)     {}
func (e engineLog) Info(f string, v ...any)  { e.log.Debug().Msgf(f, v...) }
func (e engineLog) Warn(f string, v ...any)  { e.log.Warn().Msgf(f, v...) }
func (e engineLog) Error(f string, v ...any) { e.log.Error().Msgf(f, v...) }
func (e engineLog) SetLevel(int)             {}
