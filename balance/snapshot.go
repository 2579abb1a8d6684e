package balance

// This file saves the part of a router's state that a new router can start from, and restores it. The
// embedding program decides where a snapshot is stored and for how long it is valid.

// HostSnapshot is the saved state of a host. A zero value of a field means unknown.
type HostSnapshot struct {
	Host             string
	Group            int64
	Position         int64   // the host has applied its log at least up to here
	PositionAt       int64   // when Position was received
	Primary          bool    // its last known role was primary
	Unhealthy        bool    // the host was unhealthy
	SlowStartUntil   int64   // end of its slow start; 0 if it was in none
	ConcurrencyLimit float64 // attempts of one gateway allowed in flight
}

// GroupSnapshot is the confirmed primary of a group.
type GroupSnapshot struct {
	Group      int64
	Primary    string // the member that an answer or report showed to be the primary
	ObservedAt int64  // time of that evidence
}

// Snapshot is the state of a router that another one can start from. Hosts and groups are sorted by id.
type Snapshot struct {
	Groups       []GroupSnapshot
	Hosts        []HostSnapshot
	SessionFloor int64 // a position that covers all commits of sessions that were dropped
}

// Snapshot returns the state that Restore accepts.
func (r *Router) Snapshot() Snapshot {
	snapshot := Snapshot{SessionFloor: r.sessions.floor}
	for _, group := range r.groups {
		if group.confirmed && group.primary != nil {
			snapshot.Groups = append(snapshot.Groups, GroupSnapshot{
				Group:      group.id,
				Primary:    group.primary.id,
				ObservedAt: group.primary.roleAsOf,
			})
		}
	}
	for _, host := range r.hostsByID {
		if host.state != Removed {
			snapshot.Hosts = append(snapshot.Hosts, r.snapshotHost(host))
		}
	}
	return snapshot
}

func (r *Router) snapshotHost(host *hostState) HostSnapshot {
	snapshot := HostSnapshot{
		Host:       host.id,
		Group:      host.group.id,
		Position:   host.position,
		PositionAt: host.positionReceivedAt,
		Primary:    host.role == Primary,
		Unhealthy:  host.health == unhealthy,
	}
	if host.warmingUp {
		snapshot.SlowStartUntil = host.slowStartAt + r.settings.SlowStartDuration
	}
	if host.latency.known() { // before the first answer, the limit is still the initial one
		snapshot.ConcurrencyLimit = host.concurrencyLimit
	}
	return snapshot
}

// Restore applies the state of another router, and appends the resulting actions. What the router itself has
// observed takes precedence. Hosts and groups that no endpoint list has named are ignored.
func (r *Router) Restore(now int64, snapshot Snapshot, actions []Action) []Action {
	r.now = now
	r.actions = actions
	r.sessions.floor = max(r.sessions.floor, snapshot.SessionFloor)
	for i := range snapshot.Hosts {
		r.restoreHost(&snapshot.Hosts[i])
	}
	for i := range snapshot.Groups {
		r.restoreGroup(&snapshot.Groups[i])
	}
	return r.actions
}

// restoreHost applies the saved state of a host. Only its position is used if the host has answered already.
func (r *Router) restoreHost(saved *HostSnapshot) {
	host := r.hosts[saved.Host]
	if host == nil || host.group.id != saved.Group {
		return
	}
	if saved.Position > host.position {
		host.position = saved.Position
		host.positionReceivedAt = max(host.positionReceivedAt, saved.PositionAt)
	}
	if host.lastContactAt != 0 {
		return
	}
	if saved.ConcurrencyLimit > 0 { // capped, since the saved limit was adjusted to an earlier load
		host.concurrencyLimit = min(saved.ConcurrencyLimit, 2*initialConcurrencyLimit)
	}
	if saved.SlowStartUntil > r.now && !host.warmingUp {
		r.beginSlowStart(host, saved.SlowStartUntil-r.settings.SlowStartDuration)
	}
	if saved.Unhealthy && host.health == healthy {
		r.markUnhealthy(host, false)
	}
}

// restoreGroup makes the saved primary the guessed primary of its group, until an answer confirms or
// refutes it.
func (r *Router) restoreGroup(saved *GroupSnapshot) {
	host := r.hosts[saved.Primary]
	i, inList := r.findGroup(saved.Group)
	if host == nil || !inList || host.group != r.groups[i] || host.group.confirmed {
		return
	}
	if host.excluded || host.health != healthy || host.roleAsOf > saved.ObservedAt {
		return
	}
	group := host.group
	// Reads that need the primary must not go to the previous guess.
	if old := group.primary; old != nil && old != host {
		old.wasPrimary = false
	}
	group.primary = host
	host.wasPrimary = true
	host.triedInRound = group.round
	r.dispatch(group)
}
