package fleet

import (
	"encoding/hex"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/config"
	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
)

// What a gateway tells all, and what it asks one, are the same bytes as ever under the same keys.
func TestGoldenMessages(t *testing.T) {
	forms := map[crdt.Kind]crdt.KindConfig{
		voteKind:     {Name: "votes", Rule: crdt.LastWriterWins, TTL: second, MaxValueSize: 8},
		decisionKind: {Name: "decided", Rule: crdt.HighestEpoch, TTL: second, MaxValueSize: 8},
	}
	c := &Component{conf: &config.Config{Name: "a"}, outbox: newRing[message](8), state: crdt.New(crdt.Config{Self: "a", Incarnation: 5, Kinds: forms})}
	c.broadcast(c.state.Put(second, voteKind, "zones", []byte{1, 2}), c.state.PutEpoch(second, decisionKind, "zones", 3, []byte{4}))
	c.startRound(agreement.Members{"a": true, "b": true, "c": false})
	var cases []golden.Case
	for _, name := range []string{"vote", "decision", "question"} {
		l := <-c.outbox.ch
		cases = append(cases, golden.Case{Name: name, Form: "to=" + l.member + " key=" + l.key + " " + hex.EncodeToString(l.data)})
		if _, err := crdt.Decode("a", l.data); err != nil {
			t.Error(err)
		}
	}
	golden.Check(t, "letters.golden", cases)
}
