package zonefailover

import (
	"fmt"
	"slices"
	"testing"

	"cloverrock/internal/agreement"
)

// A zone that fails is left by all at one moment, and returned to step by step, each step by all at one moment, no faster
// than hosts that started cold bear; also where a fifth of the messages is lost.
func TestZoneIsEvacuatedAtOnceAndRecoversInSteps(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		w := newSimulation(t, 60, nil)
		w.loss = loss
		w.run(5 * second)
		w.requireShare("before", FullShare)
		w.failZoneFor(everybody)
		w.run(9 * second)
		w.requireShare("while it fails", 0)
		if first, p99, last := w.actedOn(1); p99-first > 500*ms || first-beginning > 9*second {
			t.Errorf("loss %.1f: left from %d to %d ms after the start, 99 of 100 within %d", loss, (first-beginning)/ms, (last-beginning)/ms, (p99-first)/ms)
		}
		w.failZoneFor(nobody)
		began := w.now
		var steps []byte
		w.afterTick = func() {
			if s := w.shares(); s[0] == s[len(s)-1] && (len(steps) == 0 || steps[len(steps)-1] != s[0]) {
				steps = append(steps, s[0])
			}
		}
		w.run(40 * second)
		w.requireShare("in the end", FullShare)
		if got := fmt.Sprint(steps); got != "[0 2 5 10 20 40 70 100]" {
			t.Errorf("loss %.1f: steps %s", loss, got)
		}
		if took := w.now - began; took < 6*2*second {
			t.Errorf("returned within %d ms", took/ms)
		}
	}
}

// actedOn is when the first, 99 of 100, and the last node acted on an epoch.
func (w *simulation) actedOn(epoch uint64) (first, p99, last int64) {
	var at []int64
	for _, n := range w.gateways {
		if n.firstActedAt[epoch] == 0 {
			w.t.Fatalf("%s never acted on epoch %d", n.name, epoch)
		}
		at = append(at, n.firstActedAt[epoch])
	}
	slices.Sort(at)
	return at[0], at[len(at)*99/100-1], at[len(at)-1]
}

// What must not make a fleet leave: half of the gateways see a zone bad, one does, or those of the zone itself do, that
// are cut off with it and see everybody else as dead; and a fleet that is cut in two, neither part more than half.
func TestZoneStaysInUseWithoutQuorumOfOutsideGateways(t *testing.T) {
	for name, play := range map[string]func(w *simulation){
		"half see it bad": func(w *simulation) { w.failZoneFor(func(i int) bool { return i%2 == 0 }) },
		"one sees it bad": func(w *simulation) { w.failZoneFor(func(i int) bool { return i == 1 }) },
		"those of the zone": func(w *simulation) {
			w.view = func(n *gateway, z int) ZoneView {
				v := ZoneView{Health: Healthy, LatencyShare: 20, RequestRate: 100}
				if n.zone == 0 && z != 0 {
					v.Health = Unhealthy
				}
				return v
			}
			for _, n := range w.gateways {
				n.partition = min(n.zone, 1)
			}
		},
		"cut in two": func(w *simulation) {
			w.failZoneFor(everybody)
			for i, n := range w.gateways {
				n.partition = i % 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 30, nil)
			w.run(3 * second)
			play(w)
			w.run(12 * second)
			for z := range 3 {
				for _, n := range w.gateways {
					if s := n.zones.Share(w.now, z); s != FullShare {
						t.Fatalf("%s uses %d of zone %d", n.name, s, z)
					}
				}
			}
			if name == "cut in two" { // and decides once it is whole
				for _, n := range w.gateways {
					n.partition = 0
				}
				w.run(8 * second)
				w.requireShare("healed", 0)
			}
		})
	}
}

// A third is stopped across the moment of leaving, and goes on: it hears what was agreed on and acts on it, late.
func TestStoppedGatewaysFollowTheDecisionLate(t *testing.T) {
	w := newSimulation(t, 30, nil)
	w.run(3 * second)
	w.failZoneFor(everybody)
	for i, n := range w.gateways {
		n.stopped = i%3 == 0
	}
	w.run(5 * second)
	for _, n := range w.gateways {
		n.stopped = false
	}
	w.run(6 * second)
	w.requireShare("after the stop", 0)
	late := 0
	for _, n := range w.gateways {
		late += n.agreement.Lateness().Late
	}
	if late == 0 {
		t.Error("nobody counts that it heard late")
	}
}

