// Package peer carries short messages between the gateways of a tier as UDP datagrams. They may come late or
// never.
package peer

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// MaxMessage is the longest datagram that may be sent.
const MaxMessage = 256

// Peers is the socket with the addresses of the other gateways.
type Peers struct {
	socket *eventloop.PacketConn
	addrs  []netip.AddrPort
	all    netip.AddrPort
	log    zerolog.Logger
	rare   zerolog.Logger // one line in ten seconds

	strangers int // datagrams from nobody in the tier, and those too long
}

// Config names the addresses; peers are ordered by their numbers.
type Config struct {
	Listen string
	Peers  []netip.AddrPort
	All    netip.AddrPort
}

// Open listens, unless the configuration names no address; heard is told each message with its sender's number.
func Open(l *eventloop.Loop, c Config, heard func(peer int, data []byte), log zerolog.Logger) (*Peers, error) {
	p := &Peers{addrs: c.Peers, all: c.All, log: log, rare: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: 10 * time.Second})}
	if c.Listen == "" {
		return p, nil
	}
	numbers := map[netip.AddrPort]int{}
	for i, a := range c.Peers {
		numbers[a] = i
	}
	socket, err := l.ListenPacket(c.Listen, func(from net.Addr, data []byte) {
		addr, ok := from.(*net.UDPAddr)
		if ok && len(data) <= MaxMessage {
			ap := addr.AddrPort()
			if i, known := numbers[netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())]; known {
				heard(i, data)
				return
			}
		}
		p.strangers++
		p.rare.Warn().Stringer("from", from).Int("bytes", len(data)).Int("dropped", p.strangers).Msg("datagram that is no message of the tier")
	})
	if err != nil {
		return nil, fmt.Errorf("peer_listen %s: %w", c.Listen, err)
	}
	p.socket = socket
	return p, nil
}

// Send sends to one gateway, or with -1 to all. What is too long, or has nobody to go to, is dropped.
func (p *Peers) Send(number int, data []byte) {
	to := p.all
	if number >= 0 && number < len(p.addrs) {
		to = p.addrs[number]
	} else if number >= 0 {
		to = netip.AddrPort{}
	}
	if p.socket == nil || !to.IsValid() || len(data) > MaxMessage {
		p.log.Warn().Int("peer", number).Int("bytes", len(data)).Msg("message to a gateway dropped")
		return
	}
	if err := p.socket.Send(to, data); err != nil {
		p.log.Debug().Err(err).Int("peer", number).Msg("message to a gateway not sent")
	}
}
