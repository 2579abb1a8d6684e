package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is one TCP connection. Its methods belong to the loop's goroutine.
//
// The engine closes sockets on its own goroutine as well, and a number that is free goes to the next socket. So whatever
// is done here with the number is done under mu, and the engine's reads, in which it meets the end, are made under it too:
// what the peer sends is either seen before our end, or never told.
type Conn struct {
	nb      *nbio.Conn // nil if the dial failed at once
	handler Handler
	closed  bool

	queued  int64        // bytes given to Write
	written atomic.Int64 // bytes that the kernel has taken
	loop    *Loop

	accepted bool

	mu     sync.Mutex
	ended  bool // the number is not ours any more
	shut   bool // our sending has ended: what still comes is thrown away
	unread int  // reads that the handler has yet to be told of
}

// Dial begins to open a connection. What is written meanwhile goes out once it is up; a handler that waits for
// that sets a timer of its own and closes the connection.
//
// The engine's own DialAsync is not used: it takes the first four bytes of a 16-byte address for the IPv4 one
// and so connects to 0.0.0.0 whatever the address is, and it hands out the connection only when it is up, so
// that one which never comes up cannot be closed.
func (l *Loop) Dial(address string, h Handler) *Conn {
	c := &Conn{loop: l, handler: h}
	if err := l.connect(c, address); err != nil {
		l.post(event{conn: c, kind: closed, err: fmt.Errorf("dial %s: %w", address, err)})
	}
	return c
}

// bindNoPort leaves the choice of the port to the connect, which has many more to choose from
// (IP_BIND_ADDRESS_NO_PORT).
const bindNoPort = 24

// newSocket makes a TCP socket that has a name before it connects, and the standard library's connection on it. The
// library asks a socket for its name to know its family, and not every platform tells that of one that is still
// connecting: it says "address family not supported" there, and no dial succeeds.
func newSocket() (fd int, file *os.File, std net.Conn, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, nil, fmt.Errorf("socket: %w", err)
	}
	file = os.NewFile(uintptr(fd), "socket")
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort, 1)
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{}); err == nil {
		std, err = net.FileConn(file)
	}
	if err != nil {
		_ = file.Close()
		return -1, nil, nil, fmt.Errorf("name the socket: %w", err)
	}
	return fd, file, std, nil
}

func (l *Loop) connect(c *Conn, address string) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !to.Addr().Unmap().Is4() {
		return errors.New("not an IPv4 address")
	}
	fd, file, std, err := newSocket()
	if err != nil {
		return err
	}
	defer file.Close()
	err = syscall.Connect(fd, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()})
	if err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		_ = std.Close()
		return err
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		return err
	}
	nb.SetSession(c) // before the engine sees it: a connection without one counts as accepted
	c.nb = nb
	l.order()
	_, err = l.engine.AddConn(nb)
	return err
}

// maxThrown bounds the reads of what is thrown away before others have their turn: a flood that nobody waits for.
const maxThrown = 4

// take reads what the peer has sent, on the engine's goroutine. It returns 0 and no error where there is nothing more
// yet, and an error at the end, by which time the socket is closed.
func (c *Conn) take(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for thrown := 0; thrown < maxThrown; {
		if c.ended {
			return 0, net.ErrClosed
		}
		n, err = c.nb.Read(b)
		switch {
		case n > 0 && c.shut: // nobody is told
			thrown++
		case n > 0:
			c.unread++
			return n, nil
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		default:
			if err == nil {
				err = io.EOF
			}
			c.end(err)
			return 0, err
		}
	}
	return 0, nil
}

// end gives the socket back, under the lock.
func (c *Conn) end(err error) {
	c.ended = true
	_ = c.nb.CloseWithError(err)
}

// told notes that the handler is being told of a read.
func (c *Conn) told() {
	c.mu.Lock()
	c.unread--
	c.mu.Unlock()
}

