package balance

import (
	"cmp"
	"math"
	"slices"
)

// noShutdown is the value of Router.shutdownDeadline while no shutdown has begun.
const noShutdown = math.MaxInt64

// beginShutdown sets the time by which all requests end: those queued, those in flight and those still to
// come.
func (r *Router) beginShutdown(deadline int64) {
	r.shutdownDeadline = deadline
	r.shutdownDuration = deadline - r.now
}

// tooLateForShutdown reports whether the shutdown leaves too little time for a request that is about to be
// sent, although its client would wait longer. Sent now, the request might fail with an unknown outcome;
// rejected, it can be tried again at another gateway. The time left must be at least the latency objective
// of its class, or half of the duration of the shutdown if that is less.
func (r *Router) tooLateForShutdown(req *pendingRequest) bool {
	if req.mayHaveExecuted() || req.deadline <= r.shutdownDeadline {
		return false
	}
	minTimeLeft := min(req.class.LatencyObjective, r.shutdownDuration/2)
	return r.now+minTimeLeft > r.shutdownDeadline
}

// shutdownTimeout returns the time in µs that an attempt has until the shutdown ends it. It returns 0 while
// there is no shutdown: the attempt then has until the deadline of its request.
func (r *Router) shutdownTimeout() int64 {
	if r.shutdownDeadline == noShutdown {
		return 0
	}
	return max(r.shutdownDeadline-r.now, 1)
}

// endAttemptsForShutdown gives up the requests that are still in flight in the last maintenance run before
// the shutdown deadline.
func (r *Router) endAttemptsForShutdown() {
	if r.shutdownDeadline == noShutdown || r.now+r.maintenanceInterval() < r.shutdownDeadline {
		return
	}
	var inFlight []*pendingRequest
	for _, req := range r.requests {
		if req.host != nil && !req.finished {
			inFlight = append(inFlight, req)
		}
	}
	slices.SortFunc(inFlight, func(a, b *pendingRequest) int { return cmp.Compare(a.id, b.id) })
	for _, req := range inFlight {
		r.abandonAttempt(req)
	}
}

// abandonAttempt gives up a request in flight, which may have been executed.
func (r *Router) abandonAttempt(req *pendingRequest) {
	if r.settings.Cancellation {
		r.emit(Action{Kind: CancelAction, Request: req.id, Attempt: req.attempt})
	}
	req.recordPossibleExecution(req.host)
	r.giveUp(req)
}
