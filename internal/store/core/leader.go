package core

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"cloverrock/internal/store/machine"
)

const (
	dutyInterval         = 5   // ticks between looks at the members
	caughtUpEntries      = 256 // a learner has caught up when it is at most so far behind the commit index
	caughtUpChecksNeeded = 2   // a learner that has caught up at so many looks in a row becomes a voter
	clockInterval        = 2   // ticks between steps of the logical clock while leases run
	clockMaxStep         = 50  // ticks that one step of the logical clock may make up for
)

type progress = tracker.Progress

// leaderDuties is what a leader does without being asked: it advances the logical clock, raises the format of commands
// once all members understand it, and makes voters of learners that have caught up.
func (c *Core) leaderDuties() {
	if !c.IsLeader() || c.halted != nil || c.transferringTo != 0 {
		return
	}
	c.advanceClock()
	if c.now%dutyInterval != 0 {
		return
	}
	c.raiseFormat()
	c.promoteLearner()
}

// advanceClock proposes the time that has passed. It counts from the change of leader at the earliest, so that leases
// last longer through one, and never shorter.
func (c *Core) advanceClock() {
	if c.machine.LeaseCount() == 0 {
		c.clockTick = c.now
		return
	}
	elapsed := c.now - c.clockTick
	if elapsed < clockInterval {
		return
	}
	c.Propose(0, &machine.Command{Kind: machine.AdvanceClockKind, Amount: min(elapsed, clockMaxStep) * c.conf.TickMS})
	c.clockTick = c.now
}

func (c *Core) raiseFormat() {
	common := c.conf.Format
	for _, member := range Members(c.machine) {
		common = min(common, member.Format)
	}
	if common > c.machine.AgreedFormat() {
		c.Propose(0, &machine.Command{Kind: machine.RaiseFormatKind, Amount: int64(common)})
	}
}

// promoteLearner proposes one learner that has caught up as a voter.
func (c *Core) promoteLearner() {
	ready := c.learnerCaughtUp()
	inJointChange := len(c.confState.GetVotersOutgoing()) > 0
	if ready == 0 || inJointChange {
		return
	}
	c.caughtUpChecks[ready] = 0
	change := &raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, ready)},
	}
	c.ProposeMembershipChange(0, change, &machine.Command{Kind: machine.TransactionKind})
}

// learnerCaughtUp looks at all learners and returns one that may become a voter; 0: none.
func (c *Core) learnerCaughtUp() uint64 {
	commit := c.raftNode.BasicStatus().GetCommit()
	ready := uint64(0)
	c.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		isLearner := kind == raft.ProgressTypeLearner
		if !isLearner || !c.recentlyHeard(id) || pr.Match+caughtUpEntries < commit {
			c.caughtUpChecks[id] = 0
			return
		}
		c.caughtUpChecks[id]++
		if c.caughtUpChecks[id] >= caughtUpChecksNeeded && ready == 0 {
			ready = id
		}
	})
	return ready
}

// recentlyHeard reports whether an instance was heard of within an election timeout. Raft's own record of that is
// reset at each check of the quorum, and says nothing just after it.
func (c *Core) recentlyHeard(id uint64) bool {
	at, heard := c.lastHeard[id]
	return heard && c.now-at <= int64(c.conf.ElectionTicks)
}

// TransferLeadership hands leadership over to the follower that has most of the log, before a planned stop or with a
// full disk. It reports false if this instance does not lead or no follower can take over.
func (c *Core) TransferLeadership() (to uint64, ok bool) {
	if !c.IsLeader() {
		return 0, false
	}
	best := uint64(0)
	bestMatch := uint64(0)
	c.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		isFollower := id != c.conf.ID && kind == raft.ProgressTypePeer
		if isFollower && c.recentlyHeard(id) && pr.Match >= bestMatch {
			best = id
			bestMatch = pr.Match
		}
	})
	if best == 0 {
		return 0, false
	}
	c.transferringTo = best
	c.raftNode.TransferLeader(best)
	return best, true
}
