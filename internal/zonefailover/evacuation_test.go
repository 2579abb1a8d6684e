package zonefailover

import (
	"testing"

	"cloverrock/internal/agreement"
)

// No zone is evacuated if half of the gateways find it unhealthy, or only one does. The same holds if the gateways
// inside a zone are partitioned from the others and find the other zones unhealthy, and if the fleet is partitioned so
// that no part has a majority.
func TestZoneStaysInUseWithoutQuorumOfOutsideGateways(t *testing.T) {
	for name, injectFault := range map[string]func(sim *simulation){
		"half find it unhealthy": func(sim *simulation) { sim.failZoneFor(func(i int) bool { return i%2 == 0 }) },
		"one finds it unhealthy": func(sim *simulation) { sim.failZoneFor(func(i int) bool { return i == 1 }) },
		"those inside find the others unhealthy": func(sim *simulation) {
			sim.view = func(gw *gateway, z int) ZoneView {
				v := healthyView()
				if gw.zone == 0 && z != 0 {
					v.Health = Unhealthy
				}
				return v
			}
			for _, gw := range sim.gateways {
				gw.partition = min(gw.zone, 1)
			}
		},
		"partitioned in halves": func(sim *simulation) {
			sim.failZoneFor(allGateways)
			for i, gw := range sim.gateways {
				gw.partition = i % 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 30, nil)
			sim.run(3 * second)
			injectFault(sim)
			sim.run(12 * second)
			for z := range 3 {
				for _, gw := range sim.gateways {
					if s := gw.zones.Share(sim.now, z); s != FullShare {
						t.Fatalf("%s uses a share of %d of zone %d, want full use", gw.name, s, z)
					}
				}
			}
			if name == "partitioned in halves" { // once the partition is over, the zone is evacuated
				for _, gw := range sim.gateways {
					gw.partition = 0
				}
				sim.run(8 * second)
				sim.requireShare("healed", 0)
			}
		})
	}
}

// A third of the gateways is stopped while a zone is evacuated. When they resume, they receive the decision, apply it
// and count it as late.
func TestStoppedGatewaysFollowTheDecisionLate(t *testing.T) {
	sim := newSimulation(t, 30, nil)
	sim.run(3 * second)
	sim.failZoneFor(allGateways)
	for i, gw := range sim.gateways {
		gw.stopped = i%3 == 0
	}
	sim.run(5 * second)
	for _, gw := range sim.gateways {
		gw.stopped = false
	}
	sim.run(6 * second)
	sim.requireShare("after the stop", 0)
	late := 0
	for _, gw := range sim.gateways {
		late += gw.agreement.Lateness().Late
	}
	if late == 0 {
		t.Error("no gateway counted the decision as late")
	}
}

// Operators' overrides take precedence over decisions.
func TestOverridesPrecedeDecisions(t *testing.T) {
	sim := newSimulation(t, 12, nil)
	sim.failZoneFor(allGateways)
	sim.run(5 * second)
	gw := sim.gateways[0]
	for zone, want := range []byte{0, FullShare, FullShare} {
		if share := gw.zones.Share(sim.now, zone); share != want {
			t.Errorf("zone %d: share %d, want %d", zone, share, want)
		}
	}
	gw.zones.SetOverride(0, ForceInUse)
	gw.zones.SetOverride(2, ForceEvacuated)
	if gw.zones.Share(sim.now, 0) != FullShare || gw.zones.Share(sim.now, 2) != 0 {
		t.Error("overrides do not take precedence over decisions")
	}
	if len(gw.zones.TakeLog()) == 0 {
		t.Error("nothing was logged for operators")
	}
}

// Without the required quorum a minority evacuates a zone, and without paced recovery a zone returns to full use in one
// step. This shows that the results of the other tests depend on both.
func TestQuorumAndPacedRecoveryAreNecessary(t *testing.T) {
	sim := newSimulation(t, 30, func(_ *Config, a *agreement.Config) { a.RequireQuorum = false })
	sim.failZoneFor(allGateways)
	for i, gw := range sim.gateways {
		gw.partition = min(i%5, 1)
	}
	sim.run(8 * second)
	if s := sim.shares(); s[0] != 0 {
		t.Error("six gateways of thirty did not evacuate the zone although no quorum is required")
	}
	sim = newSimulation(t, 30, func(c *Config, _ *agreement.Config) { c.PacedRecovery = false })
	sim.failZoneFor(allGateways)
	sim.run(5 * second)
	sim.failZoneFor(noGateway)
	sim.run(7 * second)
	sim.requireShare("without paced recovery", FullShare)
}

// The time of an evacuation and the traffic for it stay within bounds as the fleet grows: run with -v for a table.
func TestEvacuationTimeAndTrafficAreBounded(t *testing.T) {
	sizes := []int{10, 50}
	if testing.Verbose() {
		sizes = append(sizes, 100, 300)
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.2} {
			sim := newSimulation(t, n, nil)
			sim.loss = loss
			sim.run(40 * second)
			for _, other := range sim.gateways {
				other.bytes = 0
			}
			sim.run(20 * second)
			idleBytes := 0
			for _, other := range sim.gateways {
				idleBytes += other.bytes
			}
			sim.failZoneFor(allGateways)
			failedAt := sim.now
			for s := sim.shares(); s[len(s)-1] > 0 && sim.now-failedAt < 30*second; s = sim.shares() {
				sim.run(tickInterval)
			}
			sim.run(tickInterval)
			first, p99, last := sim.appliedAt(1)
			total := 0
			for _, other := range sim.gateways {
				total += other.bytes
			}
			t.Logf("%d gateways, loss %.1f: first evacuated %d ms after the zone failed, 99 percent of gateways within %d ms of that, the last within %d; %d bytes per gateway and second before the failure, %d during the evacuation; %d bytes of entries in memory",
				n, loss, (first-failedAt)/ms, (p99-first)/ms, (last-first)/ms, idleBytes/n/20, int64(total-idleBytes)*second/int64(n)/(sim.now-failedAt), sim.gateways[0].state.MemoryBytes())
			if p99-first > second || idleBytes/n/20 > 20_000 {
				t.Errorf("%d gateways, loss %.1f: 99 percent of gateways evacuated within %d ms of the first, %d bytes per gateway and second before the failure; want at most 1 s and 20 000 bytes", n, loss, (p99-first)/ms, idleBytes/n/20)
			}
		}
	}
}
