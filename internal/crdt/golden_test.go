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

// goldenState holds entries of each kind, one of them deleted.
func goldenState() *State {
	s := newState("a")
	s.Put(start, lastWriterWins, "one", []byte("value"))
	s.Put(start+1, lastWriterWins, "two", []byte{0, 255})
	s.Delete(start+2, lastWriterWins, "two")
	s.PutEpoch(start, highestEpoch, "topic", 7, []byte("choice"))
	s.Merge(start, Entry{Kind: maxValue, Name: "position", Sequence: 3, Timestamp: start, Value: []byte{0, 0, 0, 0, 0, 0, 1, 2}})
	return s
}

// The encoding of each form of a message does not change, and decodes to the same message.
func TestGoldenMessages(t *testing.T) {
	request, empty := goldenState().StartRound(math.MaxUint64), newState("b")
	answers, _ := empty.Receive(start, request)
	entryMessages, _ := goldenState().Receive(start, answers[0])
	wanted, _ := goldenState().Receive(start, &Message{WantedBuckets: []int{0, 255}, Round: 2})
	identical, _ := goldenState().Receive(start, goldenState().StartRound(3))
	tests := []struct {
		name    string
		message *Message
	}{
		{"nothing", &Message{}},
		{"ask", request},
		{"ask of an empty state", empty.StartRound(1)},
		{"groups that differ", answers[0]},
		{"entries", entryMessages[0]},
		{"last", wanted[0]},
		{"same", identical[0]},
		{"want", &Message{WantedBuckets: []int{0, 127, 128, 255}, Round: 256}},
		{"greatest entry", &Message{Entries: []Entry{{Kind: math.MaxUint8, Name: "n", Origin: "o", Incarnation: math.MaxUint64,
			Sequence: math.MaxUint64 - 1, Timestamp: math.MaxInt64, Deleted: true, Value: make([]byte, 256)}}}},
		{"least entry", &Message{Entries: []Entry{{Timestamp: math.MinInt64, Value: []byte{}}, {Timestamp: -1}}}},
	}
	var cases []golden.Case
	for _, test := range tests {
		b, err := Encode(test.message)
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
		decoded, err := Decode("a", b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.message, decoded, equal, cmpopts.IgnoreUnexported(Message{})); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// The digests of given entries do not change: gateways of different versions must agree on them.
func TestGoldenDigests(t *testing.T) {
	var cases []golden.Case
	add := func(name string, number any) {
		cases = append(cases, golden.Case{Name: name, Form: fmt.Sprintf("%016x", number)})
	}
	s := goldenState()
	add("root", s.StartRound(1).GroupDigests)
	add("root of an empty state", newState("a").StartRound(1).GroupDigests)
	for i, e := range allEntries(s) {
		group, bucket := bucketOf(e.Key())
		add(fmt.Sprint("entry ", i, " of kind ", e.Kind, " in ", group, "/", bucket), e.hash())
	}
	golden.Check(t, "digests.golden", cases)
}
