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
	newest Kind = iota + 1
	highest
	decided
	second int64 = 1e6
	start        = 1000 * second
)

var forms = map[Kind]Form{
	newest:  {"newest", Newest, 60 * second, 16},
	highest: {"highest", Highest, 60 * second, 8},
	decided: {"decided", Decided, 600 * second, 16},
}

func newState(self string) *State {
	return New(Config{Self: self, Incarnation: 1, Forms: forms, Ahead: 5 * second})
}

// entries draws entries of few keys, so that they meet.
func entries() *rapid.Generator[[]Entry] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{Kind: Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			Stamp: start + rapid.Int64Range(-3, 3).Draw(t, "stamp")*second, Dead: rapid.IntRange(0, 4).Draw(t, "dead") == 0,
			Value: []byte{byte(rapid.IntRange(0, 3).Draw(t, "value"))}}
		if e.Kind == newest {
			e.Origin = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "origin")
		}
		if e.Kind == highest {
			e.Value = binary.BigEndian.AppendUint64(nil, uint64(e.Value[0]))
		}
		return e
	}), 0, 30)
}

func held(s *State) (all []Entry) {
	s.entries.Scan(func(_ string, e *Entry) bool {
		all = append(all, *e)
		return true
	})
	return all
}

var equal = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreUnexported(Entry{})}

// In whatever order, how often and in whatever parts entries come, what is held is the same, and its digest tells so.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries().Draw(t, "entries")
		a, b, c := newState("g"), newState("h"), newState("i")
		a.Merge(start, all...)
		b.Merge(start, rapid.Permutation(all).Draw(t, "order")...)
		b.Merge(start, rapid.Permutation(all).Draw(t, "again")...)
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		d := newState("j")
		c.Merge(start, all[cut:]...)
		d.Merge(start, all[:cut]...)
		c.Merge(start, held(d)...) // what was merged elsewhere, merged here
		for _, o := range []*State{b, c} {
			if diff := cmp.Diff(held(a), held(o), equal); diff != "" || a.digest != o.digest || a.members != o.members || a.bytes != o.bytes {
				t.Fatalf("held differs: %s", diff)
			}
		}
	})
}

// What was heard never goes back: a number that only rises, an epoch, what an origin said last.
func TestNothingGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState("g")
		was := map[Key]Entry{}
		for _, e := range entries().Draw(t, "entries") {
			s.Merge(start, e)
			for _, now := range held(s) {
				old, ok := was[now.Key()]
				if ok && (forms[now.Kind].Rule == Highest && now.number() < old.number() || forms[now.Kind].Rule == Decided && now.Sequence < old.Sequence ||
					forms[now.Kind].Rule == Newest && now.Incarnation < old.Incarnation) {
					t.Fatalf("%+v after %+v", now, old)
				}
				was[now.Key()] = now
			}
		}
	})
}

// Rounds make two states alike, whatever each held, and the messages survive their form on the wire. Whoever asked knows
// when it has caught up.
func TestRoundsMakeAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newState("g"), newState("h")
		a.Merge(start, entries().Draw(t, "a")...)
		b.Merge(start, entries().Draw(t, "b")...)
		for i := range rapid.IntRange(0, 300).Draw(t, "more") {
			a.Merge(start, Entry{Kind: newest, Name: fmt.Sprint(i), Origin: "x", Incarnation: 1, Sequence: 1, Stamp: start, Value: make([]byte, 16)})
		}
		type sent struct {
			to, from *State
			m        *Message
		}
		queue := []sent{{b, a, a.Ask(7)}}
		for n := 0; len(queue) > 0; n++ {
			if n > 50 {
				t.Fatal("the round does not end")
			}
			at := queue[0]
			queue = queue[1:]
			wire, err := Encode(at.m)
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode("x", wire)
			if err != nil {
				t.Fatal(err)
			}
			answers, _ := at.to.Hear(start, m)
			for _, o := range answers {
				if o.Round != 7 {
					t.Fatalf("an answer of round %d", o.Round)
				}
				queue = append(queue, sent{at.from, at.to, o})
			}
		}
		if a.digest != b.digest || cmp.Diff(held(a), held(b), equal) != "" {
			t.Fatal("the states differ after a round")
		}
		if a.CaughtUp() != 7 || b.CaughtUp() != 0 {
			t.Fatalf("caught up with %d, %d", a.CaughtUp(), b.CaughtUp())
		}
	})
}

