package balance

import (
	"slices"
)

const (
	freshRoleIntervals   = 4 // search intervals for which a role that was reported is not asked for again
	searchBackoffDivisor = 8 // a search that has lasted a time waits for a part of it before its next checks
	newRoundDivisor      = 4 // without health checks, a new round begins after a part of the longest backoff
)

// hostRole is what the router knows of a host's role. Later evidence replaces earlier evidence.
type hostRole struct {
	role         Role
	roleAsOf     int64 // time of which the role is known
	wasPrimary   bool  // seen as primary, and no answer has denied it since
	triedInRound int   // round of the group in which writes last tried the host
	nextSearchAt int64 // no search checks the host before
}

// groupPrimary is the discovery of a group's primary.
type groupPrimary struct {
	primary        *hostState // the member that writes go to; nil while they are held
	confirmed      bool       // an answer or report named it; otherwise it is the next guess
	round          int        // of trying all members; 0 before the first guess
	searchingSince int64
}

// recordReport takes a host's own account of itself. Its role counts as of the position in it: so an old
// report that arrives late does not overrule a newer answer.
func (r *Router) recordReport(host *hostState, report *HostReport) {
	asOf := r.now - int64(r.healthCheckRTT)
	if report.HasPosition {
		r.recordPosition(host, report.Position)
		asOf = min(asOf, report.Position)
	}
	if !report.HasRole {
		return
	}
	role := Replica
	if report.Primary {
		role = Primary
	}
	r.recordRole(host, role, asOf)
	if report.HasPosition {
		r.publishFact(host, report.Position, role)
	}
}

// recordPosition notes that a host has just reported a log position. Positions never go back.
func (r *Router) recordPosition(host *hostState, position int64) {
	host.position = max(host.position, position)
	host.positionHeardAt = r.now
}

// recordRole takes evidence of a host's role as of a time. The latest evidence wins, also between two hosts
// that both claim to be primary.
func (r *Router) recordRole(host *hostState, role Role, asOf int64) {
	if asOf < host.roleAsOf {
		return
	}
	host.role = role
	host.roleAsOf = asOf
	host.wasPrimary = host.wasPrimary || role == Primary
	if role != Replica {
		r.confirmPrimary(host)
	} else if host.group.primary == host {
		r.demotePrimary(host.group, "replica")
	}
}

// confirmPrimary makes a host that is known as primary the target of writes, unless a later claim stands
// against it.
func (r *Router) confirmPrimary(host *hostState) {
	group := host.group
	if host.excluded {
		return
	}
	if group.confirmed && (group.primary == host || host.roleAsOf < group.primary.roleAsOf) {
		return
	}
	r.log(LogEntry{Message: "balance: primary confirmed", HasGroup: true, Group: group.id, Host: host.id})
	group.primary = host
	group.confirmed = true
	group.round++
	r.dispatch(group)
}

// demotePrimary stops writes to the primary and goes on to the next member.
func (r *Router) demotePrimary(group *groupState, reason string) {
	old := group.primary
	if group.confirmed {
		group.searchingSince = r.now
		r.log(LogEntry{
			Message: "balance: primary lost", HasGroup: true, Group: group.id, Host: old.id, Reason: reason,
		})
	}
	group.confirmed = false
	old.triedInRound = group.round
	r.tryNextMember(group, old)
	r.searchPrimary(group)
}

// tryNextMember guesses the next member in the order of ids, after the last one tried, as primary. It passes
// over those that this round has tried and those that were reported as replicas lately. At the end of the
// round there is no primary, and writes are held.
func (r *Router) tryNextMember(group *groupState, last *hostState) {
	start := slices.Index(group.members, last) + 1
	group.primary = nil
	for i := range group.members {
		member := group.members[(start+i)%len(group.members)]
		if member != last && r.mayBePrimary(member) {
			member.triedInRound = group.round
			group.primary = member
			return
		}
	}
}

// mayBePrimary reports whether writes should try a member of which nobody knows that it is the primary.
func (r *Router) mayBePrimary(member *hostState) bool {
	if member.triedInRound == member.group.round || member.excluded || member.health != healthy {
		return false
	}
	roleIsFresh := r.now-member.roleAsOf < freshRoleIntervals*r.searchInterval()
	return member.role != Replica || !roleIsFresh
}

// searchPrimary looks for an unconfirmed primary while requests wait: by health checks, less often the longer
// it takes, or by another round of guesses where there are no health checks.
func (r *Router) searchPrimary(group *groupState) {
	waiting := len(group.queue) > 0
	if group.searchingSince == 0 && waiting { // no primary was ever confirmed
		group.searchingSince = r.now
	}
	for _, member := range group.members {
		reachable := member.health == healthy || r.now >= member.nextTryAt
		if waiting && reachable && r.now >= member.nextSearchAt {
			searched := r.now - group.searchingSince
			wait := max(r.searchInterval(), searched/searchBackoffDivisor)
			member.nextSearchAt = r.now + r.spreadOverFleet(wait)
			r.startHealthCheck(member, requiredCheck)
		}
	}
	if r.settings.HealthChecks || group.primary != nil {
		return
	}
	if r.now-group.searchingSince >= r.maxBackoff()/newRoundDivisor {
		group.searchingSince = r.now
		group.round++
		r.tryNextMember(group, nil)
	}
}

// choosePrimary returns the host that a write may go to now, or nil.
func (r *Router) choosePrimary(req *pendingRequest) *hostState {
	host := req.group.primary
	if host == nil || !r.admits(req, host) {
		return nil
	}
	// The repeat of a request is dropped only in the zone that may have executed it.
	zoneBound := req.mayHaveExecuted() && req.class.DeduplicationScope == ScopeZone
	if zoneBound && host.zone != req.executedZone {
		return nil
	}
	return host
}

// primaryForRead returns the primary if a read may go there now, or nil. One that is only guessed does not
// qualify: its data may be of any age.
func (r *Router) primaryForRead(req *pendingRequest) *hostState {
	host := req.group.primary
	if host == nil || !host.wasPrimary || host.role == Replica || !r.admits(req, host) {
		return nil
	}
	return host
}
