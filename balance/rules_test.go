package balance

import (
	"reflect"
	"testing"

	"cloverrock/internal/random"
)

// random returns a number below n, or 0.
func (r *Router) random(n int) int { return int(r.rand.Below(int64(n))) }

func TestRulesHoldWithExtremeSettings(t *testing.T) {
	if _, err := New(Settings{}, 1); err == nil {
		t.Error("empty settings were taken")
	}
	if _, err := New(Settings{TickInterval: 1, MaxAttempts: 1, Classes: []Class{{}}}, 1); err == nil {
		t.Error("a class without aim was taken")
	}
	for _, change := range []func(*Settings){
		func(s *Settings) { s.HealthChecks = false }, func(s *Settings) { s.Cancellation = false },
		func(s *Settings) { s.MaxRetryAfter = 0 }, func(s *Settings) { s.MaxAttempts = 1 },
		func(s *Settings) { s.Classes[boundedRead].MaxStaleness = 0 }, func(s *Settings) { s.SlowStartDuration = 0 },
		func(s *Settings) { s.SlowStartOverloadWindow = 0 },
	} {
		settings := testSettings()
		change(&settings)
		randomEvents(t, settings, 3)
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		settings := testSettings()
		settings.HostsCheckStaleness = seed%3 == 0
		settings.RequestsCarrySessionAge = seed%5 != 0
		randomEvents(t, settings, seed)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	a, b := randomEvents(t, testSettings(), 11), randomEvents(t, testSettings(), 11)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave other actions")
	}
}

