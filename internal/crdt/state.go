package crdt

import (
	"fmt"
	"slices"

	"github.com/tidwall/btree"
)

// Digests have two levels: groups, and buckets of each. Both numbers are on the wire.
const (
	digestGroups    = 16
	bucketsPerGroup = 16
)

const (
	maxNameSize       = 128     // bytes of a name or an origin
	defaultMaxEntries = 100_000 // entries of a state
)

// Config configures a state.
type Config struct {
	Self         string // this gateway's name
	Incarnation  uint64 // of this process; later processes of the name have a greater one
	Kinds        map[Kind]KindConfig
	MaxClockSkew int64 // microseconds; an entry with a timestamp further ahead is rejected
	MaxEntries   int   // 0: 100 000
}

// Counts counts the messages received, and the entries received by what was done with them.
type Counts struct {
	Merged            int // changed the state
	NotNewer          int // already present, or older than the present one
	UnknownKind       int
	Malformed         int // too long, or of the wrong form for the kind
	FromFuture        int // a timestamp too far ahead
	Expired           int // received after the time to live
	OverLimit         int // not kept, since the state was full
	ConflictingOrigin int // written under this gateway's name by another process
	Messages          int
}

// ConflictingOriginError reports another process that writes entries under this gateway's name.
type ConflictingOriginError struct {
	Name        string
	Incarnation uint64
}

func (e *ConflictingOriginError) Error() string {
	return fmt.Sprintf("another process writes entries under the name %s (incarnation %d)", e.Name, e.Incarnation)
}

// Remedy returns what an operator can do.
func (e *ConflictingOriginError) Remedy() string {
	return "give each gateway a name of its own (the key name of the configuration, or EDGE_NAME) and restart one of the two"
}

// State is one gateway's copy of the map. It is not safe for concurrent use.
type State struct {
	conf          Config
	entries       btree.Map[string, *Entry] // by treeKey
	digest        [digestGroups][bucketsPerGroup]uint64
	bucketSizes   [digestGroups][bucketsPerGroup]int // entries
	sequence      uint64
	memoryBytes   int
	counts        Counts
	conflict      *ConflictingOriginError
	caughtUpRound uint64
}

// New returns an empty state.
func New(conf Config) *State {
	if conf.MaxEntries == 0 {
		conf.MaxEntries = defaultMaxEntries
	}
	return &State{conf: conf}
}

// Counts returns the counts since New.
func (s *State) Counts() Counts { return s.counts }

// TakeConflictingOrigin returns the first conflict since the last call; nil if there was none.
func (s *State) TakeConflictingOrigin() *ConflictingOriginError {
	conflict := s.conflict
	s.conflict = nil
	return conflict
}

// Len returns the number of entries, tombstones included.
func (s *State) Len() int { return s.entries.Len() }

// MemoryBytes returns the approximate memory use of the entries, in bytes.
func (s *State) MemoryBytes() int { return s.memoryBytes }

// entryOverhead is the approximate memory use of an entry without its strings, in bytes: struct, tree node and tree
// key.
const entryOverhead = 176

// treeKey orders entries by kind, name and origin.
func treeKey(k Key) string { return string(rune(k.Kind)) + k.Name + "\x00" + k.Origin }

// bucketOf returns the group and the bucket of a key in digests.
func bucketOf(k Key) (group, bucket int) {
	hash := k.hash()
	return int(hash % digestGroups), int(hash / digestGroups % bucketsPerGroup)
}

// updateDigest adds an entry to the digest and the sizes (n is 1), or removes it (n is -1).
func (s *State) updateDigest(e *Entry, n int) {
	group, bucket := bucketOf(e.Key())
	s.digest[group][bucket] ^= e.hash()
	s.bucketSizes[group][bucket] += n
	s.memoryBytes += n * (entryOverhead + 2*len(e.Name) + 2*len(e.Origin) + len(e.Value))
}

// store sets an entry and updates the digest.
func (s *State) store(e Entry) {
	key := treeKey(e.Key())
	if old, ok := s.entries.Get(key); ok {
		s.updateDigest(old, -1)
	}
	s.entries.Set(key, &e)
	s.updateDigest(&e, 1)
}

// Put writes an entry of this gateway, and returns it to be sent to the other gateways.
func (s *State) Put(now int64, kind Kind, name string, value []byte) Entry {
	return s.write(now, kind, name, value, false)
}

// Delete writes a tombstone, and returns it to be sent to the other gateways. A tombstone expires no earlier than any
// copy of the deleted entry, so that no older copy reappears.
func (s *State) Delete(now int64, kind Kind, name string) Entry {
	return s.write(now, kind, name, nil, true)
}

// write stores a new entry of this gateway, with the next sequence.
func (s *State) write(now int64, kind Kind, name string, value []byte, deleted bool) Entry {
	s.sequence++
	e := Entry{
		Kind:        kind,
		Name:        name,
		Origin:      s.conf.Self,
		Incarnation: s.conf.Incarnation,
		Sequence:    s.sequence,
		Timestamp:   now,
		Value:       slices.Clone(value),
		Deleted:     deleted,
	}
	s.store(e)
	return e
}

