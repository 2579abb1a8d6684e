// Package backend holds the connections to database hosts: it dials, keeps idle connections, carries one
// attempt on each and tells exactly how it ended. It never sends anything a second time on its own.
package backend

import (
	"slices"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// Query is the body of a request: it appends itself as a message with the time that is left.
type Query interface {
	Append(b []byte, wait int64) []byte
}

// Events is told how attempts and probes end.
type Events interface {
	AttemptFinished(a gateway.Attempt, o gateway.Outcome)
	HealthCheckFinished(host string, o gateway.Outcome)
}

// Limits bound the connections.
type Limits struct {
	DialTimeout int64
	IdleClose   int64 // the hosts close what has stood idle for so long
	Connections int   // to all hosts together
	Bytes       int   // of answers that are not whole yet
}

// Pool is the connections to all hosts. It belongs to the loop's goroutine.
type Pool struct {
	loop   *eventloop.Loop
	events Events
	limits Limits
	log    zerolog.Logger
	hosts  map[string]*host
	conns  map[*conn]struct{} // those being dialled included
	held   int                // bytes of answers that are not whole yet
	dials  int                // connections begun since the start
	broken int                // of these, those that never came up
	out    map[int64]*attempt
	short  []*attempt // those that lack a connection of ours, in the order in which they came
}

// host is one database host with its connections.
type host struct {
	id, address string
	idle        []*conn // the one used last at the end
	waiting     []*attempt
	dialing     int
	open        int  // connections, those being dialled included
	gone        bool // the list has dropped it
}

// attempt is an attempt or a probe on its way.
type attempt struct {
	gateway.Attempt
	probe bool
	host  *host
	conn  *conn // nil while it waits for one
	sent  int64
	timer *eventloop.Timer
	short bool // it lacks a connection of ours
	ended bool // its outcome was told
}

// New returns an empty pool.
func New(l *eventloop.Loop, events Events, limits Limits, log zerolog.Logger) *Pool {
	p := &Pool{loop: l, events: events, limits: limits, log: log, hosts: map[string]*host{}, out: map[int64]*attempt{}, conns: map[*conn]struct{}{}}
	p.sweep()
	return p
}

// keep is how long a connection may stand idle. Hosts close theirs at the stated time, and a request that
// crosses the close ends in a reset, which a write does not survive: ours go clearly sooner.
func (p *Pool) keep() int64 { return p.limits.IdleClose * 3 / 4 }

func (p *Pool) sweep() {
	now := p.loop.Now()
	for id, h := range p.hosts {
		for len(h.idle) > 0 && now-h.idle[0].idleAt >= p.keep() {
			h.idle[0].leave()
		}
		if h.gone && h.open == 0 && len(h.waiting) == 0 { // new ones have new ids: they would add up
			delete(p.hosts, id)
		}
	}
	p.loop.CallAt(now+max(min(p.limits.IdleClose/20, 1e6), 1e4), p.sweep)
}

// UpdateEndpoints notes where hosts listen and which are gone; of a whole list, those that it lacks. Connections to another
// address of a host, or to one that is gone, are not used any more.
func (p *Pool) UpdateEndpoints(addresses map[string]string, gone []string, whole bool) {
	if whole {
		for id := range p.hosts {
			if _, listed := addresses[id]; !listed {
				gone = append(gone, id)
			}
		}
	}
	for id, address := range addresses {
		h := p.hosts[id]
		if h == nil {
			h = &host{id: id}
			p.hosts[id] = h
		}
		if h.gone = false; h.address != address {
			h.address = address
			p.leave(h)
			for range h.waiting {
				p.dial(h)
			}
		}
	}
	for _, id := range gone {
		if h := p.hosts[id]; h != nil {
			h.gone = true
			p.leave(h)
			for _, at := range slices.Concat(h.waiting, p.short) {
				if at.host == h {
					p.finishLater(at, balance.NotSent)
				}
			}
		}
	}
}

// leave gives up the connections to a host that carry nothing: those that rest, and those that are being dialled, which
// may not come up for long.
func (p *Pool) leave(h *host) {
	p.CloseIdle(h.id)
	for c := range p.conns {
		if c.host == h && c.state == dialing {
			c.close()
		}
	}
}

// Dials tells how many connections were begun since the start, and how many of these never came up.
func (p *Pool) Dials() (begun, failed int) { return p.dials, p.broken }

// KnownHosts is the number of hosts that the pool remembers.
func (p *Pool) KnownHosts() int { return len(p.hosts) }

// Send implements gateway.Hosts.
func (p *Pool) Send(a gateway.Attempt) {
	at := &attempt{Attempt: a, host: p.hosts[a.Host], sent: p.loop.Now()}
	p.out[a.Request] = at
	if at.host == nil {
		p.finishLater(at, balance.ConnectionRefused)
		return
	}
	at.timer = p.loop.CallAt(a.Deadline, func() { p.abandon(at, balance.TimedOut) })
	p.place(at)
}

// CheckHealth implements gateway.Hosts.
func (p *Pool) CheckHealth(id string) {
	at := &attempt{Attempt: gateway.Attempt{Host: id}, probe: true, host: p.hosts[id], sent: p.loop.Now()}
	if at.host == nil {
		p.finishLater(at, balance.ConnectionRefused)
		return
	}
	at.timer = p.loop.CallAt(at.sent+p.limits.DialTimeout, func() { p.abandon(at, balance.TimedOut) })
	p.place(at)
}

// Cancel implements gateway.Hosts.
func (p *Pool) Cancel(request int64, number int) {
	if at := p.out[request]; at != nil && at.Number == number {
		p.loop.Post(func() { p.abandon(at, balance.Canceled) })
	}
}

// CloseIdle implements gateway.Hosts.
func (p *Pool) CloseIdle(id string) {
	if h := p.hosts[id]; h != nil {
		for len(h.idle) > 0 {
			h.idle[0].leave()
		}
	}
}

// place puts an attempt on an idle connection, or has it wait for a new one or the first that gets free.
func (p *Pool) place(at *attempt) {
	h := at.host
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.net.InputDrained() { // the host has closed it, or sent what would pass for the answer
			c.close()
			continue
		}
		h.idle = h.idle[:len(h.idle)-1]
		c.carry(at)
		return
	}
	p.short = append(p.short, at)
	if at.short = true; !p.supply() {
		p.loop.CallAt(p.loop.Now()+p.limits.DialTimeout, func() {
			if at.short {
				p.abandon(at, balance.NotSent)
			}
		})
	}
}

