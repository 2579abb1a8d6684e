package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A dial that fails, or whose address is invalid, ends with Closed like any connection.
func TestFailedDialCallsClosed(t *testing.T) {
	l := startLoop(t, nil)
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	for _, address := range []string{listener.Addr().String(), "no address", "[::1]:1"} {
		h := newTestHandler()
		l.onLoop(func() { l.Dial(address, h).Write([]byte("x")) })
		receive(t, h.closed, address)
	}
}

// Where a platform does not return the local address of a socket that is connecting, the library's connection must exist
// before the connect begins, on a socket that is bound.
func TestSocketIsBoundBeforeItConnects(t *testing.T) {
	fd, file, conn, err := newSocket()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	defer func() { _ = conn.Close() }()
	if _, err := syscall.Getpeername(fd); !errors.Is(err, syscall.ENOTCONN) {
		t.Errorf("connected already: %v", err)
	}
	if bound, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort); err != nil || bound != 1 {
		t.Errorf("not bound, or to a port that is chosen too early: %d, %v", bound, err)
	}
	if _, ok := conn.(*net.TCPConn); !ok {
		t.Errorf("a %T", conn)
	}
}
