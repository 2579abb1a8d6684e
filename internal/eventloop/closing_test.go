package eventloop

import (
	"errors"
	"io"
	"testing"
)

// After Close the handler receives nothing more, not even data that arrived before.
func TestHandlerReceivesNothingAfterClose(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	if _, err := peer.Write([]byte("one")); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, h.data, "data"); got != "one" {
		t.Errorf("the handler received %q, want \"one\"", got)
	}
	l.onLoop(c.Close)
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer's read returned %v, want io.EOF", err)
	}
	l.onLoop(func() {})
	if len(h.data) != 0 || len(h.closed) != 0 {
		t.Error("the handler was called after Close")
	}
}

// After CloseWrite, further input is discarded. It causes no reset, which would destroy data in transit to the peer,
// and is never delivered to the handler. The handler is still notified when the peer closes its side.
func TestLingeringCloseDiscardsInputWithoutReset(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	l.onLoop(func() {
		c.Write([]byte("answer"))
		if !c.CloseWrite() {
			t.Error("CloseWrite failed")
		}
		if c.CloseWrite() || c.InputDrained() {
			t.Error("CloseWrite succeeded twice, or InputDrained is true after it")
		}
		c.Write([]byte("more"))
	})
	for range 100 { // one of these writes would fail after a reset
		if _, err := peer.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer" {
		t.Errorf("the peer read %q, %v, want \"answer\"", got, err)
	}
	_ = peer.Close() // the handler shows a failure
	receive(t, h.closed, "the end")
	if len(h.data) > 0 {
		t.Errorf("the handler received %q after CloseWrite, want nothing", <-h.data)
	}
}

// CloseWrite fails while input of the peer has not been delivered to the handler. PeerClosed reports the peer's end
// before the handler is notified of it.
func TestCloseWriteIsRefusedOverUnreadInput(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	l.onLoop(func() {
		if c.PeerClosed() {
			t.Error("PeerClosed is true before the peer has closed the connection")
		}
		_, _ = peer.Write([]byte("x")) // the poll shows a failure
		pollUntil(t, "the byte", func() bool { return !c.InputDrained() })
		if c.CloseWrite() {
			t.Error("CloseWrite succeeded with unread input")
		}
	})
	receive(t, h.data, "the byte")
	l.onLoop(func() {
		_ = peer.Close() // the poll shows a failure
		pollUntil(t, "the end", c.PeerClosed)
	})
	receive(t, h.closed, "the end")
}
