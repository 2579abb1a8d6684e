package balance

import (
	"fmt"
	"math"
	"testing"
)

// unequal is a deployment whose reads of any age take fifteen times the work of others.
func unequal() Settings {
	set := testSettings()
	set.HostsCheckStaleness, set.Gateways = true, 3
	set.Classes[loose].LatencyObjective, set.Classes[loose].Deadline = 6000*ms, 12000*ms
	return set
}

// A cold host's budget is of work: long reads, each a request like any other, pushed hosts over while it counted requests.
func TestColdHostIsPacedByWork(t *testing.T) {
	g := readyRig(t, unequal())
	work := map[string]float64{}
	serve := func(d int64, every int64) { // 200 requests a second, one of so many a long one, all answered at once
		for end := g.now + d; g.now < end; {
			g.now += 5 * ms
			acts := g.do(Event{Kind: TimerEvent})
			class := recent
			if g.next%every == 0 {
				class = loose
			}
			_, more := g.ask(class)
			for acts = append(acts, more...); len(acts) > 0; acts = acts[1:] {
				q := g.r.reqs[acts[0].Request]
				if acts[0].Kind != SendAction || q == nil || q.at == nil {
					continue
				}
				took := 20 * ms
				if q.kind == loose {
					took *= 15
				}
				work[q.at.id] += float64(took)
				acts = append(acts, g.do(Event{Kind: OutcomeEvent, Request: q.id, Attempt: q.try, Host: q.at.id, Result: Succeeded,
					Role: q.at.role, Position: g.now, Latency: took, Finished: true})...)
			}
		}
	}
	serve(3000*ms, 10)
	warm := (work["a"] + work["b"] + work["c"]) / 3 / 3 // a host and second
	clear(work)
	e := trio()
	for i := range e {
		e[i].Primary, e[i].StartedAt = false, g.now
	}
	g.do(Event{Kind: EndpointsEvent, Endpoints: e})
	serve(1000*ms, 1)
	for h, w := range work {
		if most := warm * (g.r.set.SlowStartInitialShare + 0.1) * g.r.set.SlowStartOverloadFactor; w > most {
			t.Errorf("cold %s took %.0f ms of work in a second, %.0f at most", h, w/1e3, most/1e3)
		}
	}
	if serve(1000*ms, 10); work["b"]+work["c"] == 0 {
		t.Error("cold hosts get no short reads either")
	}
}

// A long read may keep a replica from applying the log: all routers give them to the same one, and the others stay fresh.
// Short ones of any age, and long ones where that replica is gone, go where there is room.
func TestLongReadsKeepToOneReplica(t *testing.T) {
	for seed := range uint64(8) {
		set := unequal()
		g := readyRig(t, set)
		g.r.rand.Below(int64(seed + 1))
		for range 20 {
			g.now += 100 * ms
			for range 9 { // what is long shows beside the others
				id, acts := g.ask(recent)
				g.answer(id, sentTo(acts, id), Succeeded, Replica, g.now)
			}
			id, acts := g.ask(loose)
			if h := sentTo(acts, id); h != "b" {
				t.Fatalf("a long read went to %q", h)
			}
			g.answer(id, "b", Succeeded, Replica, g.now)
		}
		g.do(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "b", State: Draining, Weight: 1}}})
		if id, acts := g.ask(loose); sentTo(acts, id) != "c" {
			t.Fatal("the next replica does not take the long reads over")
		}
	}
	set := unequal()
	set.Classes[loose].LatencyObjective = 300 * ms
	g := readyRig(t, set)
	sent := map[string]int{}
	for range 100 {
		g.now += 10 * ms
		id, acts := g.ask(loose)
		sent[sentTo(acts, id)]++
		g.answer(id, sentTo(acts, id), Succeeded, Replica, g.now)
	}
	if sent["b"] < 20 || sent["c"] < 20 {
		t.Errorf("short reads: %v", sent)
	}
}

// Where hosts check reads, a replica that lagged when it was last heard is tried again, once it may have caught up: else
// nothing would tell that it has, and it stands idle. One that lagged much is left alone for longer.
func TestReplicaThatLaggedIsTriedAgain(t *testing.T) {
	g := newRig(t, unequal(), trio()...)
	g.reportAll(g.now - 5000*ms)
	for _, c := range []struct {
		wait    int64
		primary bool
	}{{0, true}, {4000 * ms, true}, {1500 * ms, false}} {
		g.now += c.wait
		id, acts := g.ask(recent)
		if h := sentTo(acts, id); h == "" || (h == "a") != c.primary {
			t.Fatalf("%v ms later a read went to %q", c.wait/ms, h)
		}
		g.do(Event{Kind: ClientDisconnectedEvent, Request: id})
	}
}

// Few routers must each be able to have more than one attempt out, or a host's cores stand idle; of many, or of a number
// not known, one each is enough.
func TestLeastLimitGoesByTheNumberOfRouters(t *testing.T) {
	for routers, want := range map[int]int{0: 1, 1: 4, 2: 3, 3: 2, 80: 1, 1000: 1} {
		set := testSettings()
		set.Gateways = routers
		g := readyRig(t, set)
		h := g.r.hosts["a"]
		for range 100 {
			g.r.now += 1000 * ms
			g.r.judge(h, 1)
		}
		may := 0
		for q := (&request{class: &set.Classes[unsafe]}); g.r.room(q, h); may++ {
			h.out = append(h.out, q)
		}
		if may != want {
			t.Errorf("%d routers: %d attempts of each at a crowded host, want %d", routers, may, want)
		}
	}
}

// What all routers together send a host that has just started stays under what lets it fall over: more than N + 2 x root
// of N + 2 requests of mean work in the stated time, N being what it may have then. A fifth more is asked than
// warm hosts could do. So it does if a third of the routers hear of the start late, and if another third starts meanwhile.
func TestColdBoundByNumberOfRouters(t *testing.T) {
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
				set := fleetSettings(routers)
				d.cold(&set)
				const hosts = 5
				f := newFleet(t, set, entries(hosts)...)
				every := int64(1e6 / (use * d.capacity * hosts))
				f.run(8000*ms, loose, every)
				var sent []int64
				cold := entries(hosts)[hosts-1]
				cold.StartedAt = f.now
				f.took = func(h string, _ int) (int64, Result) {
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
					f.tell(i, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{cold}})
				}
				f.run(2000*ms, loose, every)
				unaware := len(sent) // what those sent that had not been told is not the fleet's fault
				for i := range f.routers {
					f.tell(i, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{cold}})
					if routers >= 3 && i%3 == 1 {
						f.restart(i, append(entries(hosts)[:hosts-1:hosts-1], cold))
						warm++
					}
				}
				if late+warm > 0 {
					sent = sent[unaware:]
				}
				f.run(set.SlowStartDuration-2000*ms, loose, every)
				worst, first := 0.0, 0
				for i, at := range sent {
					for at-sent[first] >= set.SlowStartOverloadWindow {
						first++
					}
					from := max(at-set.SlowStartOverloadWindow, cold.StartedAt)
					ramp := set.SlowStartInitialShare + (1-set.SlowStartInitialShare)*float64(from-cold.StartedAt)/float64(set.SlowStartDuration)
					n := set.SlowStartOverloadFactor * ramp * d.capacity * float64(set.SlowStartOverloadWindow) / 1e6
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
