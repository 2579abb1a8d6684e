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

// acceptRetryDelay is the pause after a failed accept, for example when no descriptor is free.
const acceptRetryDelay = 20 * time.Millisecond

// acceptLimiter is a listener that can be stopped without stopping the engine, and that limits the number of open
// connections so that the descriptors suffice. Further connections wait in the listen backlog of the system. The engine
// calls Accept again after every error and would spin on a permanent one, so once the listener is stopped Accept blocks
// until the engine ends.
type acceptLimiter struct {
	*net.TCPListener
	log   zerolog.Logger
	limit int

	mu        sync.Mutex // guards the fields below
	changed   *sync.Cond // signaled when a connection was closed or stopping has changed
	open      int
	stopping  bool
	onStopped func() // called after the last accept

	engineStarted chan struct{} // closed when the engine's goroutine first calls Accept
	startOnce     sync.Once
	engineEnded   chan struct{}
	endOnce       sync.Once
}

func newAcceptLimiter(listener *net.TCPListener, limit int, log zerolog.Logger) *acceptLimiter {
	a := &acceptLimiter{
		TCPListener: listener, limit: limit, log: log,
		engineStarted: make(chan struct{}), engineEnded: make(chan struct{}),
	}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// Accept implements net.Listener.
func (a *acceptLimiter) Accept() (net.Conn, error) {
	a.startOnce.Do(func() { close(a.engineStarted) })
	for !a.waitForFreeSlot() {
		conn, err := a.TCPListener.Accept()
		if err == nil {
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // stop sets a deadline to end a blocked Accept
			a.log.Warn().Err(err).Msg("eventloop: accept failed, new connections wait for free descriptors")
			time.Sleep(acceptRetryDelay)
		}
	}
	if conn, err := a.acceptPending(); err == nil {
		return conn, nil
	}
	_ = a.TCPListener.Close() // an error changes nothing: no connection is accepted any more
	if a.onStopped != nil {
		a.onStopped()
	}
	<-a.engineEnded
	return nil, net.ErrClosed
}

// waitForFreeSlot waits until one more connection may be accepted or the listener is stopped, and reports whether it is
// stopped.
func (a *acceptLimiter) waitForFreeSlot() (stopped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.open >= a.limit && !a.stopping {
		a.changed.Wait()
	}
	return a.stopping
}

// acceptPending accepts a connection from the listen backlog, if there is one and the limit allows it. Closing the
// listener would reset the connections in the backlog.
func (a *acceptLimiter) acceptPending() (net.Conn, error) {
	a.mu.Lock()
	belowLimit := a.open < a.limit
	a.mu.Unlock()
	raw, err := a.SyscallConn()
	if err != nil {
		return nil, err
	}
	if !belowLimit {
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
	defer func() { _ = file.Close() }() // the returned connection has a duplicate of the descriptor
	return net.FileConn(file)
}

// opened and closed update the number of open accepted connections. A connection counts as open until the loop has
// handled its end, so that peers that connect and leave do not fill the queue of the loop.
func (a *acceptLimiter) opened() { a.addOpen(1) }
func (a *acceptLimiter) closed() { a.addOpen(-1) }

func (a *acceptLimiter) addOpen(n int) {
	a.mu.Lock()
	a.open += n
	a.mu.Unlock()
	a.changed.Signal()
}

// Close implements net.Listener. The engine calls it when the engine ends.
func (a *acceptLimiter) Close() error {
	a.stop(nil)
	a.endOnce.Do(func() { close(a.engineEnded) })
	return nil
}

// stop makes Accept take the connections that wait in the backlog, close the listener and call onStopped.
func (a *acceptLimiter) stop(onStopped func()) {
	a.mu.Lock()
	if !a.stopping {
		a.stopping = true
		a.onStopped = onStopped
	}
	a.mu.Unlock()
	a.changed.Broadcast()
	_ = a.SetDeadline(time.Now()) // ends a blocked Accept; fails only if the listener is closed
}
