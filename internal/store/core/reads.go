package core

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/machine"
)

const (
	requestIDSize    = 8  // bytes of a request id, which is the context of a read index request
	refreshInterval  = 2  // ticks between the read index requests that the instance makes to measure its staleness
	readIndexTimeout = 10 // ticks after which an unanswered read index request fails
)

// readRequest is a read index request that the leader has not answered yet.
type readRequest struct {
	requestID   uint64
	requestedAt int64 // in ticks
	tokens      []uint64
}

// confirmedRead is a read whose index is known and that waits until the entry with that index is applied.
type confirmedRead struct {
	index       uint64
	requestedAt int64 // in ticks
	tokens      []uint64
}

// Read requests a linearizable read. The token is answered once the local state contains every command that was
// answered at any instance before the call; the owner then reads Machine. The errors are ErrNoLeader and ErrHalted.
func (c *Core) Read(token uint64) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	c.queuedReads = append(c.queuedReads, token)
}

// Staleness returns an upper bound in ticks on how far the local state is behind. known is false until the instance has
// completed the first read index request since its start.
func (c *Core) Staleness() (ticks int64, known bool) { return c.now - c.upToDateAt, c.upToDateAt >= 0 }

// requestReadIndex requests from the leader the index that must be applied before the reads are answered. The leader
// first confirms with a quorum that it is still the leader.
func (c *Core) requestReadIndex(tokens []uint64) {
	request := c.nextRequestID()
	c.readRequests = append(c.readRequests, readRequest{request, c.now, tokens})
	c.raftNode.ReadIndex(binary.LittleEndian.AppendUint64(nil, request))
}

// readIndexReceived processes the leader's response to a read index request.
func (c *Core) readIndexReceived(state raft.ReadState) {
	if len(state.RequestCtx) != requestIDSize {
		return
	}
	id := binary.LittleEndian.Uint64(state.RequestCtx)
	for i, request := range c.readRequests {
		if request.requestID == id {
			c.readRequests = append(c.readRequests[:i], c.readRequests[i+1:]...)
			c.confirmedReads = append(c.confirmedReads, confirmedRead{state.Index, request.requestedAt, request.tokens})
			return
		}
	}
}

// completeReads answers the reads whose index has been applied.
func (c *Core) completeReads() {
	waiting := c.confirmedReads[:0]
	for _, read := range c.confirmedReads {
		if read.index > c.applied {
			waiting = append(waiting, read)
			continue
		}
		c.upToDateAt = max(c.upToDateAt, read.requestedAt)
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

// expireRequests fails the proposals and reads that have waited too long. It also requests a read index at every
// refreshInterval, to measure the staleness of the state. If one of these requests is lost, the next one replaces it.
func (c *Core) expireRequests() {
	c.abandonProposals(func(proposal pendingProposal) bool { return c.now >= proposal.deadline })
	if c.leader == raft.None { // without a leader no answer can arrive; the client may try another instance
		c.failReads(c.queuedReads, ErrNoLeader)
		c.queuedReads = nil
	}
	c.expireReadRequests()
	if c.now%refreshInterval == 0 && c.halted == nil && c.leader != raft.None {
		c.requestReadIndex(nil)
	}
}

// expireReadRequests fails reads whose index was not received in time. They are not retried here: the client's retry
// is a new read.
func (c *Core) expireReadRequests() {
	waiting := c.readRequests[:0]
	for _, request := range c.readRequests {
		if c.now-request.requestedAt < readIndexTimeout {
			waiting = append(waiting, request)
			continue
		}
		c.failReads(request.tokens, ErrNoLeader)
	}
	c.readRequests = waiting
}
