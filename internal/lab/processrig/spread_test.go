package processrig

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Random draws are as even as expected of chance. A host without requests is found, and so is one that gets the requests of
// all hosts for a tenth of a second.
func TestSpreadFindsIdleHostsAndHerds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const run = 20 * time.Second
	spreadOf := func(to func(at time.Duration) int) Spread {
		hosts := make([]hostLog, 4)
		for at := time.Duration(0); at < run; at += 10 * time.Millisecond {
			host := &hosts[to(at)]
			host.arrivals = append(host.arrivals, arrival{at, 0})
		}
		return measureSpread(hosts, 0, run)
	}
	fair := spreadOf(func(time.Duration) int { return random.IntN(4) })
	if d := fair.CV1s / fair.Fair1s; d < 0.8 || d > 1.2 || fair.IdleSeconds > 0 || float64(fair.HerdWindows) > 2*fair.FairHerds+5 {
		t.Errorf("draws at random: %+v", fair)
	}
	idle := spreadOf(func(time.Duration) int { return random.IntN(3) })
	if idle.IdleSeconds != 20 || idle.CV1s < 2*idle.Fair1s {
		t.Errorf("a host that gets nothing: %+v", idle)
	}
	herd := spreadOf(func(at time.Duration) int { return int(at/(100*time.Millisecond)) % 4 })
	if herd.HerdWindows != 200 || herd.CV1s > 0.3 || herd.CV100 < 1.5 {
		t.Errorf("all go to one host for a tenth of a second: %+v", herd)
	}
}
