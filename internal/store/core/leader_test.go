package core

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/machine"
)

// A transfer of leadership that raft gives up leaves the leader's periodic tasks on.
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
		t.Fatal("no transfer began")
	}
	for range 4 * leader.conf.ElectionTicks {
		leader.Tick()
		cl.runUntilIdle()
	}
	if !leader.IsLeader() {
		t.Fatal("the leader has changed")
	}
	if agreed := leader.Machine().AgreedFormat(); agreed != format {
		t.Errorf("the format is %d, all support %d", agreed, format)
	}
}
