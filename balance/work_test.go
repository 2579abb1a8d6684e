package balance

import (
	"fmt"
	"math"
	"testing"
)

// unequalSettings is a deployment whose reads of any age take fifteen times the work of others.
func unequalSettings() Settings {
	settings := testSettings()
	settings.HostsCheckStaleness, settings.Gateways = true, 3
	settings.Classes[eventualRead].LatencyObjective, settings.Classes[eventualRead].Deadline = 6000*ms, 12000*ms
	return settings
}

// A cold host's budget is of work: long reads, each a request like any other, pushed hosts over while it
// counted requests.
func TestColdHostIsPacedByWork(t *testing.T) {
	rig := readyRig(t, unequalSettings())
	work := map[string]float64{}
	serve := func(d int64, every int64) { // 200 requests a second, one of so many a long one, all answered at once
		for end := rig.now + d; rig.now < end; {
			rig.now += 5 * ms
			actions := rig.handle(Event{Kind: TimerEvent})
			class := boundedRead
			if rig.lastRequest%every == 0 {
				class = eventualRead
			}
			_, more := rig.request(class)
			for actions = append(actions, more...); len(actions) > 0; actions = actions[1:] {
				req := rig.router.requests[actions[0].Request]
				if actions[0].Kind != SendAction || req == nil || req.host == nil {
					continue
				}
				took := 20 * ms
				if req.classIndex == eventualRead {
					took *= 15
				}
				work[req.host.id] += float64(took)
				actions = append(actions, rig.handle(Event{Kind: OutcomeEvent, Request: req.id, Attempt: req.attempt, Host: req.host.id, Result: Succeeded,
					Role: req.host.role, Position: rig.now, Latency: took, Finished: true})...)
			}
		}
	}
	serve(3000*ms, 10)
	warm := (work["a"] + work["b"] + work["c"]) / 3 / 3 // a host and second
	clear(work)
	endpoints := threeHosts()
	for i := range endpoints {
		endpoints[i].Primary, endpoints[i].StartedAt = false, rig.now
	}
	rig.handle(Event{Kind: EndpointsEvent, Endpoints: endpoints})
	serve(1000*ms, 1)
	for h, w := range work {
		if most := warm * (rig.router.settings.SlowStartInitialShare + 0.1) * rig.router.settings.SlowStartOverloadFactor; w > most {
			t.Errorf("cold %s took %.0f ms of work in a second, %.0f at most", h, w/1e3, most/1e3)
		}
	}
	if serve(1000*ms, 10); work["b"]+work["c"] == 0 {
		t.Error("cold hosts get no short reads either")
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

// What all routers together send a host that has just started stays under what lets it fall over: more than N
// + 2 x root of N + 2 requests of mean work in the stated time, N being what it may have then. A fifth more
// is asked than warm hosts could do. So it does if a third of the routers hear of the start late, and if
// another third starts meanwhile.
func TestFleetOfAnySizeDoesNotOverloadAColdHost(t *testing.T) {
	for _, d := range []struct {
		name     string
		cold     func(*Settings)
		capacity float64 // of a warm host, requests a second
	}{
		{"regina", func(s *Settings) {
			s.SlowStartInitialShare, s.SlowStartDuration, s.SlowStartOverloadFactor, s.SlowStartOverloadWindow = 0.25, 16000*ms, 4, 1500*ms
		}, 66},
		{"karbejelentes", func(s *Settings) {
			s.SlowStartInitialShare, s.SlowStartDuration, s.SlowStartOverloadFactor, s.SlowStartOverloadWindow = 0.17, 14000*ms, 2.5, 1000*ms
		}, 40},
		{"cairo", func(s *Settings) {
			s.SlowStartInitialShare, s.SlowStartDuration, s.SlowStartOverloadFactor, s.SlowStartOverloadWindow = 0.19, 18000*ms, 3, 1500*ms
		}, 60},
		{"a low multiple", func(s *Settings) {
			s.SlowStartInitialShare, s.SlowStartDuration, s.SlowStartOverloadFactor, s.SlowStartOverloadWindow = 0.15, 20000*ms, 1.5, 800*ms
		}, 30},
	} {
		for _, routers := range []int{1, 3, 20, 30, 80, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", d.name, routers), func(t *testing.T) {
				t.Parallel()
				const use = 1.2
				settings := fleetSettings(routers)
				d.cold(&settings)
				const hosts = 5
				f := newFleet(t, settings, hostList(hosts)...)
				every := int64(1e6 / (use * d.capacity * hosts))
				f.run(8000*ms, eventualRead, every)
				var sent []int64
				cold := hostList(hosts)[hosts-1]
				cold.StartedAt = f.now
				f.serviceTime = func(h string, _ int) (int64, Result) {
					if h == cold.Host {
						sent = append(sent, f.now)
					}
					return 50 * ms, Succeeded
				}
				var late, warm int
				for i := range f.routers {
					if routers >= 3 && i%3 == 0 {
						late++
						continue
					}
					f.handle(i, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{cold}})
				}
				f.run(2000*ms, eventualRead, every)
				unaware := len(sent) // what those sent that had not been told is not the fleet's fault
				for i := range f.routers {
					f.handle(i, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{cold}})
					if routers >= 3 && i%3 == 1 {
						f.restart(i, append(hostList(hosts)[:hosts-1:hosts-1], cold))
						warm++
					}
				}
				if late+warm > 0 {
					sent = sent[unaware:]
				}
				f.run(settings.SlowStartDuration-2000*ms, eventualRead, every)
				worst, first := 0.0, 0
				for i, at := range sent {
					for at-sent[first] >= settings.SlowStartOverloadWindow {
						first++
					}
					from := max(at-settings.SlowStartOverloadWindow, cold.StartedAt)
					ramp := settings.SlowStartInitialShare + (1-settings.SlowStartInitialShare)*float64(from-cold.StartedAt)/float64(settings.SlowStartDuration)
					n := settings.SlowStartOverloadFactor * ramp * d.capacity * float64(settings.SlowStartOverloadWindow) / 1e6
					worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
				}
				if worst > 0.9 || len(sent) == 0 {
					t.Errorf("%d sent, at most %.2f of what it bears", len(sent), worst)
				} else {
					t.Logf("%d sent, at most %.2f of what it bears", len(sent), worst)
				}
			})
		}
	}
}
