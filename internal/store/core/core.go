// Package core implements one instance of the replicated store as a state machine. The owner of a core passes it ticks,
// messages, proposals and the outcome of writes. The core returns what to save, what to send and the answers to clients.
// It does no I/O, reads no clock and starts no goroutine, so that the simulator runs the same code as the daemon.
// Consensus is go.etcd.io/raft.
package core

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/machine"
)

// Errors that answer a proposal or read.
var (
	ErrNoLeader       = errors.New("store: no leader is known; nothing was done")
	ErrOutcomeUnknown = errors.New("store: the outcome is unknown; the command may still be applied. Retry it with the same session and sequence number")
	ErrBusy           = errors.New("store: too many proposals are waiting; nothing was done. Retry later")
	ErrHalted         = errors.New("store: this instance has halted and applies no more commands")
)

// Envelope is one message between instances. Exactly one of Raft, Chunk and Ack is set.
type Envelope struct {
	To, From uint64
	Raft     *raftpb.Message
	Chunk    *SnapshotChunk
	Ack      *ChunkAck
}

// Answer is the outcome of a proposal or read. Each token gets at most one.
type Answer struct {
	Token  uint64 // as passed to Propose, ProposeMembershipChange or Read
	Err    error
	Result machine.Result
}

// Core is one instance. It is not safe for concurrent use.
type Core struct {
	conf      Config
	raftNode  *raft.RawNode
	storage   *raft.MemoryStorage
	machine   *machine.Machine
	confState *raftpb.ConfState // the members as of the last applied entry
	now       int64             // in ticks since the start
	applied   uint64            // index of the last applied entry
	halted    error             // why nothing more is applied; nil while entries are applied
	outbox    []Envelope
	answers   []Answer
	serial    uint64 // number of proposals and reads so far

	queuedProposals []*raftpb.Entry            // not yet handed to raft
	queuedReads     []uint64                   // tokens that wait for the next read index
	pending         map[uint64]pendingProposal // by request id
	readRequests    []readRequest              // read indexes requested from the leader
	confirmedReads  []confirmedRead            // reads that wait until their index is applied
	upToDateAt      int64                      // latest tick at which the state was known to be up to date; -1: none yet

	leader         uint64           // raft.None: unknown
	membersVersion uint64           // increases when the records of the members may have changed
	clockTick      int64            // tick up to which the logical clock was advanced
	caughtUpChecks map[uint64]int   // by learner: consecutive checks at which it was caught up
	lastMessageAt  map[uint64]int64 // by member: tick of its last message

	snapshotIndex     uint64                       // of the newest saved snapshot
	snapshotMembers   *raftpb.ConfState            // the members that the newest saved snapshot records
	savingIndex       uint64                       // of the snapshot that is being written; 0: none
	snapshotForced    bool                         // a snapshot is due now, however few entries were applied since the newest one
	needsSnapshotData bool                         // a transfer waits for the newest snapshot's bytes
	outgoing          map[uint64]*outgoingTransfer // by receiver
	incoming          map[uint64]*incomingTransfer // by sender
}

// Machine returns the replicated state. Only the goroutine that owns the core may read it, and must not change it.
func (c *Core) Machine() *machine.Machine { return c.machine }

// Leader returns the id of the current leader as far as this instance knows; 0: unknown.
func (c *Core) Leader() uint64 { return c.leader }

// MembersVersion returns a counter that increases when the records of the members may have changed.
func (c *Core) MembersVersion() uint64 { return c.membersVersion }

// IsLeader reports whether this instance is the leader.
func (c *Core) IsLeader() bool {
	return c.leader == c.conf.ID && c.raftNode.BasicStatus().RaftState == raft.StateLeader
}

// Tick advances time by one tick: it drives raft's timers, expires waiting proposals and reads, sends snapshot chunks
// and runs the leader's periodic tasks.
func (c *Core) Tick() {
	c.now++
	c.raftNode.Tick()
	c.expireRequests()
	c.sendChunks()
	c.runLeaderTasks()
}

// Step processes a message from another instance. An invalid or outdated message is ignored.
func (c *Core) Step(e Envelope) {
	c.lastMessageAt[e.From] = c.now
	switch {
	case e.Chunk != nil:
		c.receiveChunk(e.From, e.Chunk)
	case e.Ack != nil:
		c.receiveAck(e.From, e.Ack)
	case e.Raft != nil:
		if mayReceive(e.Raft, e.From) {
			_ = c.raftNode.Step(e.Raft) // fails only for a message that is out of date
		}
	}
}

// mayReceive reports whether a message from another instance may be passed to raft. It must name the instance that sent
// it. Raft's local messages come from this instance only, and snapshots arrive in chunks instead of as a raft message.
func mayReceive(message *raftpb.Message, from uint64) bool {
	kind := message.GetType()
	return !raft.IsLocalMsg(kind) && kind != raftpb.MsgSnap && message.GetFrom() == from
}

// Answers returns the answers produced since the last call.
func (c *Core) Answers() []Answer {
	ready := c.answers
	c.answers = nil
	return ready
}

// answer queues the outcome of a proposal or read. The instance's own requests have the token 0, and their outcome is
// discarded.
func (c *Core) answer(token uint64, err error, result machine.Result) {
	if token != 0 {
		c.answers = append(c.answers, Answer{token, err, result})
	}
}

func (c *Core) send(e Envelope) {
	e.From = c.conf.ID
	c.outbox = append(c.outbox, e)
}
