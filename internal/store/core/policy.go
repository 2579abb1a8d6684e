package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/machine"
)

type progress = tracker.Progress

const (
	dutyInterval         = 5   // ticks between looks at the members
	caughtUpEntries      = 256 // a learner this near to the leader's end
	caughtUpChecksNeeded = 2   // at so many looks in a row becomes a voter
	clockInterval        = 2   // ticks between steps of the logical clock while leases run
	clockMaxStep         = 50  // ticks that one step may make up for at the most
)

// Namespaces that the store keeps about itself. Clients may read them.
const (
	MembersNS = "_members" // by id, in hexadecimal
	RemovedNS = "_removed" // ids that never come back
	TokensNS  = "_tokens"  // hashes of tokens by which an instance may join
)

// Member is what the cluster notes about an instance.
type Member struct {
	Name    string `msgpack:"n" json:"name"`
	Address string `msgpack:"a" json:"address"`
	Format  uint8  `msgpack:"f" json:"format"` // newest form of commands that it understands
}

// MemberKey is the key of an id.
func MemberKey(id uint64) string { return fmt.Sprintf("%016x", id) }

// MemberOp notes a member.
func MemberOp(id uint64, m Member) (machine.Op, error) {
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return machine.Op{}, fmt.Errorf("store: encode member: %w", err)
	}
	return machine.Op{Kind: machine.Put, NS: MembersNS, Key: MemberKey(id), Value: b}, nil
}

// Members lists the instances that the state knows, by id.
func Members(m *machine.Machine) map[uint64]Member {
	found := map[uint64]Member{}
	for _, kv := range m.List(MembersNS, "", 0) {
		var id uint64
		var mb Member
		if _, err := fmt.Sscanf(kv.Key, "%016x", &id); err == nil && msgpack.Unmarshal(kv.Value, &mb) == nil {
			found[id] = mb
		}
	}
	return found
}

// RemovedIDs lists the ids that were removed.
func RemovedIDs(m *machine.Machine) (ids []uint64) {
	for _, kv := range m.List(RemovedNS, "", 0) {
		var id uint64
		if _, err := fmt.Sscanf(kv.Key, "%016x", &id); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// PlanJoin is the change by which an instance joins as a learner. One of the same name that is a member yet has lost
// its directory: its old id goes in the same change, and never votes again.
func PlanJoin(m *machine.Machine, id uint64, mb Member, token string) (*raftpb.ConfChangeV2, *machine.Command, error) {
	op, err := MemberOp(id, mb)
	if err != nil {
		return nil, nil, err
	}
	cmd := &machine.Command{Kind: machine.TxnKind, Then: []machine.Op{op}}
	change := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, id)}}
	members := Members(m)
	for _, old := range slices.Sorted(maps.Keys(members)) {
		if was := members[old]; was.Name == mb.Name && old != id {
			change.Changes = append(change.Changes, confChange(raftpb.ConfChangeRemoveNode, old))
			cmd.Then = append(cmd.Then, removalOps(old, was.Name)...)
		}
	}
	if token != "" {
		cmd.Then = append(cmd.Then, machine.Op{Kind: machine.Delete, NS: TokensNS, Key: token})
	}
	return change, cmd, nil
}

// PlanRemoval is the change by which an instance is removed for good.
func PlanRemoval(m *machine.Machine, id uint64) (*raftpb.ConfChangeV2, *machine.Command) {
	return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeRemoveNode, id)}},
		&machine.Command{Kind: machine.TxnKind, Then: removalOps(id, Members(m)[id].Name)}
}

func removalOps(id uint64, name string) []machine.Op {
	return []machine.Op{{Kind: machine.Delete, NS: MembersNS, Key: MemberKey(id)},
		{Kind: machine.Put, NS: RemovedNS, Key: MemberKey(id), Value: []byte(name)}}
}

func confChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)}
}

