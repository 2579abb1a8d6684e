package core

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/machine"
)

// maxQueuedBatches bounds the queue of proposals that were not yet passed to raft, in batches of Config.MaxBatch.
const maxQueuedBatches = 8

// pendingProposal is a proposal whose outcome is not known yet.
type pendingProposal struct {
	token    uint64
	serial   uint64 // serial number, by which proposals are ordered
	deadline int64  // in ticks
}

// nextRequestID returns an id that is unique among the proposals and reads of this instance, those of earlier
// incarnations included. The multiplier is the odd integer nearest to 2^64 divided by the golden ratio (Fibonacci
// hashing).
func (c *Core) nextRequestID() uint64 {
	c.serial++
	return c.conf.Nonce ^ c.serial*0x9e3779b97f4a7c15
}

// Propose queues a command for replication. The token is answered with the command's result once it is applied, or with
// ErrNoLeader, ErrBusy, ErrHalted, ErrOutcomeUnknown or an encoding error.
func (c *Core) Propose(token uint64, command *machine.Command) {
	if err := c.checkAcceptsProposals(); err != nil {
		c.answer(token, err, machine.Result{})
		return
	}
	if data := c.register(token, command); data != nil {
		c.queuedProposals = append(c.queuedProposals, &raftpb.Entry{Data: data})
	}
}

// checkAcceptsProposals returns the error with which a new proposal must be rejected at once; nil if it is accepted.
func (c *Core) checkAcceptsProposals() error {
	switch {
	case c.halted != nil:
		return c.halted
	case c.leader == raft.None:
		return ErrNoLeader
	case len(c.queuedProposals) >= maxQueuedBatches*c.conf.MaxBatch:
		return ErrBusy
	}
	return nil
}

// register encodes a command and adds it to the pending proposals. If the command cannot be encoded, register answers
// the token with the error and returns nil.
func (c *Core) register(token uint64, command *machine.Command) []byte {
	command.RequestID = c.nextRequestID()
	data, err := machine.Encode(command)
	if err != nil {
		c.answer(token, err, machine.Result{})
		return nil
	}
	c.pending[command.RequestID] = pendingProposal{token: token, serial: c.serial, deadline: c.now + int64(c.conf.TimeoutTicks)}
	return data
}

// ProposeMembershipChange proposes a change of the members together with the command that records it. The token is
// answered as by Propose, except that ErrBusy and ErrHalted do not occur.
func (c *Core) ProposeMembershipChange(token uint64, change *raftpb.ConfChangeV2, command *machine.Command) {
	if c.leader == raft.None {
		c.answer(token, ErrNoLeader, machine.Result{})
		return
	}
	change.Context = c.register(token, command)
	if change.Context == nil {
		return
	}
	if err := c.raftNode.ProposeConfChange(change); err != nil {
		delete(c.pending, command.RequestID)
		c.answer(token, ErrNoLeader, machine.Result{})
	}
}

// flushQueues passes the queued requests to raft: proposals in batches, and all reads under one read index.
func (c *Core) flushQueues() {
	for len(c.queuedProposals) > 0 {
		size := min(len(c.queuedProposals), c.conf.MaxBatch)
		c.proposeBatch(c.queuedProposals[:size:size])
		c.queuedProposals = c.queuedProposals[size:]
	}
	c.queuedProposals = nil
	if len(c.queuedReads) > 0 && c.leader != raft.None {
		c.requestReadIndex(c.queuedReads)
		c.queuedReads = nil
	}
}

func (c *Core) proposeBatch(batch []*raftpb.Entry) {
	err := c.raftNode.Step(&raftpb.Message{
		Type:    raftpb.MsgProp.Enum(),
		From:    new(c.conf.ID),
		Entries: batch,
	})
	if err == nil {
		return
	}
	for _, entry := range batch { // raft drops the complete batch, so no entry of it will be applied
		command, err := machine.Decode(entry.GetData(), c.conf.Format)
		if err != nil {
			continue // this build cannot decode it: it is answered at its deadline
		}
		c.answer(c.pending[command.RequestID].token, ErrNoLeader, machine.Result{})
		delete(c.pending, command.RequestID)
	}
}

// abandonProposals answers the selected proposals with ErrOutcomeUnknown, in the order in which they were made.
func (c *Core) abandonProposals(selected func(pendingProposal) bool) {
	var abandoned []uint64
	for request, proposal := range c.pending {
		if selected(proposal) {
			abandoned = append(abandoned, request)
		}
	}
	slices.SortFunc(abandoned, func(a, b uint64) int { return cmp.Compare(c.pending[a].serial, c.pending[b].serial) })
	for _, request := range abandoned {
		c.answer(c.pending[request].token, ErrOutcomeUnknown, machine.Result{})
		delete(c.pending, request)
	}
}