// PutEpoch writes a value for an epoch of a HighestEpoch kind. The value is merged like a received entry, and PutEpoch
// returns the entry that is kept, which may be another proposal for that epoch or a later epoch.
func (s *State) PutEpoch(now int64, kind Kind, name string, epoch uint64, value []byte) Entry {
	s.Merge(now, Entry{Kind: kind, Name: name, Sequence: epoch, Timestamp: now, Value: slices.Clone(value)})
	kept, _ := s.Get(Key{Kind: kind, Name: name})
	return kept
}

// Merge merges entries and returns those that changed the state.
func (s *State) Merge(now int64, entries ...Entry) (changed []Entry) {
	for _, e := range entries {
		if s.merge(now, e) {
			changed = append(changed, e)
		}
	}
	return changed
}

// merge merges an entry, and reports whether it was valid and newer than the present one.
func (s *State) merge(now int64, e Entry) bool {
	kind, valid := s.validate(now, &e)
	if !valid {
		return false
	}
	if kind.Rule == LastWriterWins {
		s.detectConflict(&e)
	}
	old, known := s.entries.Get(treeKey(e.Key()))
	if known && compare(kind.Rule, &e, old) <= 0 {
		s.counts.NotNewer++
		return false
	}
	if !known && s.entries.Len() >= s.conf.MaxEntries {
		s.counts.OverLimit++
		return false
	}
	s.counts.Merged++
	s.store(e)
	return true
}

// validate returns the entry's kind and whether the entry may be merged. It counts the reason if it may not.
func (s *State) validate(now int64, e *Entry) (kind KindConfig, valid bool) {
	kind, known := s.conf.Kinds[e.Kind]
	switch {
	case !known:
		s.counts.UnknownKind++
	case !kind.accepts(e):
		s.counts.Malformed++
	case e.Timestamp > now+s.conf.MaxClockSkew:
		s.counts.FromFuture++
	case e.Timestamp+kind.TTL < now:
		s.counts.Expired++
	default:
		return kind, true
	}
	return kind, false
}

// accepts reports whether an entry has the form that its kind requires.
func (k *KindConfig) accepts(e *Entry) bool {
	if len(e.Value) > k.MaxValueSize || len(e.Name) > maxNameSize || len(e.Origin) > maxNameSize {
		return false
	}
	if k.Rule == MaxValue && !e.Deleted && len(e.Value) != numericSize {
		return false
	}
	hasOrigin := e.Origin != ""
	return hasOrigin == (k.Rule == LastWriterWins)
}

// detectConflict finds entries that another process has written under this gateway's name. A copy of an entry of an
// earlier process of the same gateway is not a conflict.
func (s *State) detectConflict(e *Entry) {
	if e.Origin != s.conf.Self || e.Incarnation < s.conf.Incarnation {
		return
	}
	if e.Incarnation == s.conf.Incarnation && e.Sequence <= s.sequence {
		return
	}
	s.counts.ConflictingOrigin++
	if s.conflict == nil {
		s.conflict = &ConflictingOriginError{e.Origin, e.Incarnation}
	}
}

// Get returns an entry; false if there is none or it is deleted.
func (s *State) Get(k Key) (Entry, bool) {
	e, ok := s.entries.Get(treeKey(k))
	if !ok || e.Deleted {
		return Entry{}, false
	}
	return *e, true
}

// Each calls f for the entries of a kind and name, in the order of their origins, until f returns false.
func (s *State) Each(kind Kind, name string, f func(*Entry) bool) {
	s.entries.Ascend(treeKey(Key{Kind: kind, Name: name}), func(_ string, e *Entry) bool {
		return e.Kind == kind && e.Name == name && (e.Deleted || f(e))
	})
}

// Expire drops the entries whose time to live has passed. It returns the entries of this process for which half of that
// time has passed, to be written again.
func (s *State) Expire(now int64) (toRefresh []Entry) {
	var expired []string
	s.entries.Scan(func(key string, e *Entry) bool {
		ttl := s.conf.Kinds[e.Kind].TTL
		if e.Deleted {
			ttl += s.conf.MaxClockSkew // a copy whose timestamp is ahead of this clock expires that much later
		}
		isOwn := e.Origin == s.conf.Self && e.Incarnation == s.conf.Incarnation
		if e.Timestamp+ttl < now {
			expired = append(expired, key)
		} else if isOwn && !e.Deleted && e.Timestamp+ttl/2 < now {
			toRefresh = append(toRefresh, *e)
		}
		return true
	})
	for _, key := range expired {
		if e, ok := s.entries.Delete(key); ok {
			s.updateDigest(e, -1)
		}
	}
	return toRefresh
}
