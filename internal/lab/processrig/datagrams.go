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
	broadcast    = -1 // stands for all gateways as the receiver
	loseOneOf    = 5  // on a lossy link, one datagram in five is lost
	doubleOneOf  = 20 // and one in twenty of the others is duplicated
	relayRandoms = 5  // stream of the relay's random numbers, apart from others of the same seed
)

// datagramRelay forwards the datagrams between gateways. The others' configuration names a socket of the relay in place of
// each gateway's own address, so each direction of each pair can be delayed, cut or made lossy separately.
type datagramRelay struct {
	all     *net.UDPConn           // receives what is sent to all
	sockets []*net.UDPConn         // by gateway: receive what is sent to it, and forward what it sends
	to      []netip.AddrPort       // by gateway: the address at which it listens
	numbers map[netip.AddrPort]int // gateways by the address at which they listen
	spoil   func(datagram []byte)  // changes each datagram; nil: none is changed
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

// newDatagramRelay returns a relay for the gateways that listen at the given addresses.
func newDatagramRelay(listen []string, seed uint64, spoil func([]byte)) (*datagramRelay, error) {
	r := &datagramRelay{
		numbers: map[netip.AddrPort]int{}, spoil: spoil, links: make([]link, len(listen)),
		random: rand.New(rand.NewPCG(seed, relayRandoms)),
	}
	if err := r.open(listen); err != nil {
		r.close()
		return nil, fmt.Errorf("datagram relay: %w", err)
	}
	for i, socket := range r.sockets {
		r.wait.Go(func() { r.carry(socket, i) })
	}
	r.wait.Go(func() { r.carry(r.all, broadcast) })
	return r, nil
}

func (r *datagramRelay) open(listen []string) error {
	for i, text := range listen {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		socket, err := openSocket()
		if err != nil {
			return err
		}
		r.sockets = append(r.sockets, socket)
		r.to = append(r.to, address)
		r.numbers[address] = i
	}
	var err error
	r.all, err = openSocket()
	return err
}

func openSocket() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(readBuffer) // a smaller one is sufficient
	return socket, nil
}

// addresses returns the addresses that the gateways' configurations name as peers.
func (r *datagramRelay) addresses() []string {
	var addresses []string
	for _, socket := range r.sockets {
		addresses = append(addresses, socket.LocalAddr().String())
	}
	return addresses
}

func (r *datagramRelay) broadcastAddress() string { return r.all.LocalAddr().String() }

func (r *datagramRelay) close() {
	for _, socket := range append(r.sockets, r.all) {
		if socket != nil {
			_ = socket.Close() // the run is over
		}
	}
	r.wait.Wait()
}

// carry forwards the datagrams that arrive at one socket to a gateway, or to all.
func (r *datagramRelay) carry(socket *net.UDPConn, to int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from, known := r.numbers[sender]
		if !known {
			continue
		}
		datagram := bytes.Clone(buffer[:n])
		if r.spoil != nil {
			r.spoil(datagram)
		}
		if to != broadcast {
			r.pass(from, to, datagram)
			continue
		}
		for receiver := range r.sockets {
			if receiver != from {
				r.pass(from, receiver, datagram)
			}
		}
	}
}

// pass forwards one datagram, subject to the faults of the links.
func (r *datagramRelay) pass(from, to int, datagram []byte) {
	copies, delay := r.fate(from, to, len(datagram))
	send := func() {
		_, _ = r.sockets[from].WriteToUDPAddrPort(datagram, r.to[to]) // a datagram may be lost
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
func (r *datagramRelay) fate(from, to, size int) (copies int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	receiver := r.links[to]
	copies = 1
	if r.links[from].cutFrom || receiver.cutTo || receiver.lossy && r.random.IntN(loseOneOf) == 0 {
		copies = 0
		r.lost++
	} else if receiver.lossy && r.random.IntN(doubleOneOf) == 0 {
		copies = 2
	}
	r.delivered += copies
	r.bytes += copies * size
	delay = receiver.delay
	if delay > 0 {
		delay += time.Duration(r.random.Int64N(int64(delay / 4)))
	}
	return copies, delay
}

func (r *datagramRelay) setLink(gateway int, l link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[gateway] = l
}

func (r *datagramRelay) counts() (delivered, bytes, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered, r.bytes, r.lost
}