// Fails again at 40 of 100: the return is taken back, and the next one begins after twice the time.
func TestFailureDuringRecoveryDoublesTheNextEvacuation(t *testing.T) {
	w := newSimulation(t, 30, nil)
	w.failZoneFor(everybody)
	w.run(5 * second)
	w.requireShare("left", 0)
	w.failZoneFor(nobody)
	for n := 0; w.shares()[0] < 40; n++ {
		if w.run(second); n > 40 {
			t.Fatal("does not return")
		}
	}
	w.run(second)
	w.failZoneFor(everybody)
	w.run(3 * second)
	w.requireShare("taken back", 0)
	w.failZoneFor(nobody)
	w.run(6 * second)
	w.requireShare("within twice the time", 0)
	w.run(40 * second)
	w.requireShare("in the end", FullShare)
}

// What remains bears four fifths of the load: so much of the zone is kept as the others cannot take. Two zones that worsen at
// once are not left both.
func TestEvacuationIsLimitedByTheOtherZonesCapacity(t *testing.T) {
	w := newSimulation(t, 30, nil)
	w.run(6 * second) // calm: 20 of 100
	w.view = func(n *gateway, z int) ZoneView {
		v := ZoneView{Health: Healthy, LatencyShare: 50, RequestRate: 100}
		if z == 0 && w.now > beginning+10*second {
			v.Health = Unhealthy
		}
		return v
	}
	w.run(12 * second)
	if s := w.shares(); s[0] == 0 || s[0] != s[len(s)-1] || s[0] == FullShare {
		t.Errorf("shares from %d to %d", s[0], s[len(s)-1])
	}
	w = newSimulation(t, 30, nil)
	w.view = func(n *gateway, z int) ZoneView {
		v := ZoneView{Health: Healthy, LatencyShare: 20, RequestRate: 100}
		if z < 2 {
			v.Health = Unhealthy
		}
		return v
	}
	w.run(8 * second)
	for _, n := range w.gateways {
		a, b := n.zones.Share(w.now, 0), n.zones.Share(w.now, 1)
		if (a == 0) == (b == 0) {
			t.Fatalf("%s uses %d and %d of two zones that fail", n.name, a, b)
		}
	}
}

// Operators' pins go before everything.
func TestOverridesPrecedeDecisions(t *testing.T) {
	w := newSimulation(t, 12, nil)
	w.failZoneFor(everybody)
	w.run(5 * second)
	n := w.gateways[0]
	if a, b, c := n.zones.Share(w.now, 0), n.zones.Share(w.now, 1), n.zones.Share(w.now, 2); a != 0 || b != FullShare || c != FullShare {
		t.Errorf("shares %d, %d, %d", a, b, c)
	}
	n.zones.SetOverride(0, ForceInUse)
	n.zones.SetOverride(2, ForceEvacuated)
	if n.zones.Share(w.now, 0) != FullShare || n.zones.Share(w.now, 2) != 0 {
		t.Error("pins do not hold")
	}
	if len(n.zones.TakeLog()) == 0 {
		t.Error("nothing for operators to read")
	}
}

// Without a majority, or without what it bears, the tests above would fail: what an experiment takes away is missed.
func TestQuorumAndPacedRecoveryAreNecessary(t *testing.T) {
	w := newSimulation(t, 30, func(_ *Config, a *agreement.Config) { a.RequireQuorum = false })
	w.failZoneFor(everybody)
	for i, n := range w.gateways {
		n.partition = min(i%5, 1)
	}
	w.run(8 * second)
	if s := w.shares(); s[0] != 0 {
		t.Error("a part of six leaves nothing without a majority")
	}
	w = newSimulation(t, 30, func(c *Config, _ *agreement.Config) { c.PacedRecovery = false })
	w.failZoneFor(everybody)
	w.run(5 * second)
	w.failZoneFor(nobody)
	w.run(7 * second)
	w.requireShare("without a pace", FullShare)
}

