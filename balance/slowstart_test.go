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
	rig.list(Endpoint{Host: "b", State: Ready, Weight: 1, StartedAt: rig.now})
	sent := map[string]int{}
	for i := range 400 { // two seconds, 200 requests per second, all answered at once
		rig.now += 5 * ms
		id, actions := rig.request(eventualRead)
		host := sentTo(actions, id)
		sent[host]++
		if host != "" {
			rig.answer(id, host, Succeeded, Replica, 0)
		}
		if i%4 == 0 {
			rig.handle(Event{Kind: TimerEvent})
		}
	}
	warm := float64(sent["c"])
	most := warm * settings.SlowStartInitialShare * settings.SlowStartOverloadFactor
	if float64(sent["b"]) > most || sent["b"] == 0 {
		t.Fatalf("the cold host got %d requests, too many or none; the warm one %v", sent["b"], warm)
	}
}

// listAllAsStarted lists threeHosts as just started, without a primary.
func (rig *routerRig) listAllAsStarted() {
	endpoints := threeUnmarkedHosts()
	for i := range endpoints {
		endpoints[i].StartedAt = rig.now
	}
	rig.list(endpoints...)
}

func TestGroupOfColdHostsStillServes(t *testing.T) {
	rig := readyRig(t, testSettings())
	serve := func(requests int) int { // 100 requests per second, answered at once
		sent := 0
		for i := range requests {
			rig.now += 10 * ms
			id, actions := rig.request(eventualRead)
			if host := sentTo(actions, id); host != "" {
				sent++
				rig.answer(id, host, Succeeded, Replica, rig.now)
			}
			if i%2 == 0 {
				rig.handle(Event{Kind: TimerEvent})
			}
		}
		return sent
	}
	serve(500)
	rig.listAllAsStarted()
	// Each warm member served about 33 requests per second. A cold member may get a fifth of that, and more
	// as it warms up.
	if sent := serve(300); sent < 30 || sent > 150 {
		t.Fatalf("%d of 300 requests sent to a group of cold hosts, want 30 to 150", sent)
	}
}

func TestHundredsOfGatewaysKeepAColdHostWithinItsShare(t *testing.T) {
	settings := testSettings()
	const gateways = 300
	sentWarm, sentCold := 0, 0
	for seed := range uint64(gateways) {
		rig := newSeededRig(t, settings, seed, threeHosts()...)
		rig.reportAll(rig.now)
		sendRead := func() int { // sends a read, answers it at once; returns 1 if c got it
			id, actions := rig.request(eventualRead)
			host := sentTo(actions, id)
			rig.answer(id, host, Succeeded, RoleUnknown, rig.now)
			if host == "c" {
				return 1
			}
			return 0
		}
		for range 20 { // sparse traffic: one request every two seconds
			rig.advance(2000 * ms)
			sentWarm += sendRead()
		}
		endpoints := threeHosts()
		endpoints[2].StartedAt = rig.now
		rig.listAll(endpoints...)
		rig.advance(1000 * ms)
		sentCold += sendRead()
	}
	// In these 40 s the warm host got about 10 attempts from each gateway. In two seconds, a cold host may
	// get at most the overload factor times its capacity share of that rate.
	coldShare := settings.SlowStartInitialShare + 0.1
	most := float64(sentWarm) / 40 * 2 * settings.SlowStartOverloadFactor * coldShare
	if float64(sentCold) > most || sentCold == 0 {
		t.Errorf("%d gateways sent a cold host %d requests, want some and at most %.0f",
			gateways, sentCold, most)
	}
}

// serveMixedReads sends 200 requests per second, answers them at once, and adds their service time, in µs,
// to the work of their hosts. One in longEvery requests is an eventual read, which takes 15 times as long
// as the others.
func (rig *routerRig) serveMixedReads(duration, longEvery int64, work map[string]float64) {
	for end := rig.now + duration; rig.now < end; {
		rig.now += 5 * ms
		actions := rig.handle(Event{Kind: TimerEvent})
		class := boundedRead
		if rig.lastRequest%longEvery == 0 {
			class = eventualRead
		}
		_, more := rig.request(class)
		actions = append(actions, more...)
		for ; len(actions) > 0; actions = actions[1:] {
			req := rig.router.requests[actions[0].Request]
			if actions[0].Kind == SendAction && req != nil && req.host != nil {
				actions = append(actions, rig.answerMixedRead(req, work)...)
			}
		}
	}
}

func (rig *routerRig) answerMixedRead(req *pendingRequest, work map[string]float64) []Action {
	latency := 20 * ms
	if req.classIndex == eventualRead {
		latency *= 15
	}
	work[req.host.id] += float64(latency)
	return rig.handle(Event{
		Kind:     OutcomeEvent,
		Request:  req.id,
		Attempt:  req.attempt,
		Host:     req.host.id,
		Result:   Succeeded,
		Role:     req.host.role,
		Position: rig.now,
		Latency:  latency,
		Finished: true,
	})
}

// The token bucket of a cold host counts work. If it counted requests, long reads would overload the host.
func TestColdHostIsPacedByWork(t *testing.T) {
	rig := readyRig(t, longReadSettings())
	work := map[string]float64{}
	rig.serveMixedReads(3000*ms, 10, work)
	warm := (work["a"] + work["b"] + work["c"]) / 3 / 3 // for each host and second
	clear(work)
	rig.listAllAsStarted()
	rig.serveMixedReads(1000*ms, 1, work)
	settings := &rig.router.settings
	most := warm * (settings.SlowStartInitialShare + 0.1) * settings.SlowStartOverloadFactor
	for host, cold := range work {
		if cold > most {
			t.Errorf("cold %s got %.0f ms of work in a second, want at most %.0f", host, cold/1e3, most/1e3)
		}
	}
	rig.serveMixedReads(1000*ms, 10, work)
	if work["b"]+work["c"] == 0 {
		t.Error("cold hosts got no short reads")
	}
}

