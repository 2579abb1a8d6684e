package balance

import (
	"cloverrock/internal/gossip"
)

// This file publishes to the other gateways of the fleet what hosts have reported, and applies what the other
// gateways publish. Package gossip decides what is sent to whom and when. Role and gossip.Role have the same
// numeric values.

// gossipConfig derives the configuration of gossip from the router's.
func gossipConfig(settings *Settings) gossip.Config {
	config := gossip.Config{
		Gateways:        settings.Gateways,
		Ordinal:         settings.Ordinal,
		BytesPerRequest: settings.GossipBytesPerRequest,
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.Consistency == BoundedStaleness {
			config.FreshnessWindow = max(config.FreshnessWindow, class.MaxStaleness)
		}
	}
	return config
}

// publishFact records what a host has reported of itself, for the next messages to the other gateways.
func (r *Router) publishFact(host *hostState, position int64, role Role) {
	r.gossip.Record(gossip.HostFact{Host: host.id, Position: position, Role: gossip.Role(role)})
}

// checkHostsForGossip starts health checks of the hosts that this gateway coordinates and whose position it
// needs for its digests.
func (r *Router) checkHostsForGossip() {
	for _, id := range r.gossip.HostsToCheck(r.now) {
		host := r.hosts[id]
		if host.health == healthy {
			r.startHealthCheck(host, optionalCheck)
		}
	}
}

// sendGossip sends the messages that are due.
func (r *Router) sendGossip() {
	for _, message := range r.gossip.PendingMessages(r.now) {
		r.emit(Action{Kind: GossipAction, Peer: message.To, Data: message.Data})
	}
}

// handleGossip applies a message of another gateway.
func (r *Router) handleGossip(peer int, data []byte) {
	facts := r.gossip.Receive(r.now, peer, data)
	if malformed := r.gossip.TakeMalformedReport(r.now); malformed > 0 {
		r.log(LogEntry{Message: "balance: malformed gossip messages dropped", Count: malformed})
	}
	for i := range facts {
		r.applyFact(&facts[i])
	}
}

// applyFact applies a fact that another gateway has observed as if this gateway had observed it. The role in
// a fact is as of the time of the position in it.
func (r *Router) applyFact(fact *gossip.HostFact) {
	host := r.hosts[fact.Host]
	if fact.Position > host.position {
		r.recordPosition(host, fact.Position)
		host.lastContactAt = max(host.lastContactAt, fact.Position)
		host.silentSince = max(host.silentSince, fact.Position)
		// A host that is down does not advance its position, so it has recovered.
		if host.health == unhealthy && fact.Position > host.unhealthyAt {
			r.markHealthy(host)
		}
	}
	if fact.Role != gossip.Unknown {
		r.recordRole(host, Role(fact.Role), fact.Position)
	}
	if fact.Failing {
		host.countError()
	} else if fact.LatencyShare > 0 {
		host.countSuccess()
		r.adjustLimit(host, fact.LatencyShare)
	}
	r.dispatch(host.group)
}
