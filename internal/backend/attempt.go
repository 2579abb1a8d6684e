package backend

import (
	"slices"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
)

// attempt is an attempt or a health check in flight.
type attempt struct {
	gateway.Attempt
	healthCheck  bool
	host         *host
	conn         *conn // nil while it waits for one
	startedAt    int64 // microseconds
	timer        *eventloop.Timer
	awaitingSlot bool // it waits for a connection slot
	finished     bool // its outcome was reported
}

// Send implements gateway.Hosts.
func (p *Pool) Send(sending gateway.Attempt) {
	at := &attempt{Attempt: sending, host: p.hosts[sending.Host], startedAt: p.loop.Now()}
	p.attempts[sending.Request] = at
	if at.host == nil {
		p.finishLater(at, balance.ConnectionRefused)
		return
	}
	at.timer = p.loop.CallAt(sending.Deadline, func() { p.abandon(at, balance.TimedOut) })
	p.assign(at)
}

// CheckHealth implements gateway.Hosts.
func (p *Pool) CheckHealth(id string) {
	at := &attempt{
		Attempt: gateway.Attempt{Host: id}, healthCheck: true, host: p.hosts[id], startedAt: p.loop.Now(),
	}
	if at.host == nil {
		p.finishLater(at, balance.ConnectionRefused)
		return
	}
	at.timer = p.loop.CallAt(at.startedAt+p.limits.DialTimeout, func() { p.abandon(at, balance.TimedOut) })
	p.assign(at)
}

// Cancel implements gateway.Hosts.
func (p *Pool) Cancel(request int64, number int) {
	at := p.attempts[request]
	if at != nil && at.Number == number {
		p.loop.Post(func() { p.abandon(at, balance.Canceled) })
	}
}

// assign gives an attempt an idle connection of its host, or has it wait for a new one or the first that becomes free.
func (p *Pool) assign(at *attempt) {
	h := at.host
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.socket.InputDrained() { // the host has closed it, or sent what would pass for the answer
			c.close()
			continue
		}
		h.idle = h.idle[:len(h.idle)-1]
		c.carry(at)
		return
	}
	p.awaitingSlot = append(p.awaitingSlot, at)
	at.awaitingSlot = true
	if p.dialForWaiting() {
		return
	}
	p.loop.CallAt(p.loop.Now()+p.limits.DialTimeout, func() {
		if at.awaitingSlot {
			p.abandon(at, balance.NotSent)
		}
	})
}

// dialForWaiting dials for the attempts that wait for a connection slot, as far as there is any, and
// reports whether none is left. That the limit is reached says nothing of a host: such an attempt waits as long as a
// dial may take, and ends as not sent.
func (p *Pool) dialForWaiting() bool {
	for len(p.awaitingSlot) > 0 && p.acquireSlot() {
		at := p.awaitingSlot[0]
		p.stopWaiting(at)
		at.host.waiting = append(at.host.waiting, at)
		p.dial(at.host)
	}
	return len(p.awaitingSlot) == 0
}

// acquireSlot reports whether one more connection may be opened; it evicts an idle one if necessary.
func (p *Pool) acquireSlot() bool {
	return len(p.conns) < p.limits.Connections || p.evictIdle()
}

// slotFreed notes that a connection has become idle, or was closed.
func (p *Pool) slotFreed() {
	if len(p.awaitingSlot) > 0 {
		p.loop.Post(func() { p.dialForWaiting() })
	}
}

// nextWaiting returns the attempt that has waited longest for a connection to a host; nil if none does.
func (p *Pool) nextWaiting(h *host) *attempt {
	if len(h.waiting) > 0 {
		return h.waiting[0]
	}
	i := slices.IndexFunc(p.awaitingSlot, func(at *attempt) bool { return at.host == h })
	if i < 0 {
		return nil
	}
	return p.awaitingSlot[i]
}

// stopWaiting takes an attempt out of those that wait for a connection.
func (p *Pool) stopWaiting(at *attempt) {
	isAttempt := func(waiting *attempt) bool { return waiting == at }
	p.awaitingSlot = slices.DeleteFunc(p.awaitingSlot, isAttempt)
	at.awaitingSlot = false
	if at.host != nil {
		at.host.waiting = slices.DeleteFunc(at.host.waiting, isAttempt)
	}
}

// abandon ends an attempt from this side. Its connection is closed first: only then is it final whether the last byte
// of the request was written.
func (p *Pool) abandon(at *attempt, result balance.Result) {
	if at.finished {
		return
	}
	notExecuted := at.conn == nil
	if at.conn != nil {
		at.conn.close()
		notExecuted = !at.conn.socket.Flushed()
	}
	if notExecuted && (!at.healthCheck || at.awaitingSlot) {
		result = balance.NotSent
	}
	p.finish(at, gateway.Outcome{Result: result})
}

// finishLater ends an attempt in a turn of the loop of its own.
func (p *Pool) finishLater(at *attempt, result balance.Result) {
	p.stopWaiting(at)
	p.loop.Post(func() { p.finish(at, gateway.Outcome{Result: result}) })
}

// finish reports an outcome, once.
func (p *Pool) finish(at *attempt, outcome gateway.Outcome) {
	if at.finished {
		return
	}
	at.finished = true
	at.timer.Stop()
	p.stopWaiting(at)
	if at.conn != nil {
		at.conn.attempt = nil
		at.conn = nil
	}
	outcome.Latency = p.loop.Now() - at.startedAt
	if at.healthCheck {
		p.events.HealthCheckFinished(at.Host, outcome)
		return
	}
	delete(p.attempts, at.Request)
	p.events.AttemptFinished(at.Attempt, outcome)
}
