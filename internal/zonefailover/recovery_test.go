package zonefailover

import (
	"slices"
	"testing"

	"cloverrock/internal/agreement"
)

// A failing zone is evacuated by all gateways at nearly the same time. It recovers in steps that also take effect at the
// same time at all gateways, at a pace that hosts with cold caches can serve. The same holds if a fifth of the messages
// is lost.
func TestZoneIsEvacuatedAtOnceAndRecoversInSteps(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		sim := newSimulation(t, 60, nil)
		sim.loss = loss
		sim.run(5 * second)
		sim.requireShare("before", FullShare)
		sim.failZoneFor(allGateways)
		sim.run(9 * second)
		sim.requireShare("while it fails", 0)
		if first, p99, last := sim.appliedAt(1); p99-first > 500*ms || first-beginning > 9*second {
			t.Errorf("loss %.1f: evacuated from %d to %d ms after the start, 99 percent of gateways within %d ms of the first; want that within 500 ms, and the first by 9 s", loss, (first-beginning)/ms, (last-beginning)/ms, (p99-first)/ms)
		}
		sim.failZoneFor(noGateway)
		recoveryBegan := sim.now
		var steps []byte
		sim.afterTick = func() {
			if s := sim.shares(); s[0] == s[len(s)-1] && (len(steps) == 0 || steps[len(steps)-1] != s[0]) {
				steps = append(steps, s[0])
			}
		}
		sim.run(40 * second)
		sim.requireShare("after the recovery", FullShare)
		if want := []byte{0, 2, 5, 10, 20, 40, 70, 100}; !slices.Equal(steps, want) {
			t.Errorf("loss %.1f: steps %v, want %v", loss, steps, want)
		}
		if took := sim.now - recoveryBegan; took < 6*2*second {
			t.Errorf("recovered within %d ms, want at least six steps of 2 s", took/ms)
		}
	}
}

// appliedAt returns when the first gateway, 99 percent of the gateways, and the last gateway applied the decision of an
// epoch, in microseconds.
func (sim *simulation) appliedAt(epoch uint64) (first, p99, last int64) {
	var at []int64
	for _, gw := range sim.gateways {
		if gw.firstAppliedAt[epoch] == 0 {
			sim.t.Fatalf("%s never applied the decision of epoch %d", gw.name, epoch)
		}
		at = append(at, gw.firstAppliedAt[epoch])
	}
	slices.Sort(at)
	return at[0], at[len(at)*99/100-1], at[len(at)-1]
}

// A zone that fails again at a share of 40 hundredths is evacuated again, and stays evacuated for twice as long.
func TestFailureDuringRecoveryDoublesTheNextEvacuation(t *testing.T) {
	sim := newSimulation(t, 30, nil)
	sim.failZoneFor(allGateways)
	sim.run(5 * second)
	sim.requireShare("evacuated", 0)
	sim.failZoneFor(noGateway)
	for n := 0; sim.shares()[0] < 40; n++ {
		sim.run(second)
		if n > 40 {
			t.Fatal("the zone did not return to a share of 40 within 40 s")
		}
	}
	sim.run(second)
	sim.failZoneFor(allGateways)
	sim.run(3 * second)
	sim.requireShare("evacuated again", 0)
	sim.failZoneFor(noGateway)
	sim.run(6 * second)
	sim.requireShare("before the doubled evacuation time has passed", 0)
	sim.run(40 * second)
	sim.requireShare("after the recovery", FullShare)
}

// Gateways that have seen only health checks of a zone know nothing of its response time. They counted as if it were 0,
// so that a zone that was too slow for its load got more of it.
func TestReturnWaitsWhileTheGatewaysThatMeasureAZoneFindItSlow(t *testing.T) {
	const otherZone = 1
	vote := func(latencyShare byte) agreement.Vote {
		return agreement.Vote{Body: encodeVote(otherZone, []ZoneView{{Health: Healthy, LatencyShare: latencyShare}})}
	}
	state := &State{conf: testConfig()}
	for _, c := range []struct {
		name       string
		votes      []agreement.Vote
		mayRecover bool
	}{
		{"slow for one, not measured by others", []agreement.Vote{vote(90), vote(0), vote(0), vote(0)}, false},
		{"fast for one, not measured by others", []agreement.Vote{vote(20), vote(0), vote(0), vote(0)}, true},
		{"slow for one, fast for others", []agreement.Vote{vote(90), vote(20), vote(20), vote(20)}, true},
		{"not measured", []agreement.Vote{vote(0), vote(0)}, true},
	} {
		count := countVotes(c.votes, 0)
		if got := state.mayRecover(state.conf.StepDuration, &zone{share: FullShare / 2}, &count); got != c.mayRecover {
			t.Errorf("%s: the next step is due: %v, want %v", c.name, got, c.mayRecover)
		}
	}
}
