// Package accord decides when a fleet has agreed on something, and from which moment on that holds for all.
//
// What gateways see is evidence: each says its own as a vote. What follows from the votes is proposed for the next epoch
// of its topic by one gateway, or by a few that do not know of one another; by the order of proposals
// (replica.Decided) all come to keep the same one. It takes effect at a moment that lies far enough ahead for nearly all to
// have heard of it; who hears later acts later, and counts that. No two values are ever in force at two gateways for
// longer than what separates their hearing, and none that fewer than half of the members stand behind: whoever sees no
// more than half of them proposes nothing, and keeps for a stated time what was agreed on last.
//
// This is no consensus: two majorities that never hear one another can't be, but two proposers of one majority can, and
// the loser's value may have been in force at some for a moment. So it is for what does no harm in either form, such as
// how much of a zone is used; what must be true of one alone belongs in the store. Nothing here does I/O, reads a clock
// or starts anything.
package agreement

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"cloverrock/internal/crdt"
)

// Config describes how a fleet agrees. Times are microseconds.
type Config struct {
	Self     string
	Votes    crdt.Kind
	Decided  crdt.Kind
	Delay    int64 // from a proposal to its effect: longer than news takes to reach nearly all
	Turn     int64 // how long the next in rank waits for the one before it to propose
	Fresh    int64 // how long a vote counts
	Hold     int64 // how long what was agreed on holds where less than half of the members are seen
	Majority bool  // false only where an experiment must show what becomes of a fleet without it
}

// Roll is who belongs to the fleet, as membership knows it: true for those that are alive.
type Roll map[string]bool

// Alive counts them.
func (r Roll) Alive() (n int) {
	for _, alive := range r {
		if alive {
			n++
		}
	}
	return n
}

// Decision is what was agreed on for an epoch.
type Decision struct {
	Epoch    uint64
	Choice   []byte
	Previous []byte // in force until From; as long as Choice
	From     int64  // microseconds since 1970
	By       string
}

// encode lays a decision out so that of two for one epoch the lesser choice, then the earlier moment, is kept.
func (d *Decision) encode() []byte {
	b := append([]byte{byte(len(d.Choice))}, d.Choice...)
	b = binary.BigEndian.AppendUint64(b, uint64(d.From))
	return append(append(b, d.Previous...), d.By...)
}

var errShort = errors.New("accord: a decision that is too short")

func decode(e *crdt.Entry) (Decision, error) {
	b := e.Value
	if len(b) == 0 || len(b) < 1+2*int(b[0])+8 {
		return Decision{}, errShort
	}
	n := int(b[0])
	choice, b := b[1:1+n], b[1+n:]
	return Decision{Epoch: e.Sequence, Choice: choice, From: int64(binary.BigEndian.Uint64(b)), Previous: b[8 : 8+n], By: string(b[8+n:])}, nil
}

// Vote is what a member says of a topic.
type Vote struct {
	Name string
	Body []byte
}

// Council is a gateway's view of what its fleet agrees on. It is not safe for concurrent use.
type Council struct {
	conf   Config
	state  *crdt.State
	wanted map[string]wish
	late   Lateness
}

// wish is since when this gateway has held that a choice is due.
type wish struct {
	epoch  uint64
	choice string
	since  int64
}

// Lateness counts decisions that were heard after they had taken effect.
type Lateness struct {
	Heard, Late int
	Most        int64 // microseconds
}

// New returns a council over a state.
func New(conf Config, state *crdt.State) *Council {
	return &Council{conf: conf, state: state, wanted: map[string]wish{}}
}

// Lateness tells how many decisions came too late.
func (c *Council) Lateness() Lateness { return c.late }

// Vote says what this gateway sees, if that is new or was said long ago; the entry is to be told to the others.
func (c *Council) Vote(now int64, topic string, body []byte) (crdt.Entry, bool) {
	old, ok := c.state.Get(crdt.Key{Kind: c.conf.Votes, Name: topic, Origin: c.conf.Self})
	if ok && string(old.Value) == string(body) && now-old.Timestamp < c.conf.Fresh/2 {
		return crdt.Entry{}, false
	}
	return c.state.Put(now, c.conf.Votes, topic, body), true
}

