package agreement_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
)

// This file compares the decisions of the package with recorded ones: it makes a fixed sequence of random calls and
// compares a hash of all results with the one in testdata/decisions.txt. A change that must not alter decisions leaves
// the hashes as they are. One that does alter them runs the test with -update and states why.

const goldenFile = "decisions.txt"

const (
	topic  = "topic"
	second = int64(1e6)
)

var (
	kindVotes    crdt.Kind = 1
	kindDecided  crdt.Kind = 2
	defaultValue           = []byte{100, 100}
)

// member is one gateway of the fleet.
type member struct {
	name        string
	state       *crdt.State
	participant *agreement.Participant
}

// fleet is five members that exchange entries over an unreliable network.
type fleet struct {
	random  *rand.Rand
	now     int64
	members []*member
	results *golden.Hash
}

func newFleet(requireQuorum bool, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(2026, seed)), now: 1_700_000_000 * second, results: golden.NewHash()}
	kinds := map[crdt.Kind]crdt.KindConfig{
		kindVotes:   {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 16},
		kindDecided: {Name: "decided", Rule: crdt.HighestEpoch, TTL: 20 * second, MaxValueSize: 64},
	}
	for i := range 5 {
		name := "n" + strconv.Itoa(i)
		state := crdt.New(crdt.Config{Self: name, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: kinds})
		participant := agreement.New(agreement.Config{
			Self:          name,
			VoteKind:      kindVotes,
			DecisionKind:  kindDecided,
			EffectDelay:   second,
			ProposerDelay: second / 5,
			VoteTTL:       5 * second,
			DecisionTTL:   20 * second,
			RequireQuorum: requireQuorum,
		}, state)
		f.members = append(f.members, &member{name, state, participant})
	}
	return f
}

// hashEntry hashes an entry.
func (f *fleet) hashEntry(entry crdt.Entry) {
	f.results.Numbers(int64(entry.Kind), int64(entry.Incarnation), int64(entry.Sequence), entry.Timestamp)
	f.results.Text(entry.Name)
	f.results.Text(entry.Origin)
	f.results.Bool(entry.Deleted)
	f.results.Text(string(entry.Value))
}

// hashDecision hashes a decision.
func (f *fleet) hashDecision(decision agreement.Decision) {
	f.results.Numbers(int64(decision.Epoch), decision.EffectiveAt)
	f.results.Text(string(decision.Value))
	f.results.Text(string(decision.Previous))
	f.results.Text(decision.Proposer)
}

// broadcast hashes an entry that is to be sent, and delivers it to most other members.
func (f *fleet) broadcast(from *member, entry crdt.Entry, ok bool) {
	f.results.Bool(ok)
	if !ok {
		return
	}
	f.hashEntry(entry)
	for _, other := range f.members {
		if other != from && f.random.IntN(10) < 8 {
			f.deliver(other, entry)
		}
	}
}

func (f *fleet) deliver(m *member, entry crdt.Entry) {
	for _, decision := range m.participant.Apply(f.now+int64(f.random.IntN(int(2*second))), m.state.Merge(f.now, entry)) {
		f.hashDecision(decision)
	}
	late := m.participant.Lateness()
	f.results.Numbers(int64(late.Decisions), int64(late.Late), late.Max)
}

// drawMembers draws the members as m finds them: some are missing, and some are dead.
func (f *fleet) drawMembers(m *member) agreement.Members {
	members := agreement.Members{}
	for _, other := range f.members {
		if f.random.IntN(20) > 0 {
			members[other.name] = other == m || f.random.IntN(10) < 7
		}
	}
	return members
}

// recordResults hashes the results of a member's queries.
func (f *fleet) recordResults(m *member, members agreement.Members) {
	for _, vote := range m.participant.Votes(f.now, topic, members) {
		f.results.Text(vote.Member)
		f.results.Text(string(vote.Body))
	}
	f.results.Numbers(int64(members.AliveCount()))
	f.results.Bool(m.participant.HasQuorum(members))
	decision, ok := m.participant.Latest(topic)
	f.results.Bool(ok)
	f.hashDecision(decision)
	choice, epoch := m.participant.InEffect(f.now, topic, defaultValue)
	f.results.Text(string(choice))
	f.results.Numbers(int64(epoch))
}

// step makes one random call at a random member.
func (f *fleet) step() {
	f.now += int64(f.random.IntN(int(second / 10)))
	m := f.members[f.random.IntN(len(f.members))]
	if decision, ok := m.participant.Latest(topic); ok && f.now < decision.EffectiveAt && f.random.IntN(20) == 0 {
		f.now = decision.EffectiveAt // exactly when it takes effect
		f.recordResults(m, f.drawMembers(m))
	}
	members := f.drawMembers(m)
	choice := []byte{byte(f.now / (3 * second) % 3), byte(f.random.IntN(8) / 7)}
	switch f.random.IntN(12) {
	case 0, 1:
		entry, ok := m.participant.Vote(f.now, topic, choice[:1])
		f.broadcast(m, entry, ok)
	case 2, 3, 4, 5:
		if f.now/(60*second)%2 == 1 {
			return // a minute without proposals
		}
		entry, ok := m.participant.Propose(f.now, topic, choice, defaultValue, members)
		f.broadcast(m, entry, ok)
	case 6:
		entry, ok := m.participant.Resend(f.now, topic, members)
		f.broadcast(m, entry, ok)
	case 7:
		if f.random.IntN(5) == 0 {
			m.participant.Withdraw(topic)
		}
	case 8:
		m.state.Expire(f.now)
	case 9: // a malformed decision, of another topic
		broken := crdt.Entry{Kind: kindDecided, Name: "broken", Sequence: uint64(f.random.IntN(9)), Timestamp: f.now, Value: []byte{9, 9}}
		f.deliver(m, broken)
	default:
		f.recordResults(m, members)
	}
	if f.random.IntN(1000) == 0 {
		f.now += 15 * second
	}
}

// What a fleet agrees on, and who proposes it when, is as recorded in the golden file.
func TestDecisionsStayTheSame(t *testing.T) {
	var lines []string
	for i, majority := range []bool{true, false} {
		f := newFleet(majority, uint64(i))
		for range 20000 {
			f.step()
		}
		lines = append(lines, []string{"majority ", "any "}[i]+f.results.String())
	}
	golden.CheckLines(t, goldenFile, lines)
}
