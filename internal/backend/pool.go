// Package backend holds the connections to database hosts. It opens connections, keeps idle ones, sends one attempt at a
// time on each, and reports the exact outcome of each attempt. It never sends a request a second time on its own.
package backend

import (
	"slices"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// Limits in microseconds for the interval between two sweeps of idle connections.
const (
	minSweepInterval = 1e4
	maxSweepInterval = 1e6
)

// Query is the body of a request. Append appends it as a message that states the remaining time in microseconds.
type Query interface {
	Append(b []byte, wait int64) []byte
}

// Events receives the outcomes of attempts and health checks.
type Events interface {
	AttemptFinished(attempt gateway.Attempt, outcome gateway.Outcome)
	HealthCheckFinished(host string, outcome gateway.Outcome)
}

// Limits are the limits on connections. Times are in microseconds.
type Limits struct {
	DialTimeout int64
	IdleClose   int64 // idle time after which hosts close a connection
	Connections int   // to all hosts together
	Bytes       int   // of incomplete answers
}

// Pool holds the connections to all hosts. Its methods must be called on the goroutine of the event loop.
type Pool struct {
	loop   *eventloop.Loop
	events Events
	limits Limits
	log    zerolog.Logger

	hosts     map[string]*host
	conns     map[*conn]struct{} // including those that are being dialed
	heldBytes int                // of incomplete answers

	attempts     map[int64]*attempt // in flight, by request
	awaitingSlot []*attempt         // waiting for a connection slot, in the order in which they came

	dials       int // connections that were dialed since the start
	failedDials int // of these, the ones that were closed before they were ready
}

// host is one database host with its connections.
type host struct {
	id, address string
	idle        []*conn    // the most recently used one is the last
	waiting     []*attempt // for a connection that is being dialed
	dialing     int
	open        int  // connections, including those that are being dialed
	removed     bool // the host is no longer in the endpoint list
}

// New returns an empty pool.
func New(loop *eventloop.Loop, events Events, limits Limits, log zerolog.Logger) *Pool {
	p := &Pool{
		loop: loop, events: events, limits: limits, log: log,
		hosts: map[string]*host{}, attempts: map[int64]*attempt{}, conns: map[*conn]struct{}{},
	}
	p.sweep()
	return p
}

// maxIdle returns how long a connection may be idle, in microseconds. Hosts close a connection after IdleClose. A
// request that is sent while the host closes the connection ends in a reset with an unknown outcome, so the pool closes
// idle connections well before that.
func (p *Pool) maxIdle() int64 { return p.limits.IdleClose * 3 / 4 }

// sweep closes connections that have been idle for too long and deletes removed hosts. New hosts have new ids, so
// removed ones would accumulate.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for id, h := range p.hosts {
		for len(h.idle) > 0 && now-h.idle[0].idleSince >= p.maxIdle() {
			h.idle[0].terminate()
		}
		if h.removed && h.open == 0 && len(h.waiting) == 0 {
			delete(p.hosts, id)
		}
	}
	interval := max(min(p.limits.IdleClose/20, maxSweepInterval), minSweepInterval)
	p.loop.CallAt(now+interval, p.sweep)
}

// UpdateEndpoints applies the addresses of hosts and the ids of removed ones. If the list is complete, hosts that are
// missing from it are removed too. Idle connections and pending dials to a previous address of a host, or to a removed
// host, are closed; other connections are closed once their attempt has ended.
func (p *Pool) UpdateEndpoints(addresses map[string]string, removed []string, complete bool) {
	if complete {
		for id := range p.hosts {
			if _, listed := addresses[id]; !listed {
				removed = append(removed, id)
			}
		}
	}
	for id, address := range addresses {
		p.updateHost(id, address)
	}
	for _, id := range removed {
		if h := p.hosts[id]; h != nil {
			p.removeHost(h)
		}
	}
}

func (p *Pool) updateHost(id, address string) {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id}
		p.hosts[id] = h
	}
	h.removed = false
	if h.address == address {
		return
	}
	h.address = address
	p.closeUnused(h)
	for range h.waiting {
		p.dial(h)
	}
}

// removeHost ends the attempts that wait for a connection to the host as not sent, so that the router decides on them
// again at once. Attempts that were already sent to the host continue.
func (p *Pool) removeHost(h *host) {
	h.removed = true
	p.closeUnused(h)
	for _, at := range slices.Concat(h.waiting, p.awaitingSlot) {
		if at.host == h {
			p.finishLater(at, balance.NotSent)
		}
	}
}

// closeUnused closes the connections to a host that have no attempt in flight: idle ones, and those that are being
// dialed, which may take long to open.
func (p *Pool) closeUnused(h *host) {
	p.CloseIdle(h.id)
	for c := range p.conns {
		if c.host == h && c.state == dialing {
			c.close()
		}
	}
}

// CloseIdle implements gateway.Hosts.
func (p *Pool) CloseIdle(id string) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	for len(h.idle) > 0 {
		h.idle[0].terminate()
	}
}

// Dials returns how many connections were dialed since the start, and how many of them were closed before they were
// ready.
func (p *Pool) Dials() (begun, failed int) { return p.dials, p.failedDials }

// KnownHosts returns the number of hosts in the pool, including removed ones that are not deleted yet.
func (p *Pool) KnownHosts() int { return len(p.hosts) }

func (p *Pool) dial(h *host) {
	p.dials++
	h.open++
	h.dialing++
	c := &conn{pool: p, host: h, address: h.address, state: dialing}
	p.conns[c] = struct{}{}
	c.timer = p.loop.CallAt(p.loop.Now()+p.limits.DialTimeout, c.connectionLost)
	c.socket = p.loop.Dial(h.address, c)
	c.socket.Write(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog"))
}

// evictIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince < oldest.idleSince) {
			oldest = h.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.terminate()
	return true
}
