package balance

import (
	"slices"
)

const (
	freshRoleIntervals   = 4 // search intervals for which a reported role is considered current
	searchBackoffDivisor = 8 // the wait between two checks is the time searched so far, divided by this
	roundDivisor         = 4 // without health checks, a round takes the longest backoff divided by this
)

// hostRole is the role of a host and the evidence for it. Later evidence replaces earlier evidence.
type hostRole struct {
	role         Role
	roleAsOf     int64 // time of the evidence for role
	wasPrimary   bool  // listed, reported or restored as primary, and no later answer showed it as a replica
	triedInRound int   // round of the group in which writes last tried the host
	nextSearchAt int64 // no search checks the host before this time
}

// groupPrimary is the discovery of a group's primary.
type groupPrimary struct {
	primary        *hostState // the member that writes go to; nil while writes wait
	confirmed      bool       // an answer or report showed it to be the primary; otherwise it is a guess
	round          int        // round of guesses (0: none yet), in which writes try each member once
	searchingSince int64      // when the latest search began; 0 if none has begun
}

// recordReport applies a host's report of itself. The role in it is as old as the position in it, or without
// one as the request that it came with, so a report that arrives late does not override a newer answer.
func (r *Router) recordReport(host *hostState, report *HostReport, sentAt int64) {
	asOf := sentAt
	if report.HasPosition {
		r.recordPosition(host, report.Position)
		asOf = min(r.now-int64(r.healthCheckRTT), report.Position)
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

// recordPosition records a log position that a host has just reported. Positions never decrease.
func (r *Router) recordPosition(host *hostState, position int64) {
	host.position = max(host.position, position)
	host.positionReceivedAt = r.now
}

// recordRole records evidence of a host's role as of a time. The latest evidence wins, also if two hosts of a
// group claim to be the primary.
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

// confirmPrimary makes a host that reported itself as primary the target of writes, unless another member is
// confirmed by later evidence.
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

// demotePrimary stops writes to the primary and guesses the next one. The reason is for the log line.
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
	r.guessNextPrimary(group, old)
	r.searchPrimary(group)
}

// guessNextPrimary makes the next member, in the order of ids after the last one tried, the guessed primary.
// It skips members that were tried in this round, were recently reported as replicas, are excluded or are not
// healthy. At the end of the round there is no primary, and writes wait.
func (r *Router) guessNextPrimary(group *groupState, last *hostState) {
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

// mayBePrimary reports whether writes should try a member that is not confirmed as primary.
func (r *Router) mayBePrimary(member *hostState) bool {
	if member.triedInRound == member.group.round || member.excluded || member.health != healthy {
		return false
	}
	roleIsFresh := r.now-member.roleAsOf < freshRoleIntervals*r.searchInterval()
	return member.role != Replica || !roleIsFresh
}

// searchPrimary searches for the primary of a group that has no confirmed one. While requests wait, it starts
// health checks of the members, less often the longer the search takes. Without health checks, it begins
// another round of guesses.
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
	if r.now-group.searchingSince >= r.maxBackoff()/roundDivisor {
		group.searchingSince = r.now
		group.round++
		r.guessNextPrimary(group, nil)
	}
}

// choosePrimary returns the host that a write may go to now, or nil.
func (r *Router) choosePrimary(req *pendingRequest) *hostState {
	host := req.group.primary
	if host == nil || !r.admits(req, host) {
		return nil
	}
	// With ScopeZone, a repeat is dropped only in the zone that may have executed the request.
	zoneBound := req.mayHaveExecuted() && req.class.DeduplicationScope == ScopeZone
	if zoneBound && (host.zone == UnknownZone || host.zone != req.execution.zone) {
		return nil
	}
	return host
}

// primaryForRead returns the primary if a read may go there now, or nil. A member that writes try only
// because it is the next one in the order of ids does not qualify: its data may be of any age.
func (r *Router) primaryForRead(req *pendingRequest) *hostState {
	host := req.group.primary
	if host == nil || !host.isAssumedPrimary() || !r.admits(req, host) {
		return nil
	}
	return host
}
