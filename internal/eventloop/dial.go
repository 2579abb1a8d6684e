package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// bindNoPort (IP_BIND_ADDRESS_NO_PORT) leaves the choice of the local port to the connect, which has many more to choose
// from.
const bindNoPort = 24

var errNotIPv4 = errors.New("not an IPv4 address")

// Dial begins to open a connection. What is written meanwhile is sent once it is open; a handler that limits the wait for
// that sets a timer of its own and closes the connection.
//
// The engine's own DialAsync is not used: it takes the first four bytes of a 16-byte address for the IPv4 one and so
// connects to 0.0.0.0 whatever the address is, and it returns the connection only when it is open, so that one that never
// opens can't be closed.
func (l *Loop) Dial(address string, handler Handler) *Conn {
	c := &Conn{loop: l, handler: handler}
	if err := l.connect(c, address); err != nil {
		l.post(event{conn: c, kind: closedEvent, err: fmt.Errorf("dial %s: %w", address, err)})
	}
	return c
}

func (l *Loop) connect(c *Conn, address string) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !to.Addr().Unmap().Is4() {
		return errNotIPv4
	}
	fd, file, conn, err := newSocket()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // conn has a descriptor of its own
	err = syscall.Connect(fd, socketAddress(to))
	if err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		_ = conn.Close() // the error of the connect is reported
		return err
	}
	nb, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close() // the error of the engine is reported
		return err
	}
	nb.SetSession(c) // before the engine sees it: a connection without one counts as accepted
	c.nb = nb
	l.syncWithEngine()
	_, err = l.engine.AddConn(nb)
	return err
}

// newSocket returns a TCP socket that is bound but not connected, and the standard library's connection on it. The library
// asks a socket for its local address to find its family, and not every platform returns that of a socket that is
// connecting: it fails with "address family not supported" there.
func newSocket() (fd int, file *os.File, conn net.Conn, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, nil, fmt.Errorf("socket: %w", err)
	}
	file = os.NewFile(uintptr(fd), "socket")
	// Without these options the connection is slower, or has fewer ports to choose from, but it works.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort, 1)
	err = syscall.Bind(fd, &syscall.SockaddrInet4{})
	if err == nil {
		conn, err = net.FileConn(file)
	}
	if err != nil {
		_ = file.Close() // the error above is reported
		return -1, nil, nil, fmt.Errorf("bind the socket: %w", err)
	}
	return fd, file, conn, nil
}

func socketAddress(to netip.AddrPort) *syscall.SockaddrInet4 {
	return &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
}
