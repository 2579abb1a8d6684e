package processrig

import (
	"context"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// The same name and seed give the same faults; another seed gives others.
func TestPlansRepeat(t *testing.T) {
	for _, name := range Plans {
		hash := func(seed uint64) string {
			events, err := MakePlan(name, seed, 30, 20*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if e.Gate < 0 || e.Gate >= 30 || e.AtMS < 0 || e.AtMS+e.ForMS > 20_000 || e.ForMS <= 0 || e.Fault == Cut && !e.From && !e.To {
					t.Errorf("%s: %+v", name, e)
				}
			}
			h, err := Hash(events)
			if err != nil {
				t.Fatal(err)
			}
			return h
		}
		first, again := hash(1), hash(1)
		if first != again || name != "none" && name != "loss" && first == hash(2) {
			t.Errorf("plan %s does not follow its seed", name)
		}
	}
	if _, err := MakePlan("storm", 1, 3, time.Second); err == nil {
		t.Error("a plan that is none was taken")
	}
}

// What is measured: draws at random are as even as chance has it; a host that gets nothing, and one that gets what
// should have gone to all for a tenth of a second, are found.
func TestMeasure(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	const run = 20 * time.Second
	play := func(to func(at time.Duration) int) Spread {
		hosts := make([]hostLog, 4)
		for at := time.Duration(0); at < run; at += 10 * time.Millisecond {
			h := &hosts[to(at)]
			h.all = append(h.all, arrival{at, 0})
		}
		return measure(hosts, 0, run)
	}
	fair := play(func(time.Duration) int { return r.IntN(4) })
	if d := fair.CV1s / fair.Fair1s; d < 0.8 || d > 1.2 || fair.IdleSeconds > 0 || float64(fair.HerdWindows) > 2*fair.FairHerds+5 {
		t.Errorf("draws at random: %+v", fair)
	}
	idle := play(func(time.Duration) int { return r.IntN(3) })
	if idle.IdleSeconds != 20 || idle.CV1s < 2*idle.Fair1s {
		t.Errorf("a host that gets nothing: %+v", idle)
	}
	herd := play(func(at time.Duration) int { return int(at/(100*time.Millisecond)) % 4 })
	if herd.HerdWindows != 200 || herd.CV1s > 0.3 || herd.CV100 < 1.5 {
		t.Errorf("all go to one host for a tenth of a second: %+v", herd)
	}
}

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
			res, err := Run(ctx, Options{Program: filepath.Join(dir, "cloverrock"), Gateways: 4, Hosts: 10, Members: 5, For: 2 * settling, Seed: 1,
				Plan: c.plan, Break: c.spoilt, Use: 0.4, Log: t.Logf})
			if err != nil {
				t.Fatal(err)
			}
			hurt := res.Lost > 0 || res.Died > 0 || res.Killed > 0 || res.ClosedNew*200 > res.Requests
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
			faults := slices.DeleteFunc(res.FoundInZones(false), func(f string) bool { return f == FarApart })
			if (len(faults) > 0) != c.found {
				t.Errorf("found %v: %+v", faults, res.Zone)
			}
		})
	}
}
