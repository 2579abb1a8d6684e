// Package machine is the store's replicated state: namespaces of keys with revisions, transactions, leases on a
// logical clock, sessions that apply a retried command once, and the latest events for watches. It does no I/O,
// reads no clock and starts nothing; the same commands give the same state and the same results everywhere.
package machine

import (
	"bytes"
	"cmp"
	"container/list"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

const (
	// MaxSessions bounds the sessions; the one unused for longest goes. Its owner is told and opens another.
	MaxSessions = 16384
	// KeepEvents bounds the events kept for watches.
	KeepEvents = 16384
	// MaxTTL bounds a lease, in milliseconds.
	MaxTTL = 24 * 3600 * 1000
)

// session remembers the last command of a client, so that a retry is answered and not applied.
type session struct {
	id, seq uint64
	result  Result
	used    uint64 // index of the last command
}

// lease ends at a time of the logical clock, and its keys with it.
type lease struct {
	id       uint64
	ttl, end int64
	keys     map[string]struct{}
}

// Machine is the state. It is not safe for concurrent use; Image and Reader give others a frozen view.
type Machine struct {
	format   uint8 // newest form that this build knows; tests lower it
	level    uint8 // form agreed by all
	index    uint64
	revision int64
	clock    int64 // logical milliseconds
	chain    uint64
	keys     *btree.Map[string, *KV]
	leases   map[uint64]*lease
	sessions map[uint64]*list.Element
	recent   *list.List // of *session, the one used last at the back
	events   []Event    // in order of revision
	floor    int64      // events up to this revision are gone
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{format: Format, level: 1, keys: &btree.Map[string, *KV]{}, leases: map[uint64]*lease{},
		sessions: map[uint64]*list.Element{}, recent: list.New()}
}

// Speaking returns the machine as a build would have it that knows forms up to the given one.
func (m *Machine) Speaking(format uint8) *Machine { m.format = format; return m }

// Index is that of the last command applied.
func (m *Machine) Index() uint64 { return m.index }

// Revision numbers the last change.
func (m *Machine) Revision() int64 { return m.revision }

// Level is the form of commands that all instances have agreed to.
func (m *Machine) Level() uint8 { return m.level }

// Clock is the logical time in milliseconds.
func (m *Machine) Clock() int64 { return m.clock }

// Leases is the number of leases that run.
func (m *Machine) Leases() int { return len(m.leases) }

// Keys is the number of keys.
func (m *Machine) Keys() int { return m.keys.Len() }

// Chain sums up every command applied and its result: two machines with the same index and another chain have
// contradicted each other.
func (m *Machine) Chain() uint64 { return m.chain }

func path(ns, key string) string { return ns + "\x00" + key }

// ValidName tells whether a namespace or key may be used: the zero byte parts them inside.
func ValidName(s string) bool { return s != "" && len(s) <= 1024 && !strings.Contains(s, "\x00") }

// Skip notes an index without a command: raft's own empty entries.
func (m *Machine) Skip(index uint64) { m.link(index, nil, 0, 0) }

func (m *Machine) link(index uint64, data []byte, code Code, id uint64) {
	var head [40]byte
	binary.LittleEndian.PutUint64(head[0:], m.chain)
	binary.LittleEndian.PutUint64(head[8:], index)
	binary.LittleEndian.PutUint64(head[16:], xxhash.Sum64(data))
	binary.LittleEndian.PutUint64(head[24:], uint64(m.revision)<<8|uint64(code))
	binary.LittleEndian.PutUint64(head[32:], id)
	m.chain, m.index = xxhash.Sum64(head[:]), index
}

// Apply takes the command at an index. Only ErrUnknown is an error, and then nothing has changed; whatever else
// goes wrong is part of the result.
func (m *Machine) Apply(index uint64, data []byte) (Result, *Command, error) {
	if index <= m.index {
		return Result{}, nil, fmt.Errorf("store: index %d comes after %d", index, m.index)
	}
	c, err := Decode(data, m.format)
	if err != nil {
		return Result{}, nil, err
	}
	res := m.once(index, c)
	m.link(index, data, res.Code, res.ID)
	return res, c, nil
}

// once applies a command unless its session has had it.
func (m *Machine) once(index uint64, c *Command) Result {
	if c.Session == 0 {
		return m.run(index, c)
	}
	e := m.sessions[c.Session]
	if e == nil {
		return Result{Code: NoSession, Revision: m.revision}
	}
	s := e.Value.(*session)
	if c.Seq < s.seq {
		return Result{Code: OldSeq, Revision: m.revision}
	}
	m.recent.MoveToBack(e)
	s.used = index
	if c.Seq > s.seq {
		s.seq, s.result = c.Seq, m.run(index, c)
	}
	return s.result
}

func (m *Machine) run(index uint64, c *Command) Result {
	res := Result{}
	switch c.Kind {
	case TxnKind:
		res = m.txn(c)
	case OpenKind:
		for len(m.sessions) >= MaxSessions {
			old := m.recent.Remove(m.recent.Front()).(*session)
			delete(m.sessions, old.id)
		}
		m.sessions[index] = m.recent.PushBack(&session{id: index, used: index})
		res.ID = index
	case GrantKind:
		if c.Amount <= 0 || c.Amount > MaxTTL {
			res.Code = BadAmount
			break
		}
		m.leases[index] = &lease{id: index, ttl: c.Amount, end: m.clock + c.Amount, keys: map[string]struct{}{}}
		res.ID = index
	case KeepKind:
		if l := m.leases[c.Lease]; l != nil {
			l.end = m.clock + l.ttl
		} else {
			res.Code = NoLease
		}
	case RevokeKind:
		if l := m.leases[c.Lease]; l != nil {
			m.end(l)
		} else {
			res.Code = NoLease
		}
	case ClockKind:
		// One jump is no more than a lease may last: a clock gone mad ends leases, and nothing else.
		if c.Amount < 0 || c.Amount > MaxTTL {
			res.Code = BadAmount
			break
		}
		m.clock += c.Amount
		m.expire()
	case CompactKind:
		if c.Amount > m.revision {
			res.Code = BadAmount
		} else if c.Amount <= m.floor {
			res.Code = IsCompacted
		} else {
			m.compact(c.Amount)
		}
	case RaiseKind:
		if c.Amount < int64(m.level) || c.Amount > int64(m.format) {
			res.Code = BadAmount
		} else {
			m.level = uint8(c.Amount)
		}
	}
	res.Revision = m.revision
	return res
}

// check looks at a transaction whole before any of it is done.
func (m *Machine) check(ops []Op) Code {
	for i := range ops {
		o := &ops[i]
		if o.Kind == 0 || o.Kind > lastOp || !ValidName(o.NS) || !ValidName(o.Key) && (o.Kind != List || o.Key != "") {
			return Malformed
		}
		if o.Lease != 0 && o.Kind != Put {
			return BadLeaseName
		}
		if o.Lease != 0 && m.leases[o.Lease] == nil {
			return NoLease
		}
	}
	return OK
}

func (m *Machine) txn(c *Command) Result {
	res := Result{Holds: true}
	for i := range c.If {
		if !m.holds(&c.If[i]) {
			res.Holds = false
		}
	}
	ops := c.Then
	if !res.Holds {
		ops = c.Else
	}
	if res.Code = m.check(ops); res.Code != OK {
		return res
	}
	next := m.revision + 1
	for i := range ops {
		switch o := &ops[i]; o.Kind {
		case Put:
			m.put(o, next)
		case Delete:
			m.remove(path(o.NS, o.Key), next)
		case Get:
			if kv, found := m.keys.Get(path(o.NS, o.Key)); found {
				res.KVs = append(res.KVs, *kv)
			}
		case List:
			res.KVs = append(res.KVs, m.list(o.NS, o.Key, o.Limit)...)
		}
	}
	return res
}

func (m *Machine) holds(c *Compare) bool {
	kv, found := m.keys.Get(path(c.NS, c.Key))
	if !found {
		kv = &KV{}
	}
	switch c.Target {
	case Version:
		return kv.Version == c.Number
	case Modified:
		return kv.Modified == c.Number
	case Value:
		return found && bytes.Equal(kv.Value, c.Value)
	}
	return false
}

// put writes a key at a revision. What was there is left as it is: events and images share it.
func (m *Machine) put(o *Op, revision int64) {
	p := path(o.NS, o.Key)
	kv := &KV{NS: o.NS, Key: o.Key, Value: o.Value, Created: revision, Modified: revision, Version: 1, Lease: o.Lease}
	if old, found := m.keys.Get(p); found {
		kv.Created, kv.Version = old.Created, old.Version+1
		m.unlease(old, p)
	}
	if l := m.leases[o.Lease]; l != nil {
		l.keys[p] = struct{}{}
	}
	m.keys.Set(p, kv)
	m.happened(Event{Revision: revision, KV: kv})
}

func (m *Machine) remove(p string, revision int64) {
	if old, found := m.keys.Delete(p); found {
		m.unlease(old, p)
		m.happened(Event{Revision: revision, Deleted: true, KV: old})
	}
}

func (m *Machine) unlease(kv *KV, p string) {
	if l := m.leases[kv.Lease]; l != nil {
		delete(l.keys, p)
	}
}

// happened notes an event; the first of a revision begins it.
func (m *Machine) happened(ev Event) {
	m.revision = ev.Revision
	m.events = append(m.events, ev)
	if len(m.events) >= 2*KeepEvents {
		m.compact(m.events[len(m.events)-KeepEvents].Revision)
	}
}

// compact drops events up to a revision. Into a slice of its own: images share the old one.
func (m *Machine) compact(revision int64) {
	i, _ := slices.BinarySearchFunc(m.events, revision+1, func(e Event, r int64) int { return cmp.Compare(e.Revision, r) })
	m.events, m.floor = slices.Clone(m.events[i:]), revision
}

// end ends a lease and its keys, under one revision.
func (m *Machine) end(l *lease) {
	delete(m.leases, l.id)
	keys := make([]string, 0, len(l.keys))
	for p := range l.keys {
		keys = append(keys, p)
	}
	slices.Sort(keys)
	next := m.revision + 1
	for _, p := range keys {
		m.remove(p, next)
	}
}

func (m *Machine) expire() {
	var due []*lease
	for _, l := range m.leases {
		if l.end <= m.clock {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	for _, l := range due {
		m.end(l)
	}
}

// Get returns a key.
func (m *Machine) Get(ns, key string) (KV, bool) {
	kv, found := m.keys.Get(path(ns, key))
	if !found {
		return KV{}, false
	}
	return *kv, true
}

// List returns keys with a prefix, at most limit of them; 0: all.
func (m *Machine) List(ns, prefix string, limit int) []KV { return m.list(ns, prefix, limit) }

func (m *Machine) list(ns, prefix string, limit int) (found []KV) {
	from := path(ns, prefix)
	m.keys.Ascend(from, func(p string, kv *KV) bool {
		if !strings.HasPrefix(p, from) || limit > 0 && len(found) == limit {
			return false
		}
		found = append(found, *kv)
		return true
	})
	return found
}

// Since returns the events of a namespace and prefix after a revision, and the revision up to which they are told.
// It reports false if that revision was compacted: the watcher has to read the keys anew.
func (m *Machine) Since(ns, prefix string, after int64, limit int) (found []Event, upTo int64, ok bool) {
	if after < m.floor {
		return nil, m.floor, false
	}
	i, _ := slices.BinarySearchFunc(m.events, after+1, func(e Event, r int64) int { return cmp.Compare(e.Revision, r) })
	upTo = m.revision
	for ; i < len(m.events); i++ {
		ev := &m.events[i]
		if len(found) >= limit && ev.Revision > found[len(found)-1].Revision { // a revision is told whole
			return found, found[len(found)-1].Revision, true
		}
		if ev.KV.NS == ns && strings.HasPrefix(ev.KV.Key, prefix) {
			found = append(found, *ev)
		}
	}
	return found, upTo, true
}

// Floor is the revision up to which events are gone.
func (m *Machine) Floor() int64 { return m.floor }
