package eventloop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

const limit = 30 * time.Second

// handler turns what it is told into channels.
type handler struct {
	data   chan string
	closed chan error
}

func newHandler() handler { return handler{make(chan string, 64), make(chan error, 1)} }

func (h handler) Data(b []byte)    { h.data <- string(b) }
func (h handler) Closed(err error) { h.closed <- err }

func run(t *testing.T, accept func(*Conn) Handler) *Loop {
	t.Helper()
	l := New(1024, 4<<20, zerolog.Nop())
	if err := l.Start("127.0.0.1:0", 512, accept); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Close)
	return l
}

func (l *Loop) do(f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("%s: nothing came", what)
	}
	return v
}

// listener is a peer on an address that is not 127.0.0.1: the engine's own dial would miss it.
func listener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.77.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Whether the last byte was written decides what an attempt proves. A peer that reads nothing leaves most of 16 MB
// unwritten, for no socket's buffers are that large; one that reads all leaves nothing.
func TestFlushed(t *testing.T) {
	l := run(t, nil)
	for name, c := range map[string]struct {
		size int
		read bool
	}{"peer reads all": {16 << 20, true}, "peer reads nothing": {16 << 20, false}, "little is written at once": {64, false}} {
		ln, h := listener(t), newHandler()
		var conn *Conn
		l.do(func() {
			conn = l.Dial(ln.Addr().String(), h)
			conn.Write(make([]byte, c.size)) // before the connection is up
		})
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = peer.SetDeadline(time.Now().Add(limit))
		if c.read {
			if _, err := io.CopyN(io.Discard, peer, int64(c.size)); err != nil {
				t.Fatal(name, err)
			}
		}
		if c.size < 1024 {
			if _, err := peer.Read(make([]byte, 1)); err != nil { // it was taken
				t.Fatal(name, err)
			}
		}
		peer.Close()
		wait(t, h.closed, name)
		l.do(func() {
			if want := c.read || c.size < 1024; conn.Flushed() != want {
				t.Errorf("%s: Flushed %v, %d unwritten", name, conn.Flushed(), conn.UnsentBytes())
			}
		})
	}
}

// What a peer has sent, its end too, is seen before the handler is told of it: a connection that is not quiet is no
// place for the next request.
func TestQuiet(t *testing.T) {
	h, conns := newHandler(), make(chan *Conn, 1)
	l := run(t, func(c *Conn) Handler { conns <- c; return h })
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	c := wait(t, conns, "accept")
	for _, step := range []func(){func() { _, _ = peer.Write([]byte("x")) }, func() { peer.Close() }} {
		l.do(func() { // nothing is told while this runs
			if !c.InputDrained() {
				t.Error("not quiet before anything came")
			}
			step()
			for end := time.Now().Add(limit); c.InputDrained(); {
				if time.Now().After(end) {
					t.Error("quiet although something came")
					return
				}
			}
		})
		select {
		case <-h.data:
		case <-h.closed:
		case <-time.After(limit):
			t.Fatal("nothing was told")
		}
	}
}

func TestDialRefused(t *testing.T) {
	l := run(t, nil)
	ln := listener(t)
	ln.Close()
	for _, address := range []string{ln.Addr().String(), "no address", "[::1]:1"} {
		h := newHandler()
		l.do(func() { l.Dial(address, h).Write([]byte("x")) })
		wait(t, h.closed, address)
	}
}

// After Close nothing more is told, not even what had come before.
func TestCloseIsTheEnd(t *testing.T) {
	h, conns := newHandler(), make(chan *Conn, 1)
	l := run(t, func(c *Conn) Handler { conns <- c; return h })
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	c := wait(t, conns, "accept")
	_, _ = peer.Write([]byte("one"))
	if got := wait(t, h.data, "data"); got != "one" {
		t.Errorf("read %q", got)
	}
	l.do(c.Close)
	_ = peer.SetDeadline(time.Now().Add(limit))
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("peer saw %v", err)
	}
	l.do(func() {})
	if len(h.data) != 0 || len(h.closed) != 0 {
		t.Error("told something after Close")
	}
}

func TestTimers(t *testing.T) {
	l := run(t, nil)
	var got []string
	done := make(chan struct{})
	l.do(func() {
		now := l.Now()
		add := func(at int64, name string) *Timer { return l.CallAt(at, func() { got = append(got, name) }) }
		add(now+3, "third")
		stopped := add(now+2, "never")
		add(now-5, "first")
		add(now+1, "second")
		stopped.Stop()
		stopped.Stop()
		(*Timer)(nil).Stop()
		l.CallAt(now+4, func() { close(done) })
	})
	wait(t, done, "timers")
	if d := cmp.Diff([]string{"first", "second", "third"}, got); d != "" {
		t.Error(d)
	}
}

func TestPackets(t *testing.T) {
	l := run(t, nil)
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = peer.SetDeadline(time.Now().Add(limit))
	heard := make(chan string, 4)
	var p *PacketConn
	l.do(func() {
		p, err = l.ListenPacket("127.0.0.1:0", func(from net.Addr, b []byte) { heard <- from.String() + " " + string(b) })
	})
	if err != nil {
		t.Fatal(err)
	}
	l.do(func() { err = p.Send(netip.MustParseAddrPort(peer.LocalAddr().String()), []byte("hello")) })
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 64)
	n, from, err := peer.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "hello" {
		t.Fatalf("got %q, %v", buf[:n], err)
	}
	if _, err := peer.WriteToUDP([]byte("back"), from); err != nil {
		t.Fatal(err)
	}
	if got := wait(t, heard, "datagram"); got != peer.LocalAddr().String()+" back" {
		t.Errorf("heard %q", got)
	}
}

// Where a platform names no socket that is still connecting, the library's connection must exist before the connect
// begins, on a socket that is bound.
func TestSocketHasANameBeforeItConnects(t *testing.T) {
	fd, file, std, err := newSocket()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	defer std.Close()
	if _, err := syscall.Getpeername(fd); !errors.Is(err, syscall.ENOTCONN) {
		t.Errorf("connected already: %v", err)
	}
	if bound, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort); err != nil || bound != 1 {
		t.Errorf("not bound, or to a port that is chosen too early: %d, %v", bound, err)
	}
	if _, ok := std.(*net.TCPConn); !ok {
		t.Errorf("a %T", std)
	}
}
