package processrig

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Of four real processes one is stopped for a while, or one is cut off in one direction, or all get new hosts at different
// times, or all are restarted in turn while clients send: no request is lost and no host is idle. The checks find a host
// that is in no gateway's list, and the requests lost by restarts without a graceful shutdown.
func TestFourProcessesLoseNoRequestUnderFaults(t *testing.T) {
	dir := build(t, "cloverrock/cmd/cloverrock")
	for _, c := range []struct {
		plan, defect string
	}{{"stall", ""}, {"cut", ""}, {"join", ""}, {"restart", ""}, {"none", "subset-fixed"}, {"restart", "abrupt"}} {
		t.Run(c.plan+c.defect, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			result, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 4, Hosts: 10, Members: 5, For: 2 * settlingTime, Seed: 1,
				Plan: c.plan, Break: c.defect, Use: 0.4, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			lost := result.Lost > 0 || result.EndedByThemselves > 0 || result.Killed > 0 || result.ClosedNewConnections*200 > result.Requests
			idle := c.defect != "abrupt" && result.Spread.IdleSeconds > 0
			if lost != (c.defect == "abrupt") || idle != (c.defect == "subset-fixed") || result.Requests < 300 ||
				c.plan == "cut" && result.PeerLost == 0 {
				t.Errorf("%+v", result)
			}
		})
	}
}

// build builds programs into a directory of the test and returns its path.
func build(t *testing.T, programs ...string) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", append([]string{"build", "-o", dir + "/"}, programs...)...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// The hosts of a zone stop answering: six real processes leave the zone together and return by the same steps, also if the
// gateways of the zone are cut off with it. Cut into two halves none leaves it. Without the quorum rule some do, which the
// checks find.
func TestSixProcessesLeaveAndReturnTogether(t *testing.T) {
	dir := build(t, "cloverrock/cmd/cloverrock", "cloverrock/cmd/cloverrockd")
	for _, c := range []struct {
		plan, skippedRule string
		found             bool
	}{{"lost", "", false}, {"cutoff", "", false}, {"split", "", false}, {"split", "quorum", true}} {
		t.Run(c.plan+c.skippedRule, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			result, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 6, Hosts: 18, Members: 6, For: 30 * time.Second, Seed: 1,
				Plan: c.plan, Use: 0.15, Zoned: &Zoned{Zones: 3, StepMS: 1000, Break: c.skippedRule}, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			faults := slices.DeleteFunc(result.ZoneFaults(false), func(f string) bool { return f == FaultFarApart })
			if (len(faults) > 0) != c.found {
				t.Errorf("found %v: %+v", faults, result.Zone)
			}
		})
	}
}
