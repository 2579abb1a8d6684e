package crdt

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

const (
	lastWriterWins Kind = iota + 1
	maxValue
	highestEpoch
	second int64 = 1e6
	start        = 1000 * second
)

var kindConfigs = map[Kind]KindConfig{
	lastWriterWins: {"newest", LastWriterWins, 60 * second, 16},
	maxValue:       {"highest", MaxValue, 60 * second, 8},
	highestEpoch:   {"decided", HighestEpoch, 600 * second, 16},
}

func newState(self string) *State {
	return New(Config{Self: self, Incarnation: 1, Kinds: kindConfigs, MaxClockSkew: 5 * second})
}

// drawEntries draws entries with few different keys, so that many have the same key.
func drawEntries() *rapid.Generator[[]Entry] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{
			Kind:        Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Name:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			Timestamp:   start + rapid.Int64Range(-3, 3).Draw(t, "timestamp")*second,
			Deleted:     rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
			Value:       []byte{byte(rapid.IntRange(0, 3).Draw(t, "value"))},
		}
		if e.Kind == lastWriterWins {
			e.Origin = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "origin")
		}
		if e.Kind == maxValue {
			e.Value = binary.BigEndian.AppendUint64(nil, uint64(e.Value[0]))
		}
		return e
	}), 0, 30)
}

// newEntry returns an entry of a single writer, with a value of 16 bytes.
func newEntry(name, origin string, sequence uint64) Entry {
	return Entry{
		Kind:        lastWriterWins,
		Name:        name,
		Origin:      origin,
		Incarnation: 1,
		Sequence:    sequence,
		Timestamp:   start,
		Value:       make([]byte, 16),
	}
}

func allEntries(s *State) (all []Entry) {
	s.entries.Scan(func(_ string, e *Entry) bool {
		all = append(all, *e)
		return true
	})
	return all
}

var equal = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(Entry{})}

// The state and its digest do not depend on the order, the repetition or the grouping of merges.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawEntries().Draw(t, "entries")
		a, b, c := newState("g"), newState("h"), newState("i")
		a.Merge(start, all...)
		b.Merge(start, rapid.Permutation(all).Draw(t, "order")...)
		b.Merge(start, rapid.Permutation(all).Draw(t, "again")...)
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		d := newState("j")
		c.Merge(start, all[cut:]...)
		d.Merge(start, all[:cut]...)
		c.Merge(start, allEntries(d)...) // what was merged elsewhere is merged here
		for _, other := range []*State{b, c} {
			if diff := cmp.Diff(allEntries(a), allEntries(other), equal); diff != "" {
				t.Fatalf("states differ: %s", diff)
			}
			if a.digest != other.digest || a.bucketSizes != other.bucketSizes || a.memoryBytes != other.memoryBytes {
				t.Fatal("states with the same entries differ in their digests or sizes")
			}
		}
	})
}

// The numbers, epochs and incarnations that a state holds for a key never decrease.
func TestMergeNeverRestoresAnOlderEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState("g")
		previous := map[Key]Entry{}
		for _, e := range drawEntries().Draw(t, "entries") {
			s.Merge(start, e)
			for _, merged := range allEntries(s) {
				if old, ok := previous[merged.Key()]; ok && isBefore(&merged, &old) {
					t.Fatalf("the older entry %+v has replaced %+v", merged, old)
				}
				previous[merged.Key()] = merged
			}
		}
	})
}

// isBefore reports whether an entry is older than another one of its key.
func isBefore(e, other *Entry) bool {
	switch kindConfigs[e.Kind].Rule {
	case MaxValue:
		return e.numericValue() < other.numericValue()
	case HighestEpoch:
		return e.Sequence < other.Sequence
	case LastWriterWins:
		return e.Incarnation < other.Incarnation
	}
	return false
}

