package balance

import (
	"cmp"
	"slices"
)

// maxUnplacedReads is the number of reads of a group that may find no host in one dispatch before the
// remaining reads are skipped.
const maxUnplacedReads = 8

// handleRequest queues and dispatches a new request. A request for a group that no endpoint list has named is
// rejected: no host can answer it. The group is not stored either, since clients may name any number of them.
func (r *Router) handleRequest(event *Event) {
	i, known := r.findGroup(event.Group)
	if !known || event.Class < 0 || event.Class >= len(r.settings.Classes) {
		r.emit(Action{Kind: RejectAction, Request: event.Request, RetryAfter: r.settings.MaxRetryAfter})
		return
	}
	req := r.newRequest(event, r.groups[i])
	r.retryBudget.deposit()
	r.checkBudget.deposit()
	r.recordRequest(req)
	req.shedRank = r.rand.Fraction()
	r.requests[req.id] = req
	r.enqueue(req)
	r.dispatch(req.group)
	r.checkUnhealthyMembers(req.group)
}

// newRequest returns the state of a new request; its objective and deadline count from now.
func (r *Router) newRequest(event *Event, group *groupState) *pendingRequest {
	class := &r.settings.Classes[event.Class]
	objective := class.LatencyObjective + int64(class.ObjectivePerWork*float64(event.WorkHint))
	return &pendingRequest{
		id:              event.Request,
		class:           class,
		classIndex:      event.Class,
		group:           group,
		sessionKey:      event.SessionKey,
		hasSession:      event.HasSession,
		objectiveAt:     min(r.now+objective, event.Deadline),
		halfTimeAt:      r.now + (event.Deadline-r.now)/2,
		deadline:        event.Deadline,
		carriedPosition: r.carriedPosition(class, event),
	}
}

// enqueue adds a request to the queue of its group, or gives it up if it has expired.
func (r *Router) enqueue(req *pendingRequest) {
	if r.expired(req) {
		r.giveUp(req)
		return
	}
	req.lateness = r.lateness(req)
	i, _ := slices.BinarySearchFunc(req.group.queue, req, r.compareQueued)
	req.group.queue = slices.Insert(req.group.queue, i, req)
}

// compareQueued orders a queue: late requests last, then by priority weight per service time, then newest
// first. Under overload, oldest first would send each request when too little of its time is left.
func (r *Router) compareQueued(a, b *pendingRequest) int {
	valueRateA := a.class.PriorityWeight / float64(r.traffic.classCost[a.classIndex])
	valueRateB := b.class.PriorityWeight / float64(r.traffic.classCost[b.classIndex])
	return cmp.Or(
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(valueRateB, valueRateA),
		cmp.Compare(b.objectiveAt, a.objectiveAt),
	)
}

// lateness is 1 if a request that is sent now will miss its objective, judged by the latency of its group;
// -1 or 0 if it will not.
func (r *Router) lateness(req *pendingRequest) int {
	return cmp.Compare(float64(r.now)+float64(req.group.latency), float64(req.objectiveAt))
}

// dispatch sends the queued requests of a group for which a host has capacity now.
func (r *Router) dispatch(group *groupState) {
	writesBlocked := false
	unplacedReads := 0
	group.queue = slices.DeleteFunc(group.queue, func(req *pendingRequest) bool {
		if req.finished {
			return true
		}
		if req.isWrite() && writesBlocked || !req.isWrite() && unplacedReads > maxUnplacedReads {
			return false
		}
		if host := r.chooseHost(req); host != nil {
			r.send(req, host)
			return true
		}
		if req.isWrite() {
			writesBlocked = true
		} else {
			unplacedReads++
		}
		return false
	})
}

// chooseHost returns the host that a request may go to now, or nil if it must wait.
func (r *Router) chooseHost(req *pendingRequest) *hostState {
	if req.isWrite() {
		return r.choosePrimary(req)
	}
	return r.chooseReplica(req)
}

// send starts an attempt of a request at a host.
func (r *Router) send(req *pendingRequest, host *hostState) {
	req.dialed = !host.connected
	host.connected = true
	if len(host.inFlight) == 0 {
		host.silentSince = r.now
	}
	req.attempt = req.attemptsSent
	req.attemptsSent++
	req.host = host
	req.sentAt = r.now
	req.overdueHalves = 0
	host.inFlight = append(host.inFlight, req)
	r.gossip.SetInFlight(host.id, len(host.inFlight))
	r.takeSlowStartTokens(host, req)
	r.emit(Action{Kind: SendAction, Request: req.id, Host: host.id, Timeout: r.shutdownTimeout()})
}

// expireQueue gives up the queued requests of a group that can no longer succeed, and moves late ones to the
// end of the queue.
func (r *Router) expireQueue(group *groupState) {
	group.queue = slices.DeleteFunc(group.queue, func(req *pendingRequest) bool {
		req.lateness = r.lateness(req)
		if !req.finished && r.shouldGiveUp(req) {
			r.giveUp(req)
		}
		return req.finished
	})
	slices.SortStableFunc(group.queue, r.compareQueued)
}

// shouldGiveUp reports whether a queued request is to be given up, in one of three cases. It has expired.
// It is late, and its class gives late answers no weight. It is a read that no host has received by half of
// its time; its client then has time left to try again.
func (r *Router) shouldGiveUp(req *pendingRequest) bool {
	lateWithoutValue := req.lateness > 0 && req.class.LatePriorityWeight == 0
	halfTimePassed := r.now+r.maintenanceInterval() >= req.halfTimeAt
	unservedRead := !req.isWrite() && !req.reachedHost && halfTimePassed
	return lateWithoutValue || unservedRead || r.expired(req)
}

// expired reports whether a request that is not in flight can no longer succeed: its deadline or that of the
// shutdown is at most two maintenance intervals away, a repeat of it might no longer be deduplicated, or the
// shutdown leaves it too little time.
func (r *Router) expired(req *pendingRequest) bool {
	timeIsUp := r.now+2*r.maintenanceInterval() >= min(req.deadline, r.shutdownDeadline)
	return timeIsUp || r.deduplicationLapsed(req, r.now) || r.tooLateForShutdown(req)
}
