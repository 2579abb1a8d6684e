package processrig

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Guards against lost requests and idle hosts under faults. While clients send, four real gateway processes have a
// fault: one is stopped for a while, one is cut off in one direction, all get new hosts at different times, or all are
// restarted in turn. The last two cases have a deliberate defect, which the checks must detect: a host that is in no
// gateway's list, and requests lost by restarts without a graceful shutdown.
func TestFourProcessesLoseNoRequestUnderFaults(t *testing.T) {
	dir := build(t, "cloverrock/cmd/cloverrock")
	for _, c := range []struct {
		plan, defect string
	}{{"stall", ""}, {"cut", ""}, {"join", ""}, {"restart", ""}, {"none", "subset-fixed"}, {"restart", "abrupt"}} {
		t.Run(c.plan+c.defect, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			result, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 4, Hosts: 10, Members: 5, Duration: 2 * settlingTime, Seed: 1,
				Plan: c.plan, Defect: c.defect, Utilization: 0.4, Log: t.Logf})
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

// build compiles programs into a temporary directory and returns its path.
func build(t *testing.T, programs ...string) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", append([]string{"build", "-o", dir + "/"}, programs...)...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

// Guards against gateways that decide differently on a zone whose hosts stop answering. Six real processes must leave
// the zone and return to it by the same steps, also if the gateways of the zone are cut off from the others. If the
// gateways are cut into two halves, no gateway may leave the zone. Without the quorum rule some do, which the checks
// must detect.
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
			result, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 6, Hosts: 18, Members: 6, Duration: 30 * time.Second, Seed: 1,
				Plan: c.plan, Utilization: 0.15, Zoned: &Zoned{Zones: 3, StepMS: 1000, SkippedRule: c.skippedRule}, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			faults := slices.DeleteFunc(result.FailedZoneChecks(false), func(f string) bool { return f == FaultFarApart })
			if (len(faults) > 0) != c.found {
				t.Errorf("failed checks: %v; zone: %+v", faults, result.Zone)
			}
		})
	}
}
