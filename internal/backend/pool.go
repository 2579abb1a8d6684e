// Package backend holds the connections to database hosts: it dials, keeps idle connections, carries one attempt at a
// time on each and reports exactly how the attempt ended. It never sends a request a second time on its own.
package backend

import (
	"slices"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// Bounds in microseconds of the time between two looks at idle connections.
const (
	minSweepInterval = 1e4
	maxSweepInterval = 1e6
)

// Query is the body of a request: it appends itself as a message with the time that is left, in microseconds.
type Query interface {
	Append(b []byte, wait int64) []byte
}

// Events receives the outcomes of attempts and health checks.
type Events interface {
	AttemptFinished(attempt gateway.Attempt, outcome gateway.Outcome)
	HealthCheckFinished(host string, outcome gateway.Outcome)
}

// Limits bound the connections. Times are in microseconds.
type Limits struct {
	DialTimeout int64
	IdleClose   int64 // after which hosts close a connection that has been idle
	Connections int   // to all hosts together
	Bytes       int   // of incomplete answers
}

// Pool holds the connections to all hosts. It belongs to the goroutine of the event loop.
type Pool struct {
	loop   *eventloop.Loop
	events Events
	limits Limits
	log    zerolog.Logger

	hosts     map[string]*host
	conns     map[*conn]struct{} // those that are being dialed included
	heldBytes int                // of incomplete answers

	attempts     map[int64]*attempt // in flight, by request
	awaitingSlot []*attempt         // that wait for a connection slot, in the order in which they came

	dials       int // connections begun since the start
	failedDials int // of these, those that were closed before they were ready
}

// host is one database host with its connections.
type host struct {
	id, address string
	idle        []*conn    // the one used last at the end
	waiting     []*attempt // for a connection that is being dialed
	dialing     int
	open        int  // connections, those that are being dialed included
	removed     bool // it is not in the endpoint list any more
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

// maxIdle returns how long a connection may be idle. Hosts close theirs after IdleClose, and a request that crosses the
// close ends in a reset whose outcome is unknown: the pool closes connections clearly earlier.
func (p *Pool) maxIdle() int64 { return p.limits.IdleClose * 3 / 4 }

// sweep closes connections that have been idle for too long, and forgets hosts that were removed: new hosts have new
// ids, so they would add up.
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

// UpdateEndpoints takes the addresses of hosts and the ids of removed ones. Where the list is complete, hosts that it
// lacks are removed as well. Connections to an old address of a host, or to a removed one, are not used any more.
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

// removeHost ends what waits for the host as not sent, so that it is decided anew at once. Attempts that a host is
// carrying out go on.
func (p *Pool) removeHost(h *host) {
	h.removed = true
	p.closeUnused(h)
	for _, at := range slices.Concat(h.waiting, p.awaitingSlot) {
		if at.host == h {
			p.finishLater(at, balance.NotSent)
		}
	}
}

// closeUnused closes the connections to a host that carry nothing: idle ones, and those that are being dialed, which may
// take long to open.
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

// Dials returns how many connections were begun since the start, and how many of these failed to open.
func (p *Pool) Dials() (begun, failed int) { return p.dials, p.failedDials }

// KnownHosts returns the number of hosts that the pool remembers.
func (p *Pool) KnownHosts() int { return len(p.hosts) }

func (p *Pool) dial(h *host) {
	p.dials++
	h.open++
	h.dialing++
	c := &conn{pool: p, host: h, address: h.address, state: dialing}
	p.conns[c] = struct{}{}
	c.timer = p.loop.CallAt(p.loop.Now()+p.limits.DialTimeout, c.lost)
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
