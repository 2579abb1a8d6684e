// Package relay is a line between two processes that can be cut: bytes stop, and neither end is told, as when a cable
// is pulled; or both ends are reset.
package relay

import (
	"net"
	"sync"

	"cloverrock/internal/lab/loopback"
)

// Relay listens on a loopback address and passes on to another.
type Relay struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	cond  *sync.Cond
	cut   bool
	ended bool
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// New returns a relay to an address.
func New(to string) (*Relay, error) {
	free, err := loopback.Reserve(1)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", free[0])
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	r.cond = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// Cut stops all bytes until Mend. New connections are taken, and hear nothing.
func (r *Relay) Cut() { r.set(true) }

// Mend lets what was held go on.
func (r *Relay) Mend() { r.set(false) }

func (r *Relay) set(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.cond.Broadcast()
}

// Reset ends the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close() // the connection is over either way
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.cond.Broadcast()
	_ = r.ln.Close() // the listener is over either way
	r.Reset()
	r.wg.Wait()
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = a.Close() // the connection is over either way
			continue
		}
		r.mu.Lock()
		r.conns[a], r.conns[b] = struct{}{}, struct{}{}
		ended := r.ended
		r.mu.Unlock()
		if ended {
			_ = a.Close() // the connection is over either way
			_ = b.Close() // the connection is over either way
		}
		r.wg.Add(2)
		go r.pass(a, b)
		go r.pass(b, a)
	}
}

func (r *Relay) pass(from, to net.Conn) {
	defer r.wg.Done()
	defer func() {
		_ = from.Close() // the connection is over either way
		_ = to.Close()   // the connection is over either way
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		for r.cut && !r.ended {
			r.cond.Wait()
		}
		ended := r.ended
		r.mu.Unlock()
		if n > 0 && !ended {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil || ended {
			return
		}
	}
}
