package crdt

import (
	"encoding/hex"
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cloverrock/internal/golden"
)

// goldenState holds entries of each kind, one of them dead.
func goldenState() *State {
	s := newState("a")
	s.Put(start, newest, "one", []byte("value"))
	s.Put(start+1, newest, "two", []byte{0, 255})
	s.Remove(start+2, newest, "two")
	s.Decide(start, decided, "topic", 7, []byte("choice"))
	s.Merge(start, Entry{Kind: highest, Name: "position", Sequence: 3, Stamp: start, Value: []byte{0, 0, 0, 0, 0, 0, 1, 2}})
	return s
}

// Each form of a message has the same bytes as ever, and they are read as the message that was sent.
func TestGoldenMessages(t *testing.T) {
	asked, other := goldenState().Ask(math.MaxUint64), newState("b")
	answers, _ := other.Hear(start, asked)
	brought, _ := goldenState().Hear(start, answers[0])
	wanted, _ := goldenState().Hear(start, &Message{Want: []int{0, 255}, Round: 2})
	same, _ := goldenState().Hear(start, goldenState().Ask(3))
	tests := []struct {
		name string
		made *Message
	}{
		{"nothing", &Message{}},
		{"ask", asked},
		{"ask of an empty state", other.Ask(1)},
		{"groups that differ", answers[0]},
		{"entries", brought[0]},
		{"last", wanted[0]},
		{"same", same[0]},
		{"want", &Message{Want: []int{0, 127, 128, 255}, Round: 256}},
		{"greatest entry", &Message{Entries: []Entry{{Kind: math.MaxUint8, Name: "n", Origin: "o", Incarnation: math.MaxUint64,
			Sequence: math.MaxUint64 - 1, Stamp: math.MaxInt64, Dead: true, Value: make([]byte, 256)}}}},
		{"least entry", &Message{Entries: []Entry{{Stamp: math.MinInt64, Value: []byte{}}, {Stamp: -1}}}},
	}
	var cases []golden.Case
	for _, test := range tests {
		b, err := Encode(test.made)
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(b)})
	}
	stored := golden.Check(t, "messages.golden", cases)
	for _, test := range tests {
		b, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		read, err := Decode("a", b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.made, read, equal, cmpopts.IgnoreUnexported(Message{})); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// The same entries have the same digests at all gateways, whatever versions they run.
func TestGoldenDigests(t *testing.T) {
	var cases []golden.Case
	add := func(name string, number any) {
		cases = append(cases, golden.Case{Name: name, Form: fmt.Sprintf("%016x", number)})
	}
	s := goldenState()
	add("root", s.Ask(1).Top)
	add("root of an empty state", newState("a").Ask(1).Top)
	for i, e := range held(s) {
		group, bucket := s.slot(e.Key())
		add(fmt.Sprint("entry ", i, " of kind ", e.Kind, " in ", group, "/", bucket), e.hash())
	}
	golden.Check(t, "digests.golden", cases)
}