// supply dials for the attempts that lack a connection, as far as there may be more, and tells whether none is left. The
// lack is ours and says nothing of a host: such an attempt waits, for as long as it would for a dial, and ends as skipped.
func (p *Pool) supply() bool {
	for len(p.short) > 0 && (len(p.conns) < p.limits.Connections || p.evict()) {
		at := p.short[0]
		p.forget(at)
		at.host.waiting = append(at.host.waiting, at)
		p.dial(at.host)
	}
	return len(p.short) == 0
}

// spare notes that a connection is no longer at work.
func (p *Pool) spare() {
	if len(p.short) > 0 {
		p.loop.Post(func() { p.supply() })
	}
}

func (p *Pool) dial(h *host) {
	p.dials++
	h.open++
	h.dialing++
	c := &conn{pool: p, host: h, address: h.address, state: dialing}
	p.conns[c] = struct{}{}
	c.timer = p.loop.CallAt(p.loop.Now()+p.limits.DialTimeout, func() { c.broken() })
	c.net = p.loop.Dial(h.address, c)
	c.net.Write(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog"))
}

// evict closes the connection that has stood idle longest, to make room for one that is needed.
func (p *Pool) evict() bool {
	var oldest *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleAt < oldest.idleAt) {
			oldest = h.idle[0]
		}
	}
	if oldest != nil {
		oldest.leave()
	}
	return oldest != nil
}

// abandon ends an attempt from this side. Its connection is closed first: only then is it final whether the
// last byte of the request was written.
func (p *Pool) abandon(at *attempt, result balance.Result) {
	if at.ended {
		return
	}
	unrun := at.conn == nil
	if at.conn != nil {
		at.conn.close()
		unrun = !at.conn.net.Flushed()
	}
	if unrun && (!at.probe || at.short) {
		result = balance.NotSent
	}
	p.finish(at, gateway.Outcome{Result: result})
}

// finishLater ends an attempt in a round of its own.
func (p *Pool) finishLater(at *attempt, result balance.Result) {
	p.forget(at)
	p.loop.Post(func() { p.finish(at, gateway.Outcome{Result: result}) })
}

// finish tells an outcome, once.
func (p *Pool) finish(at *attempt, o gateway.Outcome) {
	if at.ended {
		return
	}
	at.ended = true
	at.timer.Stop()
	p.forget(at)
	if at.conn != nil {
		at.conn.attempt = nil
		at.conn = nil
	}
	o.Latency = p.loop.Now() - at.sent
	if at.probe {
		p.events.HealthCheckFinished(at.Host, o)
		return
	}
	delete(p.out, at.Request)
	p.events.AttemptFinished(at.Attempt, o)
}

// next is the attempt that has waited longest for a connection to a host; nil if none does.
func (p *Pool) next(h *host) *attempt {
	if len(h.waiting) > 0 {
		return h.waiting[0]
	}
	if i := slices.IndexFunc(p.short, func(at *attempt) bool { return at.host == h }); i >= 0 {
		return p.short[i]
	}
	return nil
}

// forget takes an attempt out of those that wait.
func (p *Pool) forget(at *attempt) {
	is := func(w *attempt) bool { return w == at }
	p.short = slices.DeleteFunc(p.short, is)
	if at.short = false; at.host != nil {
		at.host.waiting = slices.DeleteFunc(at.host.waiting, is)
	}
}

// outcome turns a host's error into what it proves.
func outcome(e pgwire.Error) balance.Result {
	switch e.Code {
	case pgwire.CodeReadOnly, pgwire.CodeSnapshotTooOld:
		return balance.NotPrimary
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return balance.Overloaded
	}
	return balance.Failed
}
