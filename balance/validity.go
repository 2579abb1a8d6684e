package balance

// AttemptStillValid reports whether the attempt in flight of a request may still be written. Call it just
// before the first byte is written: while the connection was opened, the host may have been excluded, it may
// have started anew or become a replica, or its known position may have become too old. Report an attempt
// that is not valid as NotSent; the router then retries or ends the request.
func (r *Router) AttemptStillValid(now int64, id int64) bool {
	req := r.requests[id]
	if req == nil || req.finished || req.host == nil || req.host.excluded {
		return false
	}
	if now >= min(req.deadline, r.shutdownDeadline) || r.deduplicationLapsed(req, now) {
		return false
	}
	return !req.precedesSlowStart() && r.mayAnswer(req, req.host, now)
}

// mayAnswer reports whether the known role and position of a host allow it to answer a request at a time.
func (r *Router) mayAnswer(req *pendingRequest, host *hostState, now int64) bool {
	switch {
	case req.isWrite():
		becameReplica := host.role == Replica && host.roleAsOf >= req.sentAt
		return !becameReplica && !host.isSuperseded()
	case r.settings.HostsCheckStaleness, host.isAssumedPrimary():
		return true
	case req.class.Consistency == Linearizable:
		return false
	default:
		return host.position >= r.minPosition(req, now)
	}
}

// isAssumedPrimary reports whether the data of a host counts as current: it was the primary, it has not been
// reported as a replica since, and no other member is confirmed as the primary.
func (h *hostState) isAssumedPrimary() bool {
	return h.wasPrimary && h.role != Replica && !h.isSuperseded()
}

// isSuperseded reports whether another member of the group is confirmed as the primary.
func (h *hostState) isSuperseded() bool { return h.group.confirmed && h.group.primary != h }

// minPosition returns the log position that a host must have applied to answer a read at a time; 0 if any
// will do.
func (r *Router) minPosition(req *pendingRequest, now int64) int64 {
	switch req.class.Consistency {
	case BoundedStaleness:
		return now - req.class.MaxStaleness
	case ReadYourWrites:
		return r.sessionPosition(req)
	default:
		return 0
	}
}
