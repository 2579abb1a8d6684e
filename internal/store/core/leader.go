package core

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"cloverrock/internal/store/machine"
)

const (
	leaderTaskInterval   = 5   // ticks between checks of the members
	caughtUpEntries      = 256 // entries behind the commit index at which a learner still counts as caught up
	caughtUpChecksNeeded = 2   // consecutive checks at which a learner must be caught up to become a voter
	clockInterval        = 2   // ticks between steps of the logical clock while leases run
	maxClockStep         = 50  // ticks that one step of the logical clock covers at most
)

type progress = tracker.Progress

// runLeaderTasks performs the periodic tasks of a leader: it advances the logical clock, raises the agreed format of
// commands once all members support it, and promotes learners that have caught up to voters.
func (c *Core) runLeaderTasks() {
	if !c.IsLeader() || c.halted != nil || c.isTransferring() {
		return
	}
	c.advanceClock()
	if c.now%leaderTaskInterval != 0 {
		return
	}
	c.raiseFormat()
	c.promoteLearner()
}

// isTransferring reports whether raft is transferring leadership. Raft abandons a transfer after an election timeout.
func (c *Core) isTransferring() bool { return c.raftNode.BasicStatus().LeadTransferee != raft.None }

// advanceClock proposes to advance the logical clock by the elapsed time. That time is counted from the last change of
// leader at the earliest, so that a change of leader can extend leases but never shorten them.
func (c *Core) advanceClock() {
	if c.machine.LeaseCount() == 0 {
		c.clockTick = c.now
		return
	}
	elapsed := c.now - c.clockTick
	if elapsed < clockInterval {
		return
	}
	c.Propose(0, &machine.Command{Kind: machine.AdvanceClockKind, Amount: min(elapsed, maxClockStep) * c.conf.TickMS})
	c.clockTick = c.now
}

// raiseFormat proposes the newest format of commands that all members support, if it is newer than the agreed one.
func (c *Core) raiseFormat() {
	common := c.conf.Format
	for _, member := range Members(c.machine) {
		common = min(common, member.Format)
	}
	if common > c.machine.AgreedFormat() {
		c.Propose(0, &machine.Command{Kind: machine.RaiseFormatKind, Amount: int64(common)})
	}
}

// promoteLearner proposes to promote one learner that has caught up to a voter, unless a joint change is in progress.
func (c *Core) promoteLearner() {
	ready := c.findCaughtUpLearner()
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

// findCaughtUpLearner checks all learners and returns one that has caught up and may become a voter; 0: none.
func (c *Core) findCaughtUpLearner() uint64 {
	commit := c.raftNode.BasicStatus().GetCommit()
	ready := uint64(0)
	c.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		isLearner := kind == raft.ProgressTypeLearner
		receivesLog := pr.State == tracker.StateReplicate // not before its first entries or snapshot have arrived
		if !isLearner || !receivesLog || !c.isRecentlyActive(id) || pr.Match+caughtUpEntries < commit {
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

// isRecentlyActive reports whether a message was received from an instance within an election timeout. Raft's own
// RecentActive flag is reset at each quorum check and is therefore not usable just after one.
func (c *Core) isRecentlyActive(id uint64) bool {
	at, known := c.lastMessageAt[id]
	return known && c.now-at <= int64(c.conf.ElectionTicks)
}

// TransferLeadership starts to transfer leadership to the follower with the longest matching log among those from which
// a message was received recently, and returns its id. It reports false if this instance is not the leader or there is
// no such follower. The leader's periodic tasks are suspended until the leader changes or raft abandons the transfer.
func (c *Core) TransferLeadership() (to uint64, ok bool) {
	if !c.IsLeader() {
		return 0, false
	}
	best := uint64(0)
	bestMatch := uint64(0)
	c.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		isFollower := id != c.conf.ID && kind == raft.ProgressTypePeer
		if isFollower && c.isRecentlyActive(id) && pr.Match >= bestMatch {
			best = id
			bestMatch = pr.Match
		}
	})
	if best == 0 {
		return 0, false
	}
	c.raftNode.TransferLeader(best)
	return best, true
}
