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
func TestGoldenLetters(t *testing.T) {
	forms := map[crdt.Kind]crdt.KindConfig{
		votes:   {Name: "votes", Rule: crdt.LastWriterWins, TTL: second, MaxValueSize: 8},
		decided: {Name: "decided", Rule: crdt.HighestEpoch, TTL: second, MaxValueSize: 8},
	}
	p := &Component{conf: &config.Config{Name: "a"}, out: newRing[letter](8), state: crdt.New(crdt.Config{Self: "a", Incarnation: 5, Kinds: forms})}
	p.tell(p.state.Put(second, votes, "zones", []byte{1, 2}), p.state.PutEpoch(second, decided, "zones", 3, []byte{4}))
	p.ask(agreement.Members{"a": true, "b": true, "c": false})
	var cases []golden.Case
	for _, name := range []string{"vote", "decision", "question"} {
		l := <-p.out.c
		cases = append(cases, golden.Case{Name: name, Form: "to=" + l.name + " key=" + l.key + " " + hex.EncodeToString(l.b)})
		if _, err := crdt.Decode("a", l.b); err != nil {
			t.Error(err)
		}
	}
	golden.Check(t, "letters.golden", cases)
}
