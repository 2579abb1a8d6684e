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

// cluster connects cores in memory. Messages are delivered at once and nothing is saved.
type cluster struct {
	t            *testing.T
	cores        map[uint64]*Core
	running      []uint64                     // ids of the running cores
	answers      map[uint64]map[uint64]Answer // by core and token
	transmit     func(Envelope)               // delivers a message
	snapshotData []byte                       // newest snapshot, for transfers
}

// newCluster returns one core for each format, with the ids 1, 2 ...
func newCluster(t *testing.T, formats ...uint8) *cluster {
	t.Helper()
	cl := &cluster{t: t, cores: map[uint64]*Core{}, answers: map[uint64]map[uint64]Answer{}}
	cl.transmit = cl.deliver
	var records []machine.Op
	for i, format := range formats {
		id := uint64(i + 1)
		cl.running = append(cl.running, id)
		record, err := MemberOp(id, Member{Name: string(rune('a' + i)), Format: format})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
	}
	snapshot, err := InitialSnapshot(cl.running, records)
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

// deliver passes a message to its receiver, if that core is running.
func (cl *cluster) deliver(e Envelope) {
	if c := cl.cores[e.To]; c != nil {
		c.Step(e)
	}
}

// runUntilIdle processes the work of all cores until there is none.
func (cl *cluster) runUntilIdle() {
	cl.t.Helper()
	for worked := true; worked; {
		worked = false
		for _, id := range cl.running {
			worked = cl.work(id) || worked
		}
	}
}

// work processes all work of a core, and reports whether there was any.
func (cl *cluster) work(id uint64) (worked bool) {
	cl.t.Helper()
	c := cl.cores[id]
	if cl.snapshotData != nil && c.NeedsSnapshotData() {
		c.ProvideSnapshotData(cl.snapshotData, nil)
	}
	for work := c.Next(); work != nil; work = c.Next() {
		worked = true
		if err := c.Done(work); err != nil {
			cl.t.Fatal(err)
		}
		for _, e := range append(work.SendBeforeSave, work.SendAfterSave...) {
			cl.transmit(e)
		}
	}
	for _, answer := range c.Answers() {
		cl.answers[id][answer.Token] = answer
	}
	return worked
}

// stop removes cores from the cluster.
func (cl *cluster) stop(ids ...uint64) {
	for _, stopped := range ids {
		delete(cl.cores, stopped)
	}
	var running []uint64
	for _, id := range cl.running {
		if cl.cores[id] != nil {
			running = append(running, id)
		}
	}
	cl.running = running
}

// elect makes a core the leader.
func (cl *cluster) elect(id uint64) *Core {
	cl.t.Helper()
	c := cl.cores[id]
	if err := c.raftNode.Campaign(); err != nil {
		cl.t.Fatal(err)
	}
	cl.runUntilIdle()
	if !c.IsLeader() {
		cl.t.Fatalf("instance %d is not the leader after its campaign", id)
	}
	return c
}
