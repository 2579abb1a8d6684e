package eventloop

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// testTimeout ends a test that hangs. No test result depends on how fast something happens.
const testTimeout = 30 * time.Second

// testHandler passes the events of a connection to channels.
type testHandler struct {
	data   chan string
	closed chan string // texts of the errors
}

func newTestHandler() testHandler { return testHandler{make(chan string, 64), make(chan string, 1)} }

func (h testHandler) Data(b []byte)    { h.data <- string(b) }
func (h testHandler) Closed(err error) { h.closed <- fmt.Sprint(err) }

// startLoop starts a loop that listens; accept may be nil if no client connects.
func startLoop(t *testing.T, accept func(*Conn) Handler) *Loop {
	t.Helper()
	return startLimitedLoop(t, 512, accept)
}

func startLimitedLoop(t *testing.T, maxAccepted int, accept func(*Conn) Handler) *Loop {
	t.Helper()
	l := New(1024, 4<<20, zerolog.Nop())
	if err := l.Start("127.0.0.1:0", maxAccepted, accept); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Close)
	return l
}

// startLoopWithSmallQueue starts a loop whose engine stops reading while two bytes or more are queued.
func startLoopWithSmallQueue(t *testing.T) *Loop {
	t.Helper()
	l := New(1024, 1, zerolog.Nop())
	if err := l.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Close)
	return l
}

func (l *Loop) onLoop(f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: nothing received within the test timeout", what)
	}
	return v
}

// pollUntil waits, on the loop's goroutine, for the effect of an action of a peer.
func pollUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); {
		if time.Now().After(end) {
			t.Error(what, "did not happen within the test timeout")
			return
		}
	}
}

// listen returns a listener on an address other than 127.0.0.1, which the engine's own dial would not reach.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.77.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return listener
}

// connect opens a connection to the loop.
func connect(t *testing.T, l *Loop) net.Conn {
	t.Helper()
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() }) // a test may have closed it
	setTestDeadline(t, peer)
	return peer
}

func setTestDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
}

// connectAndAccept returns a connection that a peer has opened to the loop.
func connectAndAccept(t *testing.T, l *Loop, conns <-chan *Conn) (*Conn, net.Conn) {
	t.Helper()
	peer := connect(t, l)
	return receive(t, conns, "accept"), peer
}

// dialedConn is a connection that the loop has dialed, with its handler and its peer.
type dialedConn struct {
	*Conn
	testHandler
	peer net.Conn
}

// dialPeer dials the listener and waits until the connection is accepted.
func dialPeer(t *testing.T, l *Loop, listener net.Listener) *dialedConn {
	t.Helper()
	d := &dialedConn{testHandler: newTestHandler()}
	l.onLoop(func() { d.Conn = l.Dial(listener.Addr().String(), d.testHandler) })
	var err error
	d.peer, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.peer.Close() }) // a test may have closed it
	setTestDeadline(t, d.peer)
	return d
}

// sendByte makes the peer send one byte.
func (d *dialedConn) sendByte(t *testing.T) {
	t.Helper()
	if _, err := d.peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
}
