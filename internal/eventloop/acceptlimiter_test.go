package eventloop

import (
	"net"
	"testing"

	"github.com/lesismal/nbio"
)

// However many connections come at once, no more than the limit are open at a time. The others are accepted once earlier
// ones are closed.
func TestAcceptLimitHoldsBackConnectionsUntilThereIsRoom(t *testing.T) {
	const limit, all = 4, 12
	conns := make(chan *Conn, all)
	l := startLimitedLoop(t, limit, func(c *Conn) Handler { conns <- c; return newTestHandler() })
	for range all {
		connect(t, l)
	}
	for range all {
		c := receive(t, conns, "accept")
		l.acceptLimiter.mu.Lock()
		if l.acceptLimiter.open > limit {
			t.Errorf("%d connections are open, want at most %d", l.acceptLimiter.open, limit)
		}
		l.acceptLimiter.mu.Unlock()
		l.onLoop(c.Close)
	}
}

// Connections that wait in the listen backlog when the listening ends are still accepted, and done is called after them.
func TestStopListeningAcceptsPendingConnections(t *testing.T) {
	conns := make(chan *Conn, 4)
	accept := func(c *Conn) Handler { conns <- c; return newTestHandler() }
	l := startLoop(t, accept)
	entered, release := make(chan struct{}, 4), make(chan struct{})
	l.onLoop(func() {
		l.engine.OnOpen(func(nb *nbio.Conn) { // the engine accepts the next connection only after OnOpen returns
			entered <- struct{}{}
			<-release
			l.engineOpened(nb, accept)
		})
	})
	for range 3 {
		connect(t, l)
	}
	receive(t, entered, "the first connection")
	done := make(chan int, 1)
	l.onLoop(func() { l.StopListening(func() { done <- len(conns) }) })
	close(release)
	if n := receive(t, done, "done"); n != 3 {
		t.Errorf("%d of 3 connections were accepted before done was called, want 3", n)
	}
	if conn, err := net.Dial("tcp4", l.Address()); err == nil {
		_ = conn.Close()
		t.Error("a connection was accepted after StopListening had called done")
	}
}

// Peers that connected and left filled the queue without end, because a connection no longer counted as soon as its
// socket was closed.
func TestConnectionsCountAsOpenUntilTheirEndIsHandled(t *testing.T) {
	const limit = 4
	l := startLimitedLoop(t, limit, func(*Conn) Handler { return newTestHandler() })
	l.onLoop(func() {
		for range limit {
			_ = connect(t, l).Close() // the poll shows a failure
		}
		pollUntil(t, "the ends", func() bool { return l.queuedEvents(releasedEvent) == limit })
		l.acceptLimiter.mu.Lock()
		defer l.acceptLimiter.mu.Unlock()
		if l.acceptLimiter.open != limit {
			t.Errorf("%d connections count as open before their end is handled, want %d", l.acceptLimiter.open, limit)
		}
	})
	pollUntil(t, "room for others", func() bool {
		l.acceptLimiter.mu.Lock()
		defer l.acceptLimiter.mu.Unlock()
		return l.acceptLimiter.open == 0
	})
}
