package zonefailover

import "testing"

// A zone keeps the share in use for which the others lack the capacity. Of two zones that fail at the same time, one is
// evacuated.
func TestEvacuationIsLimitedByTheOtherZonesCapacity(t *testing.T) {
	sim := newSimulation(t, 30, nil)
	sim.run(6 * second) // the baseline: 20 hundredths
	sim.view = func(_ *gateway, z int) ZoneView {
		v := ZoneView{Health: Healthy, LatencyShare: 50, RequestRate: 100}
		if z == 0 && sim.now > beginning+10*second {
			v.Health = Unhealthy
		}
		return v
	}
	sim.run(12 * second)
	if s := sim.shares(); s[0] == 0 || s[0] != s[len(s)-1] || s[0] == FullShare {
		t.Errorf("shares from %d to %d", s[0], s[len(s)-1])
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
			t.Fatalf("%s uses %d and %d of two zones that fail", gw.name, a, b)
		}
	}
}
