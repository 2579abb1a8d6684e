package gossip

import (
	"math"
	"slices"
	"testing"

	"cloverrock/internal/random"
)

// When the coordinator crashes or is stopped, gateways report to the next candidate, which broadcasts the digests. When
// the first one has recovered, all gateways report to it again.
func TestNextCandidateCoordinatesWhileTheCoordinatorIsSilent(t *testing.T) {
	const gateways, hosts = 30, 5
	f := newFleet(gateways, hosts)
	f.run(hosts, 2000*ms)
	first := f.coordinators(0)[0]
	f.stopped[first] = true
	running := func(i int) bool { return i != first }
	f.run(hosts, 1500*ms)
	other := f.coordinators((first + 1) % gateways)[0]
	if age := f.maxPositionAge(hosts, running); other == first || age > 300*ms {
		t.Fatalf("coordinator %d after coordinator %d stopped, want another; oldest position %d ms old, want at most 300 ms",
			other, first, age/ms)
	}
	delete(f.stopped, first)
	f.run(hosts, 9000*ms)
	if got := f.coordinators((first + 1) % gateways)[0]; got != first {
		t.Errorf("coordinator %d long after gateway %d has recovered, want that gateway", got, first)
	}
}

// A coordinator that can send but receives no messages, or only outdated ones, has little more than its own
// observations. It stops sending digests, and another gateway coordinates the group until the first one receives
// messages again. This also holds for a gateway that has coordinated no group before.
func TestCoordinatorThatReceivesNothingIsPassedOver(t *testing.T) {
	const gateways, hosts = 30, 5
	for _, late := range []int64{0, 1000 * ms} {
		f := newFleet(gateways, hosts)
		f.run(hosts, 2000*ms)
		first := f.coordinators(0)[0]
		others := func(i int) bool { return i != first }
		f.extraDelay[first] = late
		if late == 0 {
			f.isLost = func(_, to int) bool { return to == first }
		}
		f.run(hosts, 1700*ms)
		for range 80 { // gateways try the first coordinator again after a backoff
			f.run(hosts, 100*ms)
			if age := f.maxPositionAge(hosts, others); age > 300*ms {
				t.Fatalf("receiving %d ms late, at %d ms: oldest position %d ms old, want at most 300 ms",
					late/ms, (f.now-base)/ms-2000, age/ms)
			}
		}
		f.extraDelay[first] = 0
		f.isLost = noLoss
		f.run(hosts, 9000*ms)
		if got := f.coordinators((first + 1) % gateways)[0]; got != first {
			t.Errorf("coordinator %d long after gateway %d receives messages again, want that gateway", got, first)
		}
	}
}

// A third of all messages is lost, and one gateway cannot reach the coordinator at all. That gateway reports to another
// coordinator, and both broadcast digests.
func TestFactsSpreadOverLossyLinks(t *testing.T) {
	const gateways, hosts = 30, 10
	f := newFleet(gateways, hosts)
	first := f.coordinators(0)[0]
	cut := (first + 1) % gateways
	source := random.Source(1)
	f.isLost = func(from, to int) bool {
		return from == cut && to == first || from == first && to == cut || source.Below(3) == 0
	}
	f.run(hosts, 6000*ms)
	if age := f.maxPositionAge(hosts, all); age > 900*ms {
		t.Errorf("oldest position %d ms old, want at most 900 ms", age/ms)
	}
	if f.coordinators(cut)[0] == first {
		t.Error("a gateway still reports to a coordinator that it cannot reach")
	}
}

// While the fleet is partitioned into halves, each half has its own coordinators. Afterwards all gateways agree again.
func TestEachPartitionHasCoordinators(t *testing.T) {
	const gateways, hosts = 40, 10
	f := newFleet(gateways, hosts)
	f.run(hosts, 1000*ms)
	f.isLost = func(from, to int) bool { return from%2 != to%2 }
	f.run(hosts, 6000*ms)
	if age := f.maxPositionAge(hosts, all); age > 900*ms {
		t.Errorf("during the partition: oldest position %d ms old, want at most 900 ms", age/ms)
	}
	f.isLost = noLoss
	f.run(hosts, 9000*ms)
	if !slices.Equal(f.coordinators(0), f.coordinators(1)) {
		t.Errorf("coordinators %v and %v long after the partition, want the same", f.coordinators(0), f.coordinators(1))
	}
}

// Requests reach one of five hosts. Only the coordinator has the other hosts checked, at a limited rate, and stops when
// the group is idle.
func TestOnlyTheCoordinatorChecksHostsWithoutReports(t *testing.T) {
	f := newFleet(4, 5)
	checked := map[string]int{}
	for f.now < base+2000*ms {
		i := int(f.now/ms/5) % 4
		f.states[i].Record(HostFact{Host: hostName(0), Position: f.now - 3*ms, Role: Replica})
		f.states[i].toggleInFlight(hostName(0))
		f.step()
		for i, s := range f.states {
			for _, h := range s.HostsToCheck(f.now) {
				if i != f.coordinators(i)[0] {
					t.Fatalf("gateway %d, which is not the coordinator, has hosts checked", i)
				}
				checked[h]++
				if h == hostName(1) { // hosts 1 and 2 answer their checks, and host 2 lags far behind; hosts 3 and 4 do not answer
					s.Record(HostFact{Host: h, Position: f.now - 20*ms, Role: Replica})
				} else if h == hostName(2) {
					s.Record(HostFact{Host: h, Position: f.now - 4000*ms, Role: Replica})
				}
			}
		}
	}
	for host, want := range map[string][2]int{hostName(0): {0, 1}, hostName(1): {4, 9}, hostName(2): {2, 4}, hostName(3): {6, 9}} {
		if n := checked[host]; n < want[0] || n > want[1] {
			t.Errorf("%s was checked %d times in 2 s, want a number in %v", host, n, want)
		}
	}
	clear(checked)
	for range 400 {
		f.step()
		for _, s := range f.states {
			for _, h := range s.HostsToCheck(f.now) {
				checked[h]++
			}
		}
	}
	if checked[hostName(3)] > 2 {
		t.Errorf("checks by host %v in 2 s without reads, want at most 2 of the host that does not answer", checked)
	}
}

// The coordinators of many groups are spread evenly over the gateways.
func TestGroupsSpreadEvenlyOverCoordinators(t *testing.T) {
	const gateways, groups = 20, 2000
	coordinated := make([]float64, gateways)
	for g := range groups {
		coordinated[rankCandidates(uint32(g*7919), gateways)[0]]++
	}
	mean := float64(groups) / gateways
	tolerance := 4 * math.Sqrt(mean) // four standard deviations
	least := slices.Min(coordinated)
	most := slices.Max(coordinated)
	if least < mean-tolerance || most > mean+tolerance {
		t.Errorf("gateways coordinate %.0f to %.0f groups, want about the same number", least, most)
	}
}
