package eventloop

import (
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// The engine takes events in rounds. One that it holds of a connection, and has yet to look at, must not meet another
// that was opened meanwhile with the same descriptor: the end of the one would end the other.
func TestEventOfClosedConnectionDoesNotReachItsDescriptorsNextOwner(t *testing.T) {
	testDescriptorReuse(t, func(*Conn) {})
}

// The same holds where the old connection has bytes that its peer has not read: it was given back at once.
func TestEventOfClosedConnectionWithUnsentBytesDoesNotReachTheNextOwner(t *testing.T) {
	const tooMuch = 16 << 20 // bytes, for the buffers of any socket
	testDescriptorReuse(t, func(c *Conn) { c.Write(make([]byte, tooMuch)) })
}

// testDescriptorReuse closes a connection of which the engine holds an event, and opens others. prepare is called with the
// connection, on the loop.
func testDescriptorReuse(t *testing.T, prepare func(*Conn)) {
	t.Helper()
	l, listener := startLoop(t, nil), listen(t)
	first, second, old := dialPeer(t, l, listener), dialPeer(t, l, listener), dialPeer(t, l, listener)
	entered, release := make(chan struct{}), make(chan struct{})
	l.onLoop(func() {
		l.engine.OnRead(func(nb *nbio.Conn) {
			l.syncWithEngine()
			if nb == first.nb || nb == second.nb {
				entered <- struct{}{}
				<-release
			}
			l.engineReadable(nb)
		})
	})
	l.onLoop(func() { prepare(old.Conn) })
	first.sendByte(t)
	receive(t, entered, "the first round")
	second.sendByte(t) // both are in the next round, this one first
	_ = old.peer.Close()
	release <- struct{}{}
	receive(t, entered, "the next round")
	l.onLoop(old.Close)
	var next [8]testHandler // one of them gets the descriptor: none of the test's own sockets is opened before
	l.onLoop(func() {
		for i := range next {
			next[i] = newTestHandler()
			l.Dial(listener.Addr().String(), next[i])
		}
	})
	release <- struct{}{}
	first.sendByte(t)
	receive(t, entered, "the engine's turn")
	release <- struct{}{} // the round that held the event is over
	for range next {
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = peer.Close() }()
		_, _ = peer.Write([]byte("x")) // the handler shows a failure
	}
	for _, h := range next {
		select {
		case <-h.data:
		case err := <-h.closed:
			t.Error("a new connection was ended:", err)
		case <-time.After(testTimeout):
			t.Error("nothing came")
		}
	}
	l.onLoop(func() { l.engine.OnRead(l.engineReadable) })
	for _, d := range []*dialedConn{first, second} {
		l.onLoop(d.Close)
	}
}