// Write sends b, now or as the socket takes it.
//
// The first try is made here and not by the engine, which closes a socket at an error, on this goroutine, while its own
// may hold an event of it that would then meet the next socket of the same number. After an error the engine comes to that
// event and closes the socket itself.
func (c *Conn) Write(b []byte) {
	if c.closed || c.nb == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.UnsentBytes() > 0
	c.queued += int64(len(b))
	if c.ended || c.shut {
		return
	}
	for !waiting && len(b) > 0 {
		n, err := syscall.Write(c.number(), b)
		if n > 0 {
			c.written.Add(int64(n))
			b = b[n:]
		} else if errors.Is(err, syscall.EAGAIN) {
			waiting = true
		} else if !errors.Is(err, syscall.EINTR) {
			c.endSoon()
			return
		}
	}
	if len(b) > 0 {
		_, err := c.nb.Write(b)
		c.ended = err != nil // then the engine has closed it, and Closed is told
	}
}

func (c *Conn) number() (n int) {
	raw, _ := c.nb.SyscallConn()
	_ = raw.Control(func(fd uintptr) { n = int(fd) })
	return n
}

// Flushed tells whether the kernel has taken the last byte given to Write. Only after Close, or once Closed
// was told, is the answer final: until then the engine may go on writing what is left.
func (c *Conn) Flushed() bool { return c.written.Load() >= c.queued }

// UnsentBytes is the number of bytes that the kernel has yet to take.
func (c *Conn) UnsentBytes() int64 { return c.queued - c.written.Load() }

// InputDrained tells that the peer has sent nothing that the handler was not told, its end included. It looks into the
// socket itself: what has arrived there may be some time away from the handler.
func (c *Conn) InputDrained() bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet()
}

func (c *Conn) quiet() bool {
	if c.ended || c.shut || c.unread > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// peek looks for a byte in the socket: 0 and no error are the peer's end.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(c.number(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// PeerClosed tells that the peer has ended the connection, or the network has, whether or not the handler was told, and whether
// or not bytes that nobody has read yet lie before the end: the state of the connection tells then.
func (c *Conn) PeerClosed() bool {
	if c.closed || c.nb == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return true
	}
	n, err := c.peek()
	if n > 0 && !c.shut {
		info, e := unix.GetsockoptTCPInfo(c.number(), unix.IPPROTO_TCP, unix.TCP_INFO)
		return e == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
	}
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// CloseWrite ends our sending if the peer has sent nothing that the handler was not told, and tells whether it has. What the
// peer sends from then on is read and thrown away, so that it resets nothing that is on its way to it; Closed is told once
// the peer has ended its side, too.
func (c *Conn) CloseWrite() bool { return c.shutIf((*Conn).quiet) }

// ForceCloseWrite is Shut for a connection on which what comes means nothing.
func (c *Conn) ForceCloseWrite() bool {
	return c.shutIf(func(c *Conn) bool { return !c.ended && !c.shut })
}

func (c *Conn) shutIf(may func(*Conn) bool) bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.UnsentBytes() > 0 || !may(c) || syscall.Shutdown(c.number(), syscall.SHUT_WR) != nil {
		return false
	}
	c.shut = true
	return true
}

// endLater is when the socket of a connection is given back at the latest whose end the engine should come to itself.
const endLater = 1e5

// Close ends the connection; the handler is told nothing more. The engine comes to the end of the socket and gives it
// back: done here, the number might go to another socket while the engine still holds an event of this one.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.nb == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.shut = true; c.UnsentBytes() > 0 { // the engine may be at the same socket, and close it
		c.end(nil)
		return
	}
	_ = syscall.Shutdown(c.number(), syscall.SHUT_RDWR)
	c.endSoon()
}

// endSoon sees to it that the socket is given back, should the engine not come to its end.
func (c *Conn) endSoon() {
	c.loop.CallAt(c.loop.Now()+endLater, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.ended {
			c.end(net.ErrClosed)
		}
	})
}

// PacketConn is a UDP socket.
type PacketConn struct{ nb *nbio.Conn }

// ListenPacket opens a UDP socket; got is told each datagram.
func (l *Loop) ListenPacket(address string, got func(from net.Addr, b []byte)) (*PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	l.packet = got
	nb, err := l.engine.AddConn(udp)
	if err != nil {
		return nil, err
	}
	return &PacketConn{nb}, nil
}

// Send sends one datagram from the socket's own address; like any datagram it may be lost.
func (p *PacketConn) Send(to netip.AddrPort, b []byte) error {
	raw, err := p.nb.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	err = raw.Control(func(fd uintptr) {
		sent = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT,
			&syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()})
	})
	return errors.Join(err, sent)
}
