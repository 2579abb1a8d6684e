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
			t.Fatal("the host is not suspect while fewer than two health checks were refused")
		}
		rig.endCheck(host, ConnectionRefused)
	}
	if rig.host(host).health != unhealthy {
		t.Fatal("the host is not unhealthy after two refused health checks")
	}
	rig.now += 1000 * ms
	// A refused health check of a host that is already unhealthy shows that the host has crashed.
	rig.endCheck(host, ConnectionRefused)
	rig.now += 5000 * ms
	rig.report(host, false, rig.now)
	if !rig.host(host).warmingUp {
		t.Fatal("a host that refused connections and has recovered is not in slow start")
	}
}

// One broken connection does not show that a host is unhealthy: a lossy link breaks connections occasionally.
// If the second health check succeeds, the host gets as many requests as before, without a slow start.
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
			t.Errorf("%v: after an answered health check, not as before the break: %+v", result, *host)
		}
		if !rig.router.admits(&pendingRequest{class: rig.class(boundedRead)}, host) {
			t.Errorf("%v: the host gets no requests after an answered health check: %+v", result, *host)
		}
		if rig.router.idleTimeout != maxIdleTimeout {
			t.Errorf("%v: idle timeout %d us, want no change", result, rig.router.idleTimeout)
		}
	}
}

// If a health check of a healthy host ends with a broken connection, the host becomes suspect, not unhealthy.
// An earlier break, after which the host answered a health check, does not count.
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
		host.checkedAt = rig.now // later than the host's last answer; otherwise the result is ignored
		rig.endCheck(host.id, result)
		if host.health != suspect {
			t.Errorf("%v: health state %d, want suspect", result, host.health)
		}
	}
}

// A broken connection starts a health check. The host gets no requests until it has answered the check, and
// then gets them without a slow start.
func TestBrokenConnectionStartsAHealthCheck(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(unsafeWrite)
	if !hasCheck(rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)) {
		t.Fatal("no health check after a broken connection")
	}
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("the write was sent before the health check was answered")
	}
	actions = append(rig.report("a", true, rig.now), rig.advance(40*ms)...)
	if sentTo(actions, id) != "a" || rig.host("a").warmingUp {
		t.Fatalf("the primary answers and must be used without slow start: %v", actions)
	}
}

// Once the backoff of an unhealthy host has reached its maximum, a request tries the host, even if all its
// health checks fail.
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
				t.Fatal("the host is not healthy after a request to it succeeded")
			}
			return
		}
	}
	t.Fatal("no request was sent to the unhealthy host b within 20 s")
}

// A host that rejects a health check for lack of capacity is alive: it becomes healthy and gets
// requests again.
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
	rig.advance(10000 * ms) // the result of the health check never arrives
	if _, actions := rig.request(keyedWrite); !hasCheck(actions) {
		t.Error("no second health check after the result of the first was lost")
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
		t.Error("a health check that was not sent made the host unhealthy or demoted the primary")
	}
}

// The tick interval limits how often a router may act. A shorter interval must not cause more health checks.
func TestCheckRateDoesNotFollowTheTickInterval(t *testing.T) {
	checks := func(tick int64) int {
		settings := fleetSettings(1)
		settings.TickInterval = tick
		fleet := newFleet(t, settings, hostList(5)...)
		fleet.roleOf = primaryIs("nobody") // no host is the primary
		fleet.serviceTime = func(string, int) (int64, Result) { return ms, NotPrimary }
		fleet.request(0, unsafeWrite)
		fleet.run(300*ms, unsafeWrite, 500*ms)
		return fleet.checks
	}
	short, long := checks(1*ms), checks(20*ms)
	if short > long*3/2 {
		t.Errorf("%d health checks with a tick of 1 ms, more than 1.5 times the %d with 20 ms", short, long)
	}
}
