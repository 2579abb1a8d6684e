package gossip

import (
	"slices"
	"testing"
)

// What one gateway records reaches all gateways soon. The number of digests depends on the number of groups, not of
// gateways.
func TestFactsReachAllGatewaysSoon(t *testing.T) {
	const gateways, hosts = 80, 20
	f := newFleet(gateways, hosts)
	f.run(hosts, 3000*ms)
	if age := f.maxPositionAge(hosts, all); age > 300*ms {
		t.Errorf("oldest position %d ms old, want at most 300 ms", age/ms)
	}
	if got := f.coordinators(3); !slices.Equal(got, f.coordinators(70)) {
		t.Errorf("coordinators %v, want the same at every gateway", got)
	}
	// Each of 4 groups has at most 25 digests per second.
	if most := 4 * 3 * 25; f.digests > most || f.digests < 30 {
		t.Errorf("%d digests in 3 s, want 30 to %d", f.digests, most)
	}
}

// Digests are sent only as often as the byte budget of requests allows, whatever the number of gateways.
func TestDigestTrafficIsBoundedByRequests(t *testing.T) {
	const hosts, gateways = 5, 400
	f := newFleet(gateways, hosts)
	requests := 0
	for f.now < base+8000*ms {
		if f.now%(25*ms) == 0 { // 40 per second
			requests++
			s := f.states[requests%gateways]
			s.SetInFlight(hostName(requests%hosts), s.hosts[hostName(requests%hosts)].inFlight+1)
		}
		f.step()
	}
	warmup := 6 * 50 * gateways // bytes in the first second, while the rate is unknown
	if most := int(testConfig(2, 0).BytesPerRequest)*requests + warmup; f.bytes > most {
		t.Errorf("%d bytes sent for %d requests, which is above the byte budget", f.bytes, requests)
	}
	if alone := New(testConfig(1, 0), 1); alone.PendingMessages(base) != nil || alone.hosts["x"] != nil {
		t.Error("a fleet of one gateway has hosts or sends messages")
	}
	unnumbered := New(testConfig(3, -1), 1)
	unnumbered.AddHost("x", 1)
	if len(unnumbered.hosts) != 0 {
		t.Error("a gateway without an ordinal accepts a host")
	}
}

// Messages may be lost, late, duplicated or reordered. Positions still never decrease, and the role of a host is the one
// at its latest position. Of two hosts that were primary, the one with the later position is published as primary.
func TestPositionsNeverDecrease(t *testing.T) {
	f := newFleet(2, 5)
	k := f.coordinators(0)[0]
	coordinator := f.states[k]
	send := func(h int, position int64, role Role) {
		r := report{HostFact: HostFact{Position: position, Role: role}, hash: hostHash(hostName(h))}
		coordinator.Receive(base+ms, 1-k, appendReport(newMessage(base, reportVersion), base, &r))
	}
	send(0, base-10*ms, Replica)
	send(0, base-900*ms, Primary)
	send(1, base-300*ms, Primary)
	send(2, base-20*ms, Primary)
	m := coordinator.PendingMessages(base + 20*ms)
	if len(m) != 1 || m[0].To != Broadcast {
		t.Fatalf("sent %v, want one broadcast", m)
	}
	got := map[string]HostFact{}
	for _, fact := range f.states[1-k].Receive(base+30*ms, k, m[0].Data) {
		got[fact.Host] = fact
	}
	replica := got[hostName(0)]
	ageIsRoundedUp := replica.Position <= base-10*ms && replica.Position >= base-15*ms
	if replica.Role != Replica || !ageIsRoundedUp {
		t.Errorf("the replica is published as %+v, want a replica 10 to 15 ms behind", replica)
	}
	if primary := got[hostName(2)]; primary.Role != Primary {
		t.Errorf("the latest primary is published as %+v, want a primary", primary)
	}
	if former, found := got[hostName(1)]; found {
		t.Errorf("a former primary is published as %+v, want no entry", former)
	}
}

// The latency or failure of a host is published even if the host's position does not advance.
func TestLatencyIsPublishedWithoutANewPosition(t *testing.T) {
	f := newFleet(2, 5)
	k := f.coordinators(0)[0]
	published := func(share float64, failed bool) (facts []HostFact) {
		f.states[1-k].RecordLatencyShare(hostName(0), share, failed)
		for range 100 {
			f.states[1-k].toggleInFlight(hostName(1)) // requests continue, so that digests may be sent
			for _, m := range f.packets {
				if m.from == k && m.at <= f.now+5*ms {
					facts = append(facts, New(testConfig(2, 1-k), 1).receiveAs(f.states[1-k], f.now, k, m.data)...)
				}
			}
			f.step()
		}
		return facts
	}
	for _, c := range []struct {
		share  float64
		failed bool
		want   float64
	}{{0.25, false, 0.26}, {0.5, false, 0.55}, {3, false, 1}, {0, true, 0}} {
		got := published(c.share, c.failed)
		got = slices.DeleteFunc(got, func(f HostFact) bool { return f.Host != hostName(0) })
		if len(got) != 1 || got[0].LatencyShare != c.want || got[0].Failing != c.failed {
			t.Errorf("%v: published %+v, want one fact with that latency share and failure", c, got)
		}
	}
}
