package balance

import (
	"math"
	"slices"
)

const (
	// connectedWeight is the factor by which an open connection raises the weight of a host in the draw. New
	// connections cost hosts work, which adds up over all gateways.
	connectedWeight = 16.0
	// maxUncheckedAttempts is the number of attempts after which a read goes only to hosts whose known
	// position satisfies it.
	maxUncheckedAttempts = 2
	// positionChecks is the number of replicas that are checked for a read that waits for a position.
	positionChecks = 2
	// positionWaitInterval is the shortest time between two such checks for the same read, in search
	// intervals.
	positionWaitInterval = 3
)

// chooseReplica returns the host that a read may go to now, or nil if the read must wait. It draws two
// replicas at random among those whose known position satisfies the read, and returns the better one. If
// there are none and hosts check staleness themselves, it draws among the replicas that should have caught
// up by now. The primary is the last resort.
func (r *Router) chooseReplica(req *pendingRequest) *hostState {
	if req.class.Consistency == Linearizable {
		return r.primaryForRead(req)
	}
	var (
		group            = req.group
		minPosition      = r.minPosition(req, r.now)
		isLong           = r.isLongRead(req)
		longReadHosts    = r.longReadHosts(group)
		draw             replicaDraw
		freshReplicaBusy bool
	)
	for _, member := range group.members {
		if r.skipsMember(req, member) {
			continue
		}
		admitted := r.admits(req, member)
		if isLong && member.takesLongReads() {
			longReadHosts--
			if admitted {
				return member
			}
			if longReadHosts == 0 {
				return nil
			}
			continue
		}
		fresh := member.position >= minPosition
		if !admitted {
			freshReplicaBusy = freshReplicaBusy || fresh && member.health == healthy
			continue
		}
		if fresh || !draw.fresh && r.mayHaveCaughtUp(req, member, minPosition) {
			draw.add(member, r.drawKey(member), fresh)
		}
	}
	if chosen := r.betterDrawn(&draw); chosen != nil {
		return chosen
	}
	return r.primaryOrWait(req, minPosition, freshReplicaBusy)
}

// longReadHosts returns the number of members that long reads go to. It grows with the part of all work
// that is long reads, is at least 1, and leaves out the primary and one replica. A long read may keep its
// host from applying the log, so long reads on all replicas would leave none of them fresh.
func (r *Router) longReadHosts(group *groupState) int {
	available := float64(len(group.members) - 2)
	return max(1, int(r.traffic.longReadShare*available))
}

// takesLongReads reports whether a host is one of those that long reads may go to. The long reads go to the
// first of these in the order of ids, so that all gateways select the same ones.
func (h *hostState) takesLongReads() bool {
	return h.health == healthy && !h.excluded && !h.warmingUp && !h.isFailing()
}

// skipsMember reports whether a read skips a member, whatever its state: the primary, the host of the
// last failed attempt where there are others, and hosts in a zone that reads avoid.
func (r *Router) skipsMember(req *pendingRequest, member *hostState) bool {
	group := req.group
	if member == group.primary && group.confirmed {
		return true
	}
	if member == req.lastHost && len(group.members) > 2 {
		return true
	}
	return r.zoneShares != nil && r.avoidsZone(req, member)
}

// mayHaveCaughtUp reports whether a read may try a replica whose known position does not satisfy it. The
// hosts must check staleness themselves. In addition, the replica should be fresh enough by its last known
// lag, or that lag must be outdated.
func (r *Router) mayHaveCaughtUp(req *pendingRequest, host *hostState, minPosition int64) bool {
	if !r.settings.HostsCheckStaleness || req.attemptsSent > maxUncheckedAttempts {
		return false
	}
	lag := host.positionReceivedAt - host.position
	tooFarBehind := r.now-lag < minPosition
	positionIsRecent := r.now-host.positionReceivedAt < max(2*r.searchInterval(), lag)
	return !tooFarBehind || !positionIsRecent
}

// replicaDraw collects a random draw of two hosts by weight: those with the lowest keys (see drawKey). Hosts
// whose known position satisfies the read replace all others.
type replicaDraw struct {
	first, second       *hostState
	firstKey, secondKey float64
	fresh               bool // the known positions of the hosts satisfy the read
}

func (d *replicaDraw) add(host *hostState, key float64, fresh bool) {
	if fresh && !d.fresh {
		*d = replicaDraw{fresh: true}
	}
	switch {
	case d.first == nil || key < d.firstKey:
		d.second, d.secondKey = d.first, d.firstKey
		d.first, d.firstKey = host, key
	case d.second == nil || key < d.secondKey:
		d.second, d.secondKey = host, key
	}
}

