package eventloop

import (
	"errors"
	"io"
	"testing"
)

// After Close the handler receives nothing more, not even what had come before.
func TestHandlerReceivesNothingAfterClose(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	if _, err := peer.Write([]byte("one")); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, h.data, "data"); got != "one" {
		t.Errorf("read %q", got)
	}
	l.onLoop(c.Close)
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("peer saw %v", err)
	}
	l.onLoop(func() {})
	if len(h.data) != 0 || len(h.closed) != 0 {
		t.Error("the handler was called after Close")
	}
}

// Once our side has ended, further input is discarded: it resets nothing that is on its way to the peer, and is never
// delivered. The peer's end is.
func TestLingeringCloseDiscardsInputWithoutReset(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	l.onLoop(func() {
		c.Write([]byte("answer"))
		if !c.CloseWrite() {
			t.Error("not closed")
		}
		if c.CloseWrite() || c.InputDrained() {
			t.Error("closed twice, or drained after it")
		}
		c.Write([]byte("more"))
	})
	for range 100 { // a reset would fail one of these
		if _, err := peer.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer" {
		t.Errorf("read %q, %v", got, err)
	}
	_ = peer.Close() // the handler shows a failure
	receive(t, h.closed, "the end")
	if len(h.data) > 0 {
		t.Errorf("received %q", <-h.data)
	}
}

// Our side is not ended while the peer has sent something that was not received, and the peer's end is seen before the
// handler is called for it.
func TestCloseWriteIsRefusedOverUnreadInput(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	l.onLoop(func() {
		if c.PeerClosed() {
			t.Error("closed while it is there")
		}
		_, _ = peer.Write([]byte("x")) // the poll shows a failure
		pollUntil(t, "the byte", func() bool { return !c.InputDrained() })
		if c.CloseWrite() {
			t.Error("closed over unread bytes")
		}
	})
	receive(t, h.data, "the byte")
	l.onLoop(func() {
		_ = peer.Close() // the poll shows a failure
		pollUntil(t, "the end", c.PeerClosed)
	})
	receive(t, h.closed, "the end")
}
