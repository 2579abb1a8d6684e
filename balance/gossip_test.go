package balance

import (
	"math"
	"testing"
)

// Eighty gateways, each of which contacts a host only every few seconds, receive the positions of hosts
// from one another. Reads then go to replicas, and few health checks are needed. Without gossip, every read
// would need a health check first, or would load the primary.
func TestGatewaysShareKnownPositions(t *testing.T) {
	checksFor400Reads := func(settings Settings) (*routerFleet, int) {
		fleet := newFleet(t, settings, hostList(5)...)
		fleet.run(1000*ms, boundedRead, 10*ms) // all gateways receive the positions of the hosts
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

// Replicas of unknown position must get reads, too. Otherwise no read would report their positions, so they
// would stay unknown and the replicas would never get reads with bounded staleness.
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
			t.Errorf("reads by host: %v of 500, want at least 60 at each replica", fleet.sent)
			break
		}
	}
}

// If one gateway receives the report of a promoted replica, the other gateways send writes to it without a
// search of their own.
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

// Gossip must not add a host that no endpoint list has named, restore a host that the list has removed, or
// decrease a position.
func TestGossipDoesNotOverrideTheEndpointList(t *testing.T) {
	fleet := newFleet(t, fleetSettings(2), hostList(3)...)
	fleet.run(300*ms, boundedRead, 5*ms)
	router := fleet.routers[0]
	position := router.hosts["h1"].position
	removed := []Endpoint{{Host: "h2", Group: 1, State: Removed}}
	router.Handle(fleet.now, Event{Kind: EndpointsEvent, Endpoints: removed}, nil)
	fleet.run(200*ms, boundedRead, 5*ms) // the other gateway still uses the host and reports it
	if host := router.hosts["h2"]; host != nil && !host.excluded {
		t.Error("a removed host came back by gossip")
	}
	if router.hosts["h1"].position < position {
		t.Error("a position decreased")
	}
}

// Of two replicas, reads go to the one with fewer attempts in flight from all gateways. The gateways must
// not move all reads at once; together they move as many as balance the difference. Outdated reports do not
// count.
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
		t.Fatalf("gossip reports %.0f attempts in flight at h1, there are %d; %.1f starting",
			load, inFlight, starting)
	}
	if share := float64(fleet.sent["h1"]) / float64(fleet.sent["h1"]+fleet.sent["h2"]); share > 0.3 {
		t.Errorf("%.2f of the reads went to the host that takes 40 times as long", share)
	}
	if load, starting := gossip.Load(fleet.now+5000*ms, "h1"); load != 0 || starting != 0 {
		t.Errorf("reports of 5 s ago still count: %.0f attempts in flight, %.1f starting", load, starting)
	}
}
