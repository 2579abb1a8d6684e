package balance

import "testing"

// beginShutdown passes a shutdown that wants all answers after a duration.
func (rig *routerRig) beginShutdown(duration int64) {
	rig.handle(Event{Kind: ShutdownEvent, Deadline: rig.now + duration})
}

// A request in flight at the end of a shutdown is answered before it, and not lost with the process. What may
// have run is not promised to be harmless.
func TestShutdownEndsRequestsInFlight(t *testing.T) {
	for class, want := range map[int]ActionKind{
		eventualRead: RejectAction, unsafeWrite: FailAction,
		keyedWrite: FailAction, keyedGlobalWrite: RejectAction,
	} {
		rig := readyRig(t, testSettings())
		id, actions := rig.request(class)
		host := sentTo(actions, id)
		rig.beginShutdown(600 * ms)
		if actions = rig.advance(500 * ms); hasAction(actions, want, id) {
			t.Errorf("class %d: answered too early", class)
		}
		actions = rig.advance(90 * ms)
		if !hasAction(actions, want, id) || !hasAction(actions, CancelAction, id) {
			t.Errorf("class %d: %+v", class, actions)
		}
		rig.answer(id, host, Canceled, RoleUnknown, 0)
		if len(rig.router.requests) > 0 {
			t.Errorf("class %d: not forgotten", class)
		}
	}
}

// A request that the shutdown leaves too little time is rejected at once, unsent: the kill would lose it,
// or its outcome would be unknown. One that has its time, or whose client waits no longer, is sent.
func TestShutdownRejectsWhatItCutsShort(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.beginShutdown(1400 * ms)
	id, actions := rig.request(unsafeWrite)
	send := findAction(actions, SendAction, id)
	if send == nil || send.Timeout != 1400*ms {
		t.Fatalf("sent by %+v", actions)
	}
	rig.answer(id, send.Host, Succeeded, Primary, rig.now)
	rig.advance(1000 * ms)
	rig.reportAll(rig.now)
	id, actions = rig.request(unsafeWrite)
	if !hasAction(actions, RejectAction, id) || sentTo(actions, id) != "" {
		t.Errorf("with 400 of 500 ms: %+v", actions)
	}
	id, actions = rig.request(eventualRead)
	if sentTo(actions, id) == "" {
		t.Errorf("a read with 400 of 300 ms is not sent: %+v", actions)
	}
	rig.lastRequest++
	shortDeadline := Event{
		Kind: RequestEvent, Request: rig.lastRequest, Class: unsafeWrite, Deadline: rig.now + 200*ms,
	}
	if sentTo(rig.handle(shortDeadline), shortDeadline.Request) == "" {
		t.Error("a write whose client waits for 200 ms is not sent")
	}
	rig.advance(400 * ms)
	id, actions = rig.request(eventualRead)
	if !hasAction(actions, RejectAction, id) {
		t.Errorf("after the end: %+v", actions)
	}
}

// A write that waits for a primary is rejected while its client still has the time to try elsewhere.
func TestShutdownRejectsWaitingWritesInTime(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(unsafeWrite)
	rig.answer(id, sentTo(actions, id), ConnectionRefused, RoleUnknown, 0)
	rig.beginShutdown(1500 * ms)
	actions = rig.advance(1020 * ms)
	if !hasAction(actions, RejectAction, id) {
		t.Errorf("not rejected with 480 of 500 ms left: %+v", rig.router.requests[id])
	}
}
