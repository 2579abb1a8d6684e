// Package relay forwards TCP connections between two processes and can interrupt them: bytes stop without a notice to
// either end, as when a cable is pulled, or both ends are reset.
package relay

import (
	"net"
	"sync"

	"cloverrock/internal/lab/loopback"
)

// Relay listens on a loopback address and forwards connections to another address. Its methods may be called from any
// goroutine.
type Relay struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup // for the goroutines

	mu          sync.Mutex
	changed     *sync.Cond // signaled when cut or ended changes
	cut         bool
	ended       bool
	connections map[net.Conn]struct{} // both ends of each forwarded connection
}

// New returns a relay to an address.
func New(target string) (*Relay, error) {
	free, err := loopback.Reserve(1)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", free[0])
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, connections: map[net.Conn]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	r.wait.Go(r.accept)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut stops all bytes until Mend. New connections are accepted, but no bytes arrive on them.
func (r *Relay) Cut() { r.setCut(true) }

// Mend ends a cut: the bytes that were held back are forwarded.
func (r *Relay) Mend() { r.setCut(false) }

func (r *Relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Reset closes the open connections by a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		closeConnection(connection)
	}
}

func closeConnection(connection net.Conn) {
	_ = connection.Close() // the connection is over either way
}

// Close resets the connections, ends the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.changed.Broadcast()
	_ = r.listener.Close() // the listener is over either way
	r.Reset()
	r.wait.Wait()
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		dialed, err := net.Dial("tcp", r.target)
		if err != nil {
			closeConnection(accepted)
			continue
		}
		r.mu.Lock()
		r.connections[accepted] = struct{}{}
		r.connections[dialed] = struct{}{}
		ended := r.ended
		r.mu.Unlock()
		if ended { // Close may have reset the others before
			closeConnection(accepted)
			closeConnection(dialed)
		}
		r.wait.Go(func() { r.forward(accepted, dialed) })
		r.wait.Go(func() { r.forward(dialed, accepted) })
	}
}

const bufferSize = 32 << 10 // bytes

// forward copies one direction of a connection until either end or the relay ends.
func (r *Relay) forward(from, to net.Conn) {
	defer func() {
		closeConnection(from)
		closeConnection(to)
		r.mu.Lock()
		delete(r.connections, from)
		r.mu.Unlock()
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		ended := r.waitWhileCut()
		if n > 0 && !ended {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil || ended {
			return
		}
	}
}

// waitWhileCut waits until the relay is not cut, and reports whether it has ended.
func (r *Relay) waitWhileCut() (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut && !r.ended {
		r.changed.Wait()
	}
	return r.ended
}