// A deleted entry does not reappear when an older copy arrives, however late, and all entries expire in the end.
func TestDeletedEntryStaysDeletedUntilItExpires(t *testing.T) {
	s, other := newState("g"), newState("h")
	old := s.Put(start, lastWriterWins, "a", []byte("v"))
	tombstone := s.Delete(start+second, lastWriterWins, "a")
	other.Merge(start+2*second, tombstone)
	for at := start; at < start+200*second; at += second {
		for _, o := range []*State{s, other} {
			o.Expire(at)
			o.Merge(at, old)
			if _, ok := o.Get(old.Key()); ok && at >= start+2*second {
				t.Fatalf("the deleted entry is back after %d s", (at-start)/second)
			}
		}
	}
	if s.Len()+other.Len() != 0 || s.MemoryBytes()+other.MemoryBytes() != 0 || s.digest != [digestGroups][bucketsPerGroup]uint64{} {
		t.Errorf("%d entries and %d bytes remain, want none", s.Len(), s.MemoryBytes())
	}
}

// Expire returns a process's own entries for renewal before other gateways drop them. Entries of a crashed process
// expire.
func TestOwnEntriesAreRefreshedBeforeTheyExpire(t *testing.T) {
	s, o := newState("g"), newState("h")
	o.Merge(start, s.Put(start, lastWriterWins, "a", []byte("v")))
	for at := start; at < start+200*second; at += second {
		for _, e := range s.Expire(at) {
			o.Merge(at, s.Put(at, e.Kind, e.Name, e.Value))
		}
		o.Expire(at)
		if o.Len() != 1 {
			t.Fatalf("the entry was dropped after %d s although its writer renewed it", (at-start)/second)
		}
	}
	o.Expire(start + 300*second)
	if o.Len() != 0 {
		t.Error("the entries of a crashed writer never expire")
	}
}

// Entries from the future, expired, of unknown kind, too long, or with or without an origin against the rule of their
// kind are rejected and counted.
func TestInvalidEntriesAreRejectedAndCounted(t *testing.T) {
	s := newState("g")
	valid := Entry{Kind: lastWriterWins, Name: "a", Origin: "x", Timestamp: start, Value: []byte("v")}
	for _, change := range []func(*Entry){
		func(e *Entry) { e.Timestamp = start + 3600*second },
		func(e *Entry) { e.Timestamp = start - 3600*second },
		func(e *Entry) { e.Kind = 99 },
		func(e *Entry) { e.Value = make([]byte, 17) },
		func(e *Entry) { e.Origin = "" },
		func(e *Entry) { e.Kind = highestEpoch },
		func(e *Entry) {
			e.Kind = maxValue
			e.Origin = ""
		},
	} {
		e := valid
		change(&e)
		if len(s.Merge(start, e)) != 0 {
			t.Errorf("an invalid entry was merged: %+v", e)
		}
	}
	if c := s.Counts(); c.FromFuture != 1 || c.Expired != 1 || c.UnknownKind != 1 || c.Malformed != 4 {
		t.Errorf("%+v", c)
	}
}

// Of two processes under one name the older one detects the other. A copy of an entry of an earlier process is not a
// conflict.
func TestConflictingOriginIsDetected(t *testing.T) {
	a, b := newState("g"), New(Config{Self: "g", Incarnation: 2, Kinds: kindConfigs, MaxClockSkew: 5 * second})
	a.Merge(start, b.Put(start, lastWriterWins, "a", []byte("2")))
	if f := a.TakeConflictingOrigin(); f == nil || f.Remedy() == "" || errors.Is(f, nil) {
		t.Errorf("no conflict was detected, or it has no remedy: %v", f)
	}
	b.Merge(start, a.Put(start, lastWriterWins, "a", []byte("1")))
	if b.TakeConflictingOrigin() != nil {
		t.Error("a copy of an entry of an earlier process was reported as a conflict")
	}
}

// The time of a merge and the memory use with ten entries of each of a thousand gateways.
func BenchmarkThousandGateways(b *testing.B) {
	s := newState("g")
	for i := range 10000 {
		s.Merge(start, newEntry(fmt.Sprint("zone-", i%10), fmt.Sprint("n", i/10), 1))
	}
	for i := 0; b.Loop(); i++ {
		s.Merge(start, newEntry("zone-1", "n1", uint64(i+2)))
	}
	b.ReportMetric(float64(s.MemoryBytes())/1e6, "MB")
}