// What was removed does not come back by an older copy, however late it comes; and all is dropped when its time is over.
func TestRemovedStaysRemoved(t *testing.T) {
	s, far := newState("g"), newState("h")
	old := s.Put(start, newest, "a", []byte("v"))
	gone := s.Remove(start+second, newest, "a")
	far.Merge(start+2*second, gone)
	for at := start; at < start+200*second; at += second {
		for _, o := range []*State{s, far} {
			o.Upkeep(at)
			o.Merge(at, old)
			if _, ok := o.Get(old.Key()); ok && at >= start+2*second {
				t.Fatalf("is back after %d s", (at-start)/second)
			}
		}
	}
	if s.Len()+far.Len() != 0 || s.Bytes()+far.Bytes() != 0 || s.digest != [groups][buckets]uint64{} {
		t.Errorf("%d entries, %d bytes are left", s.Len(), s.Bytes())
	}
}

// A writer's own entries are to be said again before others drop them; those of a dead writer go.
func TestOwnEntriesAreSaidAgain(t *testing.T) {
	s, o := newState("g"), newState("h")
	o.Merge(start, s.Put(start, newest, "a", []byte("v")))
	for at := start; at < start+200*second; at += second {
		for _, e := range s.Upkeep(at) {
			o.Merge(at, s.Put(at, e.Kind, e.Name, e.Value))
		}
		if o.Upkeep(at); o.Len() != 1 {
			t.Fatalf("dropped after %d s", (at-start)/second)
		}
	}
	if o.Upkeep(start + 300*second); o.Len() != 0 {
		t.Error("what a dead writer said stays for good")
	}
}

// What can't be right is passed over and counted: from the future, long ago, of unknown kind, too long, without an origin.
func TestRefused(t *testing.T) {
	s := newState("g")
	good := Entry{Kind: newest, Name: "a", Origin: "x", Stamp: start, Value: []byte("v")}
	for _, change := range []func(*Entry){
		func(e *Entry) { e.Stamp = start + 3600*second }, func(e *Entry) { e.Stamp = start - 3600*second }, func(e *Entry) { e.Kind = 99 },
		func(e *Entry) { e.Value = make([]byte, 17) }, func(e *Entry) { e.Origin = "" }, func(e *Entry) { e.Kind = decided }, func(e *Entry) { e.Kind, e.Origin = highest, "" },
	} {
		e := good
		change(&e)
		if len(s.Merge(start, e)) != 0 {
			t.Errorf("took %+v", e)
		}
	}
	if c := s.Counts(); c.Future != 1 || c.Faded != 1 || c.Unknown != 1 || c.Faulty != 4 {
		t.Errorf("%+v", c)
	}
}

// Two processes under one name are found out by each.
func TestTwoUnderOneName(t *testing.T) {
	a, b := newState("g"), New(Config{Self: "g", Incarnation: 2, Forms: forms, Ahead: 5 * second})
	a.Merge(start, b.Put(start, newest, "a", []byte("2")))
	if f := a.Foreign(); f == nil || f.Remedy() == "" || errors.Is(f, nil) {
		t.Errorf("not found out: %v", f)
	}
	b.Merge(start, a.Put(start, newest, "a", []byte("1")))
	if b.Foreign() != nil {
		t.Error("a copy of what an earlier process wrote is taken for another process")
	}
}

// A thousand gateways with ten entries each: what that takes.
func BenchmarkThousandGateways(b *testing.B) {
	s := newState("g")
	for i := range 10000 {
		s.Merge(start, Entry{Kind: newest, Name: fmt.Sprint("zone-", i%10), Origin: fmt.Sprint("n", i/10), Incarnation: 1, Sequence: 1, Stamp: start, Value: make([]byte, 16)})
	}
	for i := 0; b.Loop(); i++ {
		s.Merge(start, Entry{Kind: newest, Name: "zone-1", Origin: "n1", Incarnation: 1, Sequence: uint64(i + 2), Stamp: start, Value: make([]byte, 16)})
	}
	b.ReportMetric(float64(s.Bytes())/1e6, "MB")
}
