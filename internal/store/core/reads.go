package core

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/machine"
)

const (
	refreshInterval  = 2  // ticks between the requests by which an instance learns how old its state is
	readIndexTimeout = 10 // ticks after which a read index that was not answered is given up
)

// readRequest is a read index that was asked for.
type readRequest struct {
	requestID uint64
	askedAt   int64 // in ticks
	tokens    []uint64
}

// confirmedRead is a read that waits until the entry with its index is applied.
type confirmedRead struct {
	index   uint64
	askedAt int64 // in ticks
	tokens  []uint64
}

// Read answers the token when the state here holds all that was answered anywhere before the call.
func (c *Core) Read(token uint64) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	c.queuedReads = append(c.queuedReads, token)
}

// Staleness tells for how many ticks the state here may have been behind, and whether that is known at all.
func (c *Core) Staleness() (ticks int64, known bool) { return c.now - c.freshAt, c.freshAt >= 0 }

// requestReadIndex asks the leader for the index that a read must have seen. The leader confirms by a quorum that it
// still is the leader.
func (c *Core) requestReadIndex(tokens []uint64) {
	request := c.nextRequestID()
	c.readRequests = append(c.readRequests, readRequest{request, c.now, tokens})
	c.raftNode.ReadIndex(binary.LittleEndian.AppendUint64(nil, request))
}

// readIndexReceived takes the leader's answer.
func (c *Core) readIndexReceived(state raft.ReadState) {
	if len(state.RequestCtx) != 8 {
		return
	}
	id := binary.LittleEndian.Uint64(state.RequestCtx)
	for i, request := range c.readRequests {
		if request.requestID == id {
			c.readRequests = append(c.readRequests[:i], c.readRequests[i+1:]...)
			c.confirmedReads = append(c.confirmedReads, confirmedRead{state.Index, request.askedAt, request.tokens})
			return
		}
	}
}

// completeReads answers the reads whose index is applied.
func (c *Core) completeReads() {
	waiting := c.confirmedReads[:0]
	for _, read := range c.confirmedReads {
		if read.index > c.applied {
			waiting = append(waiting, read)
			continue
		}
		c.freshAt = max(c.freshAt, read.askedAt)
		for _, token := range read.tokens {
			c.answer(token, nil, machine.Result{Revision: c.machine.Revision()})
		}
	}
	c.confirmedReads = waiting
}

func (c *Core) failReads(tokens []uint64, err error) {
	for _, token := range tokens {
		c.answer(token, err, machine.Result{})
	}
}

// expireWaits ends what has waited too long, and renews the request that tells how old the state is: messages get
// lost.
func (c *Core) expireWaits() {
	c.abandonProposals(func(proposal pendingProposal) bool { return c.now >= proposal.deadline })
	if c.leader == raft.None { // no answer can come; the client may ask another instance
		c.failReads(c.queuedReads, ErrNoLeader)
		c.queuedReads = nil
	}
	c.expireReadRequests()
	if c.now%refreshInterval == 0 && c.halted == nil && c.leader != raft.None {
		c.requestReadIndex(nil)
	}
}

// expireReadRequests fails reads whose index was not answered in time. They are not asked for again here: a retry
// by the client is a new read.
func (c *Core) expireReadRequests() {
	waiting := c.readRequests[:0]
	for _, request := range c.readRequests {
		if c.now-request.askedAt < readIndexTimeout {
			waiting = append(waiting, request)
			continue
		}
		c.failReads(request.tokens, ErrNoLeader)
	}
	c.readRequests = waiting
}