// Votes are the fresh ones of all members, those that are held for dead included: what they said last still counts for its
// time. Else a fleet that is cut in two would, while it finds that out one member at a time, count itself a majority
// of those that are left, with their votes alone.
func (c *Council) Votes(now int64, topic string, members Roll) (votes []Vote) {
	c.state.Each(c.conf.Votes, topic, func(e *crdt.Entry) bool {
		if alive, ok := members[e.Origin]; ok && (alive || c.conf.Majority) && now-e.Timestamp < c.conf.Fresh {
			votes = append(votes, Vote{e.Origin, e.Value})
		}
		return true
	})
	return votes
}

// Majority tells whether more than half of the members are alive, this gateway among them.
func (c *Council) Majority(members Roll) bool {
	return !c.conf.Majority || 2*members.Alive() > len(members)
}

// Latest is the decision of the highest epoch that is known, in force or not yet.
func (c *Council) Latest(topic string) (Decision, bool) {
	e, ok := c.state.Get(crdt.Key{Kind: c.conf.Decided, Name: topic})
	if !ok {
		return Decision{}, false
	}
	d, err := decode(&e)
	return d, err == nil
}

// InForce is the choice that holds now, and its epoch; of what no decision is known, the choice is none.
func (c *Council) InForce(now int64, topic string, none []byte) (choice []byte, epoch uint64) {
	d, ok := c.Latest(topic)
	switch {
	case !ok:
		return none, 0
	case now < d.From:
		return d.Previous, d.Epoch - 1
	}
	return d.Choice, d.Epoch
}

// Propose is told what this gateway holds to be due, and that it is due no more by calling Settle. It proposes when its turn
// has come: the first in the rank of the members that are alive at once, the others one after the other, so that mostly one
// does. The entry is to be told to the others.
func (c *Council) Propose(now int64, topic string, choice, none []byte, members Roll) (crdt.Entry, bool) {
	d, ok := c.Latest(topic)
	if ok && now < d.From || !c.Majority(members) {
		return crdt.Entry{}, false // one at a time
	}
	previous, epoch := none, d.Epoch+1
	if ok {
		previous = d.Choice
	}
	w := c.wanted[topic]
	if w.epoch != epoch || w.choice != string(choice) {
		w = wish{epoch, string(choice), now}
		c.wanted[topic] = w
	}
	if now < w.since+int64(c.rank(topic, epoch, members))*c.conf.Turn {
		return crdt.Entry{}, false
	}
	delete(c.wanted, topic)
	next := Decision{Epoch: epoch, Choice: choice, Previous: previous, From: now + c.conf.Delay, By: c.conf.Self}
	return c.state.PutEpoch(now, c.conf.Decided, topic, epoch, next.encode()), true
}

// Settle notes that nothing is due.
func (c *Council) Settle(topic string) { delete(c.wanted, topic) }

// rank is how many living members go before this one in an epoch: by rendezvous hashing, so another goes first each time.
func (c *Council) rank(topic string, epoch uint64, members Roll) (n int) {
	weight := func(name string) uint64 {
		b := binary.LittleEndian.AppendUint64(nil, epoch)
		return xxhash.Sum64(append(append(append(b, topic...), 0), name...))
	}
	mine := weight(c.conf.Self)
	for name, alive := range members {
		if alive && name != c.conf.Self && weight(name) > mine {
			n++
		}
	}
	return n
}

// Heard takes note of entries that changed what is known, and returns the decisions among them, each with how late it came.
func (c *Council) Heard(now int64, changed []crdt.Entry) (news []Decision) {
	for i := range changed {
		if changed[i].Kind != c.conf.Decided {
			continue
		}
		d, err := decode(&changed[i])
		if err != nil {
			continue
		}
		if c.late.Heard++; now > d.From {
			c.late.Late++
			c.late.Most = max(c.late.Most, now-d.From)
		}
		news = append(news, d)
	}
	return news
}

// Again says once more what was agreed on, so that it outlives the time for which an entry counts; only while more than
// half of the members are seen. Without that it holds for Hold and is then forgotten.
func (c *Council) Again(now int64, topic string, members Roll) (crdt.Entry, bool) {
	e, ok := c.state.Get(crdt.Key{Kind: c.conf.Decided, Name: topic})
	if !ok || now-e.Timestamp < c.conf.Hold/2 || !c.Majority(members) {
		return crdt.Entry{}, false
	}
	return c.state.PutEpoch(now, c.conf.Decided, topic, e.Sequence, e.Value), true
}
