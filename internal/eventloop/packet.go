package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/lesismal/nbio"
)

// PacketConn is a UDP socket.
type PacketConn struct{ nb *nbio.Conn }

// ListenPacket opens a UDP socket; onPacket is called for each datagram. A loop has at most one such socket.
func (l *Loop) ListenPacket(address string, onPacket func(from net.Addr, b []byte)) (*PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	l.onPacket = onPacket
	nb, err := l.engine.AddConn(udp)
	if err != nil {
		return nil, err
	}
	return &PacketConn{nb}, nil
}

// Send sends one datagram from the socket's own address. Like any datagram, it may be lost.
func (p *PacketConn) Send(to netip.AddrPort, b []byte) error {
	raw, err := p.nb.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		sendErr = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, socketAddress(to))
	})
	return errors.Join(err, sendErr)
}
