package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A dial that fails or has an invalid address ends with a call of Closed, like any connection.
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

// Some platforms do not return the local address of a socket that is connecting. The library's connection must
// therefore be created before connect is called, on a socket that is bound.
func TestSocketIsBoundBeforeItConnects(t *testing.T) {
	fd, file, conn, err := newSocket()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	defer func() { _ = conn.Close() }()
	if _, err := syscall.Getpeername(fd); !errors.Is(err, syscall.ENOTCONN) {
		t.Errorf("getpeername returned %v, want ENOTCONN: the socket must not be connected yet", err)
	}
	if bound, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_IP, bindNoPort); err != nil || bound != 1 {
		t.Errorf("IP_BIND_ADDRESS_NO_PORT is %d, %v, want it set", bound, err)
	}
	if _, ok := conn.(*net.TCPConn); !ok {
		t.Errorf("the connection is a %T, want a *net.TCPConn", conn)
	}
}
