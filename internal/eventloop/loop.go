// Package eventloop runs the network engine, the clock and the timers. All events of sockets and timers are handled on
// one goroutine, which alone accesses the program's state, so handlers need no locks.
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
	// maxSpareEvents is the capacity, in events, above which an emptied queue is not kept for reuse. A burst of events
	// may have enlarged it.
	maxSpareEvents = 4096

	// minEngineSlots is the minimum size of the engine's table of connections, which the engine allocates at its start.
	minEngineSlots = 1024

	// maxWait is how long the loop waits for an event if no timer is set.
	maxWait = time.Hour
)

// Handler receives the events of a connection, always on the loop's goroutine. It receives nothing after Closed, or
// after the connection was closed by Conn.Close.
type Handler interface {
	Data(b []byte)    // the handler may keep b; data read before Conn.PauseInput was called may arrive after it
	Closed(err error) // the peer or the network has ended the connection
}

// Loop is the event loop with its engine.
type Loop struct {
	engine        *nbio.Engine
	log           zerolog.Logger
	acceptLimiter *acceptLimiter // nil if the loop does not listen
	engineBuffer  []byte         // used only on the engine's goroutine
	startedAt     time.Time
	startUnix     int64 // startedAt in microseconds since 1970

	// mu guards the fields up to wake. A value is sent to wake after an event was queued.
	mu          sync.Mutex
	queueFreed  *sync.Cond
	queue       []event
	queuedBytes int
	// maxQueuedBytes limits the bytes that were read and are not handled yet. Above it the engine stops reading, so that
	// the socket of a client that sends too fast slows the client down, and its input does not fill the memory.
	maxQueuedBytes int
	ended          bool // Run has ended: queued events are not handled any more
	wake           chan struct{}

	// The fields below are used only on the loop's goroutine.
	spareQueue []event     // an emptied queue for reuse
	turns      []*Conn     // connections that the loop reads in turn
	spareTurns []*Conn     // an emptied list for reuse
	turnBuffer []byte      // for the reads in turns
	packets    *PacketConn // nil if there is no UDP socket
	timers     timers
	stopped    bool

	done chan struct{} // closed when Run has ended
}

// event is a callback that is queued for the loop's goroutine.
type event struct {
	conn *Conn
	kind eventKind
	data []byte // of a readEvent
	err  error  // of a closedEvent or releasedEvent
	call func() // of a callEvent
}

type eventKind uint8

const (
	callEvent eventKind = iota
	readEvent
	turnEvent     // the loop reads the connection from now on
	closedEvent   // the peer or the network has ended the connection
	releasedEvent // the socket was closed
)

// New returns a loop for the given maximum number of descriptors and of bytes that were read and are not handled yet.
func New(descriptors, maxQueuedBytes int, log zerolog.Logger) *Loop {
	now := time.Now()
	l := &Loop{
		log: log, maxQueuedBytes: maxQueuedBytes, startedAt: now, startUnix: now.UnixMicro(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	l.queueFreed = sync.NewCond(&l.mu)
	logging.SetLogger(engineLog{log})
	nbio.MaxOpenFiles = max(descriptors, minEngineSlots) // the engine rejects higher descriptors
	return l
}

// Start starts the engine. It listens on address unless that is empty; accept is called for each new connection. At most
// maxAccepted accepted connections are open at a time. Further ones wait in the listen backlog of the system and use no
// descriptor.
func (l *Loop) Start(address string, maxAccepted int, accept func(*Conn) Handler) error {
	conf := nbio.Config{
		Name: "cloverrock", Network: "tcp", NPoller: 1, UDPReadTimeout: time.Minute,
		ReadBufferSize: 1, // not used: readArrived reads into Loop.engineBuffer
		// Edge-triggered: input that is left in a socket causes no further event.
		EpollMod: nbio.EPOLLET,
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
	l.engineBuffer = make([]byte, readBufferSize)
	l.turnBuffer = make([]byte, readBufferSize)
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

// StopListening stops accepting new connections. Open connections stay open, and those that already wait in the listen
// backlog are still accepted. Then done is called, after the last accept.
func (l *Loop) StopListening(done func()) {
	if l.acceptLimiter == nil {
		l.Post(done)
		return
	}
	l.acceptLimiter.stop(func() { l.Post(done) })
}

// Now returns the time in microseconds since 1970. It is read from the system's clock once and then only advances,
// even if that clock is set back. Unix times in milliseconds convert to it without rounding.
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
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for !l.stopped {
		handled := l.handleQueue()
		l.takeTurns()
		l.runTimers()
		if handled > 0 || len(l.turns) > 0 || l.stopped {
			continue
		}
		timer.Reset(l.untilNextTimer())
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// handleQueue handles the events that are queued at its start, and returns their number.
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
	switch ev.kind {
	case callEvent:
		ev.call()
	case readEvent:
		c.readDelivered(len(ev.data))
		c.deliver(ev.data)
	case turnEvent:
		l.startTurns(c)
	case releasedEvent:
		if c.accepted {
			l.acceptLimiter.closed()
		}
		c.ended(ev.err)
	case closedEvent:
		c.ended(ev.err)
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

// Done returns a channel that is closed when Run has ended. Functions that are posted after that are not run.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends Run after the events that are being handled. Sockets stay open until Close is called or the process ends.
func (l *Loop) Stop() { l.stopped = true }

// Close ends Run, if it has not ended yet, and then stops the engine, which closes its sockets and ends its goroutines.
// It must not be called on the loop's goroutine. A process that exits need not call it: the system closes the sockets
// without waiting.
func (l *Loop) Close() {
	l.waitForEngine()
	l.Post(l.Stop)
	<-l.done
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.queueFreed.Broadcast()
	if l.packets != nil {
		l.packets.close()
	}
	l.engine.Stop()
}
