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

// acceptRetryDelay is the pause after an accept that has failed, for lack of descriptors for example.
const acceptRetryDelay = 20 * time.Millisecond

// acceptLimiter is a listener that can be stopped without the engine, and that accepts no more connections than there are
// descriptors for: the rest wait in the system's queue. The engine calls Accept again and again after an error, so one that
// fails for good would spin: once stopped, Accept blocks until the end of the engine.
type acceptLimiter struct {
	*net.TCPListener
	log   zerolog.Logger
	limit int

	mu        sync.Mutex // guards the fields below
	freed     *sync.Cond // a connection was closed, or stopping has changed
	open      int
	stopping  bool
	onStopped func() // called when nothing more is accepted

	engineStarted chan struct{} // closed once the engine's goroutine accepts
	startOnce     sync.Once
	engineEnded   chan struct{}
	endOnce       sync.Once
}

func newAcceptLimiter(listener *net.TCPListener, limit int, log zerolog.Logger) *acceptLimiter {
	a := &acceptLimiter{
		TCPListener: listener, limit: limit, log: log,
		engineStarted: make(chan struct{}), engineEnded: make(chan struct{}),
	}
	a.freed = sync.NewCond(&a.mu)
	return a
}

// Accept implements net.Listener.
func (a *acceptLimiter) Accept() (net.Conn, error) {
	a.startOnce.Do(func() { close(a.engineStarted) })
	for !a.waitForRoom() {
		conn, err := a.TCPListener.Accept()
		if err == nil {
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // that is the deadline which stop sets
			a.log.Warn().Err(err).Msg("eventloop: accept failed, new connections wait for free descriptors")
			time.Sleep(acceptRetryDelay)
		}
	}
	if conn, err := a.acceptPending(); err == nil {
		return conn, nil
	}
	_ = a.TCPListener.Close() // nothing more can be accepted in any case
	if a.onStopped != nil {
		a.onStopped()
	}
	<-a.engineEnded
	return nil, net.ErrClosed
}

// waitForRoom waits until one more connection may be accepted, and reports whether the listener was stopped.
func (a *acceptLimiter) waitForRoom() (stopped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.open >= a.limit && !a.stopping {
		a.freed.Wait()
	}
	return a.stopping
}

// acceptPending accepts a connection that the system has accepted already, if there is one and room for it. To close the
// listener would reset it.
func (a *acceptLimiter) acceptPending() (net.Conn, error) {
	a.mu.Lock()
	hasRoom := a.open < a.limit
	a.mu.Unlock()
	raw, err := a.SyscallConn()
	if err != nil {
		return nil, err
	}
	if !hasRoom {
		return nil, syscall.EMFILE
	}
	fd := -1
	controlErr := raw.Control(func(listener uintptr) {
		for {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if controlErr != nil || err != nil {
		return nil, errors.Join(controlErr, err)
	}
	file := os.NewFile(uintptr(fd), "socket")
	defer func() { _ = file.Close() }() // the connection has a descriptor of its own
	return net.FileConn(file)
}

// opened and closed count the connections that were accepted.
func (a *acceptLimiter) opened() { a.addOpen(1) }
func (a *acceptLimiter) closed() { a.addOpen(-1) }

func (a *acceptLimiter) addOpen(n int) {
	a.mu.Lock()
	a.open += n
	a.mu.Unlock()
	a.freed.Signal()
}

// Close implements net.Listener. The engine calls it when it ends.
func (a *acceptLimiter) Close() error {
	a.stop(nil)
	a.endOnce.Do(func() { close(a.engineEnded) })
	return nil
}

// stop has Accept take the connections that wait, close the listener and call onStopped.
func (a *acceptLimiter) stop(onStopped func()) {
	a.mu.Lock()
	if !a.stopping {
		a.stopping = true
		a.onStopped = onStopped
	}
	a.mu.Unlock()
	a.freed.Broadcast()
	_ = a.SetDeadline(time.Now()) // ends an Accept that blocks; it fails only on a closed listener
}