// drawKey returns a random, exponentially distributed key for a host. The host with the lowest of several
// keys is a random choice by weight. The weight is the host's capacity share in slow start, and higher with
// an open connection.
func (r *Router) drawKey(host *hostState) float64 {
	weight := r.slowStartShare(host)
	if host.connected {
		weight *= connectedWeight
	}
	return -math.Log(1-r.rand.Fraction()) / weight
}

// betterDrawn returns the better one of the drawn hosts, or nil if none was drawn.
func (r *Router) betterDrawn(draw *replicaDraw) *hostState {
	if draw.second != nil && r.preferred(draw.second, draw.first) {
		return draw.second
	}
	return draw.first
}

// preferred reports whether a read goes to host a rather than b. A host that is not failing is preferred. If
// crossing zones has a cost, a host in the gateway's zone is preferred to an equally busy one elsewhere.
// Otherwise the host with less load is preferred.
func (r *Router) preferred(a, b *hostState) bool {
	if a.isFailing() != b.isFailing() { // errors are quick, so a failing host looks idle
		return b.isFailing()
	}
	aIsLocal := a.zone == r.settings.Zone
	bIsLocal := b.zone == r.settings.Zone
	if r.settings.CrossZoneCost > 0 && aIsLocal != bIsLocal && len(a.inFlight) == len(b.inFlight) {
		return aIsLocal
	}
	return r.lessLoaded(a, b)
}

// lessLoaded reports whether a read goes to host a rather than b because of their load. All gateways have the
// same view of the load, so if each moved all of its reads to the less loaded host, they would overload it.
// Each therefore moves only as many of the reads that start before the next digest as balance the difference.
func (r *Router) lessLoaded(a, b *hostState) bool {
	loadA, starting := r.gossip.Load(r.now, a.id)
	loadB, _ := r.gossip.Load(r.now, b.id)
	difference := float64(len(b.inFlight)-len(a.inFlight)) + loadB - loadA
	if b.connected && !a.connected { // the difference must outweigh the cost of a new connection
		difference -= float64(starting / 2)
	}
	return difference+float64(starting/2) > starting*r.rand.Fraction()
}

// primaryOrWait returns the primary for a read that no replica can take now, or nil if the read is to wait. A
// read of its session's own writes goes to the primary at once, which has all of them. A read with bounded
// staleness first waits for health checks, which show whether a replica has caught up.
func (r *Router) primaryOrWait(req *pendingRequest, minPosition int64, freshReplicaBusy bool) *hostState {
	primary := r.primaryForRead(req)
	prefersReplica := primary == nil || req.class.Consistency == BoundedStaleness
	// A health check does not help if a fresh replica is merely busy, or if hosts check staleness themselves.
	checkHelps := !freshReplicaBusy && minPosition > 0 && !r.settings.HostsCheckStaleness
	if prefersReplica && checkHelps && r.waitForPosition(req) {
		return nil
	}
	return primary
}

// waitForPosition checks the positions of some replicas for a read, and reports whether the read is to wait
// for the results. With little traffic, known positions are outdated at every read, but health checks in
// advance of reads would cost more.
func (r *Router) waitForPosition(req *pendingRequest) bool {
	if r.now >= req.positionWaitUntil+positionWaitInterval*r.searchInterval() {
		r.checkPositions(req)
	}
	if r.now >= req.positionWaitUntil {
		return false
	}
	pending := func(member *hostState) bool { return member.checkPending }
	return slices.ContainsFunc(req.group.members, pending)
}

// checkPositions checks the positions of up to positionChecks replicas, starting at a random one, and sets
// how long the read waits for the results.
func (r *Router) checkPositions(req *pendingRequest) {
	req.positionWaitUntil = r.now
	members := req.group.members
	start := int(r.rand.Below(int64(len(members))))
	checked := 0
	for i := range members {
		member := members[(start+i)%len(members)]
		if member.health != healthy || member == req.group.primary || !r.ensurePositionCheck(member) {
			continue
		}
		if member.checkPending {
			roundTrips := int64(2 * r.healthCheckRTT)
			req.positionWaitUntil = r.now + roundTrips + r.maintenanceInterval()
		}
		checked++
		if checked == positionChecks {
			return
		}
	}
}

// ensurePositionCheck starts a health check of a host, unless one is pending or was started recently. It
// returns false if a check was needed but could not be started.
func (r *Router) ensurePositionCheck(host *hostState) bool {
	if host.checkPending || r.now-host.checkedAt < r.searchInterval() {
		return true
	}
	return r.startHealthCheck(host, optionalCheck)
}
