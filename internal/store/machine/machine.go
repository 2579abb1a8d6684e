// Package machine implements the store's replicated state: namespaces of keys with revisions, transactions, leases on a
// logical clock, sessions that apply a retried command once, and the latest events for watches. It does no I/O, reads no
// clock and starts no goroutine. The same commands give the same state and the same results at every instance.
package machine

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// maxNameSize bounds the bytes of a namespace or key.
const maxNameSize = 1024

// Machine is the replicated state. It is not safe for concurrent use; Image returns a view for other goroutines.
type Machine struct {
	format        uint8                   // newest format of commands that this build supports; tests change it
	agreedFormat  uint8                   // newest format that all instances have agreed to
	index         uint64                  // of the last command applied
	revision      int64                   // of the last change of a key
	clock         int64                   // logical time in milliseconds
	chain         uint64                  // see Chain
	keys          *btree.Map[string, *KV] // by storageKey
	leases        map[uint64]*lease
	sessions      map[uint64]*list.Element // by id: elements of sessionsByUse
	sessionsByUse *list.List               // of *session, the most recently used at the back
	events        []Event                  // in order of revision
	compactedTo   int64                    // events up to this revision were dropped
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

// WithFormat sets the newest supported format of commands in place of the constant Format, and returns the machine.
func (m *Machine) WithFormat(format uint8) *Machine {
	m.format = format
	return m
}

// Index returns the index of the last command applied.
func (m *Machine) Index() uint64 { return m.index }

// Revision returns the revision of the last change of a key.
func (m *Machine) Revision() int64 { return m.revision }

// AgreedFormat returns the newest format of commands that all instances have agreed to.
func (m *Machine) AgreedFormat() uint8 { return m.agreedFormat }

// Clock returns the logical time in milliseconds.
func (m *Machine) Clock() int64 { return m.clock }

// LeaseCount returns the number of leases.
func (m *Machine) LeaseCount() int { return len(m.leases) }

// KeyCount returns the number of keys.
func (m *Machine) KeyCount() int { return m.keys.Len() }

// Chain returns a hash over all applied commands and their results. Two machines with the same index and different
// chains have diverged.
func (m *Machine) Chain() uint64 { return m.chain }

// Get returns a key's record, and whether it exists.
func (m *Machine) Get(ns, key string) (KV, bool) {
	kv, found := m.keys.Get(storageKey(ns, key))
	if !found {
		return KV{}, false
	}
	return *kv, true
}

// List returns the keys with a prefix in ascending order, at most limit of them; 0: all.
func (m *Machine) List(ns, prefix string, limit int) (found []KV) {
	from := storageKey(ns, prefix)
	m.keys.Ascend(from, func(fullKey string, kv *KV) bool {
		if !strings.HasPrefix(fullKey, from) || limit > 0 && len(found) == limit {
			return false
		}
		found = append(found, *kv)
		return true
	})
	return found
}

// storageKey returns the key under which a namespace's key is stored.
func storageKey(ns, key string) string { return ns + "\x00" + key }

// ValidName reports whether a namespace or key is valid: 1 to 1024 bytes, none of which is zero. Storage keys use the
// zero byte as separator.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameSize && !strings.Contains(name, "\x00")
}

// Skip advances to an index that has no command, such as that of an empty entry that raft adds.
func (m *Machine) Skip(index uint64) { m.extendChain(index, nil, 0, 0) }

// Apply applies the command at an index, and returns its result and the decoded command. It returns an error, and
// changes nothing, only if the command cannot be decoded (ErrUnknownRecord) or the index is out of order. Any other
// failure is stated by the result's code.
func (m *Machine) Apply(index uint64, data []byte) (Result, *Command, error) {
	if index <= m.index {
		return Result{}, nil, fmt.Errorf("store: cannot apply the command at index %d: the last applied index is %d", index, m.index)
	}
	command, err := Decode(data, m.format)
	if err != nil {
		return Result{}, nil, err
	}
	result := m.applyOnce(index, command)
	m.extendChain(index, data, result.Code, result.ID)
	return result, command, nil
}

// extendChain adds the command at an index to the chain.
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

// execute executes a command that its session has not executed yet.
func (m *Machine) execute(index uint64, command *Command) Result {
	result := Result{}
	switch command.Kind {
	case TransactionKind:
		result = m.executeTransaction(command)
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
