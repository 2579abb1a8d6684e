package core

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/machine"
)

// maxQueuedBatches bounds the proposals that wait to be handed to raft, in batches of Config.MaxBatch.
const maxQueuedBatches = 8

// pendingProposal is a proposal whose result is awaited.
type pendingProposal struct {
	token, serial uint64
	deadline      int64 // in ticks
}

// nextRequestID returns a number that no other proposal or read has, in this incarnation or another. The multiplier
// is the odd integer nearest to 2^64 divided by the golden ratio (Fibonacci hashing).
func (c *Core) nextRequestID() uint64 {
	c.serial++
	return c.conf.Nonce ^ c.serial*0x9e3779b97f4a7c15
}

// Propose has a command applied and answers the token with its result.
func (c *Core) Propose(token uint64, command *machine.Command) {
	if err := c.refusesProposals(); err != nil {
		c.answer(token, err, machine.Result{})
		return
	}
	if data := c.register(token, command); data != nil {
		c.queuedProposals = append(c.queuedProposals, &raftpb.Entry{Data: data})
	}
}

func (c *Core) refusesProposals() error {
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

// register encodes a command and has its result awaited. It returns nil for a command that cannot be encoded, and
// answers it.
func (c *Core) register(token uint64, command *machine.Command) []byte {
	command.RequestID = c.nextRequestID()
	data, err := machine.Encode(command)
	if err != nil {
		c.answer(token, err, machine.Result{})
		return nil
	}
	c.pending[command.RequestID] = pendingProposal{token, c.serial, c.now + int64(c.conf.TimeoutTicks)}
	return data
}

// ProposeMembershipChange proposes a change of the members together with the command that records it.
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

// flushQueues hands what has come in to raft: proposals in batches, all reads under one read index.
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
	for _, entry := range batch { // raft drops a batch whole: nothing of it was done
		command, err := machine.Decode(entry.GetData(), c.conf.Format)
		if err != nil {
			continue // not of this build's format: it is answered at its deadline
		}
		c.answer(c.pending[command.RequestID].token, ErrNoLeader, machine.Result{})
		delete(c.pending, command.RequestID)
	}
}

// abandonProposals answers the selected proposals, whose outcome will not be known here, in the order in which they
// were made.
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
