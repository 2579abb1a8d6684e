package eventloop

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// gate is a listener that can be shut alone, and that accepts no more than there are descriptors for: however many
// connections come at once, the rest wait in the system's queue. The engine calls Accept again and again after an error,
// so one that fails for good would spin: once shut, Accept waits for the end of the engine, and it pauses after a
// failure such as a lack of descriptors.
type gate struct {
	*net.TCPListener
	log  zerolog.Logger
	most int

	mu   sync.Mutex
	free *sync.Cond
	open int
	shut bool
	done func() // called when nothing more is accepted
	over chan struct{}

	begun            chan struct{} // the engine's goroutine is here
	beginOnce, final sync.Once
}

func newGate(ln *net.TCPListener, most int, log zerolog.Logger) *gate {
	g := &gate{TCPListener: ln, most: most, log: log, over: make(chan struct{}), begun: make(chan struct{})}
	g.free = sync.NewCond(&g.mu)
	return g
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	g.beginOnce.Do(func() { close(g.begun) })
	for !g.full() {
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // that is stop's
			g.log.Warn().Err(err).Msg("accept failed; connections wait until there are descriptors again")
			time.Sleep(20 * time.Millisecond)
		}
	}
	if c, err := g.next(); err == nil {
		return c, nil
	}
	_ = g.TCPListener.Close()
	if g.done != nil {
		g.done()
	}
	<-g.over
	return nil, net.ErrClosed
}

// full waits until one more may be accepted, and tells whether the gate was shut.
func (g *gate) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.most && !g.shut {
		g.free.Wait()
	}
	return g.shut
}

// next takes a connection that the system has accepted, if there is one and room for it. To close the listener would
// reset it.
func (g *gate) next() (net.Conn, error) {
	g.mu.Lock()
	room := g.open < g.most
	g.mu.Unlock()
	raw, err := g.SyscallConn()
	if err != nil {
		return nil, err
	}
	if !room {
		return nil, syscall.EMFILE
	}
	fd := -1
	if e := raw.Control(func(ln uintptr) {
		for err = syscall.EINTR; errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED); {
			fd, _, err = syscall.Accept4(int(ln), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	}); e != nil || err != nil {
		return nil, errors.Join(e, err)
	}
	file := os.NewFile(uintptr(fd), "socket")
	defer file.Close()
	return net.FileConn(file)
}

// opened and closed count what was accepted.
func (g *gate) opened() { g.count(1) }
func (g *gate) closed() { g.count(-1) }

func (g *gate) count(n int) {
	g.mu.Lock()
	g.open += n
	g.mu.Unlock()
	g.free.Signal()
}

// Close implements net.Listener: the engine ends.
func (g *gate) Close() error {
	g.stop(nil)
	g.final.Do(func() { close(g.over) })
	return nil
}

// stop has Accept take what waits, close the listener and call done.
func (g *gate) stop(done func()) {
	g.mu.Lock()
	if !g.shut {
		g.shut, g.done = true, done
	}
	g.mu.Unlock()
	g.free.Broadcast()
	_ = g.SetDeadline(time.Now())
}
