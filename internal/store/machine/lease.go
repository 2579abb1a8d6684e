package machine

import (
	"cmp"
	"maps"
	"slices"
)

// MaxTTL bounds the duration of a lease in milliseconds.
const MaxTTL = 24 * 3600 * 1000

// lease ends at a time of the logical clock, and its keys are deleted then.
type lease struct {
	id       uint64
	ttl, end int64               // duration and end, in milliseconds of the logical clock
	keys     map[string]struct{} // by storageKey
}

func newLease(id uint64, ttl, end int64) *lease {
	return &lease{id: id, ttl: ttl, end: end, keys: map[string]struct{}{}}
}

func (m *Machine) grantLease(id uint64, ttl int64) Result {
	if ttl <= 0 || ttl > MaxTTL {
		return Result{Code: BadAmount}
	}
	m.leases[id] = newLease(id, ttl, m.clock+ttl)
	return Result{ID: id}
}

func (m *Machine) keepAlive(id uint64) Code {
	lease := m.leases[id]
	if lease == nil {
		return NoLease
	}
	lease.end = m.clock + lease.ttl
	return OK
}

func (m *Machine) revokeLease(id uint64) Code {
	lease := m.leases[id]
	if lease == nil {
		return NoLease
	}
	m.endLease(lease)
	return OK
}

// advanceClock advances the logical clock by at most MaxTTL, and ends the leases that have expired.
func (m *Machine) advanceClock(milliseconds int64) Code {
	if milliseconds < 0 || milliseconds > MaxTTL {
		return BadAmount
	}
	m.clock += milliseconds
	m.endExpiredLeases()
	return OK
}

// detachLease removes a key from the lease that it has, if any. fullKey is the key's storage key.
func (m *Machine) detachLease(kv *KV, fullKey string) {
	if lease := m.leases[kv.Lease]; lease != nil {
		delete(lease.keys, fullKey)
	}
}

// endLease ends a lease and deletes its keys, all at one revision.
func (m *Machine) endLease(ended *lease) {
	delete(m.leases, ended.id)
	next := m.revision + 1
	for _, fullKey := range slices.Sorted(maps.Keys(ended.keys)) {
		m.remove(fullKey, next)
	}
}

// endExpiredLeases ends expired leases in the order of their ids, so that the revisions are the same at every instance.
func (m *Machine) endExpiredLeases() {
	var expired []*lease
	for _, lease := range m.leases {
		if lease.end <= m.clock {
			expired = append(expired, lease)
		}
	}
	slices.SortFunc(expired, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	for _, lease := range expired {
		m.endLease(lease)
	}
}
