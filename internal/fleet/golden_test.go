package fleet

import (
	"encoding/hex"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/config"
	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
)

// The encoding and the keys of broadcasts and of a round's first message do not change.
func TestGoldenMessages(t *testing.T) {
	kinds := map[crdt.Kind]crdt.KindConfig{
		voteKind:     {Name: "votes", Rule: crdt.LastWriterWins, TTL: second, MaxValueSize: 8},
		decisionKind: {Name: "decided", Rule: crdt.HighestEpoch, TTL: second, MaxValueSize: 8},
	}
	c := &Component{
		conf:   &config.Config{Name: "a"},
		outbox: newRing[message](8),
		state:  crdt.New(crdt.Config{Self: "a", Incarnation: 5, Kinds: kinds}),
	}
	c.broadcast(c.state.Put(second, voteKind, "zones", []byte{1, 2}), c.state.PutEpoch(second, decisionKind, "zones", 3, []byte{4}))
	c.startRound(agreement.Members{"a": true, "b": true, "c": false})
	var cases []golden.Case
	for _, name := range []string{"vote", "decision", "question"} {
		sent := <-c.outbox.ch
		cases = append(cases, golden.Case{Name: name, Form: "to=" + sent.member + " key=" + sent.key + " " + hex.EncodeToString(sent.data)})
		if _, err := crdt.Decode("a", sent.data); err != nil {
			t.Error(err)
		}
	}
	golden.Check(t, "letters.golden", cases)
}
