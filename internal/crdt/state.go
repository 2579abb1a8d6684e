package crdt

import (
	"fmt"
	"slices"

	"github.com/tidwall/btree"
)

const (
	digestGroups    = 16 // of a digest's first level
	bucketsPerGroup = 16 // of each
	maxNameSize     = 128
)

// Config describes the state.
type Config struct {
	Self         string // this gateway's name
	Incarnation  uint64 // of this process; later ones of the name have a greater one
	Kinds        map[Kind]KindConfig
	MaxClockSkew int64 // how far clocks may be apart: what is stamped later than that is refused
	MaxEntries   int   // entries
}

// Counts tells what became of entries that came.
type Counts struct {
	Merged, NotNewer       int
	UnknownKind, Malformed int // of a kind that is not known, or too long
	FromFuture, Expired    int // stamped too far ahead, or so long ago that it counts no more
	OverLimit              int // for want of room
	ConflictingOrigin      int // under this gateway's own name, by another process
	Messages               int
}

// ConflictingOriginError is another process that speaks under this gateway's name.
type ConflictingOriginError struct {
	Name        string
	Incarnation uint64
}

func (e *ConflictingOriginError) Error() string {
	return fmt.Sprintf("another process says things under the name %s (incarnation %d)", e.Name, e.Incarnation)
}

// Remedy says what an operator can do.
func (e *ConflictingOriginError) Remedy() string {
	return "give each gateway a name of its own (the key name of the configuration, or EDGE_NAME) and restart one of the two"
}

// State is the entries that a gateway holds. It is not safe for concurrent use.
type State struct {
	conf          Config
	entries       btree.Map[string, *Entry] // by key in order: the kind's byte, name, origin
	digest        [digestGroups][bucketsPerGroup]uint64
	bucketSizes   [digestGroups][bucketsPerGroup]int
	sequence      uint64
	memoryBytes   int
	counts        Counts
	conflict      *ConflictingOriginError
	caughtUpRound uint64
}

// New returns an empty state.
func New(conf Config) *State {
	if conf.MaxEntries == 0 {
		conf.MaxEntries = 100_000
	}
	return &State{conf: conf}
}

// Counts tells what became of what came.
func (s *State) Counts() Counts { return s.counts }

// TakeConflictingOrigin is the first other process that spoke under this gateway's name since it was last asked for; nil if none has.
func (s *State) TakeConflictingOrigin() *ConflictingOriginError {
	f := s.conflict
	s.conflict = nil
	return f
}

// Len is the number of entries, tombstones included.
func (s *State) Len() int { return s.entries.Len() }

// MemoryBytes is about what the entries take in memory.
func (s *State) MemoryBytes() int { return s.memoryBytes }

// entryOverhead is what an entry takes beside its texts: the struct, its place in the tree and the key's copy.
const entryOverhead = 176

func treeKey(k Key) string { return string(rune(k.Kind)) + k.Name + "\x00" + k.Origin }

func (s *State) bucketOf(k Key) (group, bucket int) {
	h := k.hash()
	return int(h % digestGroups), int(h / digestGroups % bucketsPerGroup)
}

// updateDigest puts an entry into the digest or takes it out.
func (s *State) updateDigest(e *Entry, n int) {
	g, b := s.bucketOf(e.Key())
	s.digest[g][b] ^= e.hash()
	s.bucketSizes[g][b] += n
	s.memoryBytes += n * (entryOverhead + 2*len(e.Name) + 2*len(e.Origin) + len(e.Value))
}

func (s *State) store(e Entry) {
	at := treeKey(e.Key())
	if old, ok := s.entries.Get(at); ok {
		s.updateDigest(old, -1)
	}
	s.entries.Set(at, &e)
	s.updateDigest(&e, 1)
}

// Put writes an entry of this gateway's own, and returns it as it is to be told.
func (s *State) Put(now int64, kind Kind, name string, value []byte) Entry {
	return s.write(now, kind, name, value, false)
}

// Delete says that there is no such entry any more. What says so lasts as long as what it ends could, so that no older
// copy comes back.
func (s *State) Delete(now int64, kind Kind, name string) Entry {
	return s.write(now, kind, name, nil, true)
}

