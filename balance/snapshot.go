package balance

// This file takes out of a router what a fresh one needs, and gives it to one. What of it is kept, and for
// how long it is believed, is decided outside.

// HostSnapshot is what a router knows of a host. A zero value tells nothing.
type HostSnapshot struct {
	Host             string
	Group            int64
	Position         int64 // the host has applied its log up to here, at least
	PositionAt       int64 // when that was heard
	Primary          bool  // it was primary when last heard
	Down             bool  // it was unhealthy
	SlowStartUntil   int64
	ConcurrencyLimit float64 // attempts of one gateway allowed in flight
}

// GroupSnapshot is what a router knows of a group.
type GroupSnapshot struct {
	Group      int64
	Primary    string // the member that an answer or report has named as primary
	ObservedAt int64  // time of which that is known
}

// Snapshot is what a router knows at a time. Hosts and groups are in the order of their ids.
type Snapshot struct {
	Groups       []GroupSnapshot
	Hosts        []HostSnapshot
	SessionFloor int64 // a position that shows all writes of sessions that were forgotten
}

// Snapshot returns what the router knows.
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
		PositionAt: host.positionHeardAt,
		Primary:    host.role == Primary,
		Down:       host.health == unhealthy,
	}
	if host.warmingUp {
		snapshot.SlowStartUntil = host.slowStartAt + r.settings.SlowStartDuration
	}
	if host.latency.known() { // a limit that no answer has adjusted tells nothing
		snapshot.ConcurrencyLimit = host.concurrencyLimit
	}
	return snapshot
}

// Restore gives a router what another one knew, and appends the actions that follow. What the router has seen
// itself takes precedence; hosts and groups that it does not know are ignored.
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

func (r *Router) restoreHost(known *HostSnapshot) {
	host := r.hosts[known.Host]
	if host == nil || host.group.id != known.Group {
		return
	}
	if known.Position > host.position {
		host.position = known.Position
		host.positionHeardAt = max(host.positionHeardAt, known.PositionAt)
	}
	if host.lastHeardAt != 0 {
		return
	}
	if known.ConcurrencyLimit > 0 { // it was adjusted to the load of an earlier time
		host.concurrencyLimit = min(known.ConcurrencyLimit, 2*initialConcurrencyLimit)
	}
	if known.SlowStartUntil > r.now && !host.warmingUp {
		r.beginSlowStart(host, known.SlowStartUntil-r.settings.SlowStartDuration)
	}
	if known.Down && host.health == healthy {
		r.markUnhealthy(host, false)
	}
}

// restoreGroup takes the named primary as a guess, like that of the endpoint list: the first answer decides.
func (r *Router) restoreGroup(known *GroupSnapshot) {
	host := r.hosts[known.Primary]
	i, inList := r.findGroup(known.Group)
	if host == nil || !inList || host.group != r.groups[i] || host.group.confirmed {
		return
	}
	if host.excluded || host.health != healthy || host.roleAsOf > known.ObservedAt {
		return
	}
	group := host.group
	// Reads that need the primary no longer go to the one that was guessed before.
	if old := group.primary; old != nil && old != host {
		old.wasPrimary = false
	}
	group.primary = host
	host.wasPrimary = true
	host.triedInRound = group.round
	r.dispatch(group)
}
