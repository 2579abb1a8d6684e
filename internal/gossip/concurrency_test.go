package gossip

import (
	"testing"
)

// All gateways together send fewer attempts to a primary whose response times reach the latency objective, but no
// gateway is blocked permanently: the fewer attempts are in flight, the more gateways may proceed. When the primary has
// recovered, the cap is removed.
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
		t.Fatalf("%d gateways are at capacity at a healthy primary, want none", n)
	}
	run(1500*ms, 1.5, 30)
	if n := atCapacity(); n != gateways {
		t.Errorf("%d of %d gateways are at capacity with 30 attempts in flight at an overloaded primary, want all",
			n, gateways)
	}
	run(200*ms, 1.5, 1)
	if n := atCapacity(); n < 2 || n > gateways*2/3 {
		t.Errorf("%d of %d gateways are at capacity with one attempt in flight, want two to two thirds", n, gateways)
	}
	run(4000*ms, 0.1, 20)
	if n := atCapacity(); n != 0 {
		t.Errorf("%d gateways are at capacity 4 s after the recovery, want none", n)
	}
}
