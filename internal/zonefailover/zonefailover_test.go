package zonefailover

import (
	"fmt"
	"slices"
	"testing"

	"cloverrock/internal/agreement"
)

// A zone that fails is left by all at one moment, and returned to step by step, each step by all at one moment, no faster
// than hosts that started cold bear; also where a fifth of the messages is lost.
func TestLeavesAndReturns(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		w := newWorld(t, 60, nil)
		w.loss = loss
		w.run(5 * second)
		w.want("before", Whole)
		w.fails(all)
		w.run(9 * second)
		w.want("while it fails", 0)
		if first, p99, last := w.spread(1); p99-first > 500*ms || first-beginning > 9*second {
			t.Errorf("loss %.1f: left from %d to %d ms after the start, 99 of 100 within %d", loss, (first-beginning)/ms, (last-beginning)/ms, (p99-first)/ms)
		}
		w.fails(none)
		began := w.now
		var steps []byte
		w.after = func() {
			if s := w.share(); s[0] == s[len(s)-1] && (len(steps) == 0 || steps[len(steps)-1] != s[0]) {
				steps = append(steps, s[0])
			}
		}
		w.run(40 * second)
		w.want("in the end", Whole)
		if got := fmt.Sprint(steps); got != "[0 2 5 10 20 40 70 100]" {
			t.Errorf("loss %.1f: steps %s", loss, got)
		}
		if took := w.now - began; took < 6*2*second {
			t.Errorf("returned within %d ms", took/ms)
		}
	}
}

// spread is when the first, 99 of 100, and the last node acted on an epoch.
func (w *world) spread(epoch uint64) (first, p99, last int64) {
	var at []int64
	for _, n := range w.nodes {
		if n.left[epoch] == 0 {
			w.t.Fatalf("%s never acted on epoch %d", n.name, epoch)
		}
		at = append(at, n.left[epoch])
	}
	slices.Sort(at)
	return at[0], at[len(at)*99/100-1], at[len(at)-1]
}

// What must not make a fleet leave: half of the gateways see a zone bad, one does, or those of the zone itself do, that
// are cut off with it and see everybody else as dead; and a fleet that is cut in two, neither part more than half.
func TestStays(t *testing.T) {
	for name, play := range map[string]func(w *world){
		"half see it bad": func(w *world) { w.fails(func(i int) bool { return i%2 == 0 }) },
		"one sees it bad": func(w *world) { w.fails(func(i int) bool { return i == 1 }) },
		"those of the zone": func(w *world) {
			w.sees = func(n *node, z int) View {
				v := View{Verdict: Good, Used: 20, Load: 100}
				if n.zone == 0 && z != 0 {
					v.Verdict = Bad
				}
				return v
			}
			for _, n := range w.nodes {
				n.side = min(n.zone, 1)
			}
		},
		"cut in two": func(w *world) {
			w.fails(all)
			for i, n := range w.nodes {
				n.side = i % 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 30, nil)
			w.run(3 * second)
			play(w)
			w.run(12 * second)
			for z := range 3 {
				for _, n := range w.nodes {
					if s := n.zonal.Share(w.now, z); s != Whole {
						t.Fatalf("%s uses %d of zone %d", n.name, s, z)
					}
				}
			}
			if name == "cut in two" { // and decides once it is whole
				for _, n := range w.nodes {
					n.side = 0
				}
				w.run(8 * second)
				w.want("healed", 0)
			}
		})
	}
}

// A third is stopped across the moment of leaving, and goes on: it hears what was agreed on and acts on it, late.
func TestStoppedGoOn(t *testing.T) {
	w := newWorld(t, 30, nil)
	w.run(3 * second)
	w.fails(all)
	for i, n := range w.nodes {
		n.stopped = i%3 == 0
	}
	w.run(5 * second)
	for _, n := range w.nodes {
		n.stopped = false
	}
	w.run(6 * second)
	w.want("after the stop", 0)
	late := 0
	for _, n := range w.nodes {
		late += n.council.Lateness().Late
	}
	if late == 0 {
		t.Error("nobody counts that it heard late")
	}
}

