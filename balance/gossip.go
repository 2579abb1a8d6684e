package balance

import (
	"strconv"

	"cloverrock/internal/gossip"
)

// This file passes on to other routers what hosts have told this one, and takes in what they pass on. What is worth
// telling, and to whom, is decided in internal/gossip; a fact that others heard counts as one that this router heard.

// publishFact notes what a host itself has told, for the other routers.
func (r *Router) publishFact(host *hostState, position int64, role Role) {
	r.gossip.Record(gossip.HostFact{Host: host.id, Position: position, Role: gossip.Role(role)})
}

// recordLatencyShare takes how much of its aim an attempt of ours took, or will take at the least.
func (r *Router) recordLatencyShare(host *hostState, share float64) {
	r.gossip.RecordLatencyShare(host.id, share, false)
	r.adjustLimit(host, share)
}

// checkForFleet asks hosts of which the fleet is to hear, on behalf of all.
func (r *Router) checkForFleet() {
	for _, id := range r.gossip.HostsToCheck(r.now) {
		if host := r.hosts[id]; host.health == healthy {
			r.startHealthCheck(host, 1)
		}
	}
}

// sendGossip sends what is due to the others.
func (r *Router) sendGossip() {
	for _, m := range r.gossip.PendingMessages(r.now) {
		r.emit(Action{Kind: GossipAction, Peer: m.To, Data: m.Data})
	}
}

// handleGossip takes what another router tells. A role is as old as the position that came with it.
func (r *Router) handleGossip(peer int, data []byte) {
	facts := r.gossip.Receive(r.now, peer, data)
	if n := r.gossip.TakeMalformedReport(r.now); n > 0 {
		r.log(strconv.Itoa(n) + " messages of other routers could not be read")
	}
	for _, f := range facts {
		host := r.hosts[f.Host]
		if f.Position > host.position {
			host.position, host.positionHeardAt = f.Position, r.now
			host.lastHeardAt, host.silentSince = max(host.lastHeardAt, f.Position), max(host.silentSince, f.Position)
			if host.health == unhealthy && f.Position > host.unhealthyAt { // no host moves on while it is down
				r.markHealthy(host)
			}
		}
		if f.Role != gossip.Unknown {
			r.recordRole(host, Role(f.Role), f.Position)
		}
		if f.Failing {
			host.errorShare += ewmaWeight * (1 - host.errorShare)
		} else if f.LatencyShare > 0 {
			host.errorShare -= ewmaWeight * host.errorShare
			r.adjustLimit(host, f.LatencyShare)
		}
		r.dispatch(host.group)
	}
}
