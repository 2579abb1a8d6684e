package balance

import (
	"cmp"
	"slices"
	"strings"
)

const (
	minSubscribeBackoff = 20  // maintenance intervals
	maxSubscribeBackoff = 200 // maintenance intervals
)

// hostListing is the state of a host in the endpoint list.
type hostListing struct {
	state     EndpointState
	excluded  bool  // draining or removed: no new attempt may go there
	startedAt int64 // latest start according to the list; 0 if long ago
}

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	retryAt int64 // when to subscribe again after a failure; 0 while subscribed
	backoff int64 // µs
}

// subscriptionFailed schedules the next attempt to subscribe; the backoff doubles with each failure.
func (r *Router) subscriptionFailed() {
	s := &r.subscription
	shortest := minSubscribeBackoff * r.maintenanceInterval()
	longest := maxSubscribeBackoff * r.maintenanceInterval()
	s.backoff = min(max(2*s.backoff, shortest), longest)
	s.retryAt = r.now + s.backoff/2 + r.rand.Below(s.backoff)
}

// renewSubscription subscribes again once the backoff after a failure is over.
func (r *Router) renewSubscription() {
	failed := r.subscription.retryAt != 0
	if r.settings.MustSubscribe && failed && r.now >= r.subscription.retryAt {
		r.subscription.retryAt = 0
		r.emit(Action{Kind: SubscribeAction})
	}
}

// handleEndpoints applies the endpoint list or a part of it.
func (r *Router) handleEndpoints(event *Event) {
	if event.PollFailed {
		r.subscriptionFailed()
		return
	}
	r.subscription = subscription{}
	listed := map[string]bool{}
	for i := range event.Endpoints {
		endpoint := &event.Endpoints[i]
		listed[endpoint.Host] = true
		r.updateEndpoint(endpoint)
	}
	if event.Complete {
		r.removeUnlisted(listed)
	}
	for _, group := range r.groups {
		if group.primary == nil && group.round == 0 {
			group.round = 1
			r.guessNextPrimary(group, nil)
		}
		r.dispatch(group)
	}
}

// updateEndpoint applies one entry of the list. A new start of a host begins its slow start.
func (r *Router) updateEndpoint(endpoint *Endpoint) {
	host := r.hosts[endpoint.Host]
	if host == nil {
		if endpoint.State == Removed {
			return
		}
		host = r.addHost(endpoint)
	}
	if endpoint.Zone != UnknownZone {
		host.zone = endpoint.Zone
	}
	host.state = endpoint.State
	startedAt := min(endpoint.StartedAt, r.now) // a host clock that is ahead must not prolong slow start
	if startedAt > host.startedAt {
		host.startedAt = startedAt
		host.crashed = false
		if r.now-startedAt < r.settings.SlowStartDuration {
			r.beginSlowStart(host, startedAt)
		}
	}
	r.updateExclusion(host)
}

// removeUnlisted marks the hosts that a complete list lacks as removed.
func (r *Router) removeUnlisted(listed map[string]bool) {
	for _, host := range r.hostsByID {
		if !listed[host.id] && host.state != Removed {
			host.state = Removed
			r.updateExclusion(host)
		}
	}
}

// updateExclusion excludes draining and removed hosts at once, without a grace period. With
// Settings.OnlyDrainingExcludes, a host that left the list without draining may still serve.
func (r *Router) updateExclusion(host *hostState) {
	switch host.state {
	case Draining:
		host.excluded = true
	case Removed:
		host.excluded = host.excluded || !r.settings.OnlyDrainingExcludes
	default:
		host.excluded = false
	}
	if host.excluded && host.group.primary == host {
		r.demotePrimary(host.group, "excluded")
	}
}

// addHost adds a host that the list names for the first time.
func (r *Router) addHost(endpoint *Endpoint) *hostState {
	group := r.groupOf(endpoint.Group)
	host := &hostState{id: endpoint.Host, zone: UnknownZone, group: group}
	host.concurrencyLimit = initialConcurrencyLimit
	r.hosts[host.id] = host
	r.gossip.AddHost(host.id, endpoint.Group)
	r.hostsByID = insertByID(r.hostsByID, host)
	group.members = insertByID(group.members, host)
	// The list also marks former primaries, so the marked host is only a guess.
	if endpoint.Primary && group.primary == nil && group.round == 0 {
		group.primary = host
		group.round = 1
		host.wasPrimary = true
		host.triedInRound = 1
	}
	return host
}

// insertByID adds a host to a list that is sorted by id.
func insertByID(hosts []*hostState, host *hostState) []*hostState {
	byID := func(a, b *hostState) int { return strings.Compare(a.id, b.id) }
	i, _ := slices.BinarySearchFunc(hosts, host, byID)
	return slices.Insert(hosts, i, host)
}

// groupOf returns the group with an id, and adds it if it does not exist.
func (r *Router) groupOf(id int64) *groupState {
	i, known := r.findGroup(id)
	if !known {
		r.groups = slices.Insert(r.groups, i, &groupState{id: id})
	}
	return r.groups[i]
}

// findGroup returns the index of a group in r.groups, which is sorted by id, and whether the group exists. If
// it does not, the index is the position at which to insert it.
func (r *Router) findGroup(id int64) (index int, known bool) {
	byID := func(group *groupState, id int64) int { return cmp.Compare(group.id, id) }
	return slices.BinarySearchFunc(r.groups, id, byID)
}

// removeUnusedHosts drops removed hosts that have no attempt or health check pending.
func (r *Router) removeUnusedHosts() {
	r.hostsByID = slices.DeleteFunc(r.hostsByID, func(host *hostState) bool {
		removed := host.state == Removed && host.excluded
		if !removed || len(host.inFlight) > 0 || host.checkPending {
			return false
		}
		delete(r.hosts, host.id)
		r.gossip.RemoveHost(host.id)
		members := host.group.members
		host.group.members = slices.DeleteFunc(members, func(m *hostState) bool { return m == host })
		return true
	})
}
