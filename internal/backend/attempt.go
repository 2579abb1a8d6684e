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
	conn         *conn // nil until the attempt is written to a connection, and once it has finished
	startedAt    int64 // microseconds
	timer        *eventloop.Timer
	awaitingSlot bool // waits until one more connection may be opened
	finished     bool // the outcome was reported
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

// assign sends an attempt on an idle connection of its host. If there is none, the attempt waits for a new connection or
// for the first that becomes free.
func (p *Pool) assign(at *attempt) {
	h := at.host
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.socket.InputDrained() { // the host closed it, or sent data that would be taken for the answer
			c.close()
			continue
		}
		h.idle = h.idle[:len(h.idle)-1]
		c.send(at)
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

// dialForWaiting opens connections for the attempts that wait for a connection slot, as long as slots are free, and
// reports whether no attempt is left waiting. A reached connection limit proves nothing about a host, so an attempt
// that gets no slot within the dial timeout ends as not sent.
func (p *Pool) dialForWaiting() bool {
	for len(p.awaitingSlot) > 0 && p.acquireSlot() {
		at := p.awaitingSlot[0]
		p.stopWaiting(at)
		at.host.waiting = append(at.host.waiting, at)
		p.dial(at.host)
	}
	return len(p.awaitingSlot) == 0
}

// acquireSlot reports whether one more connection may be opened. It evicts an idle connection if necessary.
func (p *Pool) acquireSlot() bool {
	return len(p.conns) < p.limits.Connections || p.evictIdle()
}

// slotFreed is called when a connection has become idle or was closed.
func (p *Pool) slotFreed() {
	if len(p.awaitingSlot) > 0 {
		p.loop.Post(func() { p.dialForWaiting() })
	}
}

// nextWaiting returns the attempt that has waited longest for a connection to a host, or nil if there is none.
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

// stopWaiting removes an attempt from the queues of attempts that wait for a connection.
func (p *Pool) stopWaiting(at *attempt) {
	isAttempt := func(waiting *attempt) bool { return waiting == at }
	p.awaitingSlot = slices.DeleteFunc(p.awaitingSlot, isAttempt)
	at.awaitingSlot = false
	if at.host != nil {
		at.host.waiting = slices.DeleteFunc(at.host.waiting, isAttempt)
	}
}

// abandon ends an attempt before its answer is complete. Its connection is closed first, because only then is it certain
// whether the last byte of the request was written.
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

// finishLater ends an attempt in a later turn of the event loop.
func (p *Pool) finishLater(at *attempt, result balance.Result) {
	p.stopWaiting(at)
	p.loop.Post(func() { p.finish(at, gateway.Outcome{Result: result}) })
}

// finish reports an outcome, unless one was already reported for the attempt.
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
