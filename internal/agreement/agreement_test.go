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

var defaultValue = []byte{100, 100}

func newParticipant(name string) (*Participant, *crdt.State) {
	state := crdt.New(crdt.Config{Self: name, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
		1: {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 16},
		2: {Name: "decided", Rule: crdt.HighestEpoch, TTL: 600 * second, MaxValueSize: 64},
	}})
	conf := Config{
		Self:          name,
		VoteKind:      1,
		DecisionKind:  2,
		EffectDelay:   second,
		ProposerDelay: second / 5,
		VoteTTL:       30 * second,
		DecisionTTL:   600 * second,
		RequireQuorum: true,
	}
	return New(conf, state), state
}

func newMembers(alive, dead int) Members {
	members := Members{}
	for i := range alive + dead {
		members[fmt.Sprint("n", i)] = i < alive
	}
	return members
}

// Several members propose at the same time. In whatever order the proposals arrive, all members converge on the same
// proposal, and epochs never decrease.
func TestAllMembersConvergeOnOneProposal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "gateways")
		var participants []*Participant
		var states []*crdt.State
		for i := range n {
			participant, state := newParticipant(fmt.Sprint("n", i))
			participants = append(participants, participant)
			states = append(states, state)
		}
		var sent []crdt.Entry
		proposed := map[string]bool{}
		members := newMembers(n, 0)
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += rapid.Int64Range(0, 2).Draw(t, "wait") * second
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			value := []byte{byte(rapid.IntRange(0, 3).Draw(t, "a")), byte(rapid.IntRange(0, 3).Draw(t, "b"))}
			before, _ := participants[i].Latest(topic)
			for _, at := range []int64{now, now + second} { // a second later it is this member's turn in any case
				if e, ok := participants[i].Propose(at, topic, value, defaultValue, members); ok {
					sent = append(sent, e)
					proposed[string(value)] = true
				}
			}
			if len(sent) > 0 && rapid.Bool().Draw(t, "delivers") {
				to := rapid.IntRange(0, n-1).Draw(t, "to")
				states[to].Merge(now+2*second, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "of")])
			}
			if after, _ := participants[i].Latest(topic); after.Epoch < before.Epoch {
				t.Fatalf("the latest epoch fell to %d from %d", after.Epoch, before.Epoch)
			}
		}
		for i := range n {
			states[i].Merge(now+3*second, rapid.Permutation(sent).Draw(t, "order")...)
		}
		first, ok := participants[0].Latest(topic)
		for i := range n {
			requireSameDecision(t, participants[i], first)
		}
		if ok && !proposed[string(first.Value)] {
			t.Fatalf("the members agreed on %v, which no member proposed", first.Value)
		}
	})
}

// requireSameDecision checks that the latest decision of a participant is the given one.
func requireSameDecision(t *rapid.T, participant *Participant, want Decision) {
	t.Helper()
	got, _ := participant.Latest(topic)
	if got.Epoch != want.Epoch || !bytes.Equal(got.Value, want.Value) || got.EffectiveAt != want.EffectiveAt || got.Proposer != want.Proposer {
		t.Fatalf("members differ in their latest decision: %+v and %+v", want, got)
	}
}

// A decision takes effect at its time; until then the previous value is in effect. A member that receives the decision
// later counts it as late. Half of the members are no quorum and propose nothing. A decision is renewed before it
// expires.
func TestDecisionTakesEffectAtItsTimeAndIsResent(t *testing.T) {
	a, s := newParticipant("n0")
	if _, ok := a.Propose(start, topic, []byte{0, 100}, defaultValue, newMembers(2, 2)); ok {
		t.Error("proposed with only half of the members alive")
	}
	e, ok := a.Propose(start, topic, []byte{0, 100}, defaultValue, Members{"n0": true})
	if !ok {
		t.Fatal("not proposed with all members alive")
	}
	for at, want := range map[int64]byte{start: 100, start + second - 1: 100, start + second: 0} {
		if value, _ := a.InEffect(at, topic, defaultValue); value[0] != want {
			t.Errorf("%d us after the proposal the value in effect is %v", at-start, value)
		}
	}
	b, other := newParticipant("n1")
	b.Apply(start+3*second, other.Merge(start+3*second, e))
	if l := b.Lateness(); l.Late != 1 || l.Max != 2*second {
		t.Errorf("%+v", l)
	}
	if _, ok := a.Resend(start+second, topic, Members{"n0": true}); ok {
		t.Error("resent before half of its lifetime has passed")
	}
	if _, ok := a.Resend(start+400*second, topic, Members{"n0": true}); !ok || s.Len() != 1 {
		t.Error("not resent after half of its lifetime")
	}
}

// The last vote of a member that is marked as dead counts until it expires.
func TestVotesOfDeadMembersCountUntilTheyExpire(t *testing.T) {
	a, s := newParticipant("n0")
	other, _ := newParticipant("n1")
	if e, ok := other.Vote(start, topic, []byte{1}); ok {
		s.Merge(start, e)
	}
	a.Vote(start, topic, []byte{2})
	if n := len(a.Votes(start+second, topic, newMembers(1, 1))); n != 2 {
		t.Errorf("%d votes of a live and a dead member, want 2", n)
	}
	if n := len(a.Votes(start+40*second, topic, newMembers(2, 0))); n != 0 {
		t.Errorf("%d votes that are 40 s old, want 0", n)
	}
	if n := len(a.Votes(start+second, topic, Members{"n0": true})); n != 1 {
		t.Errorf("%d votes, want 1: the other vote is not from a member", n)
	}
}
