package balance

import "testing"

func TestReadGoesToAReplicaOnlyIfItsPositionSuffices(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		since int64
		pos   int64 // of b and c, behind now
		want  string
	}{
		{"fresh enough", boundedRead, 0, 500 * ms, "replica"},
		{"too old", boundedRead, 0, 1500 * ms, "a"},
		{"token met", sessionRead, 600 * ms, 500 * ms, "replica"},
		{"token not met", sessionRead, 400 * ms, 500 * ms, "a"},
		{"no token", sessionRead, 0, 90000 * ms, "replica"},
		{"latest", linearizableRead, 0, 0, "a"},
		{"loose", eventualRead, 0, 90000 * ms, "replica"},
	} {
		rig := newRig(t, testSettings(), threeHosts()...)
		rig.reportAll(rig.now - c.pos)
		id, actions := rig.requestAs(c.class, 5, c.since)
		if sentTo(actions, id) == "" && findAction(actions, HealthCheckAction, -1) != nil { // it waits for a word of the replicas
			rig.report("b", false, rig.now-c.pos)
			actions = append(rig.report("c", false, rig.now-c.pos), rig.advance(40*ms)...)
		}
		got := sentTo(actions, id)
		if got == "b" || got == "c" {
			got = "replica"
		}
		if got != c.want {
			t.Errorf("%s: went to %q, want %q", c.name, got, c.want)
		}
	}
}

func TestGuessedPrimaryGetsNoConsistentRead(t *testing.T) {
	settings := testSettings()
	endpoints := threeHosts()
	endpoints[0].Primary = false
	rig := newRig(t, settings, endpoints...)
	for _, class := range []int{boundedRead, linearizableRead} {
		if id, actions := rig.request(class); sentTo(actions, id) != "" {
			t.Errorf("class %d went to a member of unknown position and role", class)
		}
	}
}

func TestReadTriesAnOldReplicaWhereHostsCheckStaleness(t *testing.T) {
	settings := testSettings()
	settings.HostsCheckStaleness = true
	rig := newRig(t, settings, threeHosts()...)
	rig.reportAll(rig.now - 10*ms)
	rig.now += 1500 * ms
	id, actions := rig.request(boundedRead)
	if h := sentTo(actions, id); h != "b" && h != "c" {
		t.Fatalf("the most advanced replica was not tried, but %q", h)
	}
}

// A host that answers errors is quick, and so looks idle: reads go to the others until it is tried again.
func TestFailingHostAttractsNoReads(t *testing.T) {
	rig := readyRig(t, testSettings())
	ask := func() (bad int) {
		for range 100 {
			rig.now += ms
			id, actions := rig.request(eventualRead)
			if h := sentTo(actions, id); h == "b" {
				bad++
				rig.answer(id, h, Failed, Replica, 0)
				rig.handle(Event{Kind: ClientDisconnectedEvent, Request: id})
			} else {
				rig.answer(id, h, Succeeded, Replica, 0)
			}
		}
		return bad
	}
	if first, then := ask(), ask(); first == 0 || then > first/2 || then > 10 {
		t.Errorf("got %d reads of 100, then %d", first, then)
	}
	rig.advance(20000 * ms)
	rig.reportAll(rig.now)
	if ask() == 0 {
		t.Error("never tried again")
	}
}

func TestReadWaitsForAPositionAndGoesToTheFreshReplica(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	if p := findAction(rig.advance(1000*ms), HealthCheckAction, -1); p != nil {
		t.Fatalf("%s was probed though nobody asked for anything", p.Host)
	}
	id, actions := rig.request(boundedRead)
	p := findAction(actions, HealthCheckAction, -1)
	if p == nil || p.Host == "a" || sentTo(actions, id) != "" {
		t.Fatalf("want a probe of a replica and the read waiting for it: %+v", actions)
	}
	if h := sentTo(rig.report(p.Host, false, rig.now-100*ms), id); h != p.Host {
		t.Errorf("the read went to %q, not to the replica that showed itself fresh", h)
	}
}

