package balance

import (
	"math"
	"testing"
)

// Eighty routers that each see a host once in seconds know its position from one another: reads go to
// replicas, and few probes are needed. Without their messages every read would ask first, or burden the
// primary.
func TestGatewaysShareKnownPositions(t *testing.T) {
	alone := fleetSettings(80)
	alone.GossipBytesPerRequest = 0
	var probes [2]int
	for i, settings := range []Settings{fleetSettings(80), alone} {
		f := newFleet(t, settings, hostList(5)...)
		f.run(1000*ms, boundedRead, 10*ms) // all get to know the hosts
		f.probes, f.sent = 0, map[string]int{}
		f.run(4000*ms, boundedRead, 10*ms) // 100 a second, 1.25 each
		probes[i] = f.probes
		if i == 0 && f.sent["h0"] > 40 {
			t.Errorf("%d of 400 reads went to the primary", f.sent["h0"])
		}
		if i == 0 && float64(f.bytes) > 400*500+80*64*400 {
			t.Errorf("%d bytes delivered", f.bytes)
		}
	}
	if probes[0] > 100 || probes[1] < 3*probes[0] {
		t.Errorf("%d probes for 400 reads, %d without messages", probes[0], probes[1])
	}
}

// The replicas that are heard first do not keep the others out: who is not heard gets no bounded reads, and
// would not be heard for want of them.
func TestReplicasOfUnknownPositionGetReadsToo(t *testing.T) {
	f := newFleet(t, fleetSettings(20), hostList(5)...)
	for i := range f.routers { // one replica is known, as after a calm time in which few reads came
		f.routers[i].hosts["h1"].position, f.routers[i].hosts["h1"].positionHeardAt = f.now, f.now
	}
	f.run(1000*ms, boundedRead, 8*ms)
	f.sent = map[string]int{}
	f.run(4000*ms, boundedRead, 8*ms) // 500 reads
	for _, h := range []string{"h1", "h2", "h3", "h4"} {
		if f.sent[h] < 60 {
			t.Errorf("%v of 500 reads at the hosts", f.sent)
			break
		}
	}
}

// A replica's promotion, seen by one router, lets the others' writes go without a search of their own.
func TestNewPrimaryIsToldToAllGateways(t *testing.T) {
	f := newFleet(t, fleetSettings(80), hostList(5)...)
	f.run(500*ms, boundedRead, 10*ms)
	f.roleOf = func(h string) Role {
		if h == "h3" {
			return Primary
		}
		return Replica
	}
	f.handle(7, Event{Kind: HealthCheckEvent, Host: "h3", Result: Succeeded, Latency: ms,
		Report: HostReport{HasPosition: true, HasRole: true, Primary: true, Position: f.now}})
	f.run(100*ms, boundedRead, 50*ms)
	for i, r := range f.routers {
		if p := r.groups[0].primary; p == nil || p.id != "h3" {
			t.Fatalf("router %d does not know the new primary after 100 ms", i)
		}
	}
}

// A message can't name a host that no list has, revive one that the list has dropped, or move a position
// back.
func TestGossipDoesNotOverruleTheEndpointList(t *testing.T) {
	f := newFleet(t, fleetSettings(2), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	pos := r.hosts["h1"].position
	r.Handle(f.now, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "h2", Group: 1, State: Removed}}}, nil)
	f.run(200*ms, boundedRead, 5*ms) // the other still hears and tells of it
	if host := r.hosts["h2"]; host != nil && !host.excluded {
		t.Error("a host that is gone came back by hearsay")
	}
	if r.hosts["h1"].position < pos {
		t.Error("a position went back")
	}
}

// Of two replicas, the one goes first that has less out by all accounts, but not for all routers at once:
// what they move together evens out the difference. What is old counts nothing.
func TestLoadOfOtherGatewaysCounts(t *testing.T) {
	const routers = 20
	f := newFleet(t, fleetSettings(routers), hostList(3)...)
	slow := int64(400 * ms)
	f.serviceTime = func(h string, _ int) (int64, Result) {
		if h == "h1" {
			return slow, Succeeded
		}
		return 10 * ms, Succeeded
	}
	f.run(3000*ms, boundedRead, 2*ms)
	r := f.routers[0]
	out := func(h string) (n int) {
		for _, r := range f.routers {
			n += len(r.hosts[h].inFlight)
		}
		return n
	}
	n, coming := r.gossip.Load(f.now, "h1")
	if all := out("h1"); math.Abs(n-float64(all)) > 4 || n == 0 || coming <= 0 {
		t.Fatalf("%.0f out at h1 by all accounts, in truth %d; %.1f coming", n, all, coming)
	}
	if share := float64(f.sent["h1"]) / float64(f.sent["h1"]+f.sent["h2"]); share > 0.3 {
		t.Errorf("%.2f of the reads went to the host that takes 40 times as long", share)
	}
	if n, coming := r.gossip.Load(f.now+5000*ms, "h1"); n != 0 || coming != 0 {
		t.Errorf("news of 5 s ago count: %.0f out, %.1f coming", n, coming)
	}
}
