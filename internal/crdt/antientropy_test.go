package crdt

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A round makes two states identical, whatever their entries, with messages that are encoded and decoded. The member
// that started it detects when it has caught up.
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
					t.Fatalf("an answer of round %d", answer.Round)
				}
				queue = append(queue, packet{next.from, next.to, answer})
			}
		}
		if a.digest != b.digest || cmp.Diff(allEntries(a), allEntries(b), equal) != "" {
			t.Fatal("the states differ after the round")
		}
		if a.CaughtUpRound() != 7 || b.CaughtUpRound() != 0 {
			t.Fatalf("caught up with %d, %d", a.CaughtUpRound(), b.CaughtUpRound())
		}
	})
}
