package zonefailover

import "testing"

// A zone is evacuated only as far as the other zones have capacity for its load; the rest of its share stays in use. Of
// two zones that fail at the same time, only one is evacuated.
func TestEvacuationIsLimitedByTheOtherZonesCapacity(t *testing.T) {
	sim := newSimulation(t, 30, nil)
	sim.run(6 * second) // records the baseline: 20 hundredths
	sim.view = func(_ *gateway, z int) ZoneView {
		v := ZoneView{Health: Healthy, LatencyShare: 50, RequestRate: 100}
		if z == 0 && sim.now > beginning+10*second {
			v.Health = Unhealthy
		}
		return v
	}
	sim.run(12 * second)
	if s := sim.shares(); s[0] == 0 || s[0] != s[len(s)-1] || s[0] == FullShare {
		t.Errorf("shares of the failing zone range from %d to %d, want the same share above 0 and below 100 at all gateways", s[0], s[len(s)-1])
	}
	sim = newSimulation(t, 30, nil)
	sim.view = func(_ *gateway, z int) ZoneView {
		v := healthyView()
		if z < 2 {
			v.Health = Unhealthy
		}
		return v
	}
	sim.run(8 * second)
	for _, gw := range sim.gateways {
		a, b := gw.zones.Share(sim.now, 0), gw.zones.Share(sim.now, 1)
		if (a == 0) == (b == 0) {
			t.Fatalf("%s uses shares of %d and %d of two failing zones, want exactly one of them evacuated", gw.name, a, b)
		}
	}
}
