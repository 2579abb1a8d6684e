package balance

import (
	"fmt"
	"testing"
)

func TestFailedAttemptIsRetriedOnlyWhereThatIsSafe(t *testing.T) {
	type outcomes map[Result]string
	const retried, rejected, failed = "retried", "rejected", "failed"
	for class, want := range map[int]outcomes{
		eventualRead: {
			Failed: retried, TimedOut: retried, ConnectionReset: retried, Overloaded: retried,
			ConnectionRefused: retried, Canceled: retried, NotSent: retried,
		},
		unsafeWrite: {
			Failed: failed, TimedOut: failed, ConnectionReset: failed, Canceled: failed,
			Overloaded: retried, ConnectionRefused: retried, NotPrimary: retried, NotSent: retried,
		},
		keyedWrite: {
			Failed: retried, TimedOut: retried, ConnectionReset: retried, NotPrimary: retried,
			NotSent: retried,
		},
		keyedGlobalWrite: {Failed: retried},
	} {
		for result, want := range want {
			t.Run(fmt.Sprint(class, "/", result), func(t *testing.T) {
				rig := readyRig(t, testSettings())
				id, actions := rig.request(class)
				host := sentTo(actions, id)
				if host == "" {
					t.Fatal("the request was not sent")
				}
				actions = rig.answer(id, host, result, RoleUnknown, 0)
				actions = append(actions, rig.report("a", true, rig.now)...) // makes a suspect host healthy
				got := retried
				if hasAction(actions, RejectAction, id) {
					got = rejected
				} else if hasAction(actions, FailAction, id) {
					got = failed
				}
				if got != want {
					t.Fatalf("got %s, want %s", got, want)
				}
				if got == retried && rig.router.requests[id] == nil {
					t.Fatal("forgotten")
				}
			})
		}
	}
}

func TestRejectionRequiresThatRepeatingIsHarmless(t *testing.T) {
	for _, c := range []struct {
		class int
		want  ActionKind
	}{
		{keyedWrite, FailAction},
		{keyedGlobalWrite, RejectAction},
		{eventualRead, RejectAction},
	} {
		settings := testSettings()
		settings.MaxAttempts = 1
		rig := readyRig(t, settings)
		id, actions := rig.request(c.class)
		actions = rig.answer(id, sentTo(actions, id), Failed, RoleUnknown, 0)
		if !hasAction(actions, c.want, id) {
			t.Errorf("class %d: not the expected final answer: %v", c.class, actions)
		}
	}
}

// A clock may begin at 0. A write that was sent at that time and may have been executed counted as not
// executed, and was rejected as safe to repeat.
func TestWriteSentAtTimeZeroMayHaveBeenExecuted(t *testing.T) {
	router, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	rig := &routerRig{router: router, attempts: map[int64]int{}}
	rig.listAll(threeHosts()...)
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "a" {
		t.Fatal("the write was not sent")
	}
	rig.now += 50 * ms
	if actions := rig.answer(id, "a", ConnectionReset, RoleUnknown, 0); !hasAction(actions, FailAction, id) {
		t.Errorf("want the write failed: %+v", actions)
	}
}

func TestKeyedRetryStaysInItsDeduplicationWindow(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	if !hasAction(rig.advance(2000*ms), FailAction, id) {
		t.Fatal("a write with an idempotency key was not failed after its deduplication window")
	}
	if sentTo(rig.report("b", true, rig.now), id) != "" {
		t.Fatal("retried after the deduplication window")
	}
}

