package warmstart

import (
	"fmt"
	"maps"
	"slices"

	"cloverrock/balance"
)

const (
	maxFuture    = 5_000_000     // microseconds by which a stored time may be in the future and still be valid
	maxSlowStart = 3_600_000_000 // microseconds; a slow start that ends later than this is invalid
)

// Restored is the stored routing state that a restarted gateway may use.
type Restored struct {
	Snapshot  balance.Snapshot
	List      *EndpointList // nil if there is none, or if it is not newer than the gateway's list
	Discarded []string      // for the log: which parts are not used, and why
}

// Restore returns the part of the cached state that may be used at the time now, in microseconds. generation is the
// generation of the endpoint list that the gateway already has.
//
// A log position is a lower bound and stays valid. The exception is a position that was observed while its host was the
// primary: if the host is not the stored primary any more, its position may be ahead of every other host and is not
// used. The primary of a group, and whether a host is down, and its concurrency limit, are used up to Config.MaxAge. A
// slow start is used until its end. Times in the future are invalid.
func (c *Cache) Restore(now, generation int64) Restored {
	restored := Restored{Snapshot: balance.Snapshot{SessionFloor: c.sessionFloor}}
	if c.list.Generation > generation {
		list := c.list
		restored.List = &list
	}
	for _, id := range slices.Sorted(maps.Keys(c.groups)) {
		primary := c.groups[id]
		if !c.recent(now, primary.At) {
			restored.discard("group %d: primary %s is %d s old", id, primary.Host, (now-primary.At)/1e6)
			continue
		}
		group := balance.GroupSnapshot{Group: id, Primary: primary.Host, ObservedAt: min(primary.At, now)}
		restored.Snapshot.Groups = append(restored.Snapshot.Groups, group)
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		restored.Snapshot.Hosts = append(restored.Snapshot.Hosts, c.restoreHost(now, id, &restored))
	}
	return restored
}

func (r *Restored) discard(format string, args ...any) {
	r.Discarded = append(r.Discarded, fmt.Sprintf(format, args...))
}

// recent reports whether a record of the given time may still be used.
func (c *Cache) recent(now, at int64) bool {
	return at <= now+maxFuture && now-at <= c.conf.MaxAge
}

// restoreHost returns the usable part of a host's record. It reports a position that is not used in restored.Discarded.
func (c *Cache) restoreHost(now int64, id string, restored *Restored) balance.HostSnapshot {
	stored := c.hosts[id]
	host := balance.HostSnapshot{
		Host:       id,
		Group:      stored.Group,
		Position:   stored.Position,
		PositionAt: min(stored.PositionAt, now),
	}
	formerPrimary := stored.Primary && c.groups[stored.Group].Host != id
	if stored.Position > now+maxFuture || formerPrimary {
		host.Position = 0
		host.PositionAt = 0
		restored.discard("host %s: its position was observed when it was still the primary, or is in the future", id)
	}
	if c.recent(now, stored.At) {
		host.Unhealthy = stored.Down
		host.ConcurrencyLimit = stored.ConcurrencyLimit
	}
	if stored.SlowStartUntil > now && stored.SlowStartUntil < now+maxSlowStart {
		host.SlowStartUntil = stored.SlowStartUntil
	}
	return host
}
