package processrig

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against checks that miss uneven load or report random variation. Random draws must be about as uneven as
// calculated. A host without requests must be found, and so must hosts that take turns in getting all requests, for a
// tenth of a second each.
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
	if d := fair.CV1s / fair.FairCV1s; d < 0.8 || d > 1.2 || fair.IdleSeconds > 0 || float64(fair.HerdWindows) > 2*fair.FairHerdWindows+5 {
		t.Errorf("requests to random hosts: %+v", fair)
	}
	idle := spreadOf(func(time.Duration) int { return random.IntN(3) })
	if idle.IdleSeconds != 20 || idle.CV1s < 2*idle.FairCV1s {
		t.Errorf("one host without requests: %+v", idle)
	}
	herd := spreadOf(func(at time.Duration) int { return int(at/(100*time.Millisecond)) % 4 })
	if herd.HerdWindows != 200 || herd.CV1s > 0.3 || herd.CV100ms < 1.5 {
		t.Errorf("all requests to one host for a tenth of a second: %+v", herd)
	}
}
