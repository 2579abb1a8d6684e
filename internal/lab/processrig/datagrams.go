package processrig

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram  = 2048
	readBuffer   = 1 << 20
	broadcast    = -1 // the receiver of what goes to all gateways
	loseOneOf    = 5  // on a lossy link
	doubleOneOf  = 20 // of the others
	relayRandoms = 5  // separates the relay's random numbers from others of the same seed
)

// datagramRelay carries the datagrams between gateways. Each gateway is known to the others by a socket of the relay, and
// sends to theirs. So each direction of each pair can be delayed, cut or made lossy by itself.
type datagramRelay struct {
	all     *net.UDPConn   // receives what is sent to all
	sockets []*net.UDPConn // by gateway: receive what is sent to it, and send on what comes from it
	to      []netip.AddrPort
	numbers map[netip.AddrPort]int
	spoil   func(datagram []byte) // nil: datagrams stay as they are
	wait    sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	links     []link // by gateway
	delivered int
	bytes     int
	lost      int
}

// link is what happens to the datagrams of a gateway.
type link struct {
	cutFrom, cutTo bool
	lossy          bool
	delay          time.Duration // of what goes to it
}

// newDatagramRelay takes the addresses at which the gateways listen.
func newDatagramRelay(listen []string, seed uint64, spoil func([]byte)) (*datagramRelay, error) {
	x := &datagramRelay{
		numbers: map[netip.AddrPort]int{}, spoil: spoil, links: make([]link, len(listen)),
		random: rand.New(rand.NewPCG(seed, relayRandoms)),
	}
	if err := x.open(listen); err != nil {
		x.close()
		return nil, fmt.Errorf("datagram relay: %w", err)
	}
	for i, socket := range x.sockets {
		x.wait.Go(func() { x.carry(socket, i) })
	}
	x.wait.Go(func() { x.carry(x.all, broadcast) })
	return x, nil
}

func (x *datagramRelay) open(listen []string) error {
	for i, text := range listen {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		socket, err := openSocket()
		if err != nil {
			return err
		}
		x.sockets = append(x.sockets, socket)
		x.to = append(x.to, address)
		x.numbers[address] = i
	}
	var err error
	x.all, err = openSocket()
	return err
}

func openSocket() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(readBuffer) // a smaller one serves, too
	return socket, nil
}

// addresses are those under which the gateways know one another.
func (x *datagramRelay) addresses() []string {
	var addresses []string
	for _, socket := range x.sockets {
		addresses = append(addresses, socket.LocalAddr().String())
	}
	return addresses
}

func (x *datagramRelay) broadcastAddress() string { return x.all.LocalAddr().String() }

func (x *datagramRelay) close() {
	for _, socket := range append(x.sockets, x.all) {
		if socket != nil {
			_ = socket.Close() // the run is over
		}
	}
	x.wait.Wait()
}

// carry takes the datagrams of one socket on to a gateway, or to all.
func (x *datagramRelay) carry(socket *net.UDPConn, to int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from, known := x.numbers[sender]
		if !known {
			continue
		}
		datagram := bytes.Clone(buffer[:n])
		if x.spoil != nil {
			x.spoil(datagram)
		}
		if to != broadcast {
			x.pass(from, to, datagram)
			continue
		}
		for receiver := range x.sockets {
			if receiver != from {
				x.pass(from, receiver, datagram)
			}
		}
	}
}

// pass sends one datagram on, as the links have it.
func (x *datagramRelay) pass(from, to int, datagram []byte) {
	copies, delay := x.fate(from, to, len(datagram))
	send := func() {
		_, _ = x.sockets[from].WriteToUDPAddrPort(datagram, x.to[to]) // a datagram may be lost
	}
	for range copies {
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// fate decides how many copies of a datagram arrive, and how late.
func (x *datagramRelay) fate(from, to, size int) (copies int, delay time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	receiver := x.links[to]
	copies = 1
	if x.links[from].cutFrom || receiver.cutTo || receiver.lossy && x.random.IntN(loseOneOf) == 0 {
		copies = 0
		x.lost++
	} else if receiver.lossy && x.random.IntN(doubleOneOf) == 0 {
		copies = 2
	}
	x.delivered += copies
	x.bytes += copies * size
	delay = receiver.delay
	if delay > 0 {
		delay += time.Duration(x.random.Int64N(int64(delay / 4)))
	}
	return copies, delay
}

func (x *datagramRelay) setLink(gateway int, l link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links[gateway] = l
}

func (x *datagramRelay) counts() (delivered, bytes, lost int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.delivered, x.bytes, x.lost
}
