// Package machine is the store's replicated state: namespaces of keys with revisions, transactions, leases on a
// logical clock, sessions that apply a retried command once, and the latest events for watches. It does no I/O,
// reads no clock and starts nothing; the same commands give the same state and the same results everywhere.
package machine

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// maxName bounds the bytes of a namespace or key.
const maxName = 1024

// Machine is the state. It is not safe for concurrent use; Image gives others a frozen view.
type Machine struct {
	format        uint8 // newest format of commands that this build knows; tests change it
	agreedFormat  uint8 // newest format that all instances have agreed to
	index         uint64
	revision      int64
	clock         int64 // logical time in milliseconds
	chain         uint64
	keys          *btree.Map[string, *KV] // by storageKey
	leases        map[uint64]*lease
	sessions      map[uint64]*list.Element
	sessionsByUse *list.List // of *session, the one used last at the back
	events        []Event    // in order of revision
	compactedTo   int64      // events up to this revision are gone
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		format:        Format,
		agreedFormat:  1,
		keys:          &btree.Map[string, *KV]{},
		leases:        map[uint64]*lease{},
		sessions:      map[uint64]*list.Element{},
		sessionsByUse: list.New(),
	}
}

// WithFormat returns the machine as a build would have it that knows formats up to the given one.
func (m *Machine) WithFormat(format uint8) *Machine {
	m.format = format
	return m
}

// Index is that of the last command applied.
func (m *Machine) Index() uint64 { return m.index }

// Revision numbers the last change.
func (m *Machine) Revision() int64 { return m.revision }

// AgreedFormat is the newest format of commands that all instances have agreed to.
func (m *Machine) AgreedFormat() uint8 { return m.agreedFormat }

// Clock is the logical time in milliseconds.
func (m *Machine) Clock() int64 { return m.clock }

// LeaseCount is the number of leases that run.
func (m *Machine) LeaseCount() int { return len(m.leases) }

// KeyCount is the number of keys.
func (m *Machine) KeyCount() int { return m.keys.Len() }

// Chain is a hash of every command applied and its result: two machines with the same index and different chains
// have contradicted each other.
func (m *Machine) Chain() uint64 { return m.chain }

// Get returns a key.
func (m *Machine) Get(ns, key string) (KV, bool) {
	kv, found := m.keys.Get(storageKey(ns, key))
	if !found {
		return KV{}, false
	}
	return *kv, true
}

// List returns the keys with a prefix in their order, at most limit of them; 0: all.
func (m *Machine) List(ns, prefix string, limit int) (found []KV) {
	from := storageKey(ns, prefix)
	m.keys.Ascend(from, func(at string, kv *KV) bool {
		if !strings.HasPrefix(at, from) || limit > 0 && len(found) == limit {
			return false
		}
		found = append(found, *kv)
		return true
	})
	return found
}

// storageKey is where a key stands among all namespaces.
func storageKey(ns, key string) string { return ns + "\x00" + key }

// ValidName reports whether a namespace or key may be used. The zero byte separates them in storage keys.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxName && !strings.Contains(name, "\x00")
}

// Skip notes an index without a command: raft's own empty entries.
func (m *Machine) Skip(index uint64) { m.extendChain(index, nil, 0, 0) }

// Apply applies the command at an index. Only ErrUnknownRecord and an index out of order are errors, and then nothing
// has changed; whatever else goes wrong is part of the result.
func (m *Machine) Apply(index uint64, data []byte) (Result, *Command, error) {
	if index <= m.index {
		return Result{}, nil, fmt.Errorf("store: index %d comes after %d", index, m.index)
	}
	command, err := Decode(data, m.format)
	if err != nil {
		return Result{}, nil, err
	}
	result := m.applyOnce(index, command)
	m.extendChain(index, data, result.Code, result.ID)
	return result, command, nil
}

func (m *Machine) extendChain(index uint64, data []byte, code Code, id uint64) {
	var link [40]byte
	binary.LittleEndian.PutUint64(link[0:], m.chain)
	binary.LittleEndian.PutUint64(link[8:], index)
	binary.LittleEndian.PutUint64(link[16:], xxhash.Sum64(data))
	binary.LittleEndian.PutUint64(link[24:], uint64(m.revision)<<8|uint64(code))
	binary.LittleEndian.PutUint64(link[32:], id)
	m.chain = xxhash.Sum64(link[:])
	m.index = index
}

// execute applies a command whose session has not had it.
func (m *Machine) execute(index uint64, command *Command) Result {
	result := Result{}
	switch command.Kind {
	case TransactionKind:
		result = m.transact(command)
	case OpenSessionKind:
		m.openSession(index)
		result.ID = index
	case GrantLeaseKind:
		result = m.grantLease(index, command.Amount)
	case KeepAliveKind:
		result.Code = m.keepAlive(command.Lease)
	case RevokeLeaseKind:
		result.Code = m.revokeLease(command.Lease)
	case AdvanceClockKind:
		result.Code = m.advanceClock(command.Amount)
	case CompactKind:
		result.Code = m.compactTo(command.Amount)
	case RaiseFormatKind:
		result.Code = m.raiseFormat(command.Amount)
	}
	result.Revision = m.revision
	return result
}

func (m *Machine) raiseFormat(format int64) Code {
	if format < int64(m.agreedFormat) || format > int64(m.format) {
		return BadAmount
	}
	m.agreedFormat = uint8(format)
	return OK
}
