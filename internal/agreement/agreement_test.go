package agreement

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cloverrock/internal/crdt"
)

const (
	second = int64(1e6)
	start  = 1000 * second
	topic  = "t"
)

var none = []byte{100, 100}

func council(name string) (*Council, *crdt.State) {
	s := crdt.New(crdt.Config{Self: name, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
		1: {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 16}, 2: {Name: "decided", Rule: crdt.HighestEpoch, TTL: 600 * second, MaxValueSize: 64}}})
	return New(Config{Self: name, Votes: 1, Decided: 2, Delay: second, Turn: second / 5, Fresh: 30 * second, Hold: 600 * second, Majority: true}, s), s
}

func roll(alive, dead int) Roll {
	r := Roll{}
	for i := range alive + dead {
		r[fmt.Sprint("n", i)] = i < alive
	}
	return r
}

// Several propose at once, not knowing of one another: whatever reaches whom in which order, all come to keep one
// proposal, one that was made, and epochs only rise.
func TestAllKeepOneProposal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "gateways")
		var councils []*Council
		var states []*crdt.State
		for i := range n {
			c, s := council(fmt.Sprint("n", i))
			councils, states = append(councils, c), append(states, s)
		}
		var said []crdt.Entry
		made := map[string]bool{}
		members := roll(n, 0)
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "acts") {
			now += rapid.Int64Range(0, 2).Draw(t, "wait") * second
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			choice := []byte{byte(rapid.IntRange(0, 3).Draw(t, "a")), byte(rapid.IntRange(0, 3).Draw(t, "b"))}
			before, _ := councils[i].Latest(topic)
			for _, at := range []int64{now, now + second} { // its turn has come by then
				if e, ok := councils[i].Propose(at, topic, choice, none, members); ok {
					said = append(said, e)
					made[string(choice)] = true
				}
			}
			if len(said) > 0 && rapid.Bool().Draw(t, "hears") {
				to := rapid.IntRange(0, n-1).Draw(t, "to")
				states[to].Merge(now+2*second, said[rapid.IntRange(0, len(said)-1).Draw(t, "of")])
			}
			if after, _ := councils[i].Latest(topic); after.Epoch < before.Epoch {
				t.Fatalf("epoch %d after %d", after.Epoch, before.Epoch)
			}
		}
		for i := range n {
			states[i].Merge(now+3*second, rapid.Permutation(said).Draw(t, "order")...)
		}
		first, ok := councils[0].Latest(topic)
		for i := range n {
			d, _ := councils[i].Latest(topic)
			if d.Epoch != first.Epoch || !bytes.Equal(d.Choice, first.Choice) || d.From != first.From || d.By != first.By {
				t.Fatalf("%+v and %+v", first, d)
			}
		}
		if ok && !made[string(first.Choice)] {
			t.Fatalf("nobody proposed %v", first.Choice)
		}
	})
}

// Before its moment the choice before it is in force; one that hears later counts that; half of the members decide nothing.
func TestInForce(t *testing.T) {
	a, s := council("n0")
	if _, ok := a.Propose(start, topic, []byte{0, 100}, none, roll(2, 2)); ok {
		t.Error("half of the members decide")
	}
	e, ok := a.Propose(start, topic, []byte{0, 100}, none, Roll{"n0": true})
	if !ok {
		t.Fatal("not proposed")
	}
	for at, want := range map[int64]byte{start: 100, start + second - 1: 100, start + second: 0} {
		if choice, _ := a.InForce(at, topic, none); choice[0] != want {
			t.Errorf("%d us after: %v in force", at-start, choice)
		}
	}
	b, other := council("n1")
	b.Heard(start+3*second, other.Merge(start+3*second, e))
	if l := b.Lateness(); l.Late != 1 || l.Most != 2*second {
		t.Errorf("%+v", l)
	}
	if _, ok := a.Again(start+second, topic, Roll{"n0": true}); ok {
		t.Error("said again at once")
	}
	if _, ok := a.Again(start+400*second, topic, Roll{"n0": true}); !ok || s.Len() != 1 {
		t.Error("not said again before it is forgotten")
	}
}

// A member that is held for dead still counts with what it said last, for its time.
func TestVotesOfTheDeadCount(t *testing.T) {
	a, s := council("n0")
	o, _ := council("n1")
	if e, ok := o.Vote(start, topic, []byte{1}); ok {
		s.Merge(start, e)
	}
	a.Vote(start, topic, []byte{2})
	if n := len(a.Votes(start+second, topic, roll(1, 1))); n != 2 {
		t.Errorf("%d votes", n)
	}
	if n := len(a.Votes(start+40*second, topic, roll(2, 0))); n != 0 {
		t.Errorf("%d votes that are 40 s old", n)
	}
	if n := len(a.Votes(start+second, topic, Roll{"n0": true})); n != 1 {
		t.Errorf("%d votes, of one that is not on the roll", n)
	}
}
