package core

import (
	"cmp"
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/machine"
)

const (
	refreshEvery = 2  // ticks between the questions by which an instance knows how old its state is
	askAgain     = 10 // ticks after which a read index that was not answered is asked for again
)

// ask asks the leader for the index that a read must have seen. The leader makes sure by a quorum that it still is.
func (c *Core) ask(tokens []uint64) {
	mark := c.mark()
	c.asked = append(c.asked, asked{mark, c.now, tokens})
	c.raw.ReadIndex(binary.LittleEndian.AppendUint64(nil, mark))
}

// indexed takes the answer.
func (c *Core) indexed(rs raft.ReadState) {
	if len(rs.RequestCtx) != 8 {
		return
	}
	mark := binary.LittleEndian.Uint64(rs.RequestCtx)
	for i := range c.asked {
		if a := c.asked[i]; a.mark == mark {
			c.asked = append(c.asked[:i], c.asked[i+1:]...)
			c.reached = append(c.reached, reached{rs.Index, a.at, a.tokens})
			return
		}
	}
}

// readReached answers the reads whose index the state has come to.
func (c *Core) readReached() {
	kept := c.reached[:0]
	for _, r := range c.reached {
		if r.index > c.applied {
			kept = append(kept, r)
			continue
		}
		c.freshAt = max(c.freshAt, r.at)
		for _, t := range r.token {
			c.answer(t, nil, machine.Result{Revision: c.m.Revision()})
		}
	}
	c.reached = kept
}

func (c *Core) refuse(tokens []uint64, err error) {
	for _, t := range tokens {
		c.answer(t, err, machine.Result{})
	}
}

// expire ends what has waited too long, and asks again for read indexes: questions get lost.
func (c *Core) expire() {
	c.giveUp(func(w wait) bool { return c.now >= w.until })
	if c.lead == raft.None { // with no leader a read has no answer, and its client may ask another instance
		c.refuse(c.reads, ErrNoLeader)
		c.reads = nil
	}
	kept := c.asked[:0]
	for _, a := range c.asked {
		switch {
		case c.now-a.at < askAgain:
			kept = append(kept, a)
		case len(a.tokens) > 0: // the client is told at once that it may try again: a new question is a new read
			c.refuse(a.tokens, ErrNoLeader)
		}
	}
	c.asked = kept
	if c.now%refreshEvery == 0 && c.halted == nil && c.lead != raft.None {
		c.ask(nil)
	}
}

// giveUp answers proposals whose outcome will not be known here, in the order in which they were made.
func (c *Core) giveUp(which func(wait) bool) {
	var over []uint64
	for request, w := range c.pending {
		if which(w) {
			over = append(over, request)
		}
	}
	slices.SortFunc(over, func(a, b uint64) int { return cmp.Compare(c.pending[a].serial, c.pending[b].serial) })
	for _, request := range over {
		c.answer(c.pending[request].token, ErrUnknown, machine.Result{})
		delete(c.pending, request)
	}
}

// Age tells for how many ticks the state here may have been behind, and whether that is known at all.
func (c *Core) Age() (ticks int64, known bool) { return c.now - c.freshAt, c.freshAt >= 0 }
