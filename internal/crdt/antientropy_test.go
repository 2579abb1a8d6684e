package crdt

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A round makes two states identical, whatever their entries. Its messages are encoded and decoded in between. Only the
// member that started the round records that it has caught up.
func TestRoundMakesStatesIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newState("g"), newState("h")
		a.Merge(start, drawEntries().Draw(t, "a")...)
		b.Merge(start, drawEntries().Draw(t, "b")...)
		for i := range rapid.IntRange(0, 300).Draw(t, "more") {
			a.Merge(start, newEntry(strconv.Itoa(i), "x", 1))
		}
		type packet struct {
			to, from *State
			m        *Message
		}
		queue := []packet{{b, a, a.StartRound(7)}}
		for n := 0; len(queue) > 0; n++ {
			if n > 50 {
				t.Fatal("the round did not end")
			}
			next := queue[0]
			queue = queue[1:]
			wire, err := Encode(next.m)
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode("x", wire)
			if err != nil {
				t.Fatal(err)
			}
			answers, _ := next.to.Receive(start, m)
			for _, answer := range answers {
				if answer.Round != 7 {
					t.Fatalf("an answer has round %d, want 7", answer.Round)
				}
				queue = append(queue, packet{next.from, next.to, answer})
			}
		}
		if a.digest != b.digest || cmp.Diff(allEntries(a), allEntries(b), equal) != "" {
			t.Fatal("the states differ after the round")
		}
		if a.CaughtUpRound() != 7 || b.CaughtUpRound() != 0 {
			t.Fatalf("rounds caught up: %d and %d, want 7 and 0", a.CaughtUpRound(), b.CaughtUpRound())
		}
	})
}
