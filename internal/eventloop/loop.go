// Package eventloop runs the network engine, the clock and the timers. Every event of a socket and every timer is passed
// to one goroutine, which alone owns the state of the program: handlers need no locks.
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

const (
	// maxSpareEvents bounds the memory, in events, of the queue that is kept for reuse: a flood may have enlarged it.
	maxSpareEvents = 4096

	// minEngineSlots is the least size of the engine's table of connections, which it allocates at its start.
	minEngineSlots = 1024

	// readBufferSize is the most that is read from a socket at once, in bytes.
	readBufferSize = 64 << 10

	// maxWait is how long the loop waits for an event where there is no timer.
	maxWait = time.Hour
)

// Handler receives the events of a connection, always on the loop's goroutine. After Closed, or once the connection was
// closed from this side, nothing more is received.
type Handler interface {
	Data(b []byte)    // b belongs to the handler
	Closed(err error) // the peer or the network ended the connection
}

// Loop is the engine with its one goroutine.
type Loop struct {
	engine        *nbio.Engine
	log           zerolog.Logger
	acceptLimiter *acceptLimiter // nil if the loop does not listen
	readBuffer    []byte         // belongs to the engine's goroutine
	startedAt     time.Time
	startUnix     int64 // startedAt in microseconds since 1970

	// mu guards the fields up to wake, which is signaled when an event was queued.
	mu          sync.Mutex
	queueFreed  *sync.Cond
	queue       []event
	queuedBytes int
	// maxQueuedBytes bounds the bytes read and not yet handled. Above it the engine waits, so that a client that floods
	// the program is slowed down by its own socket and not held in memory.
	maxQueuedBytes int
	ended          bool // Run has ended: the queue is not emptied any more
	wake           chan struct{}

	// These belong to the loop's goroutine.
	spareQueue []event // emptied, for reuse
	timers     timers
	stopped    bool
	onPacket   func(from net.Addr, b []byte)

	done chan struct{} // closed when Run has ended
}

// event is one callback on its way to the loop's goroutine.
type event struct {
	conn *Conn
	kind eventKind
	data []byte // of a readEvent
	err  error  // of a closedEvent
	call func() // of a callEvent
}

type eventKind uint8

const (
	callEvent eventKind = iota
	readEvent
	closedEvent
)

// New returns a loop that may hold the given number of descriptors, and of bytes read and not yet handled.
func New(descriptors, maxQueuedBytes int, log zerolog.Logger) *Loop {
	now := time.Now()
	l := &Loop{
		log: log, maxQueuedBytes: maxQueuedBytes, startedAt: now, startUnix: now.UnixMicro(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	l.queueFreed = sync.NewCond(&l.mu)
	logging.SetLogger(engineLog{log})
	nbio.MaxOpenFiles = max(descriptors, minEngineSlots) // the engine takes no descriptor above it
	return l
}

// Start starts the engine. It listens on address, if that is not empty; accept is called for each new connection. At
// most maxAccepted accepted connections are open at a time; more wait in the system's queue, and hold no descriptor.
func (l *Loop) Start(address string, maxAccepted int, accept func(*Conn) Handler) error {
	conf := nbio.Config{
		Name: "cloverrock", Network: "tcp", NPoller: 1, UDPReadTimeout: time.Minute,
		ReadBufferSize: 1, // not used: engineReadable reads into a buffer of its own
		Listen: func(network, addr string) (net.Listener, error) {
			listener, err := net.Listen(network, addr)
			if err != nil {
				return nil, err
			}
			l.acceptLimiter = newAcceptLimiter(listener.(*net.TCPListener), maxAccepted, l.log)
			return l.acceptLimiter, nil
		},
	}
	if address != "" {
		conf.Addrs = []string{address}
	}
	l.engine = nbio.NewEngine(conf)
	l.readBuffer = make([]byte, readBufferSize)
	l.engine.OnOpen(func(nb *nbio.Conn) { l.engineOpened(nb, accept) })
	l.engine.OnRead(l.engineReadable)
	l.engine.OnClose(l.engineClosed)
	l.engine.OnWrittenSize(engineWritten)
	if err := l.engine.Start(); err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	return nil
}

// Address returns the address that the loop listens on.
func (l *Loop) Address() string { return l.engine.Addrs[0] }

// StopListening refuses new connections from now on; open connections stay, and those that the system has accepted
// already are accepted here. Then done is called, behind the last accept.
func (l *Loop) StopListening(done func()) {
	if l.acceptLimiter == nil {
		l.Post(done)
		return
	}
	l.acceptLimiter.stop(func() { l.Post(done) })
}

// Now returns the time in microseconds since 1970. It is taken from the system's clock once and then only advances, also
// when that clock is set back; a time in Unix milliseconds is exact on it.
func (l *Loop) Now() int64 { return l.startUnix + time.Since(l.startedAt).Microseconds() }

// Post runs f on the loop's goroutine.
func (l *Loop) Post(f func()) { l.post(event{call: f}) }

func (l *Loop) post(ev event) {
	l.mu.Lock()
	for ev.kind == readEvent && l.queuedBytes > l.maxQueuedBytes && !l.ended {
		l.queueFreed.Wait()
	}
	l.queue = append(l.queue, ev)
	l.queuedBytes += len(ev.data)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run handles events and timers until Stop. The goroutine that calls it is the loop's goroutine.
func (l *Loop) Run() {
	defer close(l.done)
	alarm := time.NewTimer(maxWait)
	defer alarm.Stop()
	for !l.stopped {
		handled := l.handleQueue()
		l.runTimers()
		if handled > 0 || l.stopped {
			continue
		}
		alarm.Reset(l.untilNextTimer())
		select {
		case <-l.wake:
		case <-alarm.C:
		}
	}
}

// handleQueue handles the events that are queued now, and returns their number.
func (l *Loop) handleQueue() int {
	l.mu.Lock()
	batch := l.queue
	l.queue = l.spareQueue[:0]
	l.queuedBytes = 0
	l.mu.Unlock()
	l.queueFreed.Broadcast()
	for i := range batch {
		l.handle(&batch[i])
		batch[i] = event{}
	}
	l.spareQueue = batch
	if cap(batch) > maxSpareEvents {
		l.spareQueue = nil
	}
	return len(batch)
}

func (l *Loop) handle(ev *event) {
	c := ev.conn
	if ev.kind == readEvent {
		c.readDelivered()
	}
	switch {
	case ev.call != nil:
		ev.call()
	case c == nil || c.closed || c.handler == nil:
	case ev.kind == readEvent:
		c.handler.Data(ev.data)
	case ev.kind == closedEvent:
		c.closed = true
		c.handler.Closed(ev.err)
	}
}

func (l *Loop) runTimers() {
	now := l.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(*Timer)
		t.call()
	}
}

func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return maxWait
	}
	return time.Duration(l.timers[0].at-l.Now()) * time.Microsecond
}

// Done returns a channel that is closed when Run has ended: what is posted from then on is not run.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends Run after the events that are being handled. Sockets stay open until the process ends, or Close is called.
func (l *Loop) Stop() { l.stopped = true }

// Close ends Run, if it has not ended, and then the engine with its sockets and goroutines, in a process that goes on. It
// is called from outside the loop's goroutine. A process that ends leaves this to the system, which does not wait.
func (l *Loop) Close() {
	l.waitForEngine()
	l.Post(l.Stop)
	<-l.done
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.queueFreed.Broadcast()
	l.engine.Stop()
}
