package core

import (
	"errors"
	"testing"

	"cloverrock/internal/store/machine"
)

// A read at a follower reflects a command that was proposed at another follower and answered before the read.
func TestReadAtFollowerSeesProposalOfAnotherFollower(t *testing.T) {
	cl := newCluster(t, 1, 1, 1)
	cl.elect(1)
	put := machine.Op{Kind: machine.Put, NS: "n", Key: "k"}
	cl.cores[3].Propose(1, &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
	cl.runUntilIdle()
	cl.cores[2].Read(2)
	cl.runUntilIdle()
	if answer := cl.answers[3][1]; answer.Err != nil || answer.Result.Revision != 2 {
		t.Errorf("the proposal at a follower: %+v, want revision 2", answer)
	}
	if answer := cl.answers[2][2]; answer.Err != nil || answer.Result.Revision != 2 {
		t.Errorf("the read at another follower: %+v, want revision 2", answer)
	}
	if staleness, known := cl.cores[2].Staleness(); !known || staleness != 0 {
		t.Errorf("staleness after the read: %d, known %t; want 0", staleness, known)
	}
}

// Without a quorum a proposal is answered at its deadline, and the staleness of the state increases.
func TestProposalsTimeOutAndStalenessGrowsWithoutQuorum(t *testing.T) {
	cl := newCluster(t, 1, 1, 1)
	c := cl.elect(1)
	cl.stop(2, 3)
	c.Propose(1, &machine.Command{Kind: machine.OpenSessionKind})
	for range c.conf.TimeoutTicks + 1 {
		c.Tick()
		cl.runUntilIdle()
	}
	if answer := cl.answers[1][1]; !errors.Is(answer.Err, ErrOutcomeUnknown) {
		t.Errorf("a proposal without a quorum: %+v, want ErrOutcomeUnknown", answer)
	}
	c.Propose(2, &machine.Command{Kind: machine.OpenSessionKind})
	cl.runUntilIdle()
	if answer := cl.answers[1][2]; !errors.Is(answer.Err, ErrNoLeader) {
		t.Errorf("a later proposal without a quorum: %+v, want ErrNoLeader", answer)
	}
	if staleness, _ := c.Staleness(); staleness < int64(c.conf.TimeoutTicks) {
		t.Errorf("staleness %d, want at least the ticks without a quorum", staleness)
	}
}
