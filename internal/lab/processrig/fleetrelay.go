package processrig

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

const maxFleetDatagram = 64 << 10

// fleetRelay forwards the messages by which gateways decide together. Each gateway sends all of them to an address of its
// own at the relay. The receiver's address precedes the contents: in a datagram as a length byte and the address, on a
// stream as a line. Messages are forwarded unless the two gateways are cut off from each other.
type fleetRelay struct {
	numbers   map[string]int // by the address at which a gateway listens
	cut       func(from, to int) bool
	lossy     bool // one datagram in loseOneOf is lost
	bytes     atomic.Int64
	sockets   []*net.UDPConn
	listeners []net.Listener
	wait      sync.WaitGroup

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// newFleetRelay returns a relay for the gateways that listen at the given addresses.
func newFleetRelay(listen []string, lossy bool, cut func(from, to int) bool) (*fleetRelay, error) {
	r := &fleetRelay{numbers: map[string]int{}, cut: cut, lossy: lossy, open: map[net.Conn]struct{}{}}
	for i, address := range listen {
		r.numbers[address] = i
	}
	for i := range listen {
		if err := r.listen(i); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// listen opens a gateway's address, for datagrams and streams alike.
func (r *fleetRelay) listen(from int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, listener)
	port := listener.Addr().(*net.TCPAddr).Port
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return err
	}
	r.sockets = append(r.sockets, socket)
	r.wait.Go(func() { r.carryDatagrams(from, socket) })
	r.wait.Go(func() { r.acceptStreams(from, listener) })
	return nil
}

// address returns the address to which a gateway sends.
func (r *fleetRelay) address(gateway int) string { return r.listeners[gateway].Addr().String() }

func (r *fleetRelay) carryDatagrams(from int, socket *net.UDPConn) {
	buffer := make([]byte, maxFleetDatagram)
	for {
		n, _, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if n == 0 || n < 1+int(buffer[0]) {
			continue
		}
		body := 1 + int(buffer[0])
		receiver := string(buffer[1:body])
		address, err := net.ResolveUDPAddr("udp4", receiver)
		if err != nil || !r.connected(from, receiver) || r.lossy && rand.IntN(loseOneOf) == 0 {
			continue
		}
		r.bytes.Add(int64(n))
		_, _ = socket.WriteToUDP(buffer[body:n], address) // a datagram may be lost
	}
}

// connected reports whether the gateway at an address can be reached from another.
func (r *fleetRelay) connected(from int, address string) bool {
	to, known := r.numbers[address]
	return known && !r.cut(from, to)
}

func (r *fleetRelay) acceptStreams(from int, listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		r.wait.Go(func() { r.carryStream(from, accepted) })
	}
}

func (r *fleetRelay) carryStream(from int, accepted net.Conn) {
	defer r.track(accepted)()
	reader := bufio.NewReader(accepted)
	line, err := reader.ReadString('\n')
	receiver := strings.TrimSpace(line)
	if err != nil || !r.connected(from, receiver) {
		return
	}
	dialed, err := net.Dial("tcp4", receiver)
	if err != nil {
		return
	}
	defer r.track(dialed)()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		n, _ := io.Copy(dialed, reader) // either side may end the stream
		r.bytes.Add(n)
		_ = dialed.(*net.TCPConn).CloseWrite() // as above
	}()
	n, _ := io.Copy(accepted, dialed) // as above
	r.bytes.Add(n)
	_ = accepted.Close() // ends the copy above
	<-sent
}

// track has the connection closed at the end of the run, and returns a function that closes it now.
func (r *fleetRelay) track(connection net.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[connection] = struct{}{}
	return func() {
		_ = connection.Close() // the stream is over
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, connection)
	}
}

func (r *fleetRelay) close() {
	for _, socket := range r.sockets {
		_ = socket.Close() // the run is over
	}
	for _, listener := range r.listeners {
		_ = listener.Close() // the run is over
	}
	r.mu.Lock()
	for connection := range r.open {
		_ = connection.Close() // the run is over
	}
	r.mu.Unlock()
	r.wait.Wait()
}
