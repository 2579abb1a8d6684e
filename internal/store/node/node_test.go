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

func TestRestartedInstanceHasAllCommittedWrites(t *testing.T) {
	cl := startCluster(t, 3)
	c := cl.client("operator")
	for i := range 20 {
		cl.put(c, strconv.Itoa(i), "v")
	}
	leader := cl.leader()
	cl.must(cl.nodes[leader].Close()) // a planned stop transfers leadership first
	cl.put(c, "after", "v")
	cl.openNode(leader)
	for i := range cl.nodes {
		kv, found, _, err := cl.client("operator", i).Get(cl.ctx, "n", "after", false)
		if err != nil || !found || string(kv.Value) != "v" {
			t.Errorf("key at n%d: %v, found %t, error %v", i, kv, found, err)
		}
	}
}

// An instance without a quorum continues to answer stale reads, with an increasing staleness, and refuses writes and
// linearizable reads.
func TestStaleReadsContinueWithoutQuorumAndReportStaleness(t *testing.T) {
	cl := startCluster(t, 3)
	c := cl.client("operator")
	cl.put(c, "k", "v")
	// The staleness is unknown until the first read index was confirmed.
	cl.waitUntil("n0 has the key, and its staleness is known", func() bool {
		found := false
		age, err := cl.nodes[0].Read(cl.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		return err == nil && found && age >= 0
	})
	for _, i := range []int{1, 2} {
		cl.nodes[i].kill()
	}
	cl.waitUntil("its staleness has increased", func() bool {
		found := false
		age, err := cl.nodes[0].Read(cl.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		if err != nil || !found {
			t.Fatalf("a stale read without a quorum: found %t, error %v", found, err)
		}
		return age > 500*time.Millisecond
	})
	if _, err := cl.nodes[0].Propose(cl.ctx, &machine.Command{Kind: machine.OpenSessionKind}); !errors.Is(err, core.ErrNoLeader) && !errors.Is(err, core.ErrOutcomeUnknown) {
		t.Errorf("a write without a quorum: %v, want ErrNoLeader or ErrOutcomeUnknown", err)
	}
	if _, err := cl.nodes[0].Read(cl.ctx, false, func(*machine.Machine) {}); !errors.Is(err, core.ErrNoLeader) {
		t.Errorf("a linearizable read without a quorum: %v, want ErrNoLeader", err)
	}
}

func TestRetryAtAnotherInstanceIsAppliedOnce(t *testing.T) {
	cl := startCluster(t, 3)
	cl.leader()
	// A proposal is lost, and its outcome unknown, if its instance is just reconnecting to the leader.
	propose := func(i int, command machine.Command) (machine.Result, error) {
		for {
			attempt := command
			result, err := cl.nodes[i].Propose(cl.ctx, &attempt)
			if !errors.Is(err, core.ErrNoLeader) && !errors.Is(err, core.ErrOutcomeUnknown) || cl.ctx.Err() != nil {
				return result, err
			}
		}
	}
	session, err := propose(0, machine.Command{Kind: machine.OpenSessionKind})
	cl.must(err)
	for i := range cl.nodes {
		again, err := propose(i, machine.Command{Kind: machine.TransactionKind, Session: session.ID, Seq: 1,
			Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: "k"}}})
		if err != nil || again.Code != machine.OK {
			t.Errorf("retry at n%d: result %+v, error %v", i, again, err)
		}
	}
	if kv, _, _, err := cl.client("operator").Get(cl.ctx, "n", "k", false); err != nil || kv.Version != 1 {
		t.Errorf("version %d, %v, want version 1", kv.Version, err)
	}
}

// A follower that restarts after the log entries that it needs were compacted receives a snapshot.
func TestFollowerBehindCompactedLogReceivesSnapshot(t *testing.T) {
	cl := startCluster(t, 3, func(c *Config) { c.SnapshotEntries = 100; c.SnapshotRate = 1 << 30 })
	c := cl.client("operator")
	cl.put(c, "first", "v")
	follower := (cl.leader() + 1) % 3
	cl.must(cl.nodes[follower].Close())
	for i := range 600 {
		cl.put(c, fmt.Sprint("k", i%50), strings.Repeat("x", 1000))
	}
	cl.openNode(follower)
	cl.waitUntil("the follower has caught up", func() bool {
		var kv machine.KV
		var found bool
		_, err := cl.nodes[follower].Read(cl.ctx, true, func(m *machine.Machine) { kv, found = m.Get("n", "k49") })
		return err == nil && found && kv.Version == 12
	})
}
