// Package emulator emulates database hosts, the discovery service and clients on loopback addresses. It uses PostgreSQL's
// wire protocol and the JSON format of the endpoint list.
package emulator

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Host is an emulated database host. It is a primary or a replica, and it answers requests or hangs. Its methods are safe
// for concurrent use, except those that must be called before the first connection.
type Host struct {
	ID     string
	Writes atomic.Int64 // number of executed writes

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
	cores                 chan struct{}    // holds a token for each core in use; nil: no limit
	activeRequests        atomic.Int32     // requests that wait for a core or use one
	onRequest             func(before int) // called for each request; see LimitCores
	observe               Observer         // nil: none
	hangPercent           int
}

// NewHost starts a replica that listens on a loopback address. Each request takes the time work. The log position of a
// replica is lag behind the clock.
func NewHost(id string, work, lag time.Duration) (*Host, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, listener: listener, workTime: work, lag: lag, connections: map[net.Conn]struct{}{}}
	h.wait.Go(func() { h.accept(listener, &h.hanging) })
	return h, nil
}

// LimitCores limits the number of requests that are executed at once; further requests wait. The execution time of each is
// then exponentially distributed with the mean given to NewHost. onRequest is called for each request with the number of
// other requests that are waiting or being executed. LimitCores must be called before the first connection.
func (h *Host) LimitCores(cores int, onRequest func(before int)) {
	h.cores = make(chan struct{}, cores)
	h.onRequest = onRequest
}

// Observer is called for each request that arrives, with its statement and whether the host executes it as a write.
type Observer func(statement string, executesWrite bool)

// Observe reports each request to an observer, and leaves hangPercent percent of the requests without an answer. A write
// among these is reported as executed all the same. Observe must be called before the first connection.
func (h *Host) Observe(observe Observer, hangPercent int) {
	h.observe = observe
	h.hangPercent = hangPercent
}

// simulateWork blocks for the execution time of one request.
func (h *Host) simulateWork() {
	if h.cores == nil {
		time.Sleep(h.workTime)
		return
	}
	h.onRequest(int(h.activeRequests.Add(1)) - 1)
	capacity := h.admitInSlowStart()
	h.cores <- struct{}{}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(h.workTime) / capacity))
	<-h.cores
	h.activeRequests.Add(-1)
}

// Connections returns the number of open connections.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.connections)
}

// ListenOnSecondAddress makes the host listen on a second address and returns it.
func (h *Host) ListenOnSecondAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h.secondListener = listener
	h.wait.Go(func() { h.accept(listener, &h.secondSilent) })
	return listener.Addr().String(), nil
}

// SetSecondAddressSilent sets whether requests to the second address get no answer.
func (h *Host) SetSecondAddressSilent(silent bool) { h.secondSilent.Store(silent) }

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
	_ = connection.Close() // the connection is not used again, whether or not this fails
	h.mu.Lock()
	delete(h.connections, connection)
	h.mu.Unlock()
}

// Address returns the address on which the host listens.
func (h *Host) Address() string { return h.listener.Addr().String() }

// SetPrimary makes the host the primary if primary is set, and a replica otherwise.
func (h *Host) SetPrimary(primary bool) { h.primary.Store(primary) }

// SetHanging sets whether the host reads requests without answering them.
func (h *Host) SetHanging(hanging bool) { h.hanging.Store(hanging) }

// Close stops the host and closes its connections.
func (h *Host) Close() {
	_ = h.listener.Close() // the listener is not used again, whether or not this fails
	if h.secondListener != nil {
		_ = h.secondListener.Close() // the listener is not used again, whether or not this fails
	}
	h.mu.Lock()
	for connection := range h.connections {
		_ = connection.Close() // the connection is not used again, whether or not this fails
	}
	h.mu.Unlock()
	h.wait.Wait()
}
