// Package agreement decides when a fleet has agreed on a value, and from which moment on that value is in effect
// everywhere.
//
// Each gateway publishes what it observes as its vote. The value that follows from the votes is proposed for the next
// epoch of a topic by one gateway, or by several at the same time; the merge order of proposals (crdt.HighestEpoch)
// makes all gateways converge on one of them. It takes effect at a time far enough ahead for nearly all gateways to
// have received it; a gateway that receives it later applies it later, and counts that (Lateness). The time for which
// two gateways have different values in effect is at most the time between their receipts of the decision. No value is
// proposed without a quorum: a gateway that finds no more than half of the members alive proposes nothing, and the last
// decision stays in effect until it expires.
//
// This is weaker than consensus: two proposers within one majority may both succeed, and the value that loses may have
// been in effect at some gateways for a short time. It is therefore suitable only for values that are safe either way,
// such as the share of a zone; what must be unique belongs in the store. The package does no I/O, reads no clock and
// starts no goroutine.
package agreement

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cloverrock/internal/crdt"
)

// Config describes how a fleet agrees. Times are microseconds.
type Config struct {
	Self          string
	VoteKind      crdt.Kind
	DecisionKind  crdt.Kind
	EffectDelay   int64 // from a proposal until it takes effect: longer than a message takes to reach nearly all gateways
	ProposerDelay int64 // how long a proposer waits for each member that ranks before it
	VoteTTL       int64 // how long a vote is valid
	DecisionTTL   int64 // how long a decision stays in effect without a quorum
	RequireQuorum bool  // false only in experiments that show why a quorum is required
}

// Members are the gateways of the fleet by name: true for those that are alive.
type Members map[string]bool

// AliveCount returns how many members are alive.
func (m Members) AliveCount() (n int) {
	for _, alive := range m {
		if alive {
			n++
		}
	}
	return n
}

// Decision is what was agreed on for an epoch.
type Decision struct {
	Epoch       uint64
	Value       []byte
	Previous    []byte // in effect until EffectiveAt; has the length of Value
	EffectiveAt int64  // microseconds since 1970
	Proposer    string
}

// encode returns the encoding of a decision. The byte order of encodings decides which of two decisions for the same
// epoch is kept: the one with the lesser value, then the one with the earlier time of effect.
func (d *Decision) encode() []byte {
	b := append([]byte{byte(len(d.Value))}, d.Value...)
	b = binary.BigEndian.AppendUint64(b, uint64(d.EffectiveAt))
	b = append(b, d.Previous...)
	return append(b, d.Proposer...)
}

// timestampSize is the size of an encoded time, in bytes.
const timestampSize = 8

var errTruncatedDecision = errors.New("agreement: decision is shorter than its length byte requires")

// decodeDecision is the inverse of encode. The slices of the result share the entry's memory.
func decodeDecision(e *crdt.Entry) (Decision, error) {
	b := e.Value
	if len(b) == 0 || len(b) < 1+2*int(b[0])+timestampSize {
		return Decision{}, fmt.Errorf("%w: %d bytes", errTruncatedDecision, len(b))
	}
	size := int(b[0])
	value := b[1 : 1+size]
	effectiveAt := b[1+size:]
	previous := effectiveAt[timestampSize:]
	return Decision{
		Epoch:       e.Sequence,
		Value:       value,
		EffectiveAt: int64(binary.BigEndian.Uint64(effectiveAt)),
		Previous:    previous[:size],
		Proposer:    string(previous[size:]),
	}, nil
}

// Vote is the vote of a member on a topic.
type Vote struct {
	Member string
	Body   []byte
}

// Participant votes and proposes for one gateway. It is not safe for concurrent use.
type Participant struct {
	conf     Config
	state    *crdt.State
	pending  map[string]pendingProposal // by topic
	lateness Lateness
}

// pendingProposal is a value that this gateway will propose when its turn comes.
type pendingProposal struct {
	epoch uint64
	value string
	since int64
}

// Lateness counts the decisions received, and those of them that were received after they had taken effect.
type Lateness struct {
	Decisions, Late int
	Max             int64 // microseconds
}

// New returns a participant that stores votes and decisions as entries of the state.
func New(conf Config, state *crdt.State) *Participant {
	return &Participant{conf: conf, state: state, pending: map[string]pendingProposal{}}
}

// Lateness returns how many decisions were received after they had taken effect.
func (p *Participant) Lateness() Lateness { return p.lateness }

// Vote stores this gateway's vote if it has changed or half of VoteTTL has passed since the last one. It reports
// whether it stored a vote; the caller sends the entry to the other members.
func (p *Participant) Vote(now int64, topic string, body []byte) (crdt.Entry, bool) {
	last, found := p.state.Get(crdt.Key{Kind: p.conf.VoteKind, Name: topic, Origin: p.conf.Self})
	if found && string(last.Value) == string(body) && now-last.Timestamp < p.conf.VoteTTL/2 {
		return crdt.Entry{}, false
	}
	return p.state.Put(now, p.conf.VoteKind, topic, body), true
}

