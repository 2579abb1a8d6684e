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

const maxFleetDatagramSize = 64 << 10 // bytes

// fleetRelay forwards the messages by which gateways take joint decisions. Each gateway sends all its messages to its
// own address at the relay. The receiver's address precedes the contents: in a datagram as a length byte and the
// address, on a TCP stream as a line. The relay does not forward messages between gateways that are cut off from each
// other.
type fleetRelay struct {
	gatewayNumbers map[string]int // gateway numbers by the address at which the gateway listens
	isCut          func(from, to int) bool
	lossy          bool // one datagram in dropOneIn is dropped
	bytes          atomic.Int64
	sockets        []*net.UDPConn
	listeners      []net.Listener
	wait           sync.WaitGroup

	mu              sync.Mutex
	openConnections map[net.Conn]struct{}
}

// newFleetRelay returns a relay for the gateways that listen at the given addresses.
func newFleetRelay(listen []string, lossy bool, isCut func(from, to int) bool) (*fleetRelay, error) {
	r := &fleetRelay{gatewayNumbers: map[string]int{}, isCut: isCut, lossy: lossy, openConnections: map[net.Conn]struct{}{}}
	for i, address := range listen {
		r.gatewayNumbers[address] = i
	}
	for i := range listen {
		if err := r.listen(i); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// listen opens the relay's address for one gateway: the same port for datagrams and for TCP streams.
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
	r.wait.Go(func() { r.forwardDatagrams(from, socket) })
	r.wait.Go(func() { r.acceptStreams(from, listener) })
	return nil
}

// address returns the relay's address to which a gateway sends its messages.
func (r *fleetRelay) address(gateway int) string { return r.listeners[gateway].Addr().String() }

func (r *fleetRelay) forwardDatagrams(from int, socket *net.UDPConn) {
	buffer := make([]byte, maxFleetDatagramSize)
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
		if err != nil || !r.isReachable(from, receiver) || r.lossy && rand.IntN(dropOneIn) == 0 {
			continue
		}
		r.bytes.Add(int64(n))
		_, _ = socket.WriteToUDP(buffer[body:n], address) // UDP gives no guarantee of delivery
	}
}

// isReachable reports whether messages of gateway from are forwarded to the gateway that listens at the address.
func (r *fleetRelay) isReachable(from int, address string) bool {
	to, known := r.gatewayNumbers[address]
	return known && !r.isCut(from, to)
}

func (r *fleetRelay) acceptStreams(from int, listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		r.wait.Go(func() { r.forwardStream(from, accepted) })
	}
}

func (r *fleetRelay) forwardStream(from int, accepted net.Conn) {
	defer r.track(accepted)()
	reader := bufio.NewReader(accepted)
	line, err := reader.ReadString('\n')
	receiver := strings.TrimSpace(line)
	if err != nil || !r.isReachable(from, receiver) {
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
		n, _ := io.Copy(dialed, reader) // an error ends the stream, as the end of the input does
		r.bytes.Add(n)
		_ = dialed.(*net.TCPConn).CloseWrite() // fails only if the stream has already ended
	}()
	n, _ := io.Copy(accepted, dialed) // an error ends the stream, as the end of the input does
	r.bytes.Add(n)
	_ = accepted.Close() // ends the copy in the goroutine
	<-sent
}

// track registers a connection to be closed at the end of the run. The returned function closes it earlier.
func (r *fleetRelay) track(connection net.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openConnections[connection] = struct{}{}
	return func() {
		_ = connection.Close() // an error does not matter at the end of the stream
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.openConnections, connection)
	}
}

func (r *fleetRelay) close() {
	for _, socket := range r.sockets {
		_ = socket.Close() // an error does not matter at the end of the run
	}
	for _, listener := range r.listeners {
		_ = listener.Close() // as above
	}
	r.mu.Lock()
	for connection := range r.openConnections {
		_ = connection.Close() // as above
	}
	r.mu.Unlock()
	r.wait.Wait()
}
