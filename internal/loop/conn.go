package loop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// Conn is one TCP connection. Its methods belong to the loop's goroutine.
type Conn struct {
	nb      *nbio.Conn // nil if the dial failed at once
	handler Handler
	closed  bool

	queued  int64        // bytes given to Write
	written atomic.Int64 // bytes that the kernel has taken
	loop    *Loop
	unread  int // reads that the handler has yet to be told of; under the loop's lock
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
	l.mu.Lock() // the poller meets the connection in the engine's table, which has no lock: this orders the two
	c.unread = 0
	l.mu.Unlock()
	_, err = l.engine.AddConn(nb)
	return err
}

// Write sends b, now or as the socket takes it.
func (c *Conn) Write(b []byte) {
	if c.closed || c.nb == nil {
		return
	}
	c.queued += int64(len(b))
	_, _ = c.nb.Write(b) // on an error the engine closes the connection and Closed is told
}

// Flushed tells whether the kernel has taken the last byte given to Write. Only after Close, or once Closed
// was told, is the answer final: until then the engine may go on writing what is left.
func (c *Conn) Flushed() bool { return c.written.Load() >= c.queued }

// Unwritten is the number of bytes that the kernel has yet to take.
func (c *Conn) Unwritten() int64 { return c.queued - c.written.Load() }

// Quiet tells that the peer has sent nothing that the handler was not told, its end included. It looks into the
// socket itself: what has arrived there may be some time away from the handler.
func (c *Conn) Quiet() bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.loop.mu.Lock()
	unread := c.unread
	c.loop.mu.Unlock()
	if unread > 0 {
		return false
	}
	raw, err := c.nb.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// Close ends the connection; the handler is told nothing more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.nb != nil {
		_ = c.nb.Close()
	}
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
