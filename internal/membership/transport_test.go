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

// A stream through a relay keeps no deadline of its dial: a member that takes longer to answer was cut off.
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
		defer func() { _ = conn.Close() }() // the test has all it needs
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
		t.Errorf("an answer after the dial's timeout: %v", err)
	}
}

// The library counts members on goroutines that it starts before its list is returned: found by the race detector only.
func TestMembersAreCountedWhileTheListIsMade(t *testing.T) {
	m := &Members{}
	counted := make(chan int)
	go func() { counted <- m.count() }()
	m.setList(&memberlist.Memberlist{})
	if n := <-counted; n > 1 {
		t.Errorf("%d members", n)
	}
}
