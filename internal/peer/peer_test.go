package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// testTimeout ends a test that hangs. No test result depends on how fast something happens.
const testTimeout = 30 * time.Second

type message struct {
	peer int
	text string
}

// startLoop starts an event loop and returns it with a function that runs another function on it and waits for its end.
func startLoop(t *testing.T) (loop *eventloop.Loop, onLoop func(f func())) {
	t.Helper()
	loop = eventloop.New(1024, 1<<20, zerolog.Nop())
	if err := loop.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go loop.Run()
	t.Cleanup(loop.Close)
	return loop, func(f func()) {
		done := make(chan struct{})
		loop.Post(func() { f(); close(done) })
		<-done
	}
}

// openSocket opens the socket of another gateway.
func openSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() }) // an error at the end of the test changes nothing
	if err := socket.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return socket, netip.MustParseAddrPort(socket.LocalAddr().String())
}

// A message is sent to the gateway with the given number or to the address for all gateways. A received message is
// delivered with the number of its sender; one from an unknown address is not delivered.
func TestMessagesGoByNumberAndUnknownSendersAreDropped(t *testing.T) {
	loop, onLoop := startLoop(t)
	zero, zeroAddress := openSocket(t)
	one, oneAddress := openSocket(t)
	all, allAddress := openSocket(t)
	received := make(chan message, 8)
	var peers *Peers
	var err error
	onLoop(func() {
		config := Config{Listen: "127.0.0.1:0", Peers: []netip.AddrPort{zeroAddress, oneAddress}, All: allAddress}
		peers, err = Open(loop, config, func(peer int, data []byte) { received <- message{peer, string(data)} }, zerolog.Nop())
	})
	if err != nil {
		t.Fatal(err)
	}
	onLoop(func() {
		peers.Send(1, make([]byte, MaxMessage+1)) // too long: dropped
		peers.Send(7, []byte("nobody"))
		peers.Send(1, []byte("to one"))
		peers.Send(-1, []byte("to all"))
	})
	buf := make([]byte, 512)
	n, from, err := one.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "to one" {
		t.Fatalf("gateway 1 received %q, %v, want \"to one\"", buf[:n], err)
	}
	if n, _, err := all.ReadFromUDP(buf); err != nil || string(buf[:n]) != "to all" {
		t.Fatalf("the address for all gateways received %q, %v, want \"to all\"", buf[:n], err)
	}
	for _, socket := range []*net.UDPConn{all, zero, one} { // the address for all gateways is not that of a gateway
		if _, err := socket.WriteToUDP([]byte("hello"), from); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []message{{0, "hello"}, {1, "hello"}} {
		select {
		case got := <-received:
			if got != want {
				t.Errorf("received %+v, want %+v", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatal("no message received within the test timeout")
		}
	}
}
