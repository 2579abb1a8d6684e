package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// A message goes to the gateway of that number or to the address of all; one that comes is told with its sender's
// number, and one from an address that is no gateway's is not told.
func TestMessages(t *testing.T) {
	l := eventloop.New(1024, 1<<20, zerolog.Nop())
	if err := l.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Close()
	open := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		return c, netip.MustParseAddrPort(c.LocalAddr().String())
	}
	zero, zeroAddr := open()
	one, oneAddr := open()
	all, allAddr := open()
	type message struct {
		peer int
		text string
	}
	heard := make(chan message, 8)
	var p *Peers
	var err error
	do := func(f func()) {
		done := make(chan struct{})
		l.Post(func() { f(); close(done) })
		<-done
	}
	do(func() {
		p, err = Open(l, Config{Listen: "127.0.0.1:0", Peers: []netip.AddrPort{zeroAddr, oneAddr}, All: allAddr},
			func(peer int, data []byte) { heard <- message{peer, string(data)} }, zerolog.Nop())
	})
	if err != nil {
		t.Fatal(err)
	}
	do(func() {
		p.Send(1, make([]byte, MaxMessage+1)) // too long: dropped
		p.Send(7, []byte("nobody"))
		p.Send(1, []byte("to one"))
		p.Send(-1, []byte("to all"))
	})
	buf := make([]byte, 512)
	n, from, err := one.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "to one" {
		t.Fatalf("one got %q, %v", buf[:n], err)
	}
	if n, _, err := all.ReadFromUDP(buf); err != nil || string(buf[:n]) != "to all" {
		t.Fatalf("all got %q, %v", buf[:n], err)
	}
	for _, c := range []*net.UDPConn{all, zero, one} { // all's address is no gateway's
		if _, err := c.WriteToUDP([]byte("hello"), from); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []message{{0, "hello"}, {1, "hello"}} {
		select {
		case got := <-heard:
			if got != want {
				t.Errorf("heard %+v, want %+v", got, want)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("nothing heard")
		}
	}
}
