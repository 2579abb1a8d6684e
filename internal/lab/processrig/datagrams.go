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
	maxDatagramSize   = 2048    // bytes
	readBufferSize    = 1 << 20 // bytes
	toAllGateways     = -1      // receiver number that stands for all gateways
	dropOneIn         = 5       // with datagramFaults.lossy, one datagram in five is dropped
	duplicateOneIn    = 20      // and one in twenty of the others is duplicated
	relayRandomStream = 5       // random stream of the relay, which separates it from other users of the same seed
)

// datagramRelay forwards the gossip datagrams between gateways. Each gateway's configuration names sockets of the relay
// instead of the addresses of the other gateways. The relay can therefore delay, drop or duplicate the datagrams from
// and to each gateway separately.
type datagramRelay struct {
	broadcastSocket  *net.UDPConn           // receives the datagrams that are sent to all gateways
	sockets          []*net.UDPConn         // by gateway: receives the datagrams to it, and forwards those from it
	gatewayAddresses []netip.AddrPort       // by gateway: the address at which it listens
	gatewayNumbers   map[netip.AddrPort]int // gateway numbers by the address at which the gateway listens
	modify           func(datagram []byte)  // modifies each datagram in place; nil: datagrams are not modified
	wait             sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	faults    []datagramFaults // by gateway
	delivered int
	bytes     int
	dropped   int
}

// datagramFaults holds the faults of the datagrams from and to one gateway.
type datagramFaults struct {
	cutFrom, cutTo bool          // datagrams from it, or to it, are dropped
	lossy          bool          // of the datagrams to it, some are dropped and some duplicated
	delay          time.Duration // of the datagrams to it
}

// newDatagramRelay returns a relay for the gateways that listen at the given addresses.
func newDatagramRelay(listen []string, seed uint64, modify func([]byte)) (*datagramRelay, error) {
	r := &datagramRelay{
		gatewayNumbers: map[netip.AddrPort]int{}, modify: modify, faults: make([]datagramFaults, len(listen)),
		random: rand.New(rand.NewPCG(seed, relayRandomStream)),
	}
	if err := r.open(listen); err != nil {
		r.close()
		return nil, fmt.Errorf("datagram relay: %w", err)
	}
	for i, socket := range r.sockets {
		r.wait.Go(func() { r.receive(socket, i) })
	}
	r.wait.Go(func() { r.receive(r.broadcastSocket, toAllGateways) })
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
		r.gatewayAddresses = append(r.gatewayAddresses, address)
		r.gatewayNumbers[address] = i
	}
	var err error
	r.broadcastSocket, err = openSocket()
	return err
}

func openSocket() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(readBufferSize) // best effort: the kernel may grant a smaller buffer, which is sufficient
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

func (r *datagramRelay) broadcastAddress() string { return r.broadcastSocket.LocalAddr().String() }

func (r *datagramRelay) close() {
	for _, socket := range append(r.sockets, r.broadcastSocket) {
		if socket != nil {
			_ = socket.Close() // an error does not matter at the end of the run
		}
	}
	r.wait.Wait()
}

// receive reads datagrams from one socket until it is closed, and forwards them to gateway to, or to all other
// gateways. It ignores datagrams from unknown senders.
func (r *datagramRelay) receive(socket *net.UDPConn, to int) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from, known := r.gatewayNumbers[sender]
		if !known {
			continue
		}
		datagram := bytes.Clone(buffer[:n])
		if r.modify != nil {
			r.modify(datagram)
		}
		if to != toAllGateways {
			r.forward(from, to, datagram)
			continue
		}
		for receiver := range r.sockets {
			if receiver != from {
				r.forward(from, receiver, datagram)
			}
		}
	}
}

// forward forwards one datagram, subject to the faults of its sender and receiver.
func (r *datagramRelay) forward(from, to int, datagram []byte) {
	copies, delay := r.applyFaults(from, to, len(datagram))
	send := func() {
		_, _ = r.sockets[from].WriteToUDPAddrPort(datagram, r.gatewayAddresses[to]) // UDP gives no guarantee of delivery
	}
	for range copies {
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// applyFaults applies the faults of the sender and the receiver to one datagram, and counts it. It returns how many
// copies to forward (0: it is dropped) and after which delay. A delay is lengthened by a random amount of up to a
// quarter.
func (r *datagramRelay) applyFaults(from, to, size int) (copies int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	receiver := r.faults[to]
	copies = 1
	if r.faults[from].cutFrom || receiver.cutTo || receiver.lossy && r.random.IntN(dropOneIn) == 0 {
		copies = 0
		r.dropped++
	} else if receiver.lossy && r.random.IntN(duplicateOneIn) == 0 {
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

func (r *datagramRelay) setFaults(gateway int, faults datagramFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[gateway] = faults
}

func (r *datagramRelay) counts() (delivered, bytes, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered, r.bytes, r.dropped
}
