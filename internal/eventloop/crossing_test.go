package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"
)

// accepted is a loop's connection that a peer has opened.
func accepted(t *testing.T, l *Loop, conns <-chan *Conn) (*Conn, net.Conn) {
	t.Helper()
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(limit))
	return wait(t, conns, "accept"), peer
}

// until waits in a loop's turn for what a peer has done.
func until(t *testing.T, what string, done func() bool) {
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) {
			t.Error(what, "does not come")
			return
		}
	}
}

// What the engine has read is not quiet any more, though it waits for room to tell of it: the socket is empty then.
func TestWhatIsReadIsNotQuiet(t *testing.T) {
	l, ln := New(1024, 1, zerolog.Nop()), listener(t) // two bytes that are not handled make the engine wait
	if err := l.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Close()
	flood, c := dialed(t, l, ln), dialed(t, l, ln)
	empty := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, err := c.peek()
		return errors.Is(err, syscall.EAGAIN)
	}
	l.do(func() {
		_, _ = flood.peer.Write([]byte("xx"))
		until(t, "the flood", func() bool { return !flood.InputDrained() })
		until(t, "the engine", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.bytes == 2 })
		c.send(t)
		until(t, "the byte", func() bool { return !c.InputDrained() })
		until(t, "the read", empty)
		if c.InputDrained() {
			t.Error("quiet, although a byte was read")
		}
		if c.CloseWrite() {
			t.Error("shut, although a byte was read")
		}
	})
	wait(t, c.data, "the byte")
}

// A peer that has left is seen to have, though bytes that the engine has yet to read lie before its end; one that is there
// and has only sent them is not.
func TestLeftIsSeenBehindUnreadBytes(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes":   (*net.TCPConn).Close,
		"half":     (*net.TCPConn).CloseWrite,
		"is reset": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"stays":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			l, ln := New(1024, 1, zerolog.Nop()), listener(t) // two bytes that are not handled make the engine wait
			if err := l.Start("", 0, nil); err != nil {
				t.Fatal(err)
			}
			go l.Run()
			defer l.Close()
			flood, other, c := dialed(t, l, ln), dialed(t, l, ln), dialed(t, l, ln)
			l.do(func() {
				_, _ = flood.peer.Write([]byte("xx"))
				until(t, "the flood", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.bytes == 2 })
				other.send(t)
				until(t, "the engine", func() bool { other.mu.Lock(); defer other.mu.Unlock(); return other.unread == 1 })
				c.send(t) // not read: the engine waits to tell of the other's
				until(t, "the byte", func() bool { return !c.InputDrained() })
				if c.PeerClosed() {
					t.Error("left while it is there")
				}
				if leave != nil {
					_ = leave(c.peer.(*net.TCPConn))
					until(t, "the end", c.PeerClosed)
				}
				if n, _ := c.peek(); n != 1 && name != "is reset" {
					t.Error("the byte was read meanwhile")
				}
			})
		})
	}
}

// Once our side has ended, what still comes is thrown away: it resets nothing that is on its way to the peer, and is
// never told. The peer's end is.
func TestLingers(t *testing.T) {
	h, conns := newHandler(), make(chan *Conn, 1)
	l := run(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := accepted(t, l, conns)
	l.do(func() {
		c.Write([]byte("answer"))
		if !c.CloseWrite() {
			t.Error("not shut")
		}
		if c.CloseWrite() || c.InputDrained() {
			t.Error("shut twice, or quiet after it")
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
	peer.Close()
	wait(t, h.closed, "the end")
	if len(h.data) > 0 {
		t.Errorf("told %q", <-h.data)
	}
}

// A peer that has sent something is not shut out, and its end is seen before the handler is told.
func TestShutLooksFirst(t *testing.T) {
	h, conns := newHandler(), make(chan *Conn, 1)
	l := run(t, func(c *Conn) Handler { conns <- c; return h })
	c, peer := accepted(t, l, conns)
	l.do(func() {
		if c.PeerClosed() {
			t.Error("left while it is there")
		}
		_, _ = peer.Write([]byte("x"))
		until(t, "the byte", func() bool { return !c.InputDrained() })
		if c.CloseWrite() {
			t.Error("shut over unread bytes")
		}
	})
	wait(t, h.data, "the byte")
	l.do(func() {
		peer.Close()
		until(t, "the end", c.PeerClosed)
	})
	wait(t, h.closed, "the end")
}

// However many come at once, no more are accepted than there is room for; the others come when there is.
func TestAcceptsNoMoreThanThereIsRoomFor(t *testing.T) {
	const most, all = 4, 12
	conns := make(chan *Conn, all)
	l := New(1024, 4<<20, zerolog.Nop())
	if err := l.Start("127.0.0.1:0", most, func(c *Conn) Handler { conns <- c; return newHandler() }); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Close()
	for range all {
		peer, err := net.Dial("tcp4", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
	}
	for range all {
		c := wait(t, conns, "accept")
		if l.gate.mu.Lock(); l.gate.open > most {
			t.Errorf("%d are open, want %d at most", l.gate.open, most)
		}
		l.gate.mu.Unlock()
		l.do(c.Close)
	}
}

// What the system has accepted when the listening ends is taken, and done is called behind it.
func TestStopListeningTakesWhatWaits(t *testing.T) {
	conns := make(chan *Conn, 4)
	l := run(t, func(c *Conn) Handler { conns <- c; return newHandler() })
	entered, release := make(chan struct{}, 4), make(chan struct{})
	l.do(func() {
		l.engine.OnOpen(func(nb *nbio.Conn) { // the engine accepts the next one after it
			entered <- struct{}{}
			<-release
			l.open(nb, func(c *Conn) Handler { conns <- c; return newHandler() })
		})
	})
	for range 3 {
		peer, err := net.Dial("tcp4", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
	}
	wait(t, entered, "the first")
	done := make(chan int, 1)
	l.do(func() { l.StopListening(func() { done <- len(conns) }) })
	close(release)
	if n := wait(t, done, "done"); n != 3 {
		t.Errorf("%d of 3 were taken when the listening had ended", n)
	}
	if c, err := net.Dial("tcp4", l.Address()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// No small write is held back by the system, on any connection: what it held back would go with a reset.
func TestNoDelay(t *testing.T) {
	conns := make(chan *Conn, 2)
	l, ln := run(t, func(c *Conn) Handler { conns <- c; return newHandler() }), listener(t)
	c, _ := accepted(t, l, conns)
	late, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	rest, err := l.gate.next() // as at the end of the listening; the engine may have been quicker
	if err == nil {
		defer rest.Close()
		raw, _ := rest.(*net.TCPConn).SyscallConn()
		_ = raw.Control(func(fd uintptr) { wantNoDelay(t, int(fd)) })
	}
	p := dialed(t, l, ln)
	l.do(func() {
		wantNoDelay(t, c.number())
		wantNoDelay(t, p.number())
	})
}

func wantNoDelay(t *testing.T, fd int) {
	t.Helper()
	if v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); v == 0 || err != nil {
		t.Errorf("TCP_NODELAY is %d, %v", v, err)
	}
}
