package balance

import (
	"cloverrock/internal/gossip"
)

// This file passes on to the other gateways of the fleet what hosts have told this one, and takes in what
// they pass on. Package gossip decides what is worth telling, to whom and when.

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

// publishFact notes, for the other gateways, what a host itself has told.
func (r *Router) publishFact(host *hostState, position int64, role Role) {
	r.gossip.Record(gossip.HostFact{Host: host.id, Position: position, Role: gossip.Role(role)})
}

// checkForFleet checks the hosts of which this gateway is to tell the others.
func (r *Router) checkForFleet() {
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

// handleGossip takes a message of another gateway.
func (r *Router) handleGossip(peer int, data []byte) {
	facts := r.gossip.Receive(r.now, peer, data)
	if malformed := r.gossip.TakeMalformedReport(r.now); malformed > 0 {
		r.log(LogEntry{Message: "balance: malformed gossip messages dropped", Count: malformed})
	}
	for i := range facts {
		r.applyFact(&facts[i])
	}
}

// applyFact takes what another gateway has heard of a host as if this one had heard it. A role is as old as
// the position that came with it.
func (r *Router) applyFact(fact *gossip.HostFact) {
	host := r.hosts[fact.Host]
	if fact.Position > host.position {
		r.recordPosition(host, fact.Position)
		host.lastHeardAt = max(host.lastHeardAt, fact.Position)
		host.silentSince = max(host.silentSince, fact.Position)
		// A host that is down does not advance, so it has come back.
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
