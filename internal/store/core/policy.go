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
	policyEvery = 5   // ticks between looks at the members
	caughtUp    = 256 // a learner this near to the leader's end
	caughtLooks = 2   // at so many looks in a row becomes a voter
	clockEvery  = 2   // ticks between steps of the logical clock while leases run
	clockMost   = 50  // ticks that one step may make up for at the most
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

// Admit is the change by which an instance joins as a learner. One of the same name that is a member yet has lost
// its directory: its old id goes in the same change, and never votes again.
func Admit(m *machine.Machine, id uint64, mb Member, token string) (*raftpb.ConfChangeV2, *machine.Command, error) {
	op, err := MemberOp(id, mb)
	if err != nil {
		return nil, nil, err
	}
	cmd := &machine.Command{Kind: machine.TxnKind, Then: []machine.Op{op}}
	change := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddLearnerNode, id)}}
	members := Members(m)
	for _, old := range slices.Sorted(maps.Keys(members)) {
		if was := members[old]; was.Name == mb.Name && old != id {
			change.Changes = append(change.Changes, single(raftpb.ConfChangeRemoveNode, old))
			cmd.Then = append(cmd.Then, removal(old, was.Name)...)
		}
	}
	if token != "" {
		cmd.Then = append(cmd.Then, machine.Op{Kind: machine.Delete, NS: TokensNS, Key: token})
	}
	return change, cmd, nil
}

// Dismiss is the change by which an instance is removed for good.
func Dismiss(m *machine.Machine, id uint64) (*raftpb.ConfChangeV2, *machine.Command) {
	return &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeRemoveNode, id)}},
		&machine.Command{Kind: machine.TxnKind, Then: removal(id, Members(m)[id].Name)}
}

func removal(id uint64, name string) []machine.Op {
	return []machine.Op{{Kind: machine.Delete, NS: MembersNS, Key: MemberKey(id)},
		{Kind: machine.Put, NS: RemovedNS, Key: MemberKey(id), Value: []byte(name)}}
}

func single(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)}
}

// policy is what a leader does of itself: it keeps the logical clock, makes voters of learners that have caught up,
// and raises the form of commands once all members understand it.
func (c *Core) policy() {
	if !c.Leads() || c.halted != nil || c.transferringTo != 0 {
		return
	}
	if c.m.Leases() == 0 {
		c.clockAt = c.now
	} else if c.now-c.clockAt >= clockEvery {
		// A new leader starts at none: leases last longer through a change of leader, never shorter.
		c.Propose(0, &machine.Command{Kind: machine.ClockKind, Amount: min(c.now-c.clockAt, clockMost) * c.conf.TickMS})
		c.clockAt = c.now
	}
	if c.now%policyEvery != 0 {
		return
	}
	least, voters := c.conf.Format, Members(c.m)
	for _, mb := range voters {
		least = min(least, mb.Format)
	}
	if least > c.m.Level() {
		c.Propose(0, &machine.Command{Kind: machine.RaiseKind, Amount: int64(least)})
	}
	commit := c.raw.BasicStatus().HardState.GetCommit()
	ready := uint64(0)
	c.raw.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
		if typ != raft.ProgressTypeLearner || !c.active(id) || pr.Match+caughtUp < commit {
			c.caught[id] = 0
			return
		}
		if c.caught[id]++; c.caught[id] >= caughtLooks && ready == 0 {
			ready = id
		}
	})
	if ready != 0 && len(c.members.GetVotersOutgoing()) == 0 {
		c.caught[ready] = 0
		c.Change(0, &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddNode, ready)}},
			&machine.Command{Kind: machine.TxnKind})
	}
}

// active tells whether an instance was heard of late. Raft's own word on that is taken back at each check of the
// quorum, and says nothing just then.
func (c *Core) active(id uint64) bool {
	at, heard := c.heard[id]
	return heard && c.now-at <= int64(c.conf.Election)
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
	ID        uint64   `json:"id"`
	Leader    uint64   `json:"leader"`
	Term      uint64   `json:"term"`
	Role      string   `json:"role"`
	Commit    uint64   `json:"commit"`
	Applied   uint64   `json:"applied"`
	Saved     uint64   `json:"snapshot"`
	Revision  int64    `json:"revision"`
	Keys      int      `json:"keys"`
	Chain     uint64   `json:"chain"`
	Voters    []uint64 `json:"voters"`
	Learners  []uint64 `json:"learners,omitempty"`
	AgeTicks  int64    `json:"age_ticks"` // -1: not known
	Pending   int      `json:"pending"`
	Transfers int      `json:"transfers"`
	Halted    string   `json:"halted,omitempty"`
	Peers     []Peer   `json:"peers,omitempty"`
}

// Status returns the instance's account of itself.
func (c *Core) Status() Status {
	b := c.raw.BasicStatus()
	s := Status{ID: c.conf.ID, Leader: c.lead, Term: b.HardState.GetTerm(), Role: b.RaftState.String(), Commit: b.HardState.GetCommit(),
		Applied: c.applied, Saved: c.saved, Revision: c.m.Revision(), Keys: c.m.Keys(), Chain: c.m.Chain(),
		Voters: slices.Clone(c.members.GetVoters()), Learners: slices.Clone(c.members.GetLearners()),
		AgeTicks: -1, Pending: len(c.pending), Transfers: len(c.out)}
	if age, known := c.Age(); known {
		s.AgeTicks = age
	}
	if c.halted != nil {
		s.Halted = c.halted.Error()
	}
	if c.Leads() {
		c.raw.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
			s.Peers = append(s.Peers, Peer{id, pr.Match, pr.State.String(), c.active(id) || id == c.conf.ID, typ == raft.ProgressTypeLearner})
		})
		slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}
