package balance

import (
	"fmt"
	"testing"
)

func TestFailedAttemptIsRetriedOnlyWhereThatIsSafe(t *testing.T) {
	const again, refuse, fail = "again", "refuse", "fail"
	for _, c := range []struct {
		class int
		res   Result
		want  string
	}{
		{eventualRead, Failed, again}, {eventualRead, TimedOut, again}, {eventualRead, ConnectionReset, again}, {eventualRead, Overloaded, again},
		{eventualRead, ConnectionRefused, again}, {eventualRead, Canceled, again}, {eventualRead, NotSent, again},
		{unsafeWrite, Failed, fail}, {unsafeWrite, TimedOut, fail}, {unsafeWrite, ConnectionReset, fail}, {unsafeWrite, Canceled, fail},
		{unsafeWrite, Overloaded, again}, {unsafeWrite, ConnectionRefused, again}, {unsafeWrite, NotPrimary, again}, {unsafeWrite, NotSent, again},
		{keyedWrite, Failed, again}, {keyedWrite, TimedOut, again}, {keyedWrite, ConnectionReset, again}, {keyedWrite, NotPrimary, again},
		{keyedWrite, NotSent, again}, {keyedGlobalWrite, Failed, again},
	} {
		t.Run(fmt.Sprint(c.class, "/", c.res), func(t *testing.T) {
			rig := readyRig(t, testSettings())
			id, actions := rig.request(c.class)
			host := sentTo(actions, id)
			if host == "" {
				t.Fatal("not sent")
			}
			actions = rig.answer(id, host, c.res, RoleUnknown, 0)
			actions = append(actions, rig.report("a", true, rig.now)...) // whatever was doubted is cleared
			got := again
			if findAction(actions, RejectAction, id) != nil {
				got = refuse
			} else if findAction(actions, FailAction, id) != nil {
				got = fail
			}
			if got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
			if got == again && rig.router.requests[id] == nil {
				t.Fatal("forgotten")
			}
		})
	}
}

func TestRejectionRequiresThatRepeatingIsHarmless(t *testing.T) {
	for _, c := range []struct {
		class int
		kind  ActionKind
	}{{keyedWrite, FailAction}, {keyedGlobalWrite, RejectAction}, {eventualRead, RejectAction}} {
		settings := testSettings()
		settings.MaxAttempts = 1
		rig := readyRig(t, settings)
		id, actions := rig.request(c.class)
		actions = rig.answer(id, sentTo(actions, id), Failed, RoleUnknown, 0)
		if findAction(actions, c.kind, id) == nil {
			t.Errorf("class %d: wrong final answer in %v", c.class, actions)
		}
	}
}

func TestKeyedRetryStaysInItsDeduplicationWindow(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	actions := rig.advance(2000 * ms)
	if findAction(actions, FailAction, id) == nil {
		t.Fatal("a keyed write past its window was not failed")
	}
	if sentTo(rig.report("b", true, rig.now), id) != "" {
		t.Fatal("repeat sent past the window")
	}
}

func TestAttemptIsCanceledWhenItsClientDisconnects(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(boundedRead)
	h := sentTo(actions, id)
	if actions = rig.handle(Event{Kind: ClientDisconnectedEvent, Request: id}); findAction(actions, CancelAction, id) == nil {
		t.Fatal("the attempt runs on for nobody")
	}
	rig.answer(id, h, Canceled, RoleUnknown, 0)
	if len(rig.router.requests) != 0 || len(rig.router.hosts[h].inFlight) != 0 {
		t.Fatal("the finished request is still kept")
	}
}

// A decision ages while a connection opens: what no longer fits may not be written.
func TestAttemptBecomesInvalidWhileItsConnectionOpens(t *testing.T) {
	settings := testSettings()
	settings.Classes[boundedRead].Deadline *= 2
	rig := readyRig(t, settings)
	id, actions := rig.request(boundedRead)
	host := sentTo(actions, id)
	bound := rig.router.settings.Classes[boundedRead].MaxStaleness
	if !rig.router.AttemptStillValid(rig.now+bound, id) || rig.router.AttemptStillValid(rig.now+bound+1, id) {
		t.Error("a position older than the bound still fits, or one within it does not")
	}
	rig.handle(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: host, State: Draining}}})
	if rig.router.AttemptStillValid(rig.now, id) {
		t.Error("a host that drains still fits")
	}
	write, _ := rig.request(unsafeWrite)
	if rig.router.AttemptStillValid(rig.now+rig.router.settings.Classes[unsafeWrite].Deadline, write) || !rig.router.AttemptStillValid(rig.now, write) || rig.router.AttemptStillValid(rig.now, 99) {
		t.Error("a write fits after its deadline, or not in time, or one that nobody knows does")
	}
}

// A repeat that was decided on within the window may wait for its connection: past the window it is not
// written any more.
func TestKeyedRetryIsNotWrittenPastItsWindow(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, _ := rig.request(keyedWrite)
	began := rig.now
	rig.answer(id, "a", ConnectionReset, RoleUnknown, 0)
	rig.advance(1000 * ms)
	if sentTo(rig.report("a", true, rig.now), id) == "" && sentTo(rig.report("b", true, rig.now), id) == "" {
		t.Fatal("not repeated")
	}
	last := began + rig.router.settings.Classes[keyedWrite].DeduplicationWindow - rig.router.maintenanceInterval()
	if !rig.router.AttemptStillValid(last-1, id) || rig.router.AttemptStillValid(last, id) {
		t.Error("the window does not bind to the microsecond, a period before its end")
	}
}
