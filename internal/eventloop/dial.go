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

// bindNoPort (IP_BIND_ADDRESS_NO_PORT) leaves the choice of the local port to connect, which can choose from many more
// ports than bind.
const bindNoPort = 24

var errNotIPv4 = errors.New("not an IPv4 address")

// Dial starts to open a connection. Bytes that are written before it is open are sent once it is. A handler that
// limits the time to open sets its own timer and closes the connection.
//
// The engine's own DialAsync is not used for two reasons. It uses the first four bytes of a 16-byte address as the
// IPv4 address and so connects to 0.0.0.0 for any address. And it returns the connection only when it is open, so a
// connection that never opens could not be closed.
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
	defer func() { _ = file.Close() }() // conn has a duplicate of the descriptor
	err = syscall.Connect(fd, socketAddress(to))
	if err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		_ = conn.Close() // the error of connect is returned
		return err
	}
	nb, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close() // the error of the engine is returned
		return err
	}
	nb.SetSession(c) // before AddConn: the engine treats a connection without a session as accepted
	c.nb = nb
	l.syncWithEngine()
	_, err = l.engine.AddConn(nb)
	return err
}

// newSocket returns a TCP socket that is bound but not connected, and the standard library's connection on it. The
// library determines the address family of a socket from its local address, which some platforms do not return while
// the socket is connecting; there the library fails with "address family not supported".
func newSocket() (fd int, file *os.File, conn net.Conn, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, nil, nil, fmt.Errorf("socket: %w", err)
	}
	file = os.NewFile(uintptr(fd), "socket")
	// The connection works without these options, but is slower or has fewer ports to choose from.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort, 1)
	err = syscall.Bind(fd, &syscall.SockaddrInet4{})
	if err == nil {
		conn, err = net.FileConn(file)
	}
	if err != nil {
		_ = file.Close() // the error above is returned
		return -1, nil, nil, fmt.Errorf("bind the socket: %w", err)
	}
	return fd, file, conn, nil
}

func socketAddress(to netip.AddrPort) *syscall.SockaddrInet4 {
	return &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
}
