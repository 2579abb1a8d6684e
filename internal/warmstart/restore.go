package warmstart

import (
	"fmt"
	"maps"
	"slices"

	"cloverrock/balance"
)

const (
	maxFuture    = 5_000_000     // microseconds that a stored time may lie in the future before it is taken for a fault
	maxSlowStart = 3_600_000_000 // microseconds; a slow start that ends later is taken for a fault
)

// Restored is what a restarted gateway may take from the store.
type Restored struct {
	Snapshot  balance.Snapshot
	List      *EndpointList // nil: none, or not newer than the gateway's
	Discarded []string      // what is not relied on, and why
}

// Restore tells what may be relied on. The generation is that of the list that the gateway has already.
//
// A position is a lower bound and stays true, but one that was observed at a former primary may lie ahead of what the
// other hosts ever had: it is relied on only while the host is the stored primary. Who is primary, down or in slow
// start, and a host's limit, are relied on up to an age. A time from the future is no evidence.
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

// recent reports whether what was true at a time is still relied on.
func (c *Cache) recent(now, at int64) bool {
	return at <= now+maxFuture && now-at <= c.conf.MaxAge
}

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
		restored.discard("host %s: its position is from a primary that is none any more, or from the future", id)
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
