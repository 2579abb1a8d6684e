package balance

import "testing"

func TestReadGoesToAReplicaOnlyIfItsPositionSuffices(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		writeAge int64
		lag      int64 // of b and c
		want     string
	}{
		{"fresh enough", boundedRead, 0, 500 * ms, "replica"},
		{"too old", boundedRead, 0, 1500 * ms, "a"},
		{"write applied", sessionRead, 600 * ms, 500 * ms, "replica"},
		{"write not applied", sessionRead, 400 * ms, 500 * ms, "a"},
		{"no write", sessionRead, 0, 90000 * ms, "replica"},
		{"linearizable", linearizableRead, 0, 0, "a"},
		{"eventual", eventualRead, 0, 90000 * ms, "replica"},
	} {
		rig := newRig(t, testSettings(), threeHosts()...)
		rig.reportAll(rig.now - c.lag)
		id, actions := rig.requestAs(c.class, 5, c.writeAge)
		if sentTo(actions, id) == "" && hasCheck(actions) { // the read waits for positions of replicas
			rig.report("b", false, rig.now-c.lag)
			actions = append(rig.report("c", false, rig.now-c.lag), rig.advance(40*ms)...)
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
	rig := newRig(t, testSettings(), threeUnmarkedHosts()...)
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
	if host := sentTo(actions, id); host != "b" && host != "c" {
		t.Fatalf("the read went to %q, want a replica", host)
	}
}

// A host that answers with errors answers quickly, and therefore seems to have little load. Reads must go
// to the other hosts until its error share has decayed, and it is then tried again.
func TestFailingHostAttractsNoReads(t *testing.T) {
	rig := readyRig(t, testSettings())
	failedOf100 := func() int {
		failed := 0
		for range 100 {
			rig.now += ms
			id, actions := rig.request(eventualRead)
			host := sentTo(actions, id)
			if host != "b" {
				rig.answer(id, host, Succeeded, Replica, 0)
				continue
			}
			failed++
			rig.answer(id, host, Failed, Replica, 0)
			rig.disconnect(id)
		}
		return failed
	}
	first, second := failedOf100(), failedOf100()
	if first == 0 || second > first/2 || second > 10 {
		t.Errorf("the failing host got %d of 100 reads, then %d; want fewer", first, second)
	}
	rig.advance(20000 * ms)
	rig.reportAll(rig.now)
	if failedOf100() == 0 {
		t.Error("the host was not tried again after its error share had decayed")
	}
}

func TestReadWaitsForAPositionAndGoesToTheFreshReplica(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	if hasCheck(rig.advance(1000 * ms)) {
		t.Fatal("a host was checked without any request")
	}
	id, actions := rig.request(boundedRead)
	check := findAction(actions, HealthCheckAction, anyRequest)
	if check == nil || check.Host == "a" || sentTo(actions, id) != "" {
		t.Fatalf("want a health check of a replica and the read waiting for it: %+v", actions)
	}
	if host := sentTo(rig.report(check.Host, false, rig.now-100*ms), id); host != check.Host {
		t.Errorf("the read went to %q, not to the replica that reported a sufficient position", host)
	}
}

func TestReplicasWithOldPositionsShareReads(t *testing.T) {
	settings := testSettings()
	settings.HostsCheckStaleness = true
	rig := newRig(t, settings, threeHosts()...)
	rig.report("a", true, rig.now)
	sent := map[string]int{}
	for range 80 {
		rig.now += 1500 * ms // known positions are too old at every read, but the lag is small enough
		id, actions := rig.request(boundedRead)
		host := sentTo(actions, id)
		sent[host]++
		rig.answer(id, host, Succeeded, Replica, rig.now-200*ms)
	}
	if sent["b"] < 10 || sent["c"] < 10 {
		t.Errorf("reads went to %v, want them spread over b and c", sent)
	}
}

// The new connections of all gateways together are expensive for a host, so reads prefer connected hosts.
func TestReadsPreferConnectedHosts(t *testing.T) {
	fleet := newFleet(t, fleetSettings(1), hostList(3)...)
	fleet.run(300*ms, boundedRead, 5*ms)
	router := fleet.routers[0]
	connected, other := router.hosts["h1"], router.hosts["h2"]
	connected.connected = true
	other.connected = false
	req := &pendingRequest{class: &router.settings.Classes[boundedRead], group: router.groups[0]}
	chosen := 0
	for range 1000 {
		for _, host := range []*hostState{connected, other} {
			host.inFlight = nil
			host.position = router.now
		}
		if router.chooseReplica(req) == connected {
			chosen++
		}
	}
	if chosen < 800 || chosen == 1000 {
		t.Errorf("%d of 1000 reads were drawn for the connected host", chosen)
	}
}

// A long read may delay the replication of its host. All gateways therefore send long reads to the same
// replica, so that the others stay fresh. If that replica drains, the next one replaces it.
func TestLongReadsGoToOneReplica(t *testing.T) {
	for seed := range uint64(8) {
		rig := readyRig(t, longReadSettings())
		rig.router.rand.Below(int64(seed + 1))
		for range 20 {
			rig.now += 100 * ms
			for range 9 { // the other requests keep the mean cost low
				id, actions := rig.request(boundedRead)
				rig.answer(id, sentTo(actions, id), Succeeded, Replica, rig.now)
			}
			id, actions := rig.request(eventualRead)
			if host := sentTo(actions, id); host != "b" {
				t.Fatalf("a long read went to %q", host)
			}
			rig.answer(id, "b", Succeeded, Replica, rig.now)
		}
		rig.list(Endpoint{Host: "b", State: Draining, Weight: 1})
		if id, actions := rig.request(eventualRead); sentTo(actions, id) != "c" {
			t.Fatal("long reads do not go to the next replica")
		}
	}
}

func TestShortEventualReadsGoToAllReplicas(t *testing.T) {
	settings := longReadSettings()
	settings.Classes[eventualRead].LatencyObjective = 300 * ms
	rig := readyRig(t, settings)
	sent := rig.sendReads(eventualRead, 100, 10*ms)
	if sent["b"] < 20 || sent["c"] < 20 {
		t.Errorf("short reads went to %v", sent)
	}
}

// If hosts check staleness, a replica that lagged at its last report is tried again once it may have caught
// up; otherwise it would never report again. The wait is longer for a replica that lagged more.
func TestReplicaThatLaggedIsTriedAgain(t *testing.T) {
	rig := newRig(t, longReadSettings(), threeHosts()...)
	rig.reportAll(rig.now - 5000*ms)
	for _, c := range []struct {
		wait      int64
		toPrimary bool
	}{
		{0, true},
		{4000 * ms, true},
		{1500 * ms, false},
	} {
		rig.now += c.wait
		id, actions := rig.request(boundedRead)
		if host := sentTo(actions, id); host == "" || (host == "a") != c.toPrimary {
			t.Fatalf("%d ms later a read went to %q", c.wait/ms, host)
		}
		rig.disconnect(id)
	}
}
