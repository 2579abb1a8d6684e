package core

import (
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// cluster is cores that talk to each other at once, and save nothing.
type cluster struct {
	t       *testing.T
	cores   map[uint64]*Core
	order   []uint64
	answers map[uint64]map[uint64]Answer // by core and token
}

func newCluster(t *testing.T, formats ...uint8) *cluster {
	t.Helper()
	n := &cluster{t: t, cores: map[uint64]*Core{}, answers: map[uint64]map[uint64]Answer{}}
	var voters []uint64
	var records []machine.Op
	for i, f := range formats {
		id := uint64(i + 1)
		voters, n.order = append(voters, id), append(n.order, id)
		op, err := MemberOp(id, Member{Name: string(rune('a' + i)), Format: f})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, op)
	}
	first, err := InitialSnapshot(voters, records)
	if err != nil {
		t.Fatal(err)
	}
	for i, f := range formats {
		c, err := New(Config{ID: uint64(i + 1), Nonce: uint64(i+1) << 40, Format: f, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}},
			InitialState{Snapshot: first, SnapshotName: "first", Log: &disk.Loaded{Hard: &raftpb.HardState{}}})
		if err != nil {
			t.Fatal(err)
		}
		n.cores[uint64(i+1)], n.answers[uint64(i+1)] = c, map[uint64]Answer{}
	}
	return n
}

// runUntilIdle does all work until there is none.
func (n *cluster) runUntilIdle() {
	n.t.Helper()
	for more := true; more; {
		more = false
		for _, id := range n.order {
			for w := n.cores[id].Next(); w != nil; w = n.cores[id].Next() {
				more = true
				if err := n.cores[id].Done(w); err != nil {
					n.t.Fatal(err)
				}
				for _, e := range append(w.SendBeforeSave, w.SendAfterSave...) {
					if c := n.cores[e.To]; c != nil {
						c.Step(e)
					}
				}
			}
			for _, a := range n.cores[id].Answers() {
				n.answers[id][a.Token] = a
			}
		}
	}
}

// elect has a core elected.
func (n *cluster) elect(id uint64) *Core {
	n.t.Helper()
	if err := n.cores[id].raftNode.Campaign(); err != nil {
		n.t.Fatal(err)
	}
	n.runUntilIdle()
	if !n.cores[id].IsLeader() {
		n.t.Fatalf("%d does not lead", id)
	}
	return n.cores[id]
}

// The first command of a newer form comes only when all members understand it; an instance that meets one all the same
// stops applying, says so, and leaves the others their quorum.
func TestUpgradeSideBySide(t *testing.T) {
	n := newCluster(t, 1, machine.Format+1, machine.Format+1)
	c := n.elect(2)
	for range 3 * dutyInterval {
		c.Tick()
		n.runUntilIdle()
	}
	if c.Machine().Level() != 1 {
		t.Fatal("the form was raised past what a member understands")
	}
	c.Propose(1, &machine.Command{V: machine.Format + 1, Kind: machine.TxnKind})
	n.runUntilIdle()
	if a := n.answers[2][1]; a.Err != nil {
		t.Fatalf("a newer build: %+v", a)
	}
	old := n.cores[1]
	if s := old.Status(); s.Halted == "" || s.Applied >= c.Status().Applied {
		t.Errorf("an old build that met a newer record: %+v", s)
	}
	old.Propose(2, &machine.Command{Kind: machine.TxnKind})
	old.Read(3)
	n.runUntilIdle()
	for _, token := range []uint64{2, 3} {
		if a := n.answers[1][token]; !errors.Is(a.Err, ErrHalted) {
			t.Errorf("%+v", a)
		}
	}
	c.Propose(4, &machine.Command{Kind: machine.OpenKind})
	n.runUntilIdle()
	if a := n.answers[2][4]; a.Err != nil {
		t.Errorf("the others do not go on: %+v", a)
	}
}

