package balance

import "slices"

// handleOutcome applies the outcome of an attempt to the host, and ends or retries the request.
func (r *Router) handleOutcome(event *Event) {
	host := r.hosts[event.Host]
	req := r.requests[event.Request] // nil if it was finished and removed
	if host == nil {
		return
	}
	r.recordOutcome(host, req, event)
	if req != nil {
		r.endAttempt(req, event.Attempt)
		switch {
		case event.Finished || req.finished:
			r.finish(req)
		case req.host == nil:
			r.handleFailedAttempt(req, event.Result)
		}
	}
	r.dispatch(host.group)
}

// endAttempt removes an attempt from those in flight, if it is the current one of its request.
func (r *Router) endAttempt(req *pendingRequest, attempt int) {
	host := req.host
	if host == nil || req.attempt != attempt {
		return
	}
	host.inFlight = slices.DeleteFunc(host.inFlight, func(other *pendingRequest) bool { return other == req })
	r.gossip.SetInFlight(host.id, len(host.inFlight))
	req.lastHost = host
	req.host = nil
}

// recordOutcome records what an outcome shows about the host. The request may be nil.
func (r *Router) recordOutcome(host *hostState, req *pendingRequest, event *Event) {
	if event.Position > 0 {
		r.recordPosition(host, event.Position)
	}
	var sentAt int64
	if req != nil {
		sentAt = req.sentAt
	}
	r.recordReport(host, &event.Report, sentAt)
	if event.Result.Answered() {
		r.recordAnswer(host, req, event, sentAt)
	}
	switch event.Result {
	case Succeeded:
		r.recordSuccess(host, req, event)
	case Failed:
		host.countError()
		r.gossip.RecordLatencyShare(host.id, 0, true)
	case TimedOut:
		if req != nil {
			r.recordLatency(host, req, event.Latency, false)
		}
	case Overloaded:
		r.recordLatencyShare(host, 1)
		r.pauseHost(host)
	case ConnectionRefused, ConnectionReset:
		r.recordBrokenConnection(host, req, event)
	}
}

// recordAnswer records what every answer shows, whatever its result: that the host is alive, and its role.
// The request may be nil.
func (r *Router) recordAnswer(host *hostState, req *pendingRequest, event *Event, sentAt int64) {
	r.markHealthy(host)
	role := event.Role
	if event.Result == NotPrimary && req != nil && req.isWrite() {
		role = Replica
	}
	if role == Replica {
		host.wasPrimary = false
	}
	if role != RoleUnknown {
		r.recordRole(host, role, r.evidenceTime(role, event.Position, sentAt))
	}
	r.publishFact(host, event.Position, role)
}

// evidenceTime returns the time of which an answer shows the role of its host. The position of a primary is
// the time at which it answered. Its answer may be complete only after a later one on another connection, so
// without a position it shows the role as of the time at which the request was sent.
func (r *Router) evidenceTime(role Role, position, sentAt int64) int64 {
	switch {
	case role != Primary:
		return r.now
	case position > 0:
		return min(r.now, position)
	default:
		return sentAt
	}
}

// recordSuccess records a successful answer. The request may be nil.
func (r *Router) recordSuccess(host *hostState, req *pendingRequest, event *Event) {
	host.countSuccess()
	if req == nil {
		return
	}
	if req.dialed {
		host.refusedDials = 0
	}
	r.recordLatency(host, req, event.Latency, true)
	r.recordCommit(req, event.Position)
}
