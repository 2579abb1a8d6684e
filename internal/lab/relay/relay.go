// Package relay forwards TCP connections between two processes and can interrupt them in two ways: it stops forwarding
// without notice to either end, as when a cable is pulled, or it resets both ends.
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
	wait     sync.WaitGroup // counts the running goroutines

	mu          sync.Mutex
	changed     *sync.Cond // signaled when cut or closed changes
	cut         bool
	closed      bool
	connections map[net.Conn]struct{} // both ends of each forwarded connection
}

// New starts a relay that forwards connections to the target address.
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

// Cut stops the forwarding of bytes until Resume is called. New connections are still accepted, but nothing is forwarded on
// them.
func (r *Relay) Cut() { r.setCut(true) }

// Resume resumes the forwarding after Cut, including the bytes that were held back.
func (r *Relay) Resume() { r.setCut(false) }

func (r *Relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Reset closes all open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		closeConnection(connection)
	}
}

func closeConnection(connection net.Conn) {
	_ = connection.Close() // fails only if the connection is already closed
}

// Close resets the connections, stops the relay and waits until its goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.changed.Broadcast()
	_ = r.listener.Close() // an error does not matter, since the relay is not used again
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
		closed := r.closed
		r.mu.Unlock()
		if closed { // Close may have reset the other connections before these two were added
			closeConnection(accepted)
			closeConnection(dialed)
		}
		r.wait.Go(func() { r.forward(accepted, dialed) })
		r.wait.Go(func() { r.forward(dialed, accepted) })
	}
}

const bufferSize = 32 << 10 // bytes

// forward copies one direction of a connection until one of its ends is closed or the relay is closed.
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
		closed := r.waitWhileCut()
		if n > 0 && !closed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil || closed {
			return
		}
	}
}

// waitWhileCut waits until the relay forwards bytes again or is closed, and reports whether it is closed.
func (r *Relay) waitWhileCut() (closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut && !r.closed {
		r.changed.Wait()
	}
	return r.closed
}
