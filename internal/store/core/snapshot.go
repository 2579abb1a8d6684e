package core

import (
	"bytes"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// receivedSnapshotName stands for a file name in errors about a snapshot that was received from another instance.
const receivedSnapshotName = "a snapshot received from another instance"

// Snapshot is the state at one index. Its image is immutable and may be written by another goroutine, whose result the
// owner reports with SnapshotSaved.
type Snapshot struct {
	Meta  *raftpb.SnapshotMetadata
	Image *machine.Image
}

// EncodeSnapshot encodes a snapshot as it is stored on disk and sent between instances.
func EncodeSnapshot(snapshot *Snapshot) ([]byte, error) {
	var encoded bytes.Buffer
	err := disk.EncodeSnapshot(&encoded, snapshot.Meta, snapshot.Image.Write)
	return encoded.Bytes(), err
}

func decodeSnapshot(name string, data []byte) (*raftpb.SnapshotMetadata, *machine.Machine, error) {
	meta, image, err := disk.DecodeSnapshot(name, data)
	if err != nil {
		return nil, nil, err
	}
	state, err := machine.Restore(image)
	return meta, state, err
}

// installSnapshot replaces the state by a snapshot received from the leader.
func (c *Core) installSnapshot(data []byte) error {
	meta, state, err := decodeSnapshot(receivedSnapshotName, data)
	if err != nil {
		return err
	}
	if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
		return fmt.Errorf("store: install snapshot: %w", err)
	}
	c.machine = state.WithFormat(c.conf.Format)
	c.confState = meta.GetConfState()
	c.applied = meta.GetIndex()
	c.snapshotIndex = meta.GetIndex()
	c.snapshotMembers = meta.GetConfState()
	c.membersVersion++
	return nil
}

// DueSnapshot returns a snapshot that the owner must write and report to SnapshotSaved, or nil. At most one is being
// written at a time. With force set, a snapshot is due unless the newest one already contains all applied entries.
func (c *Core) DueSnapshot(force bool) *Snapshot {
	if c.savingIndex != 0 || c.halted != nil || c.applied == c.snapshotIndex {
		return nil
	}
	if !force && !c.snapshotForced && c.applied-c.snapshotIndex < c.conf.SnapshotInterval {
		return nil
	}
	snapshot := c.CurrentSnapshot()
	if snapshot != nil {
		c.savingIndex = c.applied
	}
	return snapshot
}

// CurrentSnapshot returns a snapshot of the current state, for a backup; nil if no entry was applied yet or the
// instance has halted.
func (c *Core) CurrentSnapshot() *Snapshot {
	term, err := c.storage.Term(c.applied)
	if err != nil || c.applied == 0 || c.halted != nil {
		return nil
	}
	meta := &raftpb.SnapshotMetadata{Index: new(c.applied), Term: new(term), ConfState: c.confState}
	return &Snapshot{meta, c.machine.Image()}
}

// SnapshotSaved reports that a snapshot was written, or the error that prevented it. It returns the index up to which
// the log on disk may be removed; 0: none of it.
func (c *Core) SnapshotSaved(snapshot *Snapshot, err error) (release uint64) {
	index := snapshot.Meta.GetIndex()
	if c.savingIndex == index {
		c.savingIndex = 0
	}
	if err != nil || index <= c.snapshotIndex {
		return 0
	}
	if _, err := c.storage.CreateSnapshot(index, snapshot.Meta.GetConfState(), nil); err != nil {
		return 0
	}
	c.snapshotIndex = index
	c.snapshotMembers = snapshot.Meta.GetConfState()
	c.snapshotForced = false
	if index <= c.conf.RetainedEntries {
		return 0
	}
	release = index - c.conf.RetainedEntries
	if err := c.storage.Compact(release); err != nil {
		return 0
	}
	return release
}
