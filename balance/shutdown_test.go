package balance

import "testing"

// beginShutdown passes a ShutdownEvent. Its deadline is the given duration from now.
func (rig *routerRig) beginShutdown(duration int64) {
	rig.handle(Event{Kind: ShutdownEvent, Deadline: rig.now + duration})
}

// A request in flight gets its final answer before the shutdown deadline; otherwise it would be lost with the
// process. A request that may have been executed is failed, unless it is safe to retry.
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
			t.Errorf("class %d: final answer too early", class)
		}
		actions = rig.advance(90 * ms)
		if !hasAction(actions, want, id) || !hasAction(actions, CancelAction, id) {
			t.Errorf("class %d: wrong final answer or no cancellation: %+v", class, actions)
		}
		rig.answer(id, host, Canceled, RoleUnknown, 0)
		if len(rig.router.requests) > 0 {
			t.Errorf("class %d: the router still holds the finished request", class)
		}
	}
}

// A request for which the shutdown leaves too little time is rejected at once and not sent: it could be
// lost when the process ends, or its outcome could be unknown. A request is sent if it has enough time, or
// if its client gives up before the shutdown ends.
func TestShutdownRejectsWhatItCutsShort(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.beginShutdown(1400 * ms)
	id, actions := rig.request(unsafeWrite)
	send := findAction(actions, SendAction, id)
	if send == nil || send.Timeout != 1400*ms {
		t.Fatalf("want the write sent with a timeout of 1400 ms, got %+v", actions)
	}
	rig.answer(id, send.Host, Succeeded, Primary, rig.now)
	rig.advance(1000 * ms)
	rig.reportAll(rig.now)
	id, actions = rig.request(unsafeWrite)
	if !hasAction(actions, RejectAction, id) || sentTo(actions, id) != "" {
		t.Errorf("a write that needs 500 ms is not rejected with 400 ms left: %+v", actions)
	}
	id, actions = rig.request(eventualRead)
	if sentTo(actions, id) == "" {
		t.Errorf("a read that needs 300 ms is not sent with 400 ms left: %+v", actions)
	}
	rig.lastRequest++
	shortDeadline := Event{
		Kind: RequestEvent, Request: rig.lastRequest, Class: unsafeWrite, Deadline: rig.now + 200*ms,
	}
	if sentTo(rig.handle(shortDeadline), shortDeadline.Request) == "" {
		t.Error("a write whose client waits for only 200 ms is not sent")
	}
	rig.advance(400 * ms)
	id, actions = rig.request(eventualRead)
	if !hasAction(actions, RejectAction, id) {
		t.Errorf("a read after the shutdown deadline is not rejected: %+v", actions)
	}
}

// A write that waits for a primary is rejected while its client still has time to try another gateway.
func TestShutdownRejectsWaitingWritesInTime(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(unsafeWrite)
	rig.answer(id, sentTo(actions, id), ConnectionRefused, RoleUnknown, 0)
	rig.beginShutdown(1500 * ms)
	actions = rig.advance(1020 * ms)
	if !hasAction(actions, RejectAction, id) {
		t.Errorf("a write that needs 500 ms is not rejected with 480 ms left: %+v", rig.router.requests[id])
	}
}
