// Package peer carries short messages between the gateways of a fleet as UDP datagrams. They may arrive late, out of
// order or never.
package peer

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// MaxMessage is the length in bytes of the longest message that is sent or accepted.
const MaxMessage = 256

// warningPeriod is the time in which at most one dropped datagram is logged.
const warningPeriod = 10 * time.Second

// Peers is the socket with the addresses of the other gateways. It belongs to the goroutine of the event loop.
type Peers struct {
	socket     *eventloop.PacketConn // nil if the configuration names no address to listen on
	addresses  []netip.AddrPort      // by number
	all        netip.AddrPort
	log        zerolog.Logger
	sampledLog zerolog.Logger

	droppedDatagrams int // from unknown addresses, or too long
}

// Config names the addresses.
type Config struct {
	Listen string           // empty: nothing is received or sent
	Peers  []netip.AddrPort // the other gateways, by number
	All    netip.AddrPort   // an address whose messages reach all of them
}

// Open listens, unless the configuration names no address; onMessage is called for each message with the number of its
// sender.
func Open(loop *eventloop.Loop, c Config, onMessage func(peer int, data []byte), log zerolog.Logger) (*Peers, error) {
	p := &Peers{
		addresses: c.Peers, all: c.All, log: log,
		sampledLog: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: warningPeriod}),
	}
	if c.Listen == "" {
		return p, nil
	}
	numbers := map[netip.AddrPort]int{}
	for number, address := range c.Peers {
		numbers[address] = number
	}
	socket, err := loop.ListenPacket(c.Listen, func(from net.Addr, data []byte) {
		number, known := senderNumber(numbers, from)
		if !known || len(data) > MaxMessage {
			p.logDropped(from, len(data))
			return
		}
		onMessage(number, data)
	})
	if err != nil {
		return nil, fmt.Errorf("peer_listen %s: %w", c.Listen, err)
	}
	p.socket = socket
	return p, nil
}

// senderNumber returns the number of the gateway that a datagram came from.
func senderNumber(numbers map[netip.AddrPort]int, from net.Addr) (number int, known bool) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return 0, false
	}
	address := udp.AddrPort()
	number, known = numbers[netip.AddrPortFrom(address.Addr().Unmap(), address.Port())]
	return number, known
}

func (p *Peers) logDropped(from net.Addr, length int) {
	p.droppedDatagrams++
	p.sampledLog.Warn().Stringer("from", from).Int("bytes", length).Int("dropped", p.droppedDatagrams).
		Msg("peer: datagram dropped, unknown sender or too long")
}

// Send sends a message to the gateway of that number, or to all if it is -1. What is too long, or has no address to go to,
// is dropped.
func (p *Peers) Send(number int, data []byte) {
	to := p.address(number)
	if p.socket == nil || !to.IsValid() || len(data) > MaxMessage {
		p.log.Warn().Int("peer", number).Int("bytes", len(data)).Msg("peer: message dropped, no address or too long")
		return
	}
	if err := p.socket.Send(to, data); err != nil {
		p.log.Debug().Err(err).Int("peer", number).Msg("peer: send failed")
	}
}

// address returns where messages to a number go; invalid if that is unknown.
func (p *Peers) address(number int) netip.AddrPort {
	switch {
	case number < 0:
		return p.all
	case number < len(p.addresses):
		return p.addresses[number]
	default:
		return netip.AddrPort{}
	}
}
