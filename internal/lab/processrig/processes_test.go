package processrig

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Four real processes, of which one is stopped for a while, one can't hear or can't be heard, all hear of new hosts at
// different times, or all are restarted in turn while clients send: nothing is lost, and no host is idle. A host that
// nobody knows of is found to be, and so is what a gateway loses that gets no time to end.
func TestFourProcesses(t *testing.T) {
	dir := build(t, "cloverrock/cmd/cloverrock")
	for _, c := range []struct {
		plan, spoilt string
	}{{"stall", ""}, {"cut", ""}, {"join", ""}, {"restart", ""}, {"none", "subset-fixed"}, {"restart", "abrupt"}} {
		t.Run(c.plan+c.spoilt, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			res, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 4, Hosts: 10, Members: 5, For: 2 * settlingTime, Seed: 1,
				Plan: c.plan, Break: c.spoilt, Use: 0.4, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			hurt := res.Lost > 0 || res.EndedByThemselves > 0 || res.Killed > 0 || res.ClosedNewConnections*200 > res.Requests
			idle := c.spoilt != "abrupt" && res.Spread.IdleSeconds > 0
			if hurt != (c.spoilt == "abrupt") || idle != (c.spoilt == "subset-fixed") || res.Requests < 300 ||
				c.plan == "cut" && res.PeerLost == 0 {
				t.Errorf("%+v", res)
			}
		})
	}
}

// build puts programs into a directory of the test's.
func build(t *testing.T, programs ...string) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", append([]string{"build", "-o", dir + "/"}, programs...)...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// Six real processes before a zone that falls silent: all leave it at one moment and return by the same steps, also while
// the gateways of the zone are cut off with it. Cut in two halves none leaves it; without a quorum one does, and that is found.
func TestSixProcessesLeaveAZone(t *testing.T) {
	dir := build(t, "cloverrock/cmd/cloverrock", "cloverrock/cmd/cloverrockd")
	for _, c := range []struct {
		plan, without string
		found         bool
	}{{"lost", "", false}, {"cutoff", "", false}, {"split", "", false}, {"split", "quorum", true}} {
		t.Run(c.plan+c.without, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			res, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 6, Hosts: 18, Members: 6, For: 30 * time.Second, Seed: 1,
				Plan: c.plan, Use: 0.15, Zoned: &Zoned{Zones: 3, StepMS: 1000, Break: c.without}, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			faults := slices.DeleteFunc(res.ZoneFaults(false), func(f string) bool { return f == FaultFarApart })
			if (len(faults) > 0) != c.found {
				t.Errorf("found %v: %+v", faults, res.Zone)
			}
		})
	}
}
