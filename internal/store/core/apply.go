package core

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/machine"
)

// apply applies one committed entry. A command that this build cannot decode halts the instance permanently: raft
// continues, so that the other instances keep their quorum, but this one no longer applies, proposes or reads.
func (c *Core) apply(entry *raftpb.Entry) {
	if entry.GetType() == raftpb.EntryConfChangeV2 || entry.GetType() == raftpb.EntryConfChange {
		c.applyConfChange(entry)
		return
	}
	if c.halted != nil {
		return
	}
	c.applyData(entry, entry.GetData())
}

// applyData applies an entry's command. The entries that raft adds itself, such as that of a new leader, have none.
func (c *Core) applyData(entry *raftpb.Entry, data []byte) {
	if len(data) == 0 {
		c.machine.Skip(entry.GetIndex())
	} else {
		c.applyCommand(entry.GetIndex(), data)
	}
	c.recordApplied(entry)
}

// recordApplied records an entry as applied, unless applying it has halted the instance.
func (c *Core) recordApplied(entry *raftpb.Entry) {
	if c.halted != nil {
		return
	}
	c.applied = entry.GetIndex()
	if c.conf.Observe != nil {
		c.conf.Observe(c.applied, entry.GetTerm(), c.machine.Chain())
	}
}

// applyCommand applies an encoded command and answers its proposal if it was made at this instance.
func (c *Core) applyCommand(index uint64, data []byte) {
	result, command, err := c.machine.Apply(index, data)
	if err != nil {
		c.halt(fmt.Errorf("%w: entry %d: %w", ErrHalted, index, err))
		return
	}
	if slices.ContainsFunc(command.Then, writesMembers) {
		c.membersVersion++
	}
	if proposal, own := c.pending[command.RequestID]; own {
		delete(c.pending, command.RequestID)
		c.answer(proposal.token, nil, result)
	}
}

// writesMembers reports whether an operation writes the records of the members.
func writesMembers(op machine.Op) bool {
	return op.Kind.Writes() && (op.NS == MembersNS || op.NS == RemovedNS)
}

// halt stops applying entries permanently. It answers the pending proposals with ErrOutcomeUnknown and all reads with
// err.
func (c *Core) halt(err error) {
	c.halted = err
	c.abandonProposals(func(pendingProposal) bool { return true })
	for _, read := range c.confirmedReads {
		c.failReads(read.tokens, err)
	}
	c.confirmedReads = nil
	for _, request := range c.readRequests {
		c.failReads(request.tokens, err)
	}
	c.readRequests = nil
	c.failReads(c.queuedReads, err)
	c.queuedReads = nil
}

// applyConfChange applies a change of the members, and the command that records it, from the change's context.
func (c *Core) applyConfChange(entry *raftpb.Entry) {
	change, err := decodeConfChange(entry)
	if err != nil {
		c.halt(fmt.Errorf("%w: entry %d: %w", ErrHalted, entry.GetIndex(), err))
		return
	}
	c.confState = c.raftNode.ApplyConfChange(change)
	if c.halted != nil {
		return
	}
	c.applyData(entry, change.GetContext())
	for id := range c.outgoing { // a removed member needs no snapshot
		if !isMember(c.confState, id) {
			delete(c.outgoing, id)
		}
	}
}

// decodeConfChange decodes a change of the members, which raft encodes in one of two formats.
func decodeConfChange(entry *raftpb.Entry) (*raftpb.ConfChangeV2, error) {
	if entry.GetType() == raftpb.EntryConfChange {
		change := &raftpb.ConfChange{}
		if err := proto.Unmarshal(entry.GetData(), change); err != nil {
			return nil, err
		}
		return change.AsV2(), nil
	}
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return nil, err
	}
	return change, nil
}

// isMember reports whether an id is a voter or a learner, also while a joint change is in progress.
func isMember(state *raftpb.ConfState, id uint64) bool {
	return slices.Contains(state.GetVoters(), id) || slices.Contains(state.GetLearners(), id) ||
		slices.Contains(state.GetVotersOutgoing(), id) || slices.Contains(state.GetLearnersNext(), id)
}