func TestHealthOfAZoneFromObservations(t *testing.T) {
	for name, c := range map[string]struct {
		failed func(host, zone int, group int64) bool
		want   [3]Health
	}{
		"all well":             {func(int, int, int64) bool { return false }, [3]Health{Healthy, Healthy, Healthy}},
		"a zone":               {func(_, z int, _ int64) bool { return z == 1 }, [3]Health{Healthy, Unhealthy, Healthy}},
		"one bad host":         {func(h, _ int, _ int64) bool { return h == 1 }, [3]Health{Healthy, Healthy, Healthy}},
		"one bad group":        {func(_, _ int, g int64) bool { return g == 1 }, [3]Health{Healthy, Healthy, Healthy}},
		"its own link":         {func(int, int, int64) bool { return true }, [3]Health{Unknown, Unknown, Unknown}},
		"its own zone":         {func(_, z int, _ int64) bool { return z == 0 }, [3]Health{Unknown, Healthy, Healthy}},
		"two zones":            {func(_, z int, _ int64) bool { return z > 0 }, [3]Health{Healthy, Unhealthy, Unhealthy}},
		"most hosts of a zone": {func(h, z int, _ int64) bool { return z == 2 && h%4 != 2 }, [3]Health{Healthy, Healthy, Unhealthy}},
	} {
		s := NewEvidenceCollector(EvidenceConfig{Zones: 3, Window: 5 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
		for at := range 40 {
			for h := range 12 {
				zone, group := h%3, int64(h/3)
				s.Observe(Observation{Host: fmt.Sprint(h), Zone: zone, Group: group, Failed: c.failed(h, zone, group), LatencyShare: 0.3, At: beginning + int64(at)*100*ms})
			}
		}
		for z, v := range s.Assess(beginning+4*second, 0) {
			if v.Health != c.want[z] {
				t.Errorf("%s: zone %d: %d, want %d", name, z, v.Health, c.want[z])
			}
		}
		for z, v := range s.Assess(beginning+60*second, 0) {
			if v.Health != Unknown {
				t.Errorf("%s: zone %d is still %d a minute later", name, z, v.Health)
			}
		}
	}
}

// A zone that was busy falls silent: its hosts' many good answers of before do not hide that for long.
func TestBusyZoneThatFallsSilentIsUnhealthySoon(t *testing.T) {
	s := NewEvidenceCollector(EvidenceConfig{Zones: 2, Window: 4 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
	verdict, now := Healthy, beginning
	for ; verdict != Unhealthy; now += 10 * ms {
		for h := range 8 {
			silent := h%2 == 0 && now > beginning+10*second
			if silent && (now/ms/10)%50 != 0 {
				continue // it is doubted, and only asked now and then
			}
			s.Observe(Observation{Host: fmt.Sprint(h), Zone: h % 2, Group: int64(h / 4), Failed: silent, At: now})
		}
		if verdict = s.Assess(now, 1)[0].Health; now > beginning+13*second {
			t.Fatal("is not found bad after 3 s")
		}
		if verdict == Unhealthy && now <= beginning+10*second {
			t.Fatal("is found bad while it does well")
		}
	}
}

// What agreement costs and takes at sizes that no machine has room for as processes: run with -v for the table.
func TestEvacuationTimeAndTrafficByFleetSize(t *testing.T) {
	sizes := []int{10, 50}
	if testing.Verbose() {
		sizes = append(sizes, 100, 300)
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.2} {
			w := newSimulation(t, n, nil)
			w.loss = loss
			w.run(40 * second)
			for _, o := range w.gateways {
				o.bytes = 0
			}
			w.run(20 * second)
			quiet := 0
			for _, o := range w.gateways {
				quiet += o.bytes
			}
			w.failZoneFor(everybody)
			began := w.now
			for s := w.shares(); s[len(s)-1] > 0 && w.now-began < 30*second; s = w.shares() {
				w.run(tickInterval)
			}
			w.run(tickInterval)
			first, p99, last := w.actedOn(1)
			busy := 0
			for _, o := range w.gateways {
				busy += o.bytes
			}
			t.Logf("%d gateways, loss %.1f: left %d ms after the zone failed, 99 of 100 within %d ms, the last within %d; %d bytes a gateway and second at rest, %d while it agreed; %d bytes held",
				n, loss, (first-began)/ms, (p99-first)/ms, (last-first)/ms, quiet/n/20, int64(busy-quiet)*second/int64(n)/(w.now-began), w.gateways[0].state.MemoryBytes())
			if p99-first > second || quiet/n/20 > 20_000 {
				t.Errorf("%d gateways, loss %.1f: 99 of 100 left within %d ms, %d bytes a second", n, loss, (p99-first)/ms, quiet/n/20)
			}
		}
	}
}
