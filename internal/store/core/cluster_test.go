package core

import (
	"io"
	"log"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// cluster is cores whose messages arrive at once, and that save nothing.
type cluster struct {
	t       *testing.T
	cores   map[uint64]*Core
	order   []uint64                     // ids of those that run
	answers map[uint64]map[uint64]Answer // by core and token
	carry   func(Envelope)               // delivers a message
	data    []byte                       // newest snapshot, for transfers
}

// newCluster returns one core for each format, with the ids 1, 2 ...
func newCluster(t *testing.T, formats ...uint8) *cluster {
	t.Helper()
	cl := &cluster{t: t, cores: map[uint64]*Core{}, answers: map[uint64]map[uint64]Answer{}}
	cl.carry = cl.deliver
	var records []machine.Op
	for i, format := range formats {
		id := uint64(i + 1)
		cl.order = append(cl.order, id)
		record, err := MemberOp(id, Member{Name: string(rune('a' + i)), Format: format})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
	}
	snapshot, err := InitialSnapshot(cl.order, records)
	if err != nil {
		t.Fatal(err)
	}
	for i, format := range formats {
		id := uint64(i + 1)
		conf := Config{ID: id, Nonce: id << 40, Format: format, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}
		initial := InitialState{Snapshot: snapshot, SnapshotName: "first", Log: &disk.Loaded{HardState: &raftpb.HardState{}}}
		c, err := New(conf, initial)
		if err != nil {
			t.Fatal(err)
		}
		cl.cores[id] = c
		cl.answers[id] = map[uint64]Answer{}
	}
	return cl
}

// deliver gives a message to its receiver, if that one runs.
func (cl *cluster) deliver(e Envelope) {
	if c := cl.cores[e.To]; c != nil {
		c.Step(e)
	}
}

// runUntilIdle does all work until there is none.
func (cl *cluster) runUntilIdle() {
	cl.t.Helper()
	for worked := true; worked; {
		worked = false
		for _, id := range cl.order {
			worked = cl.work(id) || worked
		}
	}
}

// work does all work that a core has, and reports whether there was any.
func (cl *cluster) work(id uint64) (worked bool) {
	cl.t.Helper()
	c := cl.cores[id]
	if cl.data != nil && c.NeedsSnapshotData() {
		c.ProvideSnapshotData(cl.data, nil)
	}
	for work := c.Next(); work != nil; work = c.Next() {
		worked = true
		if err := c.Done(work); err != nil {
			cl.t.Fatal(err)
		}
		for _, e := range append(work.SendBeforeSave, work.SendAfterSave...) {
			cl.carry(e)
		}
	}
	for _, answer := range c.Answers() {
		cl.answers[id][answer.Token] = answer
	}
	return worked
}

// stop takes cores out of the cluster.
func (cl *cluster) stop(ids ...uint64) {
	for _, stopped := range ids {
		delete(cl.cores, stopped)
	}
	var running []uint64
	for _, id := range cl.order {
		if cl.cores[id] != nil {
			running = append(running, id)
		}
	}
	cl.order = running
}

// elect has a core become the leader.
func (cl *cluster) elect(id uint64) *Core {
	cl.t.Helper()
	c := cl.cores[id]
	if err := c.raftNode.Campaign(); err != nil {
		cl.t.Fatal(err)
	}
	cl.runUntilIdle()
	if !c.IsLeader() {
		cl.t.Fatalf("%d does not lead", id)
	}
	return c
}
