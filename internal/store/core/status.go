package core

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
)

// Peer is a leader's view of one member's replication progress.
type Peer struct {
	ID      uint64 `json:"id"`
	Match   uint64 `json:"match"` // index up to which its log is known to match the leader's
	State   string `json:"state"`
	Active  bool   `json:"active"` // a message was received within an election timeout
	Learner bool   `json:"learner"`
}

// Status is a summary of an instance, for operators.
type Status struct {
	ID             uint64   `json:"id"`
	Leader         uint64   `json:"leader"` // 0: unknown
	Term           uint64   `json:"term"`
	Role           string   `json:"role"`
	Commit         uint64   `json:"commit"`
	Applied        uint64   `json:"applied"`
	SnapshotIndex  uint64   `json:"snapshot"`
	Revision       int64    `json:"revision"`
	Keys           int      `json:"keys"`
	Chain          uint64   `json:"chain"` // hash of all applied commands and results
	Voters         []uint64 `json:"voters"`
	Learners       []uint64 `json:"learners,omitempty"`
	StalenessTicks int64    `json:"age_ticks"` // how far behind the state may be; -1: unknown
	Pending        int      `json:"pending"`   // proposals that were not answered yet
	Transfers      int      `json:"transfers"` // snapshots being sent
	Halted         string   `json:"halted,omitempty"`
	Peers          []Peer   `json:"peers,omitempty"` // only of a leader
}

// Status returns a summary of the instance.
func (c *Core) Status() Status {
	basic := c.raftNode.BasicStatus()
	status := Status{
		ID:             c.conf.ID,
		Leader:         c.leader,
		Term:           basic.GetTerm(),
		Role:           basic.RaftState.String(),
		Commit:         basic.GetCommit(),
		Applied:        c.applied,
		SnapshotIndex:  c.snapshotIndex,
		Revision:       c.machine.Revision(),
		Keys:           c.machine.KeyCount(),
		Chain:          c.machine.Chain(),
		Voters:         slices.Clone(c.confState.GetVoters()),
		Learners:       slices.Clone(c.confState.GetLearners()),
		StalenessTicks: -1,
		Pending:        len(c.pending),
		Transfers:      len(c.outgoing),
	}
	if staleness, known := c.Staleness(); known {
		status.StalenessTicks = staleness
	}
	if c.halted != nil {
		status.Halted = c.halted.Error()
	}
	if c.IsLeader() {
		status.Peers = c.peers()
	}
	return status
}

func (c *Core) peers() (peers []Peer) {
	c.raftNode.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		peers = append(peers, Peer{
			ID:      id,
			Match:   pr.Match,
			State:   pr.State.String(),
			Active:  c.isRecentlyActive(id) || id == c.conf.ID,
			Learner: kind == raft.ProgressTypeLearner,
		})
	})
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}
