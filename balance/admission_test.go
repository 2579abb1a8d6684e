package balance

import "testing"

func TestTimeoutsCutTheConcurrencyLimit(t *testing.T) {
	rig := readyRig(t, testSettings())
	host := rig.router.hosts["b"]
	host.concurrencyLimit = 40
	req := &pendingRequest{class: &rig.router.settings.Classes[boundedRead]}
	for range 40 { // half of the attempts are served quickly, half run out of time
		rig.now += 50 * ms
		rig.router.now = rig.now
		rig.router.recordLatency(host, req, 100*ms, true)
		req.sentAt = rig.now - 500*ms
		rig.router.recordLatency(host, req, 500*ms, false)
	}
	if host.concurrencyLimit > 20 {
		t.Fatalf("limit still %.1f", host.concurrencyLimit)
	}
}

func TestOverloadedHostIsPaused(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(keyedWrite)
	if sentTo(actions, id) != "a" {
		t.Fatal("want the write at the primary")
	}
	if actions := rig.answer(id, "a", Overloaded, Primary, 0); sentTo(actions, id) != "" {
		t.Error("a host that had no room was asked again at once")
	}
	if actions := rig.advance(200 * ms); sentTo(actions, id) != "a" {
		t.Error("the write was not sent again after the rest")
	}
}

// A router of hundreds meets a host once in some seconds, and knows few well. If all its attempts together
// take all of their aim, most reads are kept from each host; a write is not, and once they fare well again
// nothing is.
func TestSparseTrafficShedsReadsByTheOverloadOfAllHosts(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.router.now = rig.now
	a, b := rig.router.hosts["a"], rig.router.hosts["b"]
	read := &pendingRequest{class: &rig.router.settings.Classes[boundedRead], shedRank: 0.9}
	room := func() bool { read.shed = false; return rig.router.admits(read, a) }
	if !room() || read.shed {
		t.Error("spared before anything is known")
	}
	for range 200 {
		rig.router.recordLatencyShare(b, 1)
	}
	if room() || !read.shed {
		t.Error("not spared, although all attempts take their aim")
	}
	if rig.router.traffic.requestRatePerHost = 2; !room() {
		t.Error("spared by a router that meets each host often")
	}
	rig.router.traffic.requestRatePerHost = 0.5
	if write := (&pendingRequest{class: &rig.router.settings.Classes[unsafeWrite], shedRank: 0.9}); !rig.router.admits(write, a) {
		t.Error("a write is kept from its primary")
	}
	for range 200 {
		rig.router.recordLatencyShare(b, 0.9)
	}
	if !room() {
		t.Error("spared, although all attempts are answered in their aim")
	}
}

// A read that no host is to be burdened with is refused so that it does not come back while they are busy.
func TestShedReadIsToComeBackLate(t *testing.T) {
	f := newFleet(t, fleetSettings(1), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	for _, m := range r.groups[0].members {
		m.latencyShare = 1
	}
	id := int64(1 << 40)
	actions := r.Handle(f.now, Event{Kind: RequestEvent, Request: id, Class: boundedRead, Group: 1, Deadline: f.now + 1000*ms}, nil)
	if a := findAction(actions, SendAction, id); a != nil {
		t.Fatalf("sent to %s, whose answers take all of their aim", a.Host)
	}
	for now := f.now; now < f.now+600*ms; now += 20 * ms {
		if a := findAction(r.Handle(now, Event{Kind: TimerEvent}, nil), RejectAction, id); a != nil {
			if a.RetryAfter < r.settings.MaxRetryAfter*7/8 {
				t.Errorf("refused until in %d ms", a.RetryAfter/ms)
			}
			return
		}
	}
	t.Error("not refused by half of its time")
}

// Few routers must each be able to have more than one attempt out, or a host's cores stand idle; of many, or
// of a number not known, one each is enough.
func TestMinimumLimitDependsOnTheNumberOfGateways(t *testing.T) {
	for routers, want := range map[int]int{0: 1, 1: 4, 2: 3, 3: 2, 80: 1, 1000: 1} {
		settings := testSettings()
		settings.Gateways = routers
		rig := readyRig(t, settings)
		host := rig.router.hosts["a"]
		for range 100 {
			rig.router.now += 1000 * ms
			rig.router.adjustLimit(host, 1)
		}
		may := 0
		for req := (&pendingRequest{class: &settings.Classes[unsafeWrite]}); rig.router.admits(req, host); may++ {
			host.inFlight = append(host.inFlight, req)
		}
		if may != want {
			t.Errorf("%d routers: %d attempts of each at a crowded host, want %d", routers, may, want)
		}
	}
}
