package eventloop

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// pair is a connection of the loop's and its peer.
type pair struct {
	*Conn
	handler
	peer net.Conn
}

// dialed opens a connection and waits until it is up.
func dialed(t *testing.T, l *Loop, ln net.Listener) *pair {
	t.Helper()
	p := &pair{handler: newHandler()}
	l.do(func() { p.Conn = l.Dial(ln.Addr().String(), p.handler) })
	var err error
	if p.peer, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.peer.Close() })
	_ = p.peer.SetDeadline(time.Now().Add(limit))
	return p
}

func (p *pair) send(t *testing.T) {
	t.Helper()
	if _, err := p.peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
}

// The engine takes events in rounds. One that it holds of a connection, and has yet to look at, must not meet another
// that was opened meanwhile under the same number: the end of the one would end the other.
func TestEventOfAClosedConnectionHitsNoOther(t *testing.T) {
	l, ln := run(t, nil), listener(t)
	first, second, old := dialed(t, l, ln), dialed(t, l, ln), dialed(t, l, ln)
	entered, release := make(chan struct{}), make(chan struct{})
	l.do(func() {
		l.engine.OnRead(func(nb *nbio.Conn) {
			l.order()
			if nb == first.nb || nb == second.nb {
				entered <- struct{}{}
				<-release
			}
			l.read(nb)
		})
	})
	pass := func() {
		t.Helper()
		wait(t, entered, "the engine's turn")
		release <- struct{}{}
	}
	first.send(t)
	wait(t, entered, "the first round")
	second.send(t) // both are in the next round, this one first
	old.peer.Close()
	release <- struct{}{}
	wait(t, entered, "the next round")
	l.do(old.Close)
	var next [8]handler // whichever gets the number: none of the test's own sockets is opened before
	l.do(func() {
		for i := range next {
			next[i] = newHandler()
			l.Dial(ln.Addr().String(), next[i])
		}
	})
	release <- struct{}{}
	first.send(t)
	pass() // the round that held the event is over
	for range next {
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		_, _ = peer.Write([]byte("x"))
	}
	for _, h := range next {
		select {
		case <-h.data:
		case err := <-h.closed:
			t.Errorf("a new connection was ended: %v", err)
		case <-time.After(limit):
			t.Error("nothing came")
		}
	}
	l.do(func() { l.engine.OnRead(l.read) })
	for _, p := range []*pair{first, second} {
		l.do(p.Close)
	}
}
