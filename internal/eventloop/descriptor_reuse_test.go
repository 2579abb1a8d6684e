package eventloop

import (
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// The engine handles events in rounds. If a connection is closed while the engine holds an unhandled event of it, and a
// new connection gets the same descriptor, the event must not be applied to the new connection: the end of the old
// connection would end the new one.
func TestEventOfClosedConnectionDoesNotReachItsDescriptorsNextOwner(t *testing.T) {
	testDescriptorReuse(t, func(*Conn) {})
}

// The same holds if the old connection has unsent bytes. In that case the descriptor used to be freed at once.
func TestEventOfClosedConnectionWithUnsentBytesDoesNotReachTheNextOwner(t *testing.T) {
	const tooMuch = 16 << 20 // bytes, more than the buffers of any socket hold
	testDescriptorReuse(t, func(c *Conn) { c.Write(make([]byte, tooMuch)) })
}

// testDescriptorReuse closes a connection of which the engine holds an event and then opens others. It calls prepare
// with the connection on the loop before that.
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
	second.sendByte(t) // both are in the next round, the second connection first
	_ = old.peer.Close()
	release <- struct{}{}
	receive(t, entered, "the next round")
	l.onLoop(old.Close)
	var next [8]testHandler // one of these gets the descriptor, because the test opens no other socket before them
	l.onLoop(func() {
		for i := range next {
			next[i] = newTestHandler()
			l.Dial(listener.Addr().String(), next[i])
		}
	})
	release <- struct{}{}
	first.sendByte(t)
	receive(t, entered, "the engine's turn")
	release <- struct{}{} // the round with the event is over
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
			t.Error("a new connection was closed:", err)
		case <-time.After(testTimeout):
			t.Error("a new connection received no data within the test timeout")
		}
	}
	l.onLoop(func() { l.engine.OnRead(l.engineReadable) })
	for _, d := range []*dialedConn{first, second} {
		l.onLoop(d.Close)
	}
}