// randomEvents plays random events and checks rules 1, 2, 3 and 5 on what the router does.
func randomEvents(t *testing.T, settings Settings, seed uint64) []Action {
	t.Helper()
	type out struct {
		id   int64
		try  int
		host string
		at   int64
	}
	type state struct {
		class                int
		until, ranAt, need   int64
		outs, tries          int
		mayRun, final, cause bool
	}
	dice := &Router{rand: random.Source(seed * 977)}
	rig := newRig(t, settings, threeHosts()...)
	reqs := map[int64]*state{}
	var outs []out
	var log []Action
	applied := map[string]int64{"a": base, "b": base, "c": base}
	told := map[string]int64{} // what the router may know of positions
	primary, drained := "a", map[string]int64{}
	wasPrimary := map[string]bool{"a": true}
	commits := map[int64]int64{}
	var probes []string
	take := func(actions []Action) {
		for _, a := range actions {
			log = append(log, a)
			q := reqs[a.Request]
			switch a.Kind {
			case SendAction:
				c := settings.Classes[q.class]
				if q.final {
					t.Fatalf("seed %d: sent after the final answer", seed)
				}
				if at, ok := drained[a.Host]; ok && rig.now > at {
					t.Fatalf("seed %d: sent to a drained host", seed)
				}
				if q.outs > 0 {
					t.Fatalf("seed %d: two attempts out", seed)
				}
				if q.mayRun && c.RetrySafety == NonIdempotent {
					t.Fatalf("seed %d: unsafe sent twice", seed)
				}
				if q.mayRun && c.RetrySafety == IdempotencyKey && rig.now > q.ranAt+c.DeduplicationWindow {
					t.Fatalf("seed %d: keyed sent past its window", seed)
				}
				need := q.need
				if c.Consistency == BoundedStaleness {
					need = rig.now - c.MaxStaleness
				}
				if !settings.HostsCheckStaleness && c.Consistency != Eventual && c.Consistency != Write && !wasPrimary[a.Host] && told[a.Host] < need {
					t.Fatalf("seed %d: class %d read from %s at %d, needs %d", seed, q.class, a.Host, told[a.Host], need)
				}
				outs = append(outs, out{a.Request, q.tries, a.Host, rig.now})
				q.tries++
				q.outs++
			case RejectAction, FailAction:
				if q.final {
					t.Fatalf("seed %d: two final answers", seed)
				}
				q.final = true
				r := settings.Classes[q.class].RetrySafety
				scoped := settings.Classes[q.class].DeduplicationScope == ScopeGlobal
				if a.Kind == RejectAction && (q.mayRun || q.outs > 0) && r != Idempotent && !(r == IdempotencyKey && scoped) {
					t.Fatalf("seed %d: refused what may have run", seed)
				}
			case HealthCheckAction:
				if _, ok := drained[a.Host]; !ok {
					probes = append(probes, a.Host)
				}
			}
		}
	}
	finish := func(i int, res Result) {
		o := outs[i]
		outs = append(outs[:i], outs[i+1:]...)
		q := reqs[o.id]
		q.outs--
		if !res.ProvesNotExecuted() {
			if !q.mayRun {
				q.ranAt = o.at
			}
			q.mayRun = true
		}
		ev := Event{Kind: OutcomeEvent, Request: o.id, Attempt: o.try, Host: o.host, Result: res, Latency: rig.now - o.at}
		if res.Answered() {
			ev.Role = Replica
			if o.host == primary {
				ev.Role = Primary
			}
			if seed%2 == 0 && ev.Role == Replica { // answers tell positions
				ev.Position = applied[o.host]
			}
			if res == Succeeded && settings.Classes[q.class].Consistency == Write {
				ev.Position = rig.now
				commits[o.id%7+1] = rig.now
			}
			if ev.Position > told[o.host] {
				told[o.host] = ev.Position
			}
			if ev.Role == Replica {
				delete(wasPrimary, o.host)
			} else {
				wasPrimary[o.host] = true
			}
		}
		if res == Succeeded || q.final {
			q.final = true
			ev.Finished = true
		}
		take(rig.handle(ev))
	}
	for step := 0; step < 3000; step++ {
		rig.now += int64(dice.random(8)) * ms
		for _, h := range []string{"a", "b", "c"} {
			if h == primary {
				applied[h] = rig.now
			} else if dice.random(3) == 0 && rig.now-applied[h] > 50*ms {
				applied[h] += (rig.now - applied[h]) / 2
			}
		}
		switch dice.random(8) {
		case 0, 1, 2:
			rig.lastRequest++
			class := dice.random(len(settings.Classes))
			key := rig.lastRequest%7 + 1
			until := rig.now + settings.Classes[class].Deadline
			q := &state{class: class, until: until}
			ev := Event{Kind: RequestEvent, Request: rig.lastRequest, Class: class, Key: key, HasKey: true, Deadline: until}
			if settings.Classes[class].Consistency == ReadYourWrites && commits[key] > 0 {
				q.need = commits[key]
				if settings.RequestsCarrySessionAge {
					ev.SessionWriteAge = max(1, rig.now-q.need) // 0 would say that it wrote nothing
					q.need = rig.now - ev.SessionWriteAge
				}
			}
			if settings.Classes[class].Consistency == Linearizable {
				q.need = rig.now
			}
			reqs[rig.lastRequest] = q
			take(rig.handle(ev))
		case 3, 4:
			if len(outs) > 0 {
				i := dice.random(len(outs))
				res := []Result{Succeeded, Succeeded, Succeeded, Failed, Overloaded, TimedOut, ConnectionRefused, ConnectionReset, NotPrimary}[dice.random(9)]
				isWrite := settings.Classes[reqs[outs[i].id].class].Consistency == Write
				if isWrite && outs[i].host != primary && res == Succeeded {
					res = NotPrimary
				} else if !isWrite && res == NotPrimary {
					res = Succeeded
				}
				finish(i, res)
			}
		case 5:
			take(rig.handle(Event{Kind: TimerEvent}))
			for len(probes) > 0 {
				h := probes[0]
				probes = probes[1:]
				ev := Event{Kind: HealthCheckEvent, Host: h, Result: TimedOut, Latency: 250 * ms}
				if dice.random(4) > 0 {
					told[h] = max(told[h], applied[h])
					if h == primary {
						wasPrimary[h] = true
					}
					ev.Result, ev.Latency = Succeeded, 2*ms
					ev.Report = HostReport{HasPosition: true, Position: applied[h], HasRole: true, Primary: h == primary}
				}
				take(rig.handle(ev))
			}
		case 6:
			if dice.random(40) == 0 {
				primary = []string{"a", "b", "c"}[dice.random(3)]
			}
		case 7:
			if dice.random(60) == 0 {
				h := []string{"a", "b", "c"}[dice.random(3)]
				ph := Ready
				if _, ok := drained[h]; ok {
					delete(drained, h)
				} else {
					drained[h], ph = rig.now-1, Draining
				}
				take(rig.handle(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: h, State: ph, Weight: 1}}}))
			}
		}
		for i := 0; i < len(outs); i++ { // the deadline ends what is still out
			if reqs[outs[i].id].until <= rig.now {
				finish(i, TimedOut)
				i = -1
			}
		}
		for id := int64(1); id <= rig.lastRequest; id++ {
			q := reqs[id]
			if q == nil {
				continue
			}
			if !q.final && rig.now > q.until+20*ms && q.outs == 0 {
				// The router is only woken by its own timer; give it that before judging.
				take(rig.handle(Event{Kind: TimerEvent}))
				if !q.final {
					t.Fatalf("seed %d: request %d got no final answer", seed, id)
				}
			}
			if q.final && q.outs == 0 {
				delete(reqs, id)
			}
		}
	}
	return log
}
