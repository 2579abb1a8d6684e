package balance

// This file takes out of a router what a fresh one needs, and gives it to one. It decides nothing: what of it is kept,
// and how much of it may be believed after how long, is decided outside.

// HostSnapshot is what a router knows of a host. Zero values say nothing.
type HostSnapshot struct {
	Host             string
	Group            int64
	Position         int64 // applied at least up to here
	PositionAt       int64 // as heard then
	Primary          bool  // it was primary when last heard
	Down             bool
	SlowStartUntil   int64
	ConcurrencyLimit float64 // own attempts allowed out at once
}

// GroupSnapshot is what a router knows of a group.
type GroupSnapshot struct {
	Group      int64
	Primary    string // the member that an answer or report has named; "": none
	ObservedAt int64  // as of when
}

// Snapshot is what a router knows at a time.
type Snapshot struct {
	Groups       []GroupSnapshot
	Hosts        []HostSnapshot
	SessionFloor int64 // a position that shows all writes of sessions that were forgotten
}

// Snapshot returns what the router knows. Hosts and groups come in the order of their ids.
func (r *Router) Snapshot() Snapshot {
	f := Snapshot{SessionFloor: r.sessionFloor}
	for _, group := range r.groups {
		if group.confirmed && group.primary != nil {
			f.Groups = append(f.Groups, GroupSnapshot{group.id, group.primary.id, group.primary.roleAsOf})
		}
	}
	for _, host := range r.hostsByID {
		if host.state == Removed {
			continue
		}
		known := HostSnapshot{Host: host.id, Group: host.group.id, Position: host.position, PositionAt: host.positionHeardAt, Primary: host.role == Primary, Down: host.health == unhealthy}
		if host.warmingUp {
			known.SlowStartUntil = host.slowStartAt + r.settings.SlowStartDuration
		}
		if host.latency != 0 { // a limit that nothing was learned from says nothing
			known.ConcurrencyLimit = host.concurrencyLimit
		}
		f.Hosts = append(f.Hosts, known)
	}
	return f
}

// Restore gives a router facts that another has learned. What it has seen itself goes before them.
func (r *Router) Restore(now int64, f Snapshot, actions []Action) []Action {
	r.now, r.actions = now, actions
	r.sessionFloor = max(r.sessionFloor, f.SessionFloor)
	for _, k := range f.Hosts {
		host := r.hosts[k.Host]
		if host == nil || host.group.id != k.Group {
			continue
		}
		if k.Position > host.position {
			host.position, host.positionHeardAt = k.Position, max(host.positionHeardAt, k.PositionAt)
		}
		if host.lastHeardAt != 0 {
			continue
		}
		if k.ConcurrencyLimit > 0 {
			host.concurrencyLimit = min(k.ConcurrencyLimit, 2*initialConcurrencyLimit) // it was earned in another hour
		}
		if k.SlowStartUntil > now && !host.warmingUp {
			r.beginSlowStart(host, k.SlowStartUntil-r.settings.SlowStartDuration)
		}
		if k.Down && host.health == healthy {
			r.markUnhealthy(host, false)
		}
	}
	for _, k := range f.Groups {
		host := r.hosts[k.Primary]
		i, known := r.findGroup(k.Group)
		if host == nil || !known || host.group != r.groups[i] || host.group.confirmed || host.excluded || host.health != healthy || host.roleAsOf > k.ObservedAt {
			continue
		}
		// A guess, like the list's: the first answer decides. Who was named before is no longer taken for a primary by
		// reads that need one.
		group := host.group
		if old := group.primary; old != nil && old != host {
			old.wasPrimary = false
		}
		group.primary, host.wasPrimary, host.triedInRound = host, true, group.round
		r.dispatch(group)
	}
	return r.actions
}

// SetZoneShares has the router go by what a fleet agrees on from now on; nil: by nothing.
func (r *Router) SetZoneShares(v ZoneShares) { r.zoneShares = v }
