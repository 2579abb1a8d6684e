package core

import (
	"cmp"
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/machine"
)

const (
	refreshInterval  = 2  // ticks between the questions by which an instance knows how old its state is
	readIndexTimeout = 10 // ticks after which a read index that was not answered is asked for again
)

// requestReadIndex asks the leader for the index that a read must have seen. The leader makes sure by a quorum that it still is.
func (c *Core) requestReadIndex(tokens []uint64) {
	mark := c.nextRequestID()
	c.readRequests = append(c.readRequests, readRequest{mark, c.now, tokens})
	c.raftNode.ReadIndex(binary.LittleEndian.AppendUint64(nil, mark))
}

// readIndexReceived takes the answer.
func (c *Core) readIndexReceived(rs raft.ReadState) {
	if len(rs.RequestCtx) != 8 {
		return
	}
	mark := binary.LittleEndian.Uint64(rs.RequestCtx)
	for i := range c.readRequests {
		if a := c.readRequests[i]; a.requestID == mark {
			c.readRequests = append(c.readRequests[:i], c.readRequests[i+1:]...)
			c.confirmedReads = append(c.confirmedReads, confirmedRead{rs.Index, a.askedAt, a.tokens})
			return
		}
	}
}

// completeReads answers the reads whose index the state has come to.
func (c *Core) completeReads() {
	kept := c.confirmedReads[:0]
	for _, r := range c.confirmedReads {
		if r.index > c.applied {
			kept = append(kept, r)
			continue
		}
		c.freshAt = max(c.freshAt, r.askedAt)
		for _, t := range r.tokens {
			c.answer(t, nil, machine.Result{Revision: c.machine.Revision()})
		}
	}
	c.confirmedReads = kept
}

func (c *Core) failReads(tokens []uint64, err error) {
	for _, t := range tokens {
		c.answer(t, err, machine.Result{})
	}
}

// expireWaits ends what has waited too long, and asks again for read indexes: questions get lost.
func (c *Core) expireWaits() {
	c.abandonProposals(func(w pendingProposal) bool { return c.now >= w.deadline })
	if c.leader == raft.None { // with no leader a read has no answer, and its client may ask another instance
		c.failReads(c.queuedReads, ErrNoLeader)
		c.queuedReads = nil
	}
	kept := c.readRequests[:0]
	for _, a := range c.readRequests {
		switch {
		case c.now-a.askedAt < readIndexTimeout:
			kept = append(kept, a)
		case len(a.tokens) > 0: // the client is told at once that it may try again: a new question is a new read
			c.failReads(a.tokens, ErrNoLeader)
		}
	}
	c.readRequests = kept
	if c.now%refreshInterval == 0 && c.halted == nil && c.leader != raft.None {
		c.requestReadIndex(nil)
	}
}

// abandonProposals answers proposals whose outcome will not be known here, in the order in which they were made.
func (c *Core) abandonProposals(which func(pendingProposal) bool) {
	var over []uint64
	for request, w := range c.pending {
		if which(w) {
			over = append(over, request)
		}
	}
	slices.SortFunc(over, func(a, b uint64) int { return cmp.Compare(c.pending[a].serial, c.pending[b].serial) })
	for _, request := range over {
		c.answer(c.pending[request].token, ErrOutcomeUnknown, machine.Result{})
		delete(c.pending, request)
	}
}

// Staleness tells for how many ticks the state here may have been behind, and whether that is known at all.
func (c *Core) Staleness() (ticks int64, known bool) { return c.now - c.freshAt, c.freshAt >= 0 }
