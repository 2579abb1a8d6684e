// Package peer sends short messages between the gateways of a fleet as UDP datagrams. Datagrams may arrive late, out of
// order or not at all.
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

// warningPeriod is the period in which at most one dropped datagram is logged.
const warningPeriod = 10 * time.Second

// Peers holds the socket and the addresses of the other gateways. Its methods must be called on the goroutine of the
// event loop.
type Peers struct {
	socket     *eventloop.PacketConn // nil if the configuration has no address to listen on
	addresses  []netip.AddrPort      // by gateway number
	all        netip.AddrPort
	log        zerolog.Logger
	sampledLog zerolog.Logger

	droppedDatagrams int // datagrams that came from unknown addresses or were too long
}

// Config holds the addresses.
type Config struct {
	Listen string           // if empty, nothing is received or sent
	Peers  []netip.AddrPort // the other gateways, by gateway number
	All    netip.AddrPort   // address that reaches all of them
}

// Open listens on the configured address, if there is one. It calls onMessage for each message with the number of the
// gateway that sent it.
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

// senderNumber returns the number of the gateway that sent a datagram.
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

// Send sends a message to the gateway with the given number, or to all gateways if the number is -1. A message that is
// too long or has no known address is dropped.
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

// address returns the address for messages to a gateway number; it is invalid if the number is unknown.
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