func TestProposalIsForwardedAndReadWaitsForItsIndex(t *testing.T) {
	n := newCluster(t, 1, 1, 1)
	n.elect(1)
	n.cores[3].Propose(1, &machine.Command{Kind: machine.TxnKind, Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: "k"}}})
	n.runUntilIdle()
	n.cores[2].Read(2)
	n.runUntilIdle()
	if a := n.answers[3][1]; a.Err != nil || a.Result.Revision != 2 {
		t.Errorf("at a follower: %+v", a)
	}
	if a := n.answers[2][2]; a.Err != nil || a.Result.Revision != 2 {
		t.Errorf("the read: %+v", a)
	}
	if age, known := n.cores[2].Staleness(); !known || age != 0 {
		t.Errorf("age %d, known %t", age, known)
	}
}

// Without a quorum a proposal is answered when its patience is over, and the age of the state grows.
func TestAloneNothingIsAgreed(t *testing.T) {
	n := newCluster(t, 1, 1, 1)
	c := n.elect(1)
	delete(n.cores, 2)
	delete(n.cores, 3)
	n.order = []uint64{1}
	c.Propose(1, &machine.Command{Kind: machine.OpenKind})
	for range c.conf.TimeoutTicks + 1 {
		c.Tick()
		n.runUntilIdle()
	}
	if a := n.answers[1][1]; !errors.Is(a.Err, ErrOutcomeUnknown) {
		t.Errorf("%+v", a)
	}
	c.Propose(2, &machine.Command{Kind: machine.OpenKind})
	n.runUntilIdle()
	if a := n.answers[1][2]; !errors.Is(a.Err, ErrNoLeader) {
		t.Errorf("it still takes itself for the leader: %+v", a)
	}
	if age, _ := c.Staleness(); age < int64(c.conf.TimeoutTicks) {
		t.Errorf("age %d", age)
	}
}

// A snapshot goes in pieces within its rate, and comes whole although pieces and words of their coming are lost.
func TestSnapshotKeepsItsRateAndBearsLoss(t *testing.T) {
	n := newCluster(t, 1, 1, 1)
	c, behind := n.elect(1), n.cores[3]
	delete(n.cores, 3)
	n.order = []uint64{1, 2}
	for i := range 300 {
		c.Propose(uint64(i), &machine.Command{Kind: machine.TxnKind, Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: string(rune('a' + i%20)), Value: make([]byte, 2000)}}})
		n.runUntilIdle()
	}
	c.conf.RetainedEntries, c.conf.SnapshotBytesPerTick, c.conf.ChunkSize = 10, 8<<10, 1<<10
	s := c.DueSnapshot(true)
	encoded, err := EncodeSnapshot(s)
	if err != nil || c.SnapshotSaved(s, nil) == 0 {
		t.Fatalf("the log is not released: %v", err)
	}
	n.cores[3], n.order = behind, []uint64{1, 2, 3}
	rng := rand.New(rand.NewPCG(2, 2))
	for tick := 0; behind.Machine().Index() < s.Meta.GetIndex(); tick++ {
		if tick > 500 {
			t.Fatalf("it does not come: %+v", c.Status())
		}
		sent := 0
		c.Tick()
		behind.Tick()
		for more := true; more; {
			more = false
			for _, id := range n.order {
				if n.cores[id].NeedsSnapshotData() {
					n.cores[id].ProvideSnapshotData(encoded, nil)
				}
				for w := n.cores[id].Next(); w != nil; w = n.cores[id].Next() {
					more = true
					if err := n.cores[id].Done(w); err != nil {
						t.Fatal(err)
					}
					for _, e := range append(w.SendBeforeSave, w.SendAfterSave...) {
						if e.Chunk != nil {
							sent += len(e.Chunk.Data)
						}
						if (e.Chunk != nil || e.Ack != nil) && rng.IntN(7) == 0 { // lost
							continue
						}
						n.cores[e.To].Step(e)
					}
				}
			}
		}
		if sent > c.conf.SnapshotBytesPerTick+c.conf.ChunkSize {
			t.Fatalf("%d bytes in a tick; %d are allowed", sent, c.conf.SnapshotBytesPerTick)
		}
	}
	if behind.Machine().Keys() != c.Machine().Keys() {
		t.Errorf("%d keys, %d at the leader", behind.Machine().Keys(), c.Machine().Keys())
	}
}
