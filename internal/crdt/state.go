package crdt

import (
	"fmt"
	"slices"

	"github.com/tidwall/btree"
)

const (
	groups  = 16 // of a digest's first level
	buckets = 16 // of each
	mostKey = 128
)

// Config describes the state.
type Config struct {
	Self        string // this gateway's name
	Incarnation uint64 // of this process; later ones of the name have a greater one
	Forms       map[Kind]Form
	Ahead       int64 // how far clocks may be apart: what is stamped later than that is refused
	Most        int   // entries
}

// Counts tells what became of entries that came.
type Counts struct {
	Taken, Known    int
	Unknown, Faulty int // of a kind that is not known, or too long
	Future, Faded   int // stamped too far ahead, or so long ago that it counts no more
	Dropped         int // for want of room
	Foreign         int // under this gateway's own name, by another process
	Messages        int
}

// ForeignError is another process that speaks under this gateway's name.
type ForeignError struct {
	Name        string
	Incarnation uint64
}

func (e *ForeignError) Error() string {
	return fmt.Sprintf("another process says things under the name %s (incarnation %d)", e.Name, e.Incarnation)
}

// Remedy says what an operator can do.
func (e *ForeignError) Remedy() string {
	return "give each gateway a name of its own (the key name of the configuration, or EDGE_NAME) and restart one of the two"
}

// State is the entries that a gateway holds. It is not safe for concurrent use.
type State struct {
	conf     Config
	entries  btree.Map[string, *Entry] // by key in order: the kind's byte, name, origin
	digest   [groups][buckets]uint64
	members  [groups][buckets]int
	sequence uint64
	bytes    int
	counts   Counts
	foreign  *ForeignError
	caught   uint64
}

// New returns an empty state.
func New(conf Config) *State {
	if conf.Most == 0 {
		conf.Most = 100_000
	}
	return &State{conf: conf}
}

// Counts tells what became of what came.
func (s *State) Counts() Counts { return s.counts }

// Foreign is the first other process that spoke under this gateway's name since it was last asked for; nil if none has.
func (s *State) Foreign() *ForeignError {
	f := s.foreign
	s.foreign = nil
	return f
}

// Len is the number of entries, tombstones included.
func (s *State) Len() int { return s.entries.Len() }

// Bytes is about what the entries take in memory.
func (s *State) Bytes() int { return s.bytes }

// overhead is what an entry takes beside its texts: the struct, its place in the tree and the key's copy.
const overhead = 176

func place(k Key) string { return string(rune(k.Kind)) + k.Name + "\x00" + k.Origin }

func (s *State) slot(k Key) (group, bucket int) {
	h := k.hash()
	return int(h % groups), int(h / groups % buckets)
}

// toggle puts an entry into the digest or takes it out.
func (s *State) toggle(e *Entry, n int) {
	g, b := s.slot(e.Key())
	s.digest[g][b] ^= e.hash()
	s.members[g][b] += n
	s.bytes += n * (overhead + 2*len(e.Name) + 2*len(e.Origin) + len(e.Value))
}

func (s *State) set(e Entry) {
	at := place(e.Key())
	if old, ok := s.entries.Get(at); ok {
		s.toggle(old, -1)
	}
	s.entries.Set(at, &e)
	s.toggle(&e, 1)
}

// Put writes an entry of this gateway's own, and returns it as it is to be told.
func (s *State) Put(now int64, kind Kind, name string, value []byte) Entry {
	return s.write(now, kind, name, value, false)
}

// Remove says that there is no such entry any more. What says so lasts as long as what it ends could, so that no older
// copy comes back.
func (s *State) Remove(now int64, kind Kind, name string) Entry {
	return s.write(now, kind, name, nil, true)
}

func (s *State) write(now int64, kind Kind, name string, value []byte, dead bool) Entry {
	s.sequence++
	e := Entry{Kind: kind, Name: name, Origin: s.conf.Self, Incarnation: s.conf.Incarnation, Sequence: s.sequence, Stamp: now, Value: slices.Clone(value), Dead: dead}
	s.set(e)
	return e
}

// Decide writes what is agreed on for an epoch. It is merged like what comes from others: another proposal for that epoch
// may be the one to keep, and is returned then.
func (s *State) Decide(now int64, kind Kind, name string, epoch uint64, value []byte) Entry {
	s.Merge(now, Entry{Kind: kind, Name: name, Sequence: epoch, Stamp: now, Value: slices.Clone(value)})
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
	form, known := s.conf.Forms[e.Kind]
	switch {
	case !known:
		s.counts.Unknown++
		return false
	case len(e.Value) > form.Most || len(e.Name) > mostKey || len(e.Origin) > mostKey || form.Rule == Highest && !e.Dead && len(e.Value) != 8,
		(form.Rule == Newest) != (e.Origin != ""):
		s.counts.Faulty++
		return false
	case e.Stamp > now+s.conf.Ahead:
		s.counts.Future++
		return false
	case e.Stamp+form.Keep < now:
		s.counts.Faded++
		return false
	}
	if e.Origin == s.conf.Self && form.Rule == Newest && (e.Incarnation > s.conf.Incarnation ||
		e.Incarnation == s.conf.Incarnation && e.Sequence > s.sequence) {
		// Nobody else may write under this name. What an earlier process of it wrote comes back as any copy does.
		s.counts.Foreign++
		if s.foreign == nil {
			s.foreign = &ForeignError{e.Origin, e.Incarnation}
		}
	}
	old, ok := s.entries.Get(place(e.Key()))
	if ok && compare(form.Rule, &e, old) <= 0 {
		s.counts.Known++
		return false
	}
	if !ok && s.entries.Len() >= s.conf.Most {
		s.counts.Dropped++
		return false
	}
	s.counts.Taken++
	s.set(e)
	return true
}

// Get returns an entry; false also if there is none any more.
func (s *State) Get(k Key) (Entry, bool) {
	e, ok := s.entries.Get(place(k))
	if !ok || e.Dead {
		return Entry{}, false
	}
	return *e, true
}

// Each calls f for the entries of a kind and name, in the order of their origins, until it returns false.
func (s *State) Each(kind Kind, name string, f func(*Entry) bool) {
	s.entries.Ascend(place(Key{Kind: kind, Name: name}), func(_ string, e *Entry) bool {
		return e.Kind == kind && e.Name == name && (e.Dead || f(e))
	})
}

// Names calls f for each entry of a kind, in the order of names and origins.
func (s *State) Names(kind Kind, f func(*Entry) bool) {
	s.entries.Ascend(string(rune(kind)), func(_ string, e *Entry) bool { return e.Kind == kind && (e.Dead || f(e)) })
}

// Upkeep drops what counts no more, and returns the entries of this gateway's own that should be said again, since half of
// their time is over.
func (s *State) Upkeep(now int64) (again []Entry) {
	var gone []string
	s.entries.Scan(func(at string, e *Entry) bool {
		keep := s.conf.Forms[e.Kind].Keep
		if e.Dead {
			keep += s.conf.Ahead // a copy by a clock that is ahead counts for so much longer
		}
		switch own := e.Origin == s.conf.Self && e.Incarnation == s.conf.Incarnation; {
		case e.Stamp+keep < now:
			gone = append(gone, at)
		case own && !e.Dead && e.Stamp+keep/2 < now:
			again = append(again, *e)
		}
		return true
	})
	for _, at := range gone {
		if e, ok := s.entries.Delete(at); ok {
			s.toggle(e, -1)
		}
	}
	return again
}
