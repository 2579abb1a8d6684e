package balance

import (
	"slices"
	"testing"
)

func TestCrashedHostComesBackInSlowStart(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.now += 10 * ms
	id, actions := rig.request(eventualRead)
	host := sentTo(actions, id)
	rig.answer(id, host, ConnectionRefused, RoleUnknown, 0)
	for range 2 {
		if rig.host(host).health != suspect {
			t.Fatal("the host is not suspect before a health check has failed twice")
		}
		rig.endCheck(host, ConnectionRefused)
	}
	if rig.host(host).health != unhealthy {
		t.Fatal("the host is not unhealthy after two refused health checks")
	}
	rig.now += 1000 * ms
	rig.endCheck(host, ConnectionRefused)
	rig.now += 5000 * ms
	rig.report(host, false, rig.now)
	if !rig.host(host).warmingUp {
		t.Fatal("a host that refused connections and has recovered is not in slow start")
	}
}

// A link that breaks connections occasionally is no evidence against a host. After a second health check,
// which succeeds, the host gets as many requests as before, without a slow start.
func TestOneBrokenHealthCheckDoesNotMakeAHostUnhealthy(t *testing.T) {
	for _, result := range []Result{ConnectionRefused, ConnectionReset} {
		rig := readyRig(t, testSettings())
		id, actions := rig.request(eventualRead)
		host := rig.host(sentTo(actions, id))
		limit := host.concurrencyLimit
		rig.now += ms
		rig.answer(id, host.id, result, RoleUnknown, 0)
		actions = rig.endCheck(host.id, result)
		isRecheck := func(a Action) bool { return a.Kind == HealthCheckAction && a.Host == host.id }
		if !slices.ContainsFunc(actions, isRecheck) {
			t.Errorf("%v: no second health check: %+v", result, actions)
		}
		rig.report(host.id, false, rig.now)
		if host.health != healthy || host.warmingUp || host.concurrencyLimit != limit {
			t.Errorf("%v: not as before the break after an answered health check: %+v", result, *host)
		}
		if !rig.router.admits(&pendingRequest{class: rig.class(boundedRead)}, host) {
			t.Errorf("%v: gets no requests after an answered health check: %+v", result, *host)
		}
		if rig.router.idleTimeout != maxIdleTimeout {
			t.Errorf("%v: idle timeout %d us, want no change", result, rig.router.idleTimeout)
		}
	}
}

// A single health check of a healthy host whose connection breaks makes the host only suspect.
func TestBrokenHealthCheckMakesAHealthyHostSuspect(t *testing.T) {
	for _, result := range []Result{ConnectionRefused, ConnectionReset} {
		rig := readyRig(t, testSettings())
		id, actions := rig.request(eventualRead)
		host := rig.host(sentTo(actions, id))
		rig.now += ms
		rig.answer(id, host.id, result, RoleUnknown, 0)
		rig.endCheck(host.id, result)
		rig.report(host.id, false, rig.now)
		rig.router.startHealthCheck(host, requiredCheck)
		rig.now += ms
		host.checkedAt = rig.now // after the last answer of the host
		rig.endCheck(host.id, result)
		if host.health != suspect {
			t.Errorf("%v: health state %d, want suspect", result, host.health)
		}
	}
}

func TestBrokenConnectionIsDecidedByAHealthCheck(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(unsafeWrite)
	if !hasCheck(rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)) {
		t.Fatal("no health check after a broken connection")
	}
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("sent before the health check was answered")
	}
	actions = append(rig.report("a", true, rig.now), rig.advance(40*ms)...)
	if sentTo(actions, id) != "a" || rig.host("a").warmingUp {
		t.Fatalf("the primary answers and must be used without slow start: %v", actions)
	}
}

func TestHostWhoseHealthChecksFailIsTriedByARequest(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.host("c").excluded = true
	rig.now += 10 * ms
	id, actions := rig.request(eventualRead)
	if sentTo(actions, id) != "b" {
		t.Fatal("want the read at b, the only replica that is not excluded")
	}
	rig.answer(id, "b", ConnectionReset, RoleUnknown, 0)
	rig.now += 5 * ms
	rig.endCheck("b", TimedOut)
	for range 1000 { // 20 s, in which every health check of b fails although requests to b succeed
		check := findAction(rig.advance(20*ms), HealthCheckAction, anyRequest)
		if check != nil && check.Host == "b" {
			rig.endCheck("b", TimedOut)
		}
		id, actions := rig.request(eventualRead)
		if hasCheck(actions) {
			rig.endCheck("b", TimedOut)
		}
		switch sentTo(actions, id) {
		case "a":
			rig.answer(id, "a", Succeeded, Primary, rig.now)
		case "b":
			rig.answer(id, "b", Succeeded, Replica, rig.now)
			if rig.host("b").health != healthy {
				t.Fatal("the host is not healthy after a trial that succeeded")
			}
			return
		}
	}
	t.Fatal("the host was never tried again")
}

func TestOverloadedHealthCheckMakesAHostHealthy(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	actions := append(rig.endCheck("a", Overloaded), rig.advance(40*ms)...)
	if sentTo(actions, id) != "a" {
		t.Errorf("the primary rejected its health check and got no write: %+v", actions)
	}
}

func TestLostHealthCheckIsRepeated(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	if !hasCheck(rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)) {
		t.Fatal("want a health check of a suspect host")
	}
	rig.advance(10000 * ms) // and its result is lost
	if _, actions := rig.request(keyedWrite); !hasCheck(actions) {
		t.Error("the host is never checked again")
	}
}

// A health check that this gateway did not send is no evidence about the host.
func TestUnsentHealthCheckDoesNotChangeHealth(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.advance(1000 * ms)
	host := rig.host("a")
	rig.router.markSuspect(host)
	rig.now += ms
	rig.endCheck("a", NotSent)
	if host.health == unhealthy || host.group.primary != host {
		t.Error("a health check that was not sent made the host unhealthy")
	}
}

// The tick interval limits how often a router may act. A shorter interval must not cause more health checks.
func TestCheckRateDoesNotFollowTheTickInterval(t *testing.T) {
	checks := func(tick int64) int {
		settings := fleetSettings(1)
		settings.TickInterval = tick
		fleet := newFleet(t, settings, hostList(5)...)
		fleet.roleOf = primaryIs("nobody")
		fleet.serviceTime = func(string, int) (int64, Result) { return ms, NotPrimary }
		fleet.request(0, unsafeWrite)
		fleet.run(300*ms, unsafeWrite, 500*ms)
		return fleet.checks
	}
	short, long := checks(1*ms), checks(20*ms)
	if short > long*3/2 {
		t.Errorf("%d health checks with a tick of 1 ms, %d with 20 ms", short, long)
	}
}
