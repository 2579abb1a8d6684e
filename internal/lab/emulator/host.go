// Package emulator emulates database hosts, the discovery service and clients on loopback addresses, with PostgreSQL's
// wire protocol and the JSON form of the endpoint list.
package emulator

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Host is an emulated database host: primary or replica, answering or hanging. Its methods may be called from any
// goroutine.
type Host struct {
	ID     string
	Writes atomic.Int64 // number of writes that were executed

	listener       net.Listener
	secondListener net.Listener
	secondSilent   atomic.Bool
	primary        atomic.Bool
	hanging        atomic.Bool
	lag            time.Duration
	workTime       time.Duration

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	wait        sync.WaitGroup

	slowStart             atomic.Pointer[slowStart]
	overloadedInSlowStart atomic.Bool
	cores                 chan struct{}    // a token for each core in use; nil: no limit
	present               atomic.Int32     // requests that wait for a core or have one
	arrived               func(before int) // called at each request; see LimitCores
	observe               Observer         // nil: none
	hangPercent           int
}

// NewHost returns a replica that listens on a loopback address. Each request takes the time work, and a replica's log
// position is lag behind the clock.
func NewHost(id string, work, lag time.Duration) (*Host, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, listener: listener, workTime: work, lag: lag, connections: map[net.Conn]struct{}{}}
	h.wait.Go(func() { h.accept(listener, &h.hanging) })
	return h, nil
}

// LimitCores limits the number of requests that are executed at once: further ones wait, and the work of each is random
// with the mean given to NewHost. arrived is called at each request with the number of those that are waiting or being
// executed. LimitCores must be called before the first connection.
func (h *Host) LimitCores(cores int, arrived func(before int)) {
	h.cores = make(chan struct{}, cores)
	h.arrived = arrived
}

// Observer is told of each request that arrives: its statement, and whether the host executes it as a write.
type Observer func(statement string, executesWrite bool)

// Observe has each request reported, and a percentage of them executed but never answered. It must be called before the
// first connection.
func (h *Host) Observe(observe Observer, hangPercent int) {
	h.observe = observe
	h.hangPercent = hangPercent
}

// work takes the time of one request.
func (h *Host) work() {
	if h.cores == nil {
		time.Sleep(h.workTime)
		return
	}
	h.arrived(int(h.present.Add(1)) - 1)
	capacity := h.admitInSlowStart()
	h.cores <- struct{}{}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(h.workTime) / capacity))
	<-h.cores
	h.present.Add(-1)
}

// Connections returns the number of open connections.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.connections)
}

// ListenSecond opens a second address and returns it.
func (h *Host) ListenSecond() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h.secondListener = listener
	h.wait.Go(func() { h.accept(listener, &h.secondSilent) })
	return listener.Addr().String(), nil
}

// SilenceSecond sets whether requests at the second address get no answer.
func (h *Host) SilenceSecond(silent bool) { h.secondSilent.Store(silent) }

func (h *Host) accept(listener net.Listener, silent *atomic.Bool) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.connections[connection] = struct{}{}
		h.mu.Unlock()
		h.wait.Go(func() {
			defer h.remove(connection)
			h.serve(connection, silent)
		})
	}
}

func (h *Host) remove(connection net.Conn) {
	_ = connection.Close() // the connection is over either way
	h.mu.Lock()
	delete(h.connections, connection)
	h.mu.Unlock()
}

// Address is where the host listens.
func (h *Host) Address() string { return h.listener.Addr().String() }

// SetPrimary makes the host the primary, or a replica.
func (h *Host) SetPrimary(primary bool) { h.primary.Store(primary) }

// SetHanging sets whether the host reads requests without answering them.
func (h *Host) SetHanging(hanging bool) { h.hanging.Store(hanging) }

// Close ends the host and its connections.
func (h *Host) Close() {
	_ = h.listener.Close() // the listener is over either way
	if h.secondListener != nil {
		_ = h.secondListener.Close() // the listener is over either way
	}
	h.mu.Lock()
	for connection := range h.connections {
		_ = connection.Close() // the connection is over either way
	}
	h.mu.Unlock()
	h.wait.Wait()
}
