package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

const (
	// maxPackets is the number of datagrams that may be queued for the loop.
	maxPackets = 3

	// maxPacketSize is the number of bytes of a datagram that are read; the rest of a longer one is dropped.
	maxPacketSize = 4 << 10
)

// PacketConn is a UDP socket. It is read on a goroutine of its own, because an edge-triggered poller would be woken by
// each datagram that the socket has sent. At most maxPackets datagrams wait for the loop. Further ones wait in the
// socket, and the system drops those for which it has no room.
type PacketConn struct {
	loop   *Loop
	fd     int // blocks in reads; open until close, because Send may use it
	places chan struct{}
	ended  chan struct{} // closed when receive has ended
}

// ListenPacket opens a UDP socket; onPacket is called on the loop's goroutine for each datagram. A loop has at most one
// such socket.
func (l *Loop) ListenPacket(address string, onPacket func(from net.Addr, b []byte)) (*PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("open a UDP socket: %w", err)
	}
	local := addr.AddrPort()
	if !local.Addr().IsValid() { // a port alone
		local = netip.AddrPortFrom(netip.IPv4Unspecified(), local.Port())
	}
	if err := syscall.Bind(fd, socketAddress(local)); err != nil {
		_ = syscall.Close(fd) // the error of bind is returned
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	p := &PacketConn{loop: l, fd: fd, places: make(chan struct{}, maxPackets), ended: make(chan struct{})}
	l.packets = p
	go p.receive(onPacket)
	return p, nil
}

// receive passes datagrams to the loop until the socket or the loop ends.
func (p *PacketConn) receive(onPacket func(from net.Addr, b []byte)) {
	defer close(p.ended)
	buffer := make([]byte, maxPacketSize)
	for {
		n, from, err := syscall.Recvfrom(p.fd, buffer, 0)
		sender, isIPv4 := from.(*syscall.SockaddrInet4)
		switch {
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNREFUSED): // the latter of an earlier datagram
			continue
		case err != nil:
			p.loop.log.Error().Err(err).Msg("eventloop: read of datagrams failed, no more are received")
			return
		case !isIPv4: // the socket was shut down
			return
		}
		select {
		case p.places <- struct{}{}:
		case <-p.loop.done:
			return
		}
		data := append([]byte(nil), buffer[:n]...)
		addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sender.Addr), uint16(sender.Port)))
		p.loop.Post(func() {
			<-p.places
			onPacket(addr, data)
		})
	}
}

// address returns the local address.
func (p *PacketConn) address() (string, error) {
	name, err := syscall.Getsockname(p.fd)
	if err != nil {
		return "", err
	}
	local, isIPv4 := name.(*syscall.SockaddrInet4)
	if !isIPv4 {
		return "", errNotIPv4
	}
	return netip.AddrPortFrom(netip.AddrFrom4(local.Addr), uint16(local.Port)).String(), nil
}

// close ends receive and closes the socket. It must be called after the loop has ended, when nothing is sent any more.
func (p *PacketConn) close() {
	_ = syscall.Shutdown(p.fd, syscall.SHUT_RDWR) // reports an unconnected socket, and wakes the read all the same
	<-p.ended
	_ = syscall.Close(p.fd) // a UDP socket has no data to lose
}

// Send sends one datagram from the socket's own address. Like any datagram, it may be lost.
func (p *PacketConn) Send(to netip.AddrPort, b []byte) error {
	return syscall.Sendto(p.fd, b, syscall.MSG_DONTWAIT, socketAddress(to))
}
