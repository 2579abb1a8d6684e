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
	maxDatagram  = 2048    // bytes
	readBuffer   = 1 << 20 // bytes
	broadcast    = -1      // receiver number that stands for all gateways
	loseOneOf    = 5       // on a lossy link, one datagram in five is lost
	doubleOneOf  = 20      // and one in twenty of the others is duplicated
	relayRandoms = 5       // random stream of the relay, which separates it from other users of the same seed
)

// datagramRelay forwards the gossip datagrams between gateways. Each gateway's configuration names sockets of the relay
// instead of the addresses of the other gateways. The relay can therefore delay, drop or duplicate the datagrams from and
// to each gateway separately.
type datagramRelay struct {
	all     *net.UDPConn           // receives the datagrams that are sent to all gateways
	sockets []*net.UDPConn         // by gateway: receives the datagrams sent to it, and forwards those that it sends
	to      []netip.AddrPort       // by gateway: the address at which it listens
	numbers map[netip.AddrPort]int // gateway numbers by the address at which the gateway listens
	spoil   func(datagram []byte)  // modifies each datagram in place; nil: datagrams are not modified
	wait    sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	links     []link // by gateway
	delivered int
	bytes     int
	lost      int
}

// link holds the faults of the datagrams from and to one gateway.
type link struct {
	cutFrom, cutTo bool          // datagrams from it, or to it, are dropped
	lossy          bool          // of the datagrams to it, some are dropped and some duplicated
	delay          time.Duration // of the datagrams to it
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
	_ = socket.SetReadBuffer(readBuffer) // best effort: the kernel may grant a smaller buffer, which is sufficient
	return socket, nil
}

// addresses returns the relay's address for each gateway, which the gateways' configurations name as peers.
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
			_ = socket.Close() // an error does not matter at the end of the run
		}
	}
	r.wait.Wait()
}

// carry receives datagrams at one socket until it is closed, and forwards them to gateway to, or to all other gateways.
// It ignores datagrams from unknown senders.
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

// pass forwards one datagram, subject to the faults of its sender and receiver.
func (r *datagramRelay) pass(from, to int, datagram []byte) {
	copies, delay := r.fate(from, to, len(datagram))
	send := func() {
		_, _ = r.sockets[from].WriteToUDPAddrPort(datagram, r.to[to]) // UDP gives no guarantee of delivery
	}
	for range copies {
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// fate applies the faults of the sender and the receiver to one datagram, and counts it. It returns how many copies to
// forward (0: it is dropped) and after which delay. A delay is lengthened by a random amount of up to a quarter.
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