// A write whose repeats are dropped only in the zone of its execution was repeated at a host of an unknown
// zone, as if that were the same one, and could run twice.
func TestKeyedRetryGoesOnlyToTheZoneOfItsExecution(t *testing.T) {
	for _, c := range []struct {
		executedIn, retriedIn int
		retried               bool
	}{{1, 1, true}, {1, 2, false}, {0, UnknownZone, false}, {UnknownZone, UnknownZone, false}} {
		settings := testSettings()
		settings.Classes[keyedWrite].DeduplicationScope = ScopeZone
		rig := newRig(t, settings, Endpoint{Host: "a", Zone: c.executedIn, State: Ready, Primary: true},
			Endpoint{Host: "b", Zone: c.retriedIn, State: Ready})
		id, _ := rig.request(keyedWrite)
		rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
		actions := rig.report("b", true, rig.now)
		if got := sentTo(actions, id) == "b"; got != c.retried {
			t.Errorf("executed in zone %d: sent to zone %d: %v", c.executedIn, c.retriedIn, got)
		}
	}
}

// A change that names no zone leaves a host in the zone that the list has named before.
func TestHostKeepsItsZoneWhereAChangeNamesNone(t *testing.T) {
	rig := newRig(t, testSettings(), Endpoint{Host: "a", Zone: 2, State: Ready})
	rig.list(Endpoint{Host: "a", Zone: UnknownZone, State: Draining})
	if zone := rig.host("a").zone; zone != 2 {
		t.Errorf("the host is in zone %d, want 2", zone)
	}
}

// A retry that was sent within the window may still wait for its connection. After the window it must not be
// written.
func TestKeyedRetryIsNotWrittenAfterItsWindow(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	firstSentAt := rig.now
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	rig.advance(1000 * ms)
	if sentTo(rig.report("a", true, rig.now), id) == "" && sentTo(rig.report("b", true, rig.now), id) == "" {
		t.Fatal("the write was not retried")
	}
	window := rig.class(keyedWrite).DeduplicationWindow
	end := firstSentAt + window - rig.router.maintenanceInterval()
	if !rig.router.AttemptStillValid(end-1, id) || rig.router.AttemptStillValid(end, id) {
		t.Error("want the attempt valid until exactly one maintenance interval before the end of the window")
	}
}

func TestAttemptIsCanceledWhenItsClientDisconnects(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(boundedRead)
	host := sentTo(actions, id)
	if !hasAction(rig.disconnect(id), CancelAction, id) {
		t.Fatal("the attempt was not canceled")
	}
	rig.answer(id, host, Canceled, RoleUnknown, 0)
	if len(rig.router.requests) != 0 || len(rig.host(host).inFlight) != 0 {
		t.Fatal("the finished request was not removed")
	}
}

// A decision may become outdated while the connection is opened. The attempt must then not be written.
func TestAttemptBecomesInvalidWhileItsConnectionOpens(t *testing.T) {
	settings := testSettings()
	settings.Classes[boundedRead].Deadline *= 2
	rig := readyRig(t, settings)
	valid := rig.router.AttemptStillValid

	read, actions := rig.request(boundedRead)
	staleAt := rig.now + rig.class(boundedRead).MaxStaleness
	if !valid(staleAt, read) || valid(staleAt+1, read) {
		t.Error("want the attempt valid while the known position is fresh enough, and invalid after")
	}
	rig.list(Endpoint{Host: sentTo(actions, read), State: Draining})
	if valid(rig.now, read) {
		t.Error("the attempt is valid at a draining host")
	}
	write, _ := rig.request(unsafeWrite)
	if valid(rig.now+rig.class(unsafeWrite).Deadline, write) || !valid(rig.now, write) {
		t.Error("want the write valid now, and invalid at its deadline")
	}
	if valid(rig.now, 99) {
		t.Error("an unknown request is valid")
	}
}

