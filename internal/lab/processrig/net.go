package processrig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// exchange carries the datagrams between gateways. Each gateway is known to the others by a socket here, and sends to
// theirs; so each way of each pair can be delayed, cut or made to lose by itself.
type exchange struct {
	all     *net.UDPConn
	socks   []*net.UDPConn // by gateway: what is sent to it comes here, and goes on to it from the sender's
	to      []netip.AddrPort
	numbers map[netip.AddrPort]int
	spoil   func(b []byte)
	wg      sync.WaitGroup

	mu        sync.Mutex
	rand      *rand.Rand
	links     []link // by gateway
	delivered int
	bytes     int
	lost      int
}

// link is what happens to a gateway's datagrams.
type link struct {
	deaf, dumb, lossy bool
	delay             time.Duration
}

// newExchange is given where the gateways listen. spoil, if given, changes each datagram on its way.
func newExchange(listen []string, seed uint64, spoil func([]byte)) (*exchange, error) {
	x := &exchange{numbers: map[netip.AddrPort]int{}, spoil: spoil, rand: rand.New(rand.NewPCG(seed, 5)), links: make([]link, len(listen))}
	open := func() (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			x.close()
			return nil, fmt.Errorf("exchange: %w", err)
		}
		_ = c.SetReadBuffer(1 << 20)
		return c, nil
	}
	for i, l := range listen {
		at, err := netip.ParseAddrPort(l)
		if err != nil {
			return nil, err
		}
		c, err := open()
		if err != nil {
			return nil, err
		}
		x.socks, x.to, x.numbers[at] = append(x.socks, c), append(x.to, at), i
	}
	var err error
	if x.all, err = open(); err != nil {
		return nil, err
	}
	for i, c := range x.socks {
		x.wg.Go(func() { x.carry(c, i) })
	}
	x.wg.Go(func() { x.carry(x.all, -1) })
	return x, nil
}

func (x *exchange) close() {
	for _, c := range append(x.socks, x.all) {
		if c != nil {
			_ = c.Close() // the connection is over either way
		}
	}
	x.wg.Wait()
}

func (x *exchange) carry(c *net.UDPConn, to int) {
	buf := make([]byte, 2048)
	for {
		n, addr, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from, known := x.numbers[addr]
		if !known {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		if x.spoil != nil {
			x.spoil(b)
		}
		if to >= 0 {
			x.pass(from, to, b)
			continue
		}
		for o := range x.socks {
			if o != from {
				x.pass(from, o, b)
			}
		}
	}
}

// pass sends one datagram on, as the links have it.
func (x *exchange) pass(from, to int, b []byte) {
	x.mu.Lock()
	l, times := x.links[to], 1
	if x.links[from].dumb || l.deaf || l.lossy && x.rand.IntN(5) == 0 {
		times = 0
		x.lost++
	} else if l.lossy && x.rand.IntN(20) == 0 {
		times = 2
	}
	x.delivered += times
	x.bytes += times * len(b)
	delay := l.delay
	if delay > 0 {
		delay += time.Duration(x.rand.Int64N(int64(delay / 4)))
	}
	x.mu.Unlock()
	for range times {
		if delay == 0 {
			_, _ = x.socks[from].WriteToUDPAddrPort(b, x.to[to])
			continue
		}
		time.AfterFunc(delay, func() { _, _ = x.socks[from].WriteToUDPAddrPort(b, x.to[to]) })
	}
}

func (x *exchange) set(gateway int, change func(*link)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change(&x.links[gateway])
}

func (x *exchange) counts() (delivered, bytes, lost int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.delivered, x.bytes, x.lost
}
