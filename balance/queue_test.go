package balance

import "testing"

func TestWaitingWriteIsRejectedBeforeItsDeadline(t *testing.T) {
	rig := readyRig(t, testSettings())
	first, _ := rig.request(unsafeWrite)
	rig.answer(first, "a", ConnectionReset, RoleUnknown, 0)
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("the write was sent without a healthy primary")
	}
	deadline := rig.now + rig.class(unsafeWrite).Deadline
	for rig.now < deadline {
		rejection := findAction(rig.advance(20*ms), RejectAction, id)
		if rejection == nil {
			continue
		}
		if rejection.RetryAfter <= 0 {
			t.Fatal("rejected without a retry-after")
		}
		return
	}
	t.Fatal("no final answer before the client's deadline")
}

func TestRequestWithoutTimeLeftIsRejectedAtOnce(t *testing.T) {
	rig := readyRig(t, testSettings())
	for _, left := range []int64{-5 * ms, 0, 10 * ms} {
		actions := rig.handle(Event{
			Kind: RequestEvent, Request: 77, Class: unsafeWrite, Deadline: rig.now + left,
		})
		if !hasAction(actions, RejectAction, 77) || hasAction(actions, SendAction, 77) {
			t.Fatalf("%d us left: want a rejection only, got %v", left, actions)
		}
	}
}

func TestNewestQueuedWriteIsSentFirst(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.host("a").concurrencyLimit = 1
	first, _ := rig.request(unsafeWrite)
	older, _ := rig.request(unsafeWrite)
	rig.now += 50 * ms
	newer, _ := rig.request(unsafeWrite)
	rig.now += 50 * ms
	actions := rig.answer(first, "a", Succeeded, Primary, rig.now)
	if send := findAction(actions, SendAction, anyRequest); send == nil || send.Request != newer {
		t.Fatalf("want write %d sent before %d: %v", newer, older, actions)
	}
}

func TestQueueIsOrderedByPriorityForTheTimeTaken(t *testing.T) {
	rig := readyRig(t, testSettings())
	for _, host := range rig.router.hostsByID {
		host.concurrencyLimit = 1
	}
	rig.host("b").excluded = true
	rig.host("c").excluded = true
	cost := rig.router.traffic.classCost
	cost[linearizableRead] = 20e3 // µs, for a weight of 1
	cost[sessionRead] = 200e3     // µs, for a weight of 3
	first, _ := rig.request(unsafeWrite)
	long, _ := rig.requestAs(sessionRead, 1, 10*ms)
	quick, _ := rig.request(linearizableRead)
	actions := rig.answer(first, "a", Succeeded, Primary, rig.now)
	if send := findAction(actions, SendAction, anyRequest); send == nil || send.Request != quick {
		t.Fatalf("want read %d sent before %d: %v", quick, long, actions)
	}
}

// No endpoint list has named the group, so no host can answer. Requests for a thousand such groups must not
// use memory either.
func TestRequestOfAnUnknownGroupIsRejectedAtOnce(t *testing.T) {
	rig := readyRig(t, testSettings())
	groups := len(rig.router.groups)
	for group := int64(99); group < 1099; group++ {
		id := rig.lastRequest + group
		actions := rig.handle(Event{
			Kind: RequestEvent, Request: id, Class: boundedRead, Group: group, Deadline: rig.now + 1000*ms,
		})
		if rejection := findAction(actions, RejectAction, id); rejection == nil || rejection.RetryAfter == 0 {
			t.Fatal("a read of an unknown group was not rejected with a retry-after")
		}
	}
	if len(rig.router.groups) != groups || len(rig.router.requests) != 0 {
		t.Errorf("%d groups and %d requests are stored",
			len(rig.router.groups), len(rig.router.requests))
	}
}

// A read that no host has received is rejected after half of its time. A write, or a read that a host has
// rejected, stays queued.
func TestUnservedReadIsRejectedAtHalfItsTime(t *testing.T) {
	for _, c := range []struct {
		class    int
		received bool
		rejected bool
	}{
		{boundedRead, false, true},
		{boundedRead, true, false},
		{unsafeWrite, false, false},
	} {
		rig := readyRig(t, testSettings())
		interval := rig.router.maintenanceInterval()
		half := rig.class(c.class).Deadline / 2
		stopSending := func() {
			for _, host := range rig.router.hostsByID {
				host.concurrencyLimit = 0
			}
		}
		if !c.received {
			stopSending()
		}
		id, actions := rig.request(c.class)
		if c.received {
			stopSending()
			rig.answer(id, sentTo(actions, id), Overloaded, RoleUnknown, 0)
		}
		if hasAction(rig.advance(half-3*interval), RejectAction, id) {
			t.Errorf("class %d: rejected before half of its time", c.class)
		}
		if rejected := hasAction(rig.advance(2*interval), RejectAction, id); rejected != c.rejected {
			t.Errorf("class %d, received by a host %v: rejected at half of its time %v",
				c.class, c.received, rejected)
		}
	}
}