// A read that was decided for the primary was written to it although the router had learned meanwhile that it
// is a replica, and was served data from before its session's write.
func TestReadIsNotWrittenToAFormerPrimary(t *testing.T) {
	const lag = 5000 * ms // of the replicas, so that reads go to the primary
	for evidence, learn := range map[string]func(rig *routerRig){
		"its answer": func(rig *routerRig) {
			write, _ := rig.request(unsafeWrite)
			rig.answer(write, "a", NotPrimary, Replica, 0)
		},
		"its report":             func(rig *routerRig) { rig.report("a", false, testStart) },
		"its successor's report": func(rig *routerRig) { rig.report("b", true, rig.now) },
	} {
		for _, class := range []int{boundedRead, sessionRead, linearizableRead} {
			t.Run(fmt.Sprint(evidence, "/", class), func(t *testing.T) {
				settings := testSettings()
				settings.Classes[boundedRead].Deadline *= 4
				rig := newRig(t, settings, threeHosts()...)
				rig.reportAll(rig.now - lag)
				rig.now += 50 * ms
				id, actions := rig.requestAs(class, 1, 10*ms)
				for sentTo(actions, id) == "" && rig.now < testStart+lag {
					actions = rig.advance(20 * ms)
				}
				writtenAt := rig.now + 50*ms
				if class == boundedRead { // until then the known position of the primary is fresh enough
					writtenAt += rig.class(class).MaxStaleness
				}
				if sentTo(actions, id) != "a" || !rig.router.AttemptStillValid(writtenAt, id) {
					t.Fatalf("want the read sent to the primary and valid, got %+v", actions)
				}
				rig.now += 20 * ms
				learn(rig)
				if rig.router.AttemptStillValid(writtenAt, id) {
					t.Error("the attempt may be written to a host that is known as a replica")
				}
				if actions = rig.answer(id, "a", NotSent, RoleUnknown, 0); sentTo(actions, id) == "a" {
					t.Error("the read is sent to the former primary again")
				}
			})
		}
	}
}

// A write that was decided for the primary was written to it although the router had learned meanwhile that
// another host had taken over. A former primary that hangs leaves the outcome unknown, and the write fails.
func TestWriteIsNotWrittenToAFormerPrimary(t *testing.T) {
	for evidence, learn := range map[string]func(rig *routerRig, other int64){
		"its answer": func(rig *routerRig, other int64) {
			rig.answer(other, "a", NotPrimary, Replica, 0)
		},
		"its report":             func(rig *routerRig, _ int64) { rig.report("a", false, rig.now) },
		"its successor's report": func(rig *routerRig, _ int64) { rig.report("b", true, rig.now) },
	} {
		rig := readyRig(t, testSettings())
		rig.now += 50 * ms
		other, _ := rig.request(unsafeWrite)
		write, actions := rig.request(unsafeWrite)
		if sentTo(actions, write) != "a" || !rig.router.AttemptStillValid(rig.now, write) {
			t.Fatalf("want the write sent to the primary and valid, got %+v", actions)
		}
		rig.now += 20 * ms
		learn(rig, other)
		if rig.router.AttemptStillValid(rig.now, write) {
			t.Errorf("%s: the write may be written to the former primary", evidence)
		}
	}
}

// A read that was decided for a replica was written to it although a write of its session had been answered
// meanwhile, and did not see that write. The router remembers the commits where requests do not carry them.
func TestReadIsNotWrittenWithoutTheLatestCommitOfItsSession(t *testing.T) {
	const session = 7
	settings := testSettings()
	settings.RequestsCarrySessionAge = false
	rig := readyRig(t, settings)
	write, _ := rig.requestAs(unsafeWrite, session, 0)
	read, actions := rig.requestAs(sessionRead, session, 0)
	replica := sentTo(actions, read)
	if replica == "a" || replica == "" || !rig.router.AttemptStillValid(rig.now, read) {
		t.Fatalf("want the read sent to a replica and valid, got %+v", actions)
	}
	rig.now += 20 * ms
	rig.answer(write, "a", Succeeded, Primary, rig.now)
	if rig.router.AttemptStillValid(rig.now, read) {
		t.Error("the read may be written to a replica that lacks the session's latest commit")
	}
	if actions = rig.answer(read, replica, NotSent, RoleUnknown, 0); sentTo(actions, read) != "a" {
		t.Errorf("want the read sent to the primary, which has the commit, got %+v", actions)
	}
}
