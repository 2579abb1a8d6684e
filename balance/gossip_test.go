package balance

import (
	"math"
	"testing"
)

// Eighty gateways that each contact a host only every few seconds receive its position from one another:
// reads go to replicas, and few health checks are needed. Without gossip every read would need a health check
// first, or load the primary.
func TestGatewaysShareKnownPositions(t *testing.T) {
	checksFor400Reads := func(settings Settings) (*routerFleet, int) {
		fleet := newFleet(t, settings, hostList(5)...)
		fleet.run(1000*ms, boundedRead, 10*ms) // all receive the positions of the hosts
		fleet.checks = 0
		fleet.sent = map[string]int{}
		fleet.run(4000*ms, boundedRead, 10*ms) // 100 reads per second, 1.25 per gateway
		return fleet, fleet.checks
	}
	fleet, checks := checksFor400Reads(fleetSettings(80))
	if fleet.sent["h0"] > 40 {
		t.Errorf("%d of 400 reads went to the primary", fleet.sent["h0"])
	}
	if fleet.gossipBytes > 400*500+80*64*400 {
		t.Errorf("%d bytes of gossip delivered", fleet.gossipBytes)
	}
	withoutGossip := fleetSettings(80)
	withoutGossip.GossipBytesPerRequest = 0
	_, checksWithoutGossip := checksFor400Reads(withoutGossip)
	if checks > 100 || checksWithoutGossip < 3*checks {
		t.Errorf("%d health checks for 400 reads, %d without gossip", checks, checksWithoutGossip)
	}
}

// Replicas of unknown position get reads too. Otherwise they would get no reads with bounded staleness, and
// their positions would stay unknown.
func TestReplicasOfUnknownPositionGetReadsToo(t *testing.T) {
	fleet := newFleet(t, fleetSettings(20), hostList(5)...)
	for _, router := range fleet.routers { // the position of one replica is known, as after few reads
		router.hosts["h1"].position = fleet.now
		router.hosts["h1"].positionReceivedAt = fleet.now
	}
	fleet.run(1000*ms, boundedRead, 8*ms)
	fleet.sent = map[string]int{}
	fleet.run(4000*ms, boundedRead, 8*ms) // 500 reads
	for _, host := range []string{"h1", "h2", "h3", "h4"} {
		if fleet.sent[host] < 60 {
			t.Errorf("%v of 500 reads at the hosts", fleet.sent)
			break
		}
	}
}

// A replica's promotion, seen by one gateway, lets the others send writes without a search of their own.
func TestNewPrimaryIsPublishedToAllGateways(t *testing.T) {
	fleet := newFleet(t, fleetSettings(80), hostList(5)...)
	fleet.run(500*ms, boundedRead, 10*ms)
	fleet.roleOf = primaryIs("h3")
	fleet.handle(7, Event{
		Kind: HealthCheckEvent, Host: "h3", Result: Succeeded, Latency: ms,
		Report: HostReport{HasPosition: true, HasRole: true, Primary: true, Position: fleet.now},
	})
	fleet.run(100*ms, boundedRead, 50*ms)
	for i, router := range fleet.routers {
		if primary := router.groups[0].primary; primary == nil || primary.id != "h3" {
			t.Fatalf("gateway %d has not confirmed the new primary after 100 ms", i)
		}
	}
}

// Gossip can't add a host that no endpoint list has, restore one that the list has removed, or decrease a
// position.
func TestGossipDoesNotOverrideTheEndpointList(t *testing.T) {
	fleet := newFleet(t, fleetSettings(2), hostList(3)...)
	fleet.run(300*ms, boundedRead, 5*ms)
	router := fleet.routers[0]
	position := router.hosts["h1"].position
	removed := []Endpoint{{Host: "h2", Group: 1, State: Removed}}
	router.Handle(fleet.now, Event{Kind: EndpointsEvent, Endpoints: removed}, nil)
	fleet.run(200*ms, boundedRead, 5*ms) // the other gateway still uses and reports it
	if host := router.hosts["h2"]; host != nil && !host.excluded {
		t.Error("a removed host came back by gossip")
	}
	if router.hosts["h1"].position < position {
		t.Error("a position decreased")
	}
}

// Of two replicas, reads go to the one with fewer attempts in flight from all gateways, but not all reads of
// all gateways at once: together they move as many as balance the difference. Outdated reports don't count.
func TestReadsGoToTheHostLessLoadedByAllGateways(t *testing.T) {
	fleet := newFleet(t, fleetSettings(20), hostList(3)...)
	fleet.serviceTime = func(host string, _ int) (int64, Result) {
		if host == "h1" {
			return 400 * ms, Succeeded
		}
		return 10 * ms, Succeeded
	}
	fleet.run(3000*ms, boundedRead, 2*ms)
	inFlight := 0
	for _, router := range fleet.routers {
		inFlight += len(router.hosts["h1"].inFlight)
	}
	gossip := fleet.routers[0].gossip
	load, starting := gossip.Load(fleet.now, "h1")
	if math.Abs(load-float64(inFlight)) > 4 || load == 0 || starting <= 0 {
		t.Fatalf("%.0f in flight at h1 by gossip, actually %d; %.1f starting", load, inFlight, starting)
	}
	if share := float64(fleet.sent["h1"]) / float64(fleet.sent["h1"]+fleet.sent["h2"]); share > 0.3 {
		t.Errorf("%.2f of the reads went to the host that takes 40 times as long", share)
	}
	if load, starting := gossip.Load(fleet.now+5000*ms, "h1"); load != 0 || starting != 0 {
		t.Errorf("reports of 5 s ago count: %.0f in flight, %.1f starting", load, starting)
	}
}
