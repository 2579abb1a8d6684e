package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// maxPackets is the number of datagrams that are handled in one turn before connections are served.
const maxPackets = 3

// PacketConn is a UDP socket. The loop reads it in turns of at most maxPackets datagrams. Further ones wait in the
// socket, and the system drops those for which it has no room.
type PacketConn struct {
	loop     *Loop
	nb       *nbio.Conn
	onPacket func(from net.Addr, b []byte)
	queued   atomic.Bool // a turn is queued
}

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
	nb, err := nbio.NBConn(udp)
	if err != nil {
		_ = udp.Close() // the error of the engine is returned
		return nil, err
	}
	p := &PacketConn{loop: l, nb: nb, onPacket: onPacket}
	l.mu.Lock() // see syncWithEngine
	l.packets = p
	l.mu.Unlock()
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, err
	}
	return p, nil
}

// arrived queues a turn, unless one is queued already. It may be called on any goroutine.
func (p *PacketConn) arrived() {
	if p.queued.CompareAndSwap(false, true) {
		p.loop.Post(p.takeTurn)
	}
}

// takeTurn handles the next datagrams.
func (p *PacketConn) takeTurn() {
	p.queued.Store(false) // before the reads: a datagram that arrives after the last of them queues another turn
	for range maxPackets {
		buffer := p.loop.turnBuffer
		from, n, err := p.nb.ReadAndGetConn(&buffer)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n <= 0 {
			continue // an empty datagram, or an error that the system reports once
		}
		if addr, isUDP := from.RemoteAddr().(*net.UDPAddr); isUDP {
			p.onPacket(addr, append([]byte(nil), buffer[:n]...))
		}
	}
	p.arrived()
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
