package gossip

import (
	"fmt"
	"testing"
)

// The loads of all gateways add up. Duplicated messages do not change them, and the load of a gateway that has stopped
// reporting expires.
func TestLoadsOfGatewaysAddUpAndExpire(t *testing.T) {
	const gateways = 12
	f := newFleet(gateways, 5)
	k := f.coordinators(0)[0]
	a, b, c := (k+1)%gateways, (k+2)%gateways, (k+3)%gateways
	load := func(i int) (float64, float64) { return f.states[i].Load(f.now, hostName(1)) }
	f.states[a].SetInFlight(hostName(1), 2)
	f.states[b].SetInFlight(hostName(1), 1)
	f.states[k].SetInFlight(hostName(1), 4)
	f.states[c].SetInFlight(hostName(2), 40) // more than a digest encodes exactly
	for range 60 {
		for _, m := range f.packets { // every message arrives twice
			f.states[m.to].Receive(f.now, m.from, m.data)
		}
		f.step()
	}
	for i, want := range map[int]float64{a: 5, b: 6, c: 7, k: 3} {
		if n, starting := load(i); n != want || starting <= 0 {
			t.Errorf("gateway %d: %.0f in flight by others, want %.0f; %.1f starting", i, n, want, starting)
		}
	}
	if n, _ := f.states[a].Load(f.now, hostName(2)); n != 40 {
		t.Errorf("%.0f attempts in flight by others, want 40", n)
	}
	f.stopped[b] = true // crashes with one attempt in flight
	for range 400 {
		f.states[a].toggleInFlight(hostName(0)) // so that digests are still sent
		f.states[k].toggleInFlight(hostName(0))
		f.step()
	}
	if n, _ := load(c); n != 4 { // the attempts of a have expired too: it has not reported them for 2 s
		t.Errorf("%.0f attempts in flight after two gateways stopped reporting, want the coordinator's 4", n)
	}
	for range 400 {
		f.step()
	}
	if n, starting := load(c); n != 0 || starting != 0 {
		t.Errorf("%.0f attempts in flight, %.1f starting, want 0: all counts and digests are outdated", n, starting)
	}
}

// A report is ignored if it is older than the previous one of its sender or older than the lifetime of a count.
func TestReorderedReportsDoNotChangeLoads(t *testing.T) {
	f := newFleet(2, 5)
	k := f.coordinators(0)[0]
	coordinator, from := f.states[k], 1-k
	report := func(at int64, n int) []byte {
		return appendReport(newMessage(at, reportVersion), at, &report{hash: hostHash(hostName(0)), inFlight: n})
	}
	coordinator.Receive(base+30*ms, from, report(base+20*ms, 3))
	coordinator.Receive(base+40*ms, from, report(base+10*ms, 9))
	coordinator.Receive(base+2000*ms, from, report(base+50*ms, 9))
	if n := coordinator.hosts[hostName(0)].reportedTotal; n != 3 {
		t.Errorf("%d attempts in flight, want 3", n)
	}
}

// Two hosts with the same hash are ambiguous: neither is reported, and facts about them are ignored.
func TestHostsThatShareAHashAreExcluded(t *testing.T) {
	seen := map[uint32]string{}
	var a, b string
	for i := 0; b == ""; i++ {
		id := fmt.Sprint("x", i)
		if first, ok := seen[hostHash(id)]; ok {
			a, b = first, id
		}
		seen[hostHash(id)] = id
	}
	s := New(testConfig(2, 0), 1)
	s.AddHost(a, 1)
	s.AddHost(b, 1)
	m := appendReport(newMessage(base, reportVersion), base, &report{HostFact{Position: base, Role: Replica}, hostHash(a), 1, 1})
	if f := s.Receive(base, 1, m); f != nil {
		t.Errorf("accepted %+v, want no facts about ambiguous hosts", f)
	}
	s.Record(HostFact{Host: a, Position: base, Role: Primary})
	if len(s.pendingReports) != 0 {
		t.Error("a host with an ambiguous hash is reported")
	}
	s.RemoveHost(b)
	s.RemoveHost(a)
	if len(s.hosts) != 0 || len(s.groups[0].hosts) != 0 {
		t.Error("removed hosts are still in the state")
	}
}