func TestReplicasOfOldPositionsShareReads(t *testing.T) {
	settings := testSettings()
	settings.HostsCheckStaleness = true
	rig := newRig(t, settings, threeHosts()...)
	rig.report("a", true, rig.now)
	got := map[string]int{}
	for range 80 {
		rig.now += 1500 * ms // what was heard is too old at every read, while the lag of late would do
		id, actions := rig.request(boundedRead)
		h := sentTo(actions, id)
		got[h]++
		rig.answer(id, h, Succeeded, Replica, rig.now-200*ms)
	}
	if got["b"] < 10 || got["c"] < 10 {
		t.Errorf("reads went to %v, want them spread over b and c", got)
	}
}

// New connections of all routers together cost hosts much: reads stay with those that a router is connected
// to.
func TestReadsPreferConnectedHosts(t *testing.T) {
	f := newFleet(t, fleetSettings(1), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	r.hosts["h1"].connected, r.hosts["h2"].connected = true, false
	req := &pendingRequest{class: &r.settings.Classes[boundedRead], group: r.groups[0]}
	n := 0
	for range 1000 {
		r.hosts["h1"].inFlight, r.hosts["h2"].inFlight = nil, nil
		r.hosts["h1"].position, r.hosts["h2"].position = r.now, r.now
		if r.chooseReplica(req) == r.hosts["h1"] {
			n++
		}
	}
	if n < 800 || n == 1000 {
		t.Errorf("%d of 1000 reads were drawn for the host with a connection", n)
	}
}

// A long read may keep a replica from applying the log: all routers give them to the same one, and the others
// stay fresh. Short ones of any age, and long ones where that replica is gone, go where there is room.
func TestLongReadsKeepToOneReplica(t *testing.T) {
	for seed := range uint64(8) {
		settings := unequalSettings()
		rig := readyRig(t, settings)
		rig.router.rand.Below(int64(seed + 1))
		for range 20 {
			rig.now += 100 * ms
			for range 9 { // what is long shows beside the others
				id, actions := rig.request(boundedRead)
				rig.answer(id, sentTo(actions, id), Succeeded, Replica, rig.now)
			}
			id, actions := rig.request(eventualRead)
			if h := sentTo(actions, id); h != "b" {
				t.Fatalf("a long read went to %q", h)
			}
			rig.answer(id, "b", Succeeded, Replica, rig.now)
		}
		rig.handle(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "b", State: Draining, Weight: 1}}})
		if id, actions := rig.request(eventualRead); sentTo(actions, id) != "c" {
			t.Fatal("the next replica does not take the long reads over")
		}
	}
	settings := unequalSettings()
	settings.Classes[eventualRead].LatencyObjective = 300 * ms
	rig := readyRig(t, settings)
	sent := map[string]int{}
	for range 100 {
		rig.now += 10 * ms
		id, actions := rig.request(eventualRead)
		sent[sentTo(actions, id)]++
		rig.answer(id, sentTo(actions, id), Succeeded, Replica, rig.now)
	}
	if sent["b"] < 20 || sent["c"] < 20 {
		t.Errorf("short reads: %v", sent)
	}
}

// Where hosts check reads, a replica that lagged when it was last heard is tried again, once it may have
// caught up: else nothing would tell that it has, and it stands idle. One that lagged much is left alone for
// longer.
func TestReplicaThatLaggedIsTriedAgain(t *testing.T) {
	rig := newRig(t, unequalSettings(), threeHosts()...)
	rig.reportAll(rig.now - 5000*ms)
	for _, c := range []struct {
		wait    int64
		primary bool
	}{{0, true}, {4000 * ms, true}, {1500 * ms, false}} {
		rig.now += c.wait
		id, actions := rig.request(boundedRead)
		if h := sentTo(actions, id); h == "" || (h == "a") != c.primary {
			t.Fatalf("%v ms later a read went to %q", c.wait/ms, h)
		}
		rig.handle(Event{Kind: ClientDisconnectedEvent, Request: id})
	}
}
