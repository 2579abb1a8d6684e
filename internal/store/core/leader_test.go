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

// A learner that has received neither entries nor a snapshot is not promoted, however short the log is: as a voter it
// would count towards the quorum.
func TestEmptyLearnerIsNotPromoted(t *testing.T) {
	cl := newCluster(t, 1, 1, 1)
	leader := cl.elect(1)
	learner := newLearner(t, cl, 4)
	receives := false
	cl.transmit = func(e Envelope) {
		carriesState := e.Chunk != nil || e.Raft != nil && e.Raft.GetType() == raftpb.MsgApp
		if e.To == 4 && carriesState && !receives {
			return
		}
		cl.deliver(e)
	}
	change, command, err := PlanJoin(leader.Machine(), 4, Member{Name: "d", Format: 1}, "")
	if err != nil {
		t.Fatal(err)
	}
	leader.ProposeMembershipChange(0, change, command)
	for _, receives = range []bool{false, true} {
		for range 6 * leaderTaskInterval * caughtUpChecksNeeded {
			leader.Tick()
			learner.Tick()
			cl.runUntilIdle()
			cl.saveSnapshot(leader)
		}
		if isVoter := len(leader.Status().Voters) == 4; isVoter != receives {
			t.Errorf("the learner receives data: %t, is a voter: %t, want the same; status %+v", receives, isVoter, leader.Status())
		}
	}
}

// saveSnapshot saves the snapshot that is due at a core, if there is one, for transfers.
func (cl *cluster) saveSnapshot(c *Core) {
	cl.t.Helper()
	due := c.DueSnapshot(false)
	if due == nil {
		return
	}
	encoded, err := EncodeSnapshot(due)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.snapshotData = encoded
	c.SnapshotSaved(due, nil)
}

// newLearner adds a core with an empty state, which is not a member yet.
func newLearner(t *testing.T, cl *cluster, id uint64) *Core {
	t.Helper()
	conf := Config{ID: id, Nonce: id << 40, Format: 1, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}
	c, err := New(conf, InitialState{Log: &disk.Loaded{HardState: &raftpb.HardState{}}})
	if err != nil {
		t.Fatal(err)
	}
	cl.cores[id] = c
	cl.answers[id] = map[uint64]Answer{}
	cl.running = append(cl.running, id)
	return c
}

// The leader's periodic tasks resume after raft has abandoned a transfer of leadership.
func TestPeriodicTasksResumeAfterAnAbandonedTransfer(t *testing.T) {
	const format = machine.Format + 1
	cl := newCluster(t, format, format, format)
	leader := cl.elect(2)
	cl.transmit = func(e Envelope) {
		if e.Raft != nil && e.Raft.GetType() == raftpb.MsgTimeoutNow {
			return
		}
		cl.deliver(e)
	}
	if _, ok := leader.TransferLeadership(); !ok {
		t.Fatal("the transfer of leadership did not start")
	}
	for range 4 * leader.conf.ElectionTicks {
		leader.Tick()
		cl.runUntilIdle()
	}
	if !leader.IsLeader() {
		t.Fatal("the leader has changed")
	}
	if agreed := leader.Machine().AgreedFormat(); agreed != format {
		t.Errorf("the agreed format is %d, although all members support %d", agreed, format)
	}
}
