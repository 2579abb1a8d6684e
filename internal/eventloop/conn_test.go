package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// The result of an attempt depends on whether its last byte was written. Of 16 MB, a peer that reads nothing leaves most
// unsent, because no socket's buffers are that large; a peer that reads everything leaves nothing unsent.
func TestFlushedReportsWhetherTheLastByteWasWritten(t *testing.T) {
	l := startLoop(t, nil)
	for name, c := range map[string]struct {
		size int
		read bool
	}{"peer reads all": {16 << 20, true}, "peer reads nothing": {16 << 20, false}, "little is written at once": {64, false}} {
		listener, h := listen(t), newTestHandler()
		var conn *Conn
		l.onLoop(func() {
			conn = l.Dial(listener.Addr().String(), h)
			conn.Write(make([]byte, c.size)) // before the connection is open
		})
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		setTestDeadline(t, peer)
		if c.read {
			if _, err := io.CopyN(io.Discard, peer, int64(c.size)); err != nil {
				t.Fatal(name, err)
			}
		}
		if c.size < 1024 {
			if _, err := peer.Read(make([]byte, 1)); err != nil { // waits until the kernel has accepted it
				t.Fatal(name, err)
			}
		}
		_ = peer.Close() // the handler shows a failure
		receive(t, h.closed, name)
		l.onLoop(func() {
			if want := c.read || c.size < 1024; conn.Flushed() != want {
				t.Errorf("%s: Flushed %v, %d unsent", name, conn.Flushed(), conn.UnsentBytes())
			}
		})
	}
}

// InputDrained detects input of a peer, including its end, before the handler is called for it: a connection whose input
// is not drained must not be used for the next request.
func TestInputDrainedSeesWhatTheHandlerHasNotReceived(t *testing.T) {
	h, conns := newTestHandler(), make(chan *Conn, 1)
	l := startLoop(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := connectAndAccept(t, l, conns)
	for _, step := range []func(){
		func() { _, _ = peer.Write([]byte("x")) }, // the poll shows a failure of either step
		func() { _ = peer.Close() },
	} {
		l.onLoop(func() { // the handler is not called while this function runs
			if !c.InputDrained() {
				t.Error("the input is not drained before the peer has sent anything")
			}
			step()
			pollUntil(t, "the input", func() bool { return !c.InputDrained() })
		})
		select {
		case <-h.data:
		case <-h.closed:
		case <-time.After(testTimeout):
			t.Fatal("the handler was not called")
		}
	}
}

// Input that the engine has read, and holds while it waits for space in the queue, is not drained, although the socket
// is empty.
func TestInputThatTheEngineHoldsIsNotDrained(t *testing.T) {
	l, listener := startLoopWithSmallQueue(t), listen(t)
	flood, c := dialPeer(t, l, listener), dialPeer(t, l, listener)
	socketEmpty := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, err := c.peek()
		return errors.Is(err, syscall.EAGAIN)
	}
	l.onLoop(func() {
		_, _ = flood.peer.Write([]byte("xx")) // the poll shows a failure
		pollUntil(t, "the flood", func() bool { return !flood.InputDrained() })
		pollUntil(t, "the engine", func() bool { return l.queued() == 2 })
		c.sendByte(t)
		pollUntil(t, "the byte", func() bool { return !c.InputDrained() })
		pollUntil(t, "the read", socketEmpty)
		if c.InputDrained() {
			t.Error("InputDrained is true with a byte that was read and not delivered")
		}
		if c.CloseWrite() {
			t.Error("CloseWrite succeeded with a byte that was read and not delivered")
		}
	})
	receive(t, c.data, "the byte")
}

func (l *Loop) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedBytes
}

// PeerClosed reports a peer that has closed the connection even if bytes that the engine has not read precede the end.
// It does not report a peer that has only sent bytes.
func TestPeerClosedSeesTheEndBehindUnreadBytes(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes":   (*net.TCPConn).Close,
		"half":     (*net.TCPConn).CloseWrite,
		"is reset": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"stays":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			l, listener := startLoopWithSmallQueue(t), listen(t)
			flood, other, c := dialPeer(t, l, listener), dialPeer(t, l, listener), dialPeer(t, l, listener)
			l.onLoop(func() {
				_, _ = flood.peer.Write([]byte("xx")) // the poll shows a failure
				pollUntil(t, "the flood", func() bool { return l.queued() == 2 })
				other.sendByte(t)
				pollUntil(t, "the engine", func() bool {
					other.mu.Lock()
					defer other.mu.Unlock()
					return other.input.undeliveredReads == 1
				})
				c.sendByte(t) // not read: the engine waits for space to queue the byte of the other connection
				pollUntil(t, "the byte", func() bool { return !c.InputDrained() })
				if c.PeerClosed() {
					t.Error("PeerClosed is true before the peer has closed the connection")
				}
				if leave != nil {
					_ = leave(c.peer.(*net.TCPConn)) // the poll shows a failure
					pollUntil(t, "the end", c.PeerClosed)
				}
				if n, _ := c.peek(); n != 1 && name != "is reset" {
					t.Error("the byte was read, want it unread in the socket")
				}
			})
		})
	}
}

// All sockets send small writes without delay (TCP_NODELAY): data that the system held back would be lost with a reset.
func TestAllSocketsHaveNoDelay(t *testing.T) {
	conns := make(chan *Conn, 2)
	l, listener := startLoop(t, func(c *Conn) Handler { conns <- c; return newTestHandler() }), listen(t)
	c, _ := connectAndAccept(t, l, conns)
	connect(t, l)
	pending, err := l.acceptLimiter.acceptPending() // as StopListening does; the engine may have accepted it before
	if err == nil {
		defer func() { _ = pending.Close() }()
		raw, err := pending.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) { wantNoDelay(t, int(fd)) }); err != nil {
			t.Error(err)
		}
	}
	dialed := dialPeer(t, l, listener)
	l.onLoop(func() {
		wantNoDelay(t, c.descriptor())
		wantNoDelay(t, dialed.descriptor())
	})
}

func wantNoDelay(t *testing.T, fd int) {
	t.Helper()
	if v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); v == 0 || err != nil {
		t.Errorf("TCP_NODELAY is %d, %v, want it set", v, err)
	}
}
