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
	f := Snapshot{SessionFloor: r.floor}
	for _, g := range r.groups {
		if g.sure && g.primary != nil {
			f.Groups = append(f.Groups, GroupSnapshot{g.id, g.primary.id, g.primary.roleAt})
		}
	}
	for _, h := range r.order {
		if h.phase == Removed {
			continue
		}
		known := HostSnapshot{Host: h.id, Group: h.group.id, Position: h.pos, PositionAt: h.posAt, Primary: h.role == Primary, Down: h.cond == down}
		if h.cold {
			known.SlowStartUntil = h.coldAt + r.set.SlowStartDuration
		}
		if h.lat != 0 { // a limit that nothing was learned from says nothing
			known.ConcurrencyLimit = h.limit
		}
		f.Hosts = append(f.Hosts, known)
	}
	return f
}

// Restore gives a router facts that another has learned. What it has seen itself goes before them.
func (r *Router) Restore(now int64, f Snapshot, acts []Action) []Action {
	r.now, r.acts = now, acts
	r.floor = max(r.floor, f.SessionFloor)
	for _, k := range f.Hosts {
		h := r.hosts[k.Host]
		if h == nil || h.group.id != k.Group {
			continue
		}
		if k.Position > h.pos {
			h.pos, h.posAt = k.Position, max(h.posAt, k.PositionAt)
		}
		if h.heard != 0 {
			continue
		}
		if k.ConcurrencyLimit > 0 {
			h.limit = min(k.ConcurrencyLimit, 2*firstLimit) // it was earned in another hour
		}
		if k.SlowStartUntil > now && !h.cold {
			r.chill(h, k.SlowStartUntil-r.set.SlowStartDuration)
		}
		if k.Down && h.cond == up {
			r.fell(h, false)
		}
	}
	for _, k := range f.Groups {
		h := r.hosts[k.Primary]
		i, known := r.findGroup(k.Group)
		if h == nil || !known || h.group != r.groups[i] || h.group.sure || h.bound || h.cond != up || h.roleAt > k.ObservedAt {
			continue
		}
		// A guess, like the list's: the first answer decides. Who was named before is no longer taken for a primary by
		// reads that need one.
		g := h.group
		if old := g.primary; old != nil && old != h {
			old.been = false
		}
		g.primary, h.been, h.walked = h, true, g.round
		r.dispatch(g)
	}
	return r.acts
}

// SetZoneShares has the router go by what a fleet agrees on from now on; nil: by nothing.
func (r *Router) SetZoneShares(v ZoneShares) { r.view = v }