// Votes returns the current votes of all members. The last vote of a dead member counts until it expires: otherwise a
// minority partition that has detected only some of the other members as dead could reach a majority with its own votes
// alone.
func (p *Participant) Votes(now int64, topic string, members Members) (votes []Vote) {
	p.state.Each(p.conf.VoteKind, topic, func(e *crdt.Entry) bool {
		alive, isMember := members[e.Origin]
		counts := isMember && (alive || p.conf.RequireQuorum)
		if counts && now-e.Timestamp < p.conf.VoteTTL {
			votes = append(votes, Vote{e.Origin, e.Value})
		}
		return true
	})
	return votes
}

// HasQuorum reports whether more than half of the members are alive. Without RequireQuorum it is always true.
func (p *Participant) HasQuorum(members Members) bool {
	return !p.conf.RequireQuorum || 2*members.AliveCount() > len(members)
}

// Latest returns the decision of the highest epoch received, in effect or not yet; false if there is none.
func (p *Participant) Latest(topic string) (Decision, bool) {
	e, found := p.state.Get(crdt.Key{Kind: p.conf.DecisionKind, Name: topic})
	if !found {
		return Decision{}, false
	}
	decision, err := decodeDecision(&e)
	return decision, err == nil
}

// InEffect returns the value that is in effect now, and its epoch. Without a decision it is the default, in epoch 0.
func (p *Participant) InEffect(now int64, topic string, defaultValue []byte) (value []byte, epoch uint64) {
	decision, found := p.Latest(topic)
	if !found {
		return defaultValue, 0
	}
	if now < decision.EffectiveAt {
		return decision.Previous, decision.Epoch - 1
	}
	return decision.Value, decision.Epoch
}

// Propose proposes a value for the next epoch if it is this gateway's turn, and reports whether it did; the caller
// sends the entry to the other members. Call it repeatedly with the same value until the value is decided or withdrawn.
// The live member that ranks first proposes at once and the others one after the other, so that usually only one does.
func (p *Participant) Propose(now int64, topic string, value, defaultValue []byte, members Members) (crdt.Entry, bool) {
	last, found := p.Latest(topic)
	isPending := found && now < last.EffectiveAt // the next decision has to wait until this one is in effect
	if isPending || !p.HasQuorum(members) {
		return crdt.Entry{}, false
	}
	previous := defaultValue
	if found {
		previous = last.Value
	}
	epoch := last.Epoch + 1
	pending := p.pending[topic]
	if pending.epoch != epoch || pending.value != string(value) {
		pending = pendingProposal{epoch, string(value), now}
		p.pending[topic] = pending
	}
	turn := pending.since + int64(p.proposerRank(topic, epoch, members))*p.conf.ProposerDelay
	if now < turn {
		return crdt.Entry{}, false
	}
	delete(p.pending, topic)
	decision := Decision{
		Epoch:       epoch,
		Value:       value,
		Previous:    previous,
		EffectiveAt: now + p.conf.EffectDelay,
		Proposer:    p.conf.Self,
	}
	return p.state.PutEpoch(now, p.conf.DecisionKind, topic, epoch, decision.encode()), true
}

// Withdraw cancels a proposal whose turn has not come.
func (p *Participant) Withdraw(topic string) { delete(p.pending, topic) }

// proposerRank returns how many live members propose before this gateway in an epoch. Rendezvous hashing changes the
// order of the members with the epoch.
func (p *Participant) proposerRank(topic string, epoch uint64, members Members) (rank int) {
	score := func(name string) uint64 {
		key := binary.LittleEndian.AppendUint64(nil, epoch)
		key = append(key, topic...)
		key = append(key, 0)
		return xxhash.Sum64(append(key, name...))
	}
	own := score(p.conf.Self)
	for name, alive := range members {
		if alive && name != p.conf.Self && score(name) > own {
			rank++
		}
	}
	return rank
}

// Apply returns the decisions among entries that were merged into the state, and counts those that are late. Other and
// malformed entries are skipped.
func (p *Participant) Apply(now int64, changed []crdt.Entry) (decisions []Decision) {
	for i := range changed {
		if changed[i].Kind != p.conf.DecisionKind {
			continue
		}
		decision, err := decodeDecision(&changed[i])
		if err != nil {
			continue
		}
		p.lateness.Decisions++
		if now > decision.EffectiveAt {
			p.lateness.Late++
			p.lateness.Max = max(p.lateness.Max, now-decision.EffectiveAt)
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// Resend renews the last decision once half of DecisionTTL has passed, while there is a quorum. It reports whether it
// renewed it; the caller sends the entry to the other members. Without a quorum the decision expires after DecisionTTL.
func (p *Participant) Resend(now int64, topic string, members Members) (crdt.Entry, bool) {
	e, found := p.state.Get(crdt.Key{Kind: p.conf.DecisionKind, Name: topic})
	if !found || now-e.Timestamp < p.conf.DecisionTTL/2 || !p.HasQuorum(members) {
		return crdt.Entry{}, false
	}
	return p.state.PutEpoch(now, p.conf.DecisionKind, topic, e.Sequence, e.Value), true
}
