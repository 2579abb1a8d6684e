package gossip

import (
	"testing"
)

// All gateways together send fewer and fewer attempts to a primary whose answers take all of their latency objective,
// but none is blocked permanently: the fewer attempts are in flight, the more gateways may proceed. When the primary
// has recovered, the cap is removed.
func TestOverloadedPrimaryIsCappedUntilItRecovers(t *testing.T) {
	const gateways = 40
	f := newFleet(gateways, 5)
	atCapacity := func() (n int) {
		for _, s := range f.states {
			if s.AtCapacity(f.now, hostName(0)) {
				n++
			}
		}
		return n
	}
	run := func(duration int64, share float64, inFlight int) {
		for end := f.now + duration; f.now < end; f.step() {
			for i, s := range f.states {
				s.SetInFlight(hostName(0), min(1, max(0, inFlight-i))) // inFlight gateways have one each
				s.toggleInFlight(hostName(1))
			}
			s := f.states[int(f.now/ms)%gateways]
			s.Record(HostFact{Host: hostName(0), Position: f.now - ms, Role: Primary})
			s.RecordLatencyShare(hostName(0), share, false)
		}
	}
	run(1000*ms, 0.2, 30)
	if n := atCapacity(); n != 0 {
		t.Fatalf("%d gateways hold back from a healthy primary", n)
	}
	run(1500*ms, 1.5, 30)
	if n := atCapacity(); n != gateways {
		t.Errorf("%d of %d gateways hold back with 30 in flight at a primary that answers late", n, gateways)
	}
	run(200*ms, 1.5, 1)
	if n := atCapacity(); n < 2 || n > gateways*2/3 {
		t.Errorf("%d of %d gateways hold back with one in flight", n, gateways)
	}
	run(4000*ms, 0.1, 20)
	if n := atCapacity(); n != 0 {
		t.Errorf("%d gateways hold back long after the recovery", n)
	}
}
