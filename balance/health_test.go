package balance

import (
	"slices"
	"testing"
)

func TestCrashedHostComesBackInSlowStart(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.now += 10 * ms
	id, actions := rig.request(eventualRead)
	h := sentTo(actions, id)
	rig.answer(id, h, ConnectionRefused, RoleUnknown, 0)
	for range 2 {
		if rig.router.hosts[h].health != suspect {
			t.Fatal("taken for down before a probe has failed twice")
		}
		rig.handle(Event{Kind: HealthCheckEvent, Host: h, Result: ConnectionRefused})
	}
	if rig.router.hosts[h].health != unhealthy {
		t.Fatal("two probes were refused, and the host is not taken for down")
	}
	rig.now += 1000 * ms
	rig.handle(Event{Kind: HealthCheckEvent, Host: h, Result: ConnectionRefused})
	rig.now += 5000 * ms
	rig.report(h, false, rig.now)
	if !rig.router.hosts[h].warmingUp {
		t.Fatal("a host that refused connections and is back is taken for warm")
	}
}

// Links that break connections now and then say nothing of the host: asked once more it answers, and it is
// given as much as before, at once.
func TestOneBrokenHealthCheckDoesNotMakeAHostUnhealthy(t *testing.T) {
	for _, res := range []Result{ConnectionRefused, ConnectionReset} {
		rig := readyRig(t, testSettings())
		id, actions := rig.request(eventualRead)
		h := sentTo(actions, id)
		before := *rig.router.hosts[h]
		rig.now += ms
		rig.answer(id, h, res, RoleUnknown, 0)
		actions = rig.handle(Event{Kind: HealthCheckEvent, Host: h, Result: res})
		if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == HealthCheckAction && a.Host == h }) {
			t.Errorf("%v: not asked again: %+v", res, actions)
		}
		rig.report(h, false, rig.now)
		if m := rig.router.hosts[h]; m.health != healthy || m.warmingUp || m.concurrencyLimit != before.concurrencyLimit || !rig.router.admits(&pendingRequest{class: &rig.router.settings.Classes[boundedRead]}, m) || rig.router.idleTimeout != maxIdleTimeout {
			t.Errorf("%v: %+v", res, *m)
		}
		// A probe for a position that breaks, with no doubt before it, is no proof either.
		rig.router.startHealthCheck(rig.router.hosts[h], 0)
		rig.now += ms
		rig.router.hosts[h].checkedAt = rig.now // later than its last sign of life
		rig.handle(Event{Kind: HealthCheckEvent, Host: h, Result: res})
		if rig.router.hosts[h].health != suspect {
			t.Errorf("%v: after a broken probe of a host that is well: %d", res, rig.router.hosts[h].health)
		}
	}
}

func TestBrokenConnectionIsDecidedByAHealthCheck(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(unsafeWrite)
	actions := rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	if findAction(actions, HealthCheckAction, -1) == nil {
		t.Fatal("no probe to tell a broken connection from a death")
	}
	id, actions = rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("sent before the probe was back")
	}
	if actions = append(rig.report("a", true, rig.now), rig.advance(40*ms)...); sentTo(actions, id) != "a" || rig.router.hosts["a"].warmingUp {
		t.Fatalf("the primary lives and must be used, as a warm one: %v", actions)
	}
}

func TestHostWhoseHealthChecksFailIsTriedByARequest(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.router.hosts["c"].excluded = true
	rig.now += 10 * ms
	id, actions := rig.request(eventualRead)
	if sentTo(actions, id) != "b" {
		t.Fatal("want the replica left")
	}
	rig.answer(id, "b", ConnectionReset, RoleUnknown, 0)
	rig.now += 5 * ms
	rig.handle(Event{Kind: HealthCheckEvent, Host: "b", Result: TimedOut, Latency: 5 * ms})
	for range 1000 { // twenty seconds in which every probe of b fails, while requests would work
		if p := findAction(rig.advance(20*ms), HealthCheckAction, -1); p != nil && p.Host == "b" {
			rig.handle(Event{Kind: HealthCheckEvent, Host: "b", Result: TimedOut, Latency: 20 * ms})
		}
		id, actions := rig.request(eventualRead)
		if findAction(actions, HealthCheckAction, -1) != nil {
			rig.handle(Event{Kind: HealthCheckEvent, Host: "b", Result: TimedOut, Latency: 20 * ms})
		}
		switch sentTo(actions, id) {
		case "a":
			rig.answer(id, "a", Succeeded, Primary, rig.now)
		case "b":
			if rig.answer(id, "b", Succeeded, Replica, rig.now); rig.router.hosts["b"].health != healthy {
				t.Fatal("a served trial did not restore the host")
			}
			return
		}
	}
	t.Fatal("the host was never tried again")
}

func TestOverloadedHealthCheckIsASignOfLife(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	actions := append(rig.handle(Event{Kind: HealthCheckEvent, Host: "a", Result: Overloaded, Latency: 1 * ms}), rig.advance(40*ms)...)
	if sentTo(actions, id) != "a" {
		t.Errorf("a primary too busy for a probe was not used: %+v", actions)
	}
}

func TestLostHealthCheckIsRepeated(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	if findAction(rig.answer(id, "a", ConnectionReset, RoleUnknown, 0), HealthCheckAction, -1) == nil {
		t.Fatal("want a probe in doubt")
	}
	rig.advance(10000 * ms) // and its result never comes
	if _, actions := rig.request(keyedWrite); findAction(actions, HealthCheckAction, -1) == nil {
		t.Error("the host is never probed again")
	}
}

// A probe that was never sent, for want of a connection of ours, says nothing of its host.
func TestHealthCheckThatWasNotSentProvesNothing(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.advance(1000 * ms)
	rig.router.markSuspect(rig.router.hosts["a"])
	rig.now += ms
	rig.handle(Event{Kind: HealthCheckEvent, Host: "a", Result: NotSent})
	if host := rig.router.hosts["a"]; host.health == unhealthy || host.group.primary != host {
		t.Error("found down by a probe that was not sent")
	}
}

// The tick says how often a router may act, not how often it should: with a finer one it asks no more.
func TestCheckRateDoesNotFollowTheTickInterval(t *testing.T) {
	var probes [2]int
	for i, tick := range []int64{1 * ms, 20 * ms} {
		settings := fleetSettings(1)
		settings.TickInterval = tick
		f := newFleet(t, settings, hostList(5)...)
		f.roleOf = func(string) Role { return Replica } // nobody leads
		f.serviceTime = func(string, int) (int64, Result) { return ms, NotPrimary }
		f.request(0, unsafeWrite)
		f.run(300*ms, unsafeWrite, 500*ms)
		probes[i] = f.probes
	}
	if probes[0] > probes[1]*3/2 {
		t.Errorf("%d probes with a tick of 1 ms, %d with 20 ms", probes[0], probes[1])
	}
}