// Fails again at 40 of 100: the return is taken back, and the next one begins after twice the time.
func TestReturnTakenBack(t *testing.T) {
	w := newWorld(t, 30, nil)
	w.fails(all)
	w.run(5 * second)
	w.want("left", 0)
	w.fails(none)
	for n := 0; w.share()[0] < 40; n++ {
		if w.run(second); n > 40 {
			t.Fatal("does not return")
		}
	}
	w.run(second)
	w.fails(all)
	w.run(3 * second)
	w.want("taken back", 0)
	w.fails(none)
	w.run(6 * second)
	w.want("within twice the time", 0)
	w.run(40 * second)
	w.want("in the end", Whole)
}

// What remains bears four fifths of the load: so much of the zone is kept as the others cannot take. Two zones that worsen at
// once are not left both.
func TestOnlyWhatTheOthersBear(t *testing.T) {
	w := newWorld(t, 30, nil)
	w.run(6 * second) // calm: 20 of 100
	w.sees = func(n *node, z int) View {
		v := View{Verdict: Good, Used: 50, Load: 100}
		if z == 0 && w.now > beginning+10*second {
			v.Verdict = Bad
		}
		return v
	}
	w.run(12 * second)
	if s := w.share(); s[0] == 0 || s[0] != s[len(s)-1] || s[0] == Whole {
		t.Errorf("shares from %d to %d", s[0], s[len(s)-1])
	}
	w = newWorld(t, 30, nil)
	w.sees = func(n *node, z int) View {
		v := View{Verdict: Good, Used: 20, Load: 100}
		if z < 2 {
			v.Verdict = Bad
		}
		return v
	}
	w.run(8 * second)
	for _, n := range w.nodes {
		a, b := n.zonal.Share(w.now, 0), n.zonal.Share(w.now, 1)
		if (a == 0) == (b == 0) {
			t.Fatalf("%s uses %d and %d of two zones that fail", n.name, a, b)
		}
	}
}

// Operators' pins go before everything.
func TestPins(t *testing.T) {
	w := newWorld(t, 12, nil)
	w.fails(all)
	w.run(5 * second)
	n := w.nodes[0]
	if a, b, c := n.zonal.Share(w.now, 0), n.zonal.Share(w.now, 1), n.zonal.Share(w.now, 2); a != 0 || b != Whole || c != Whole {
		t.Errorf("shares %d, %d, %d", a, b, c)
	}
	n.zonal.Pin(0, Kept)
	n.zonal.Pin(2, Left)
	if n.zonal.Share(w.now, 0) != Whole || n.zonal.Share(w.now, 2) != 0 {
		t.Error("pins do not hold")
	}
	if len(n.zonal.Lines()) == 0 {
		t.Error("nothing for operators to read")
	}
}

// Without a majority, or without what it bears, the tests above would fail: what an experiment takes away is missed.
func TestWhatIsTakenAwayIsMissed(t *testing.T) {
	w := newWorld(t, 30, func(_ *Config, a *agreement.Config) { a.RequireQuorum = false })
	w.fails(all)
	for i, n := range w.nodes {
		n.side = min(i%5, 1)
	}
	w.run(8 * second)
	if s := w.share(); s[0] != 0 {
		t.Error("a part of six leaves nothing without a majority")
	}
	w = newWorld(t, 30, func(c *Config, _ *agreement.Config) { c.Pace = false })
	w.fails(all)
	w.run(5 * second)
	w.fails(none)
	w.run(7 * second)
	w.want("without a pace", Whole)
}