// leaderDuties is what a leader does of itself: it keeps the logical clock, makes voters of learners that have caught up,
// and raises the form of commands once all members understand it.
func (c *Core) leaderDuties() {
	if !c.IsLeader() || c.halted != nil || c.transferringTo != 0 {
		return
	}
	if c.machine.Leases() == 0 {
		c.clockTick = c.now
	} else if c.now-c.clockTick >= clockInterval {
		// A new leader starts at none: leases last longer through a change of leader, never shorter.
		c.Propose(0, &machine.Command{Kind: machine.ClockKind, Amount: min(c.now-c.clockTick, clockMaxStep) * c.conf.TickMS})
		c.clockTick = c.now
	}
	if c.now%dutyInterval != 0 {
		return
	}
	least, voters := c.conf.Format, Members(c.machine)
	for _, mb := range voters {
		least = min(least, mb.Format)
	}
	if least > c.machine.Level() {
		c.Propose(0, &machine.Command{Kind: machine.RaiseKind, Amount: int64(least)})
	}
	commit := c.raftNode.BasicStatus().HardState.GetCommit()
	ready := uint64(0)
	c.raftNode.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
		if typ != raft.ProgressTypeLearner || !c.recentlyHeard(id) || pr.Match+caughtUpEntries < commit {
			c.caughtUpChecks[id] = 0
			return
		}
		if c.caughtUpChecks[id]++; c.caughtUpChecks[id] >= caughtUpChecksNeeded && ready == 0 {
			ready = id
		}
	})
	if ready != 0 && len(c.confState.GetVotersOutgoing()) == 0 {
		c.caughtUpChecks[ready] = 0
		c.ProposeMembershipChange(0, &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, ready)}},
			&machine.Command{Kind: machine.TxnKind})
	}
}

// recentlyHeard tells whether an instance was heard of late. Raft's own word on that is taken back at each check of the
// quorum, and says nothing just then.
func (c *Core) recentlyHeard(id uint64) bool {
	at, heard := c.lastHeard[id]
	return heard && c.now-at <= int64(c.conf.ElectionTicks)
}

// Peer is what a leader knows of another instance.
type Peer struct {
	ID      uint64 `json:"id"`
	Match   uint64 `json:"match"`
	State   string `json:"state"`
	Active  bool   `json:"active"`
	Learner bool   `json:"learner"`
}

// Status is an instance's account of itself.
type Status struct {
	ID             uint64   `json:"id"`
	Leader         uint64   `json:"leader"`
	Term           uint64   `json:"term"`
	Role           string   `json:"role"`
	Commit         uint64   `json:"commit"`
	Applied        uint64   `json:"applied"`
	SnapshotIndex  uint64   `json:"snapshot"`
	Revision       int64    `json:"revision"`
	Keys           int      `json:"keys"`
	Chain          uint64   `json:"chain"`
	Voters         []uint64 `json:"voters"`
	Learners       []uint64 `json:"learners,omitempty"`
	StalenessTicks int64    `json:"age_ticks"` // -1: not known
	Pending        int      `json:"pending"`
	Transfers      int      `json:"transfers"`
	Halted         string   `json:"halted,omitempty"`
	Peers          []Peer   `json:"peers,omitempty"`
}

// Status returns the instance's account of itself.
func (c *Core) Status() Status {
	b := c.raftNode.BasicStatus()
	s := Status{ID: c.conf.ID, Leader: c.leader, Term: b.HardState.GetTerm(), Role: b.RaftState.String(), Commit: b.HardState.GetCommit(),
		Applied: c.applied, SnapshotIndex: c.snapshotIndex, Revision: c.machine.Revision(), Keys: c.machine.Keys(), Chain: c.machine.Chain(),
		Voters: slices.Clone(c.confState.GetVoters()), Learners: slices.Clone(c.confState.GetLearners()),
		StalenessTicks: -1, Pending: len(c.pending), Transfers: len(c.outgoing)}
	if age, known := c.Staleness(); known {
		s.StalenessTicks = age
	}
	if c.halted != nil {
		s.Halted = c.halted.Error()
	}
	if c.IsLeader() {
		c.raftNode.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
			s.Peers = append(s.Peers, Peer{id, pr.Match, pr.State.String(), c.recentlyHeard(id) || id == c.conf.ID, typ == raft.ProgressTypeLearner})
		})
		slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}
