package core

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Work is a batch of I/O. The owner does it in this order: send SendBeforeSave; save SnapshotData, HardState and
// Entries; send SendAfterSave; call Done.
type Work struct {
	SendBeforeSave []Envelope
	SendAfterSave  []Envelope
	SnapshotData   []byte // an encoded snapshot that replaces the state; nil: none
	SnapshotMeta   *raftpb.SnapshotMetadata
	HardState      *raftpb.HardState // nil: unchanged
	Entries        []*raftpb.Entry
	ready          raft.Ready
	needsAdvance   bool // raft expects Advance(ready) from Done
}

// Next returns the next work, or nil if there is none. Each one must be passed to Done before the next call.
func (c *Core) Next() *Work {
	c.flushQueues()
	if !c.raftNode.HasReady() {
		if len(c.outbox) == 0 {
			return nil
		}
		work := &Work{SendBeforeSave: c.outbox}
		c.outbox = nil
		return work
	}
	ready := c.raftNode.Ready()
	work := &Work{SendBeforeSave: c.outbox, Entries: ready.Entries, ready: ready, needsAdvance: true}
	c.outbox = nil
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		work.HardState = ready.HardState
	}
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		work.SnapshotData = ready.Snapshot.GetData()
		work.SnapshotMeta = ready.Snapshot.GetMetadata()
	}
	if ready.SoftState != nil {
		c.setLeader(ready.Lead)
	}
	c.sortMessages(work, ready.Messages)
	return work
}

// sortMessages separates the messages that may be sent before the save from the others, and starts a transfer for each
// snapshot message. A leader may replicate entries while it writes them itself. All other messages may acknowledge
// something that must be durable first.
func (c *Core) sortMessages(work *Work, messages []*raftpb.Message) {
	isLeader := c.IsLeader()
	for _, message := range messages {
		envelope := Envelope{To: message.GetTo(), From: c.conf.ID, Raft: message}
		kind := message.GetType()
		switch {
		case kind == raftpb.MsgSnap:
			c.beginTransfer(message)
		case isLeader && (kind == raftpb.MsgApp || kind == raftpb.MsgHeartbeat):
			work.SendBeforeSave = append(work.SendBeforeSave, envelope)
		default:
			work.SendAfterSave = append(work.SendAfterSave, envelope)
		}
	}
}

// setLeader records a change of leader. It resets the checks of learners, and the start of the time that the leader next
// adds to the logical clock.
func (c *Core) setLeader(leader uint64) {
	if leader == c.leader {
		return
	}
	c.leader = leader
	c.clockTick = c.now
	clear(c.caughtUpChecks)
}

// Done reports that the work was saved and sent, and applies its committed entries. An error is final: the instance must
// be stopped.
func (c *Core) Done(work *Work) error {
	if !work.needsAdvance {
		return nil
	}
	if work.SnapshotMeta != nil {
		if err := c.installSnapshot(work.SnapshotData); err != nil {
			return err
		}
	}
	if work.HardState != nil {
		if err := c.storage.SetHardState(work.HardState); err != nil {
			return fmt.Errorf("store: keep hard state in memory: %w", err)
		}
	}
	if err := c.storage.Append(work.ready.Entries); err != nil {
		return fmt.Errorf("store: keep entries in memory: %w", err)
	}
	for _, entry := range work.ready.CommittedEntries {
		c.apply(entry)
	}
	for _, state := range work.ready.ReadStates {
		c.readIndexReceived(state)
	}
	c.raftNode.Advance(work.ready)
	c.completeReads()
	return nil
}
