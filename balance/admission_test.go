package balance

import "testing"

func TestTimeoutsCutTheConcurrencyLimit(t *testing.T) {
	rig := readyRig(t, testSettings())
	host := rig.host("b")
	host.concurrencyLimit = 40
	req := &pendingRequest{class: rig.class(boundedRead)}
	for range 40 { // half of the attempts are answered quickly, half time out
		rig.now += 50 * ms
		rig.router.now = rig.now
		rig.router.recordLatency(host, req, 100*ms, true)
		req.sentAt = rig.now - 500*ms
		rig.router.recordLatency(host, req, 500*ms, false)
	}
	if host.concurrencyLimit > 20 {
		t.Fatalf("concurrency limit %.1f, want at most 20", host.concurrencyLimit)
	}
}

func TestOverloadedHostIsPaused(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(keyedWrite)
	if sentTo(actions, id) != "a" {
		t.Fatal("want the write at the primary")
	}
	if actions := rig.answer(id, "a", Overloaded, Primary, 0); sentTo(actions, id) != "" {
		t.Error("a host without capacity got the request again at once")
	}
	if actions := rig.advance(200 * ms); sentTo(actions, id) != "a" {
		t.Error("the write was not sent again after the pause")
	}
}

// A gateway among hundreds contacts each host only every few seconds, too seldom to judge a single host. If
// its attempts at all hosts together take all of their latency objectives, it sheds most reads, but no
// writes. It sheds nothing once attempts are quick again.
func TestSparseTrafficShedsReadsByTheOverloadOfAllHosts(t *testing.T) {
	rig := readyRig(t, testSettings())
	router := rig.router
	router.now = rig.now
	host, other := rig.host("a"), rig.host("b")
	read := &pendingRequest{class: rig.class(boundedRead), shedRank: 0.9}
	write := &pendingRequest{class: rig.class(unsafeWrite), shedRank: 0.9}
	admitsRead := func() bool {
		read.shed = false
		return router.admits(read, host)
	}
	if !admitsRead() || read.shed {
		t.Error("the read was shed before any latency was measured")
	}
	for range 200 {
		router.recordLatencyShare(other, 1)
	}
	if admitsRead() || !read.shed {
		t.Error("the read was not shed, although all attempts take their latency objectives")
	}
	router.traffic.requestRatePerHost = 2
	if !admitsRead() {
		t.Error("the read was shed by a gateway that contacts each host often")
	}
	router.traffic.requestRatePerHost = 0.5
	if !router.admits(write, host) {
		t.Error("a write was shed")
	}
	for range 200 {
		router.recordLatencyShare(other, 0.9)
	}
	if !admitsRead() {
		t.Error("the read was shed, although all attempts are answered within their latency objectives")
	}
}

// The client of a shed read must not retry while the hosts are still overloaded.
func TestShedReadIsRejectedWithALongRetryAfter(t *testing.T) {
	fleet := newFleet(t, fleetSettings(1), hostList(3)...)
	fleet.run(300*ms, boundedRead, 5*ms)
	router := fleet.routers[0]
	for _, member := range router.groups[0].members {
		member.latencyShare = 1
	}
	id := int64(1 << 40)
	actions := router.Handle(fleet.now, Event{
		Kind: RequestEvent, Request: id, Class: boundedRead, Group: 1, Deadline: fleet.now + 1000*ms,
	}, nil)
	if host := sentTo(actions, id); host != "" {
		t.Fatalf("the read was sent to %s, whose answers take all of their latency objectives", host)
	}
	for now := fleet.now; now < fleet.now+600*ms; now += 20 * ms {
		actions := router.Handle(now, Event{Kind: TimerEvent}, nil)
		rejection := findAction(actions, RejectAction, id)
		if rejection == nil {
			continue
		}
		if rejection.RetryAfter < router.settings.MaxRetryAfter*7/8 {
			t.Errorf("rejected with a retry after %d ms, want at least 7/8 of the maximum",
				rejection.RetryAfter/ms)
		}
		return
	}
	t.Error("the read was not rejected after half of its time")
}

// In a small fleet, each gateway must be allowed several attempts in flight, or some cores of a host stay
// idle. In a large fleet, or one of unknown size, one attempt is enough.
func TestMinimumLimitDependsOnTheNumberOfGateways(t *testing.T) {
	for gateways, want := range map[int]int{0: 1, 1: 4, 2: 3, 3: 2, 80: 1, 1000: 1} {
		settings := testSettings()
		settings.Gateways = gateways
		rig := readyRig(t, settings)
		host := rig.host("a")
		for range 100 {
			rig.router.now += 1000 * ms
			rig.router.adjustLimit(host, 1)
		}
		req := &pendingRequest{class: rig.class(unsafeWrite)}
		admitted := 0
		for rig.router.admits(req, host) {
			host.inFlight = append(host.inFlight, req)
			admitted++
		}
		if admitted != want {
			t.Errorf("%d gateways: each may have %d attempts in flight at a busy host, want %d",
				gateways, admitted, want)
		}
	}
}
