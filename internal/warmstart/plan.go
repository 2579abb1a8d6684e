package warmstart

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cloverrock/balance"
	"cloverrock/internal/store/machine"
)

const (
	// minPositionAdvance is also the age that a record must have for a changed concurrency limit to be written.
	minPositionAdvance = 2_000_000  // microseconds by which a log position must have advanced to be written again
	refreshInterval    = 10_000_000 // microseconds after which an unchanged record is written again
	minLimitChange     = 0.25       // minimum relative change of a concurrency limit to be written
	maxOps             = 64         // maximum number of operations in one transaction
	maxHosts           = 4096       // maximum number of endpoints in a stored list
)

// Plan returns the transactions that bring the store up to date with the router's snapshot and endpoint list. There are
// at most two: one for primaries, which has no effect if another gateway has written one of them in the meantime, and
// one for the rest. Plan returns none within Config.MinInterval of the last plan that wrote something.
// now is in microseconds.
func (c *Cache) Plan(now int64, snapshot balance.Snapshot, list EndpointList) []machine.Command {
	if now-c.plannedAt < c.conf.MinInterval {
		return nil
	}
	var commands []machine.Command
	for _, command := range []*machine.Command{c.planPrimaries(now, snapshot), c.planRest(now, snapshot, list)} {
		if len(command.Then) > 0 {
			commands = append(commands, *command)
		}
	}
	if len(commands) > 0 {
		c.plannedAt = now
	}
	return commands
}

// put adds a write to a transaction.
func put(command *machine.Command, key string, value any) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return // cannot happen: the stored types can always be encoded
	}
	command.Then = append(command.Then, machine.Op{Kind: machine.Put, NS: NS, Key: key, Value: encoded})
}

// planPrimaries returns the transaction for the groups whose primary this router has observed more recently than the
// stored record says.
func (c *Cache) planPrimaries(now int64, snapshot balance.Snapshot) *machine.Command {
	command := &machine.Command{Kind: machine.TransactionKind}
	for _, group := range snapshot.Groups {
		next, changed := c.nextPrimary(now, group)
		if !changed || len(command.Then) >= maxOps {
			continue
		}
		key := groupKey(group.Group)
		unchanged := machine.Compare{NS: NS, Key: key, Target: machine.Modified, Number: c.revisions[group.Group]}
		command.If = append(command.If, unchanged)
		put(command, key, &next)
	}
	return command
}

// nextPrimary returns the new record of a group's primary, and whether it must be written.
func (c *Cache) nextPrimary(now int64, group balance.GroupSnapshot) (next Primary, changed bool) {
	stored, known := c.groups[group.Group]
	next = Primary{Host: group.Primary, Term: stored.Term, At: min(group.ObservedAt, now), By: c.conf.Name}
	sameHost := stored.Host == group.Primary
	switch {
	case !known:
		next.Term = 1
	case !sameHost && group.ObservedAt > stored.At+MaxClockSkew:
		next.Term++
	case sameHost && now-stored.At > refreshInterval:
		next.At = now // the router reports only a host that still answers as primary
	default:
		return next, false
	}
	return next, true
}

// hostWrite is a host's record that must be written.
type hostWrite struct {
	id     string
	host   Host
	urgent bool
}

// planRest returns the transaction for hosts, the endpoint list and the session floor. It has no condition: if two
// gateways write the same host concurrently, the position of either is a valid lower bound, and the other fields are
// written again when they change.
func (c *Cache) planRest(now int64, snapshot balance.Snapshot, list EndpointList) *machine.Command {
	command := &machine.Command{Kind: machine.TransactionKind}
	storable := len(list.Endpoints) > 0 && len(list.Endpoints) <= maxHosts
	if list.Generation > c.list.Generation && storable {
		put(command, listKey, &list)
	}
	if snapshot.SessionFloor > c.sessionFloor+minPositionAdvance {
		put(command, floorKey, &SessionFloor{snapshot.SessionFloor})
	}
	for _, write := range c.hostWrites(now, snapshot.Hosts) {
		if len(command.Then) < maxOps {
			put(command, hostKey(write.id), &write.host)
		}
	}
	for _, id := range c.obsoleteHosts(now, snapshot.Hosts) {
		if len(command.Then) < maxOps {
			command.Then = append(command.Then, machine.Op{Kind: machine.Delete, NS: NS, Key: hostKey(id)})
		}
	}
	return command
}

// hostWrites returns the records that must be written, urgent ones first.
func (c *Cache) hostWrites(now int64, hosts []balance.HostSnapshot) []hostWrite {
	var urgent, others []hostWrite
	for i := range hosts {
		write, needed := c.hostChange(now, &hosts[i])
		switch {
		case !needed:
		case write.urgent:
			urgent = append(urgent, write)
		default:
			others = append(others, write)
		}
	}
	return append(urgent, others...)
}

// hostChange returns a host's new record, and whether it must be written. A change that affects which requests the host
// may receive is urgent.
func (c *Cache) hostChange(now int64, observed *balance.HostSnapshot) (write hostWrite, needed bool) {
	stored, known := c.hosts[observed.Host]
	next := Host{
		Group:            observed.Group,
		Position:         observed.Position,
		PositionAt:       observed.PositionAt,
		Primary:          observed.Primary,
		Down:             observed.Unhealthy,
		SlowStartUntil:   observed.SlowStartUntil,
		ConcurrencyLimit: observed.ConcurrencyLimit,
		At:               now,
		By:               c.conf.Name,
	}
	if observed.Position < stored.Position && observed.Primary == stored.Primary {
		next.Position = stored.Position // a position never decreases
		next.PositionAt = stored.PositionAt
	}
	healthOrRoleChanged := observed.Unhealthy != stored.Down || observed.Primary != stored.Primary
	slowStartChanged := (observed.SlowStartUntil > now) != (stored.SlowStartUntil > now)
	write = hostWrite{observed.Host, next, healthOrRoleChanged || slowStartChanged}
	justWrittenByAnother := stored.At > now-MaxClockSkew && stored.By != c.conf.Name
	if isUnobserved(observed) || justWrittenByAnother {
		return write, false
	}
	age := now - stored.At
	needed = !known || write.urgent ||
		next.Position-stored.Position > minPositionAdvance ||
		age > refreshInterval ||
		limitChanged(stored.ConcurrencyLimit, observed.ConcurrencyLimit) && age > minPositionAdvance
	return write, needed
}

// isUnobserved reports whether the router has no information about a host yet.
func isUnobserved(host *balance.HostSnapshot) bool {
	return host.Position == 0 && !host.Unhealthy && host.SlowStartUntil == 0 && host.ConcurrencyLimit == 0
}

// limitChanged reports whether a concurrency limit differs from the stored one by more than minLimitChange.
func limitChanged(stored, observed float64) bool {
	if stored <= 0 || observed <= 0 {
		return false
	}
	return observed > stored*(1+minLimitChange) || observed < stored*(1-minLimitChange)
}

// obsoleteHosts returns, in order, the ids of stored hosts that are not in present, that this gateway has written last,
// and that are older than Config.MaxAge.
func (c *Cache) obsoleteHosts(now int64, present []balance.HostSnapshot) []string {
	isPresent := map[string]bool{}
	for i := range present {
		isPresent[present[i].Host] = true
	}
	var obsolete []string
	for id, host := range c.hosts {
		if !isPresent[id] && host.By == c.conf.Name && now-host.At > c.conf.MaxAge {
			obsolete = append(obsolete, id)
		}
	}
	slices.Sort(obsolete)
	return obsolete
}
