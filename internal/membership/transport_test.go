package membership

import (
	"bufio"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// A stream through a relay must not keep the deadline of its dial: otherwise the stream fails if the member takes
// longer to answer than the dial timeout.
func TestRelayedStreamHasNoDeadlineOfItsDial(t *testing.T) {
	const dialTimeout, answerAfter = 50 * time.Millisecond, 200 * time.Millisecond
	relay, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = relay.Close() })
	go func() {
		conn, err := relay.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // its error does not affect the result
		reader := bufio.NewReader(conn)
		_, _ = reader.ReadString('\n')
		_ = conn.SetReadDeadline(time.Now().Add(answerAfter))
		if _, err := reader.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
			_, _ = conn.Write([]byte("x"))
		}
	}()
	conn, err := (&transport{NetTransport: &memberlist.NetTransport{}, relay: relay.Addr().String()}).DialTimeout("127.0.0.1:1", dialTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Errorf("reading an answer that is sent after the dial timeout: %v", err)
	}
}

// The library calls count on goroutines that it starts before Create returns the list. A data race of count and setList
// is reported only by the race detector.
func TestMembersAreCountedWhileTheListIsMade(t *testing.T) {
	m := &Members{}
	counted := make(chan int)
	go func() { counted <- m.count() }()
	m.setList(&memberlist.Memberlist{})
	if n := <-counted; n > 1 {
		t.Errorf("%d members", n)
	}
}
