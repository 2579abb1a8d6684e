package warmstart

import (
	"fmt"
	"maps"
	"slices"

	"cloverrock/balance"
)

const (
	maxFuture    = 5_000_000     // microseconds by which a stored time may be in the future without being treated as invalid
	maxSlowStart = 3_600_000_000 // microseconds; a slow start that ends later is treated as invalid
)

// Restored is the stored routing state that a restarted gateway may use.
type Restored struct {
	Snapshot  balance.Snapshot
	List      *EndpointList // nil: none, or not newer than the gateway's
	Discarded []string      // the parts that are not used, and why, for the log
}

// Restore returns the part of the cached state that may be used at the time now, in microseconds. generation is that of
// the endpoint list that the gateway already has.
//
// A position is a lower bound and remains valid, except that one observed at a former primary may be ahead of every other
// host: it is used only while the host is the stored primary. The primary of a group, and whether a host is down, and
// its concurrency limit, are used up to Config.MaxAge; a slow start until its end. Times in the future are invalid.
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

// restoreHost returns the usable part of a host's record, and adds the other parts to restored.Discarded.
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
		restored.discard("host %s: its position is from a former primary, or from the future", id)
	}
	if c.recent(now, stored.At) {
		host.Down = stored.Down
		host.ConcurrencyLimit = stored.Limit
	}
	if stored.ColdUntil > now && stored.ColdUntil < now+maxSlowStart {
		host.SlowStartUntil = stored.ColdUntil
	}
	return host
}
