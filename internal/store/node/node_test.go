package node

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

func TestStoppedInstanceComesBackWithAllWrites(t *testing.T) {
	cl := startCluster(t, 3)
	c := cl.client("operator")
	for i := range 20 {
		cl.put(c, strconv.Itoa(i), "v")
	}
	l := cl.leader()
	cl.must(cl.nodes[l].Close()) // a planned stop hands over first
	cl.put(c, "after", "v")
	cl.openNode(l)
	for i := range cl.nodes {
		kv, found, _, err := cl.client("operator", i).Get(cl.ctx, "n", "after", false)
		if err != nil || !found || string(kv.Value) != "v" {
			t.Errorf("n%d: %v, %t, %v", i, kv, found, err)
		}
	}
}

// Without the others an instance goes on telling what it has, with its age, and agrees to nothing by itself.
func TestWithoutQuorumStaleReadsGoOnAndAge(t *testing.T) {
	cl := startCluster(t, 3)
	c := cl.client("operator")
	cl.put(c, "k", "v")
	// Cut off before its first question was answered it would never know an age, and say so.
	cl.waitUntil("n0 has it, and knows its age", func() bool {
		found := false
		age, err := cl.nodes[0].Read(cl.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		return err == nil && found && age >= 0
	})
	for _, i := range []int{1, 2} {
		cl.nodes[i].kill()
	}
	ages := []time.Duration{}
	cl.waitUntil("its state is known to be old", func() bool {
		found := false
		age, err := cl.nodes[0].Read(cl.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		if err != nil || !found {
			t.Fatalf("found %t, %v", found, err)
		}
		ages = append(ages, age)
		return age > 500*time.Millisecond
	})
	if _, err := cl.nodes[0].Propose(cl.ctx, &machine.Command{Kind: machine.OpenSessionKind}); !errors.Is(err, core.ErrNoLeader) && !errors.Is(err, core.ErrOutcomeUnknown) {
		t.Errorf("a write without a quorum: %v", err)
	}
	if _, err := cl.nodes[0].Read(cl.ctx, false, func(*machine.Machine) {}); !errors.Is(err, core.ErrNoLeader) {
		t.Errorf("the latest without a quorum: %v", err)
	}
}

func TestRetryAtAnotherInstanceIsAppliedOnce(t *testing.T) {
	cl := startCluster(t, 3)
	cl.leader()
	res, err := cl.nodes[0].Propose(cl.ctx, &machine.Command{Kind: machine.OpenSessionKind})
	for errors.Is(err, core.ErrNoLeader) {
		res, err = cl.nodes[0].Propose(cl.ctx, &machine.Command{Kind: machine.OpenSessionKind})
	}
	cl.must(err)
	for i := range cl.nodes {
		again, err := cl.nodes[i].Propose(cl.ctx, &machine.Command{Kind: machine.TransactionKind, Session: res.ID, Seq: 1,
			Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: "k"}}})
		if errors.Is(err, core.ErrNoLeader) {
			continue
		}
		if err != nil || again.Code != machine.OK {
			t.Errorf("n%d: %+v, %v", i, again, err)
		}
	}
	if kv, _, _, err := cl.client("operator").Get(cl.ctx, "n", "k", false); err != nil || kv.Version != 1 {
		t.Errorf("version %d, %v", kv.Version, err)
	}
}

// A follower that comes back after the log it needs was compacted is sent a snapshot.
func TestFollowerBehindTheLogGetsASnapshot(t *testing.T) {
	cl := startCluster(t, 3, func(c *Config) { c.SnapshotEntries = 100; c.SnapshotRate = 1 << 30 })
	c := cl.client("operator")
	cl.put(c, "first", "v")
	gone := (cl.leader() + 1) % 3
	cl.must(cl.nodes[gone].Close())
	for i := range 600 {
		cl.put(c, fmt.Sprint("k", i%50), strings.Repeat("x", 1000))
	}
	cl.openNode(gone)
	cl.waitUntil("it has caught up", func() bool {
		var kv machine.KV
		var found bool
		_, err := cl.nodes[gone].Read(cl.ctx, true, func(m *machine.Machine) { kv, found = m.Get("n", "k49") })
		return err == nil && found && kv.Version == 12
	})
}
