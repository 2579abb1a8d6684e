package agreement

import (
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"testing"

	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
)

// The encoding of a decision does not change, and decodes to the same decision.
func TestGoldenDecisions(t *testing.T) {
	tests := []struct {
		name     string
		decision Decision
	}{
		{"nothing", Decision{Value: []byte{}, Previous: []byte{}}},
		{"usual", Decision{7, []byte{0, 100}, []byte{100, 100}, start, "n0"}},
		{"greatest", Decision{math.MaxUint64, []byte{255}, []byte{254}, math.MaxInt64, "n"}},
		{"least moment", Decision{1, []byte{1}, []byte{2}, math.MinInt64, ""}},
		{"longest choice", Decision{2, make([]byte, 255), make([]byte, 255), 1, "a"}},
	}
	var cases []golden.Case
	for _, test := range tests {
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(test.decision.encode())})
	}
	stored := golden.Check(t, "decisions.golden", cases)
	for _, test := range tests {
		value, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeDecision(&crdt.Entry{Sequence: test.decision.Epoch, Value: value})
		if err != nil || !reflect.DeepEqual(decoded, test.decision) {
			t.Errorf("%s is decoded as %v, error %v", test.name, decoded, err)
		}
	}
}

// The encoding of votes and proposals does not change, nor does the order of proposers: versions must agree on both.
func TestGoldenEntriesAndRanks(t *testing.T) {
	c, _ := newParticipant("n0")
	var cases []golden.Case
	add := func(name string, entry crdt.Entry, sent bool) {
		b, err := crdt.Encode(&crdt.Message{Entries: []crdt.Entry{entry}})
		if err != nil || !sent {
			t.Fatal(name, err, sent)
		}
		cases = append(cases, golden.Case{Name: name, Form: hex.EncodeToString(b)})
	}
	vote, sent := c.Vote(start, topic, []byte{1, 2, 3})
	add("vote", vote, sent)
	first, sent := c.Propose(start, topic, []byte{0, 100}, defaultValue, newMembers(1, 0))
	add("first epoch", first, sent)
	next, sent := c.Propose(start+2*second, topic, []byte{50, 100}, defaultValue, newMembers(1, 0))
	add("next epoch", next, sent)
	again, sent := c.Resend(start+400*second, topic, newMembers(1, 0))
	add("again", again, sent)
	for epoch := range uint64(8) {
		cases = append(cases, golden.Case{Name: fmt.Sprint("rank in epoch ", epoch), Form: strconv.Itoa(c.proposerRank(topic, epoch, newMembers(9, 1)))})
	}
	golden.Check(t, "entries.golden", cases)
}
