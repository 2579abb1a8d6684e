package machine

import (
	"bytes"
)

// executeTransaction evaluates the conditions and then executes one of the two lists of operations, completely or not
// at all.
func (m *Machine) executeTransaction(command *Command) Result {
	result := Result{Holds: true}
	for i := range command.If {
		if !m.holds(&command.If[i]) {
			result.Holds = false
		}
	}
	ops := command.Then
	if !result.Holds {
		ops = command.Else
	}
	result.Code = m.validate(ops)
	if result.Code != OK {
		return result
	}
	next := m.revision + 1
	for i := range ops {
		op := &ops[i]
		switch op.Kind {
		case Put:
			m.put(op, next)
		case Delete:
			m.remove(storageKey(op.NS, op.Key), next)
		case Get:
			if kv, found := m.Get(op.NS, op.Key); found {
				result.KVs = append(result.KVs, kv)
			}
		case List:
			result.KVs = append(result.KVs, m.List(op.NS, op.Key, op.Limit)...)
		}
	}
	return result
}

// validate validates all operations before any of them is executed.
func (m *Machine) validate(ops []Op) Code {
	for i := range ops {
		op := &ops[i]
		if !op.wellFormed() {
			return Malformed
		}
		if op.Lease != 0 && op.Kind != Put {
			return LeaseNotAllowed
		}
		if op.Lease != 0 && m.leases[op.Lease] == nil {
			return NoLease
		}
	}
	return OK
}

func (o *Op) wellFormed() bool {
	validKey := ValidName(o.Key) || o.Kind == List && o.Key == ""
	return o.Kind != 0 && o.Kind <= lastOp && ValidName(o.NS) && validKey
}

func (m *Machine) holds(condition *Compare) bool {
	kv, found := m.keys.Get(storageKey(condition.NS, condition.Key))
	if !found {
		kv = &KV{}
	}
	switch condition.Target {
	case Version:
		return kv.Version == condition.Number
	case Modified:
		return kv.Modified == condition.Number
	case Value:
		return found && bytes.Equal(kv.Value, condition.Value)
	}
	return false
}

// put writes a key at a revision. It replaces the earlier KV instead of changing it, since events and images share it.
func (m *Machine) put(op *Op, revision int64) {
	fullKey := storageKey(op.NS, op.Key)
	kv := &KV{
		NS:       op.NS,
		Key:      op.Key,
		Value:    op.Value,
		Created:  revision,
		Modified: revision,
		Version:  1,
		Lease:    op.Lease,
	}
	if old, found := m.keys.Get(fullKey); found {
		kv.Created = old.Created
		kv.Version = old.Version + 1
		m.detachLease(old, fullKey)
	}
	if lease := m.leases[op.Lease]; lease != nil {
		lease.keys[fullKey] = struct{}{}
	}
	m.keys.Set(fullKey, kv)
	m.recordEvent(Event{Revision: revision, KV: kv})
}

// remove deletes a key, given by its storage key, at a revision. A key that does not exist is ignored.
func (m *Machine) remove(fullKey string, revision int64) {
	old, found := m.keys.Delete(fullKey)
	if !found {
		return
	}
	m.detachLease(old, fullKey)
	m.recordEvent(Event{Revision: revision, Deleted: true, KV: old})
}
