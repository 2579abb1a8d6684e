package eventloop

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// A datagram is sent from the socket's own address, and the reply is received with the address of its sender.
func TestPacketsAreSentAndReceivedOnOneSocket(t *testing.T) {
	l := startLoop(t, nil)
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	setTestDeadline(t, peer)
	received := make(chan string, 4)
	var socket *PacketConn
	l.onLoop(func() {
		socket, err = l.ListenPacket("127.0.0.1:0", func(from net.Addr, b []byte) {
			received <- from.String() + " " + string(b)
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	l.onLoop(func() { err = socket.Send(netip.MustParseAddrPort(peer.LocalAddr().String()), []byte("hello")) })
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 64)
	n, from, err := peer.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "hello" {
		t.Fatalf("the peer read %q, %v, want \"hello\"", buf[:n], err)
	}
	if _, err := peer.WriteToUDP([]byte("back"), from); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, received, "datagram"); got != peer.LocalAddr().String()+" back" {
		t.Errorf("received %q, want the peer's address and \"back\"", got)
	}
}

// A socket whose reads had ended was closed under its senders: they used the descriptor, which another socket may have.
func TestPacketSocketStaysOpenWhenItsReadsHaveEnded(t *testing.T) {
	l := startLoop(t, nil)
	var socket *PacketConn
	var err error
	l.onLoop(func() { socket, err = l.ListenPacket("127.0.0.1:0", nil) })
	if err != nil {
		t.Fatal(err)
	}
	_ = syscall.Shutdown(socket.fd, syscall.SHUT_RDWR) // reports an unconnected socket, and ends the reads
	<-socket.ended
	if _, err := socket.address(); err != nil {
		t.Errorf("the descriptor is used after the reads have ended: %v, want an open socket", err)
	}
}