func TestSight(t *testing.T) {
	for name, c := range map[string]struct {
		failed func(host, zone int, group int64) bool
		want   [3]Verdict
	}{
		"all well":             {func(int, int, int64) bool { return false }, [3]Verdict{Good, Good, Good}},
		"a zone":               {func(_, z int, _ int64) bool { return z == 1 }, [3]Verdict{Good, Bad, Good}},
		"one bad host":         {func(h, _ int, _ int64) bool { return h == 1 }, [3]Verdict{Good, Good, Good}},
		"one bad group":        {func(_, _ int, g int64) bool { return g == 1 }, [3]Verdict{Good, Good, Good}},
		"its own link":         {func(int, int, int64) bool { return true }, [3]Verdict{Unseen, Unseen, Unseen}},
		"its own zone":         {func(_, z int, _ int64) bool { return z == 0 }, [3]Verdict{Unseen, Good, Good}},
		"two zones":            {func(_, z int, _ int64) bool { return z > 0 }, [3]Verdict{Good, Bad, Bad}},
		"most hosts of a zone": {func(h, z int, _ int64) bool { return z == 2 && h%4 != 2 }, [3]Verdict{Good, Good, Bad}},
	} {
		s := NewSight(SightConfig{Zones: 3, Window: 5 * second, Least: 3, Groups: 2, Part: 0.6})
		for at := range 40 {
			for h := range 12 {
				zone, group := h%3, int64(h/3)
				s.See(End{Host: fmt.Sprint(h), Zone: zone, Group: group, Failed: c.failed(h, zone, group), Used: 0.3, At: beginning + int64(at)*100*ms})
			}
		}
		for z, v := range s.Views(beginning+4*second, 0) {
			if v.Verdict != c.want[z] {
				t.Errorf("%s: zone %d: %d, want %d", name, z, v.Verdict, c.want[z])
			}
		}
		for z, v := range s.Views(beginning+60*second, 0) {
			if v.Verdict != Unseen {
				t.Errorf("%s: zone %d is still %d a minute later", name, z, v.Verdict)
			}
		}
	}
}

// A zone that was busy falls silent: its hosts' many good answers of before do not hide that for long.
func TestBusyZoneFallsSilent(t *testing.T) {
	s := NewSight(SightConfig{Zones: 2, Window: 4 * second, Least: 3, Groups: 2, Part: 0.6})
	verdict, now := Good, beginning
	for ; verdict != Bad; now += 10 * ms {
		for h := range 8 {
			silent := h%2 == 0 && now > beginning+10*second
			if silent && (now/ms/10)%50 != 0 {
				continue // it is doubted, and only asked now and then
			}
			s.See(End{Host: fmt.Sprint(h), Zone: h % 2, Group: int64(h / 4), Failed: silent, At: now})
		}
		if verdict = s.Views(now, 1)[0].Verdict; now > beginning+13*second {
			t.Fatal("is not found bad after 3 s")
		}
		if verdict == Bad && now <= beginning+10*second {
			t.Fatal("is found bad while it does well")
		}
	}
}

// What agreement costs and takes at sizes that no machine has room for as processes: run with -v for the table.
func TestSizes(t *testing.T) {
	sizes := []int{10, 50}
	if testing.Verbose() {
		sizes = append(sizes, 100, 300)
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.2} {
			w := newWorld(t, n, nil)
			w.loss = loss
			w.run(40 * second)
			for _, o := range w.nodes {
				o.bytes = 0
			}
			w.run(20 * second)
			quiet := 0
			for _, o := range w.nodes {
				quiet += o.bytes
			}
			w.fails(all)
			began := w.now
			for s := w.share(); s[len(s)-1] > 0 && w.now-began < 30*second; s = w.share() {
				w.run(tick)
			}
			w.run(tick)
			first, p99, last := w.spread(1)
			busy := 0
			for _, o := range w.nodes {
				busy += o.bytes
			}
			t.Logf("%d gateways, loss %.1f: left %d ms after the zone failed, 99 of 100 within %d ms, the last within %d; %d bytes a gateway and second at rest, %d while it agreed; %d bytes held",
				n, loss, (first-began)/ms, (p99-first)/ms, (last-first)/ms, quiet/n/20, int64(busy-quiet)*second/int64(n)/(w.now-began), w.nodes[0].state.MemoryBytes())
			if p99-first > second || quiet/n/20 > 20_000 {
				t.Errorf("%d gateways, loss %.1f: 99 of 100 left within %d ms, %d bytes a second", n, loss, (p99-first)/ms, quiet/n/20)
			}
		}
	}
}
