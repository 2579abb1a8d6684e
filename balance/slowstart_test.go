package balance

import (
	"fmt"
	"math"
	"testing"
)

func TestColdHostGetsAtMostItsSlowStartShare(t *testing.T) {
	settings := testSettings()
	settings.RequestsCarrySessionAge = true
	rig := readyRig(t, settings)
	rig.handle(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "b", State: Ready, Weight: 1, StartedAt: rig.now}}})
	sent := map[string]int{}
	for i := 0; i < 400; i++ { // two seconds, 200 a second, every answer at once
		rig.now += 5 * ms
		id, actions := rig.request(eventualRead)
		h := sentTo(actions, id)
		sent[h]++
		if h != "" {
			rig.answer(id, h, Succeeded, Replica, 0)
		}
		if i%4 == 0 {
			rig.handle(Event{Kind: TimerEvent})
		}
	}
	warm := float64(sent["c"])
	if most := warm * settings.SlowStartInitialShare * settings.SlowStartOverloadFactor; float64(sent["b"]) > most || sent["b"] == 0 {
		t.Fatalf("a cold host took %d while a warm one took %v", sent["b"], warm)
	}
}

func TestGroupThatIsColdAsAWholeServesOn(t *testing.T) {
	rig := readyRig(t, testSettings())
	serve := func(n int) (sent int) { // n requests, 100 a second, answered at once
		for i := range n {
			rig.now += 10 * ms
			id, actions := rig.request(eventualRead)
			if h := sentTo(actions, id); h != "" {
				sent++
				rig.answer(id, h, Succeeded, Replica, rig.now)
			}
			if i%2 == 0 {
				rig.handle(Event{Kind: TimerEvent})
			}
		}
		return sent
	}
	serve(500)
	endpoints := threeHosts()
	for i := range endpoints {
		endpoints[i].Primary, endpoints[i].StartedAt = false, rig.now
	}
	rig.handle(Event{Kind: EndpointsEvent, Endpoints: endpoints})
	// Warm members took some 33 a second each: a cold one may have a fifth of that, and more as it warms.
	if sent := serve(300); sent < 30 || sent > 150 {
		t.Fatalf("%d of 300 requests sent to a group that is cold as a whole", sent)
	}
}

func TestHundredsOfGatewaysKeepAColdHostWithinItsShare(t *testing.T) {
	settings := testSettings()
	const routers = 300
	sent, normal := 0, 0
	for seed := range uint64(routers) {
		r, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		rig := &routerRig{t: t, router: r, now: base, attempts: map[int64]int{}}
		rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts()})
		rig.reportAll(rig.now)
		ask := func() (toC int) { // one read of any member, answered at once
			id, actions := rig.request(eventualRead)
			h := sentTo(actions, id)
			rig.answer(id, h, Succeeded, RoleUnknown, rig.now)
			if h == "c" {
				toC++
			}
			return toC
		}
		for range 20 { // thin traffic: a request in two seconds
			rig.advance(2000 * ms)
			normal += ask()
		}
		endpoints := threeHosts()
		endpoints[2].StartedAt = rig.now
		rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: endpoints})
		rig.advance(1000 * ms)
		sent += ask()
	}
	// In these 40 s the warm host had some 10 attempts a router. Cold, it may have no more in two seconds
	// than the multiple of a cold host's part of that.
	most := float64(normal) / 40 * 2 * settings.SlowStartOverloadFactor * (settings.SlowStartInitialShare + 0.1)
	if float64(sent) > most || sent == 0 {
		t.Errorf("%d routers sent a cold host %d, want some and at most %.0f", routers, sent, most)
	}
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
