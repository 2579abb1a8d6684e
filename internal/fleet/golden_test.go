package fleet

import (
	"encoding/hex"
	"testing"

	"cloverrock/internal/accord"
	"cloverrock/internal/config"
	"cloverrock/internal/golden"
	"cloverrock/internal/replica"
)

// What a gateway tells all, and what it asks one, are the same bytes as ever under the same keys.
func TestGoldenLetters(t *testing.T) {
	forms := map[replica.Kind]replica.Form{
		votes:   {Name: "votes", Rule: replica.Newest, Keep: second, Most: 8},
		decided: {Name: "decided", Rule: replica.Decided, Keep: second, Most: 8},
	}
	p := &Part{conf: &config.Config{Name: "a"}, out: newRing[letter](8), state: replica.New(replica.Config{Self: "a", Incarnation: 5, Forms: forms})}
	p.tell(p.state.Put(second, votes, "zones", []byte{1, 2}), p.state.Decide(second, decided, "zones", 3, []byte{4}))
	p.ask(accord.Roll{"a": true, "b": true, "c": false})
	var cases []golden.Case
	for _, name := range []string{"vote", "decision", "question"} {
		l := <-p.out.c
		cases = append(cases, golden.Case{Name: name, Form: "to=" + l.name + " key=" + l.key + " " + hex.EncodeToString(l.b)})
		if _, err := replica.Decode("a", l.b); err != nil {
			t.Error(err)
		}
	}
	golden.Check(t, "letters.golden", cases)
}