func (s *State) write(now int64, kind Kind, name string, value []byte, dead bool) Entry {
	s.sequence++
	e := Entry{Kind: kind, Name: name, Origin: s.conf.Self, Incarnation: s.conf.Incarnation, Sequence: s.sequence, Timestamp: now, Value: slices.Clone(value), Deleted: dead}
	s.store(e)
	return e
}

// PutEpoch writes what is agreed on for an epoch. It is merged like what comes from others: another proposal for that epoch
// may be the one to keep, and is returned then.
func (s *State) PutEpoch(now int64, kind Kind, name string, epoch uint64, value []byte) Entry {
	s.Merge(now, Entry{Kind: kind, Name: name, Sequence: epoch, Timestamp: now, Value: slices.Clone(value)})
	e, _ := s.Get(Key{Kind: kind, Name: name})
	return e
}

// Merge takes entries in and returns those that changed what is known.
func (s *State) Merge(now int64, entries ...Entry) (changed []Entry) {
	for _, e := range entries {
		if s.merge(now, e) {
			changed = append(changed, e)
		}
	}
	return changed
}

func (s *State) merge(now int64, e Entry) bool {
	form, known := s.conf.Kinds[e.Kind]
	switch {
	case !known:
		s.counts.UnknownKind++
		return false
	case len(e.Value) > form.MaxValueSize || len(e.Name) > maxNameSize || len(e.Origin) > maxNameSize || form.Rule == MaxValue && !e.Deleted && len(e.Value) != 8,
		(form.Rule == LastWriterWins) != (e.Origin != ""):
		s.counts.Malformed++
		return false
	case e.Timestamp > now+s.conf.MaxClockSkew:
		s.counts.FromFuture++
		return false
	case e.Timestamp+form.TTL < now:
		s.counts.Expired++
		return false
	}
	if e.Origin == s.conf.Self && form.Rule == LastWriterWins && (e.Incarnation > s.conf.Incarnation ||
		e.Incarnation == s.conf.Incarnation && e.Sequence > s.sequence) {
		// Nobody else may write under this name. What an earlier process of it wrote comes back as any copy does.
		s.counts.ConflictingOrigin++
		if s.conflict == nil {
			s.conflict = &ConflictingOriginError{e.Origin, e.Incarnation}
		}
	}
	old, ok := s.entries.Get(treeKey(e.Key()))
	if ok && compare(form.Rule, &e, old) <= 0 {
		s.counts.NotNewer++
		return false
	}
	if !ok && s.entries.Len() >= s.conf.MaxEntries {
		s.counts.OverLimit++
		return false
	}
	s.counts.Merged++
	s.store(e)
	return true
}

// Get returns an entry; false also if there is none any more.
func (s *State) Get(k Key) (Entry, bool) {
	e, ok := s.entries.Get(treeKey(k))
	if !ok || e.Deleted {
		return Entry{}, false
	}
	return *e, true
}

// Each calls f for the entries of a kind and name, in the order of their origins, until it returns false.
func (s *State) Each(kind Kind, name string, f func(*Entry) bool) {
	s.entries.Ascend(treeKey(Key{Kind: kind, Name: name}), func(_ string, e *Entry) bool {
		return e.Kind == kind && e.Name == name && (e.Deleted || f(e))
	})
}

// Names calls f for each entry of a kind, in the order of names and origins.
func (s *State) Names(kind Kind, f func(*Entry) bool) {
	s.entries.Ascend(string(rune(kind)), func(_ string, e *Entry) bool { return e.Kind == kind && (e.Deleted || f(e)) })
}

// Expire drops what counts no more, and returns the entries of this gateway's own that should be said again, since half of
// their time is over.
func (s *State) Expire(now int64) (again []Entry) {
	var gone []string
	s.entries.Scan(func(at string, e *Entry) bool {
		keep := s.conf.Kinds[e.Kind].TTL
		if e.Deleted {
			keep += s.conf.MaxClockSkew // a copy by a clock that is ahead counts for so much longer
		}
		switch own := e.Origin == s.conf.Self && e.Incarnation == s.conf.Incarnation; {
		case e.Timestamp+keep < now:
			gone = append(gone, at)
		case own && !e.Deleted && e.Timestamp+keep/2 < now:
			again = append(again, *e)
		}
		return true
	})
	for _, at := range gone {
		if e, ok := s.entries.Delete(at); ok {
			s.updateDigest(e, -1)
		}
	}
	return again
}