// coldStart describes the slow start of a deployment, and the capacity of a warm host in requests per second.
type coldStart struct {
	initialShare   float64
	duration       int64 // µs
	overloadFactor float64
	overloadWindow int64 // µs
	capacity       float64
}

func (c *coldStart) settings(gateways int) Settings {
	settings := fleetSettings(gateways)
	settings.SlowStartInitialShare = c.initialShare
	settings.SlowStartDuration = c.duration
	settings.SlowStartOverloadFactor = c.overloadFactor
	settings.SlowStartOverloadWindow = c.overloadWindow
	return settings
}

// worstLoad returns the highest load of a host that started at startedAt, as a multiple of the load that
// overloads it. That load is n + 2 sqrt(n) + 2 attempts in a window, where n is the overload factor times
// the capacity of the host at the start of the window.
func (c *coldStart) worstLoad(sentAt []int64, startedAt int64) float64 {
	worst, first := 0.0, 0
	for i, at := range sentAt {
		for at-sentAt[first] >= c.overloadWindow {
			first++
		}
		from := max(at-c.overloadWindow, startedAt)
		share := c.initialShare + (1-c.initialShare)*float64(from-startedAt)/float64(c.duration)
		n := c.overloadFactor * share * c.capacity * float64(c.overloadWindow) / second
		worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// simulate starts one of five hosts under a load of 1.2 times the capacity of the warm hosts. A third of
// the gateways receive the start two seconds late, and another third restart at that time. It returns the
// times of the attempts at the host, without those of gateways that had not received the start, and the time
// of the start.
func (c *coldStart) simulate(t *testing.T, gateways int) (sentAt []int64, startedAt int64) {
	t.Helper()
	const hosts = 5
	const load = 1.2
	const late = 2000 * ms
	fleet := newFleet(t, c.settings(gateways), hostList(hosts)...)
	interval := int64(second / (load * c.capacity * hosts))
	fleet.run(8000*ms, eventualRead, interval)

	warm, cold := hostList(hosts)[:hosts-1], hostList(hosts)[hosts-1]
	cold.StartedAt = fleet.now
	fleet.serviceTime = func(host string, _ int) (int64, Result) {
		if host == cold.Host {
			sentAt = append(sentAt, fleet.now)
		}
		return 50 * ms, Succeeded
	}
	start := Event{Kind: EndpointsEvent, Endpoints: []Endpoint{cold}}
	someReceiveLate := gateways >= 3
	for i := range fleet.routers {
		if !someReceiveLate || i%3 != 0 {
			fleet.handle(i, start)
		}
	}
	fleet.run(late, eventualRead, interval)
	sentByUnaware := len(sentAt)
	for i := range fleet.routers {
		fleet.handle(i, start)
		if someReceiveLate && i%3 == 1 {
			fleet.restart(i, append(warm[:hosts-1:hosts-1], cold))
		}
	}
	if someReceiveLate {
		sentAt = sentAt[sentByUnaware:]
	}
	fleet.run(c.duration-late, eventualRead, interval)
	return sentAt, cold.StartedAt
}

func TestFleetOfAnySizeDoesNotOverloadAColdHost(t *testing.T) {
	for name, start := range map[string]coldStart{
		"high factor":   {0.25, 16000 * ms, 4, 1500 * ms, 66},
		"short window":  {0.17, 14000 * ms, 2.5, 1000 * ms, 40},
		"long duration": {0.19, 18000 * ms, 3, 1500 * ms, 60},
		"low factor":    {0.15, 20000 * ms, 1.5, 800 * ms, 30},
	} {
		for _, gateways := range []int{1, 3, 20, 30, 80, 300} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				t.Parallel()
				sentAt, startedAt := start.simulate(t, gateways)
				worst := start.worstLoad(sentAt, startedAt)
				t.Logf("%d requests sent, at most %.2f of the load that overloads the host",
					len(sentAt), worst)
				if worst > 0.9 || len(sentAt) == 0 {
					t.Error("want some requests, and at most 0.9 of the load that overloads the host")
				}
			})
		}
	}
}

// An attempt that was decided before its host started anew was written to the cold host, outside the budget
// of its slow start. Enough gateways with waiting attempts overload it.
func TestAttemptDecidedBeforeARestartIsNotWrittenAfterIt(t *testing.T) {
	rig := readyRig(t, testSettings())
	for _, class := range []int{eventualRead, unsafeWrite} {
		id, actions := rig.request(class)
		host := sentTo(actions, id)
		rig.now += 50 * ms
		rig.list(Endpoint{Host: host, State: Ready, StartedAt: rig.now})
		if host == "" || rig.router.AttemptStillValid(rig.now, id) {
			t.Errorf("class %d: the attempt may be written to host %q, which is cold now", class, host)
		}
		rig.answer(id, host, NotSent, RoleUnknown, 0)
	}
	rig.advance(rig.router.settings.SlowStartDuration) // the buckets have tokens long before that
	rig.reportAll(rig.now)
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) == "" || !rig.router.AttemptStillValid(rig.now, id) {
		t.Errorf("an attempt that was decided after the start is not valid: %+v", actions)
	}
}
