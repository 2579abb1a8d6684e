package balance

import "testing"

func TestWaitingWriteIsRejectedBeforeItsDeadline(t *testing.T) {
	rig := readyRig(t, testSettings())
	first, _ := rig.request(unsafeWrite)
	rig.answer(first, "a", ConnectionReset, RoleUnknown, 0)
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("sent with no primary")
	}
	until := rig.now + 3000*ms
	for rig.now < until {
		if a := findAction(rig.advance(20*ms), RejectAction, id); a != nil {
			if a.RetryAfter <= 0 {
				t.Fatal("no retry-after")
			}
			return
		}
	}
	t.Fatal("no final answer before the client's deadline")
}

func TestRequestWithoutTimeLeftIsRejectedAtOnce(t *testing.T) {
	rig := readyRig(t, testSettings())
	for _, left := range []int64{-5 * ms, 0, 10 * ms} {
		actions := rig.handle(Event{Kind: RequestEvent, Request: 77, Class: unsafeWrite, Deadline: rig.now + left})
		if findAction(actions, RejectAction, 77) == nil || findAction(actions, SendAction, 77) != nil {
			t.Fatalf("%d us left: %v", left, actions)
		}
	}
}

func TestNewestQueuedWriteIsSentFirst(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.router.hosts["a"].concurrencyLimit = 1
	first, _ := rig.request(unsafeWrite)
	older, _ := rig.request(unsafeWrite)
	rig.now += 50 * ms
	newer, _ := rig.request(unsafeWrite)
	rig.now += 50 * ms
	actions := rig.answer(first, "a", Succeeded, Primary, rig.now)
	if a := findAction(actions, SendAction, -1); a == nil || a.Request != newer {
		t.Fatalf("want write %d sent before %d: %v", newer, older, actions)
	}
}

func TestQueueIsOrderedByPriorityForTheTimeTaken(t *testing.T) {
	rig := readyRig(t, testSettings())
	for _, host := range rig.router.hostsByID {
		host.concurrencyLimit = 1
	}
	rig.router.hosts["b"].excluded, rig.router.hosts["c"].excluded = true, true
	rig.router.traffic.classCost[linearizableRead], rig.router.traffic.classCost[sessionRead] = 20e3, 200e3 // worth 1 in 20 ms against 3 in 200 ms
	first, _ := rig.request(unsafeWrite)
	dear, _ := rig.requestAs(sessionRead, 1, 10*ms)
	quick, _ := rig.request(linearizableRead)
	actions := rig.answer(first, "a", Succeeded, Primary, rig.now)
	if a := findAction(actions, SendAction, -1); a == nil || a.Request != quick {
		t.Fatalf("want read %d sent before %d: %v", quick, dear, actions)
	}
}

// No list has named it, so there is nobody to wait for, and a thousand such numbers must not be remembered.
func TestRequestOfAnUnknownGroupIsRejectedAtOnce(t *testing.T) {
	rig := readyRig(t, testSettings())
	groups := len(rig.router.groups)
	for n := int64(99); n < 1099; n++ {
		id := rig.lastRequest + n
		actions := rig.handle(Event{Kind: RequestEvent, Request: id, Class: boundedRead, Group: n, Deadline: rig.now + 1000*ms})
		if a := findAction(actions, RejectAction, id); a == nil || a.RetryAfter == 0 {
			t.Fatal("a read of a group without hosts was not refused with a time to come back")
		}
	}
	if len(rig.router.groups) != groups || len(rig.router.requests) != 0 {
		t.Errorf("%d groups and %d requests are remembered", len(rig.router.groups), len(rig.router.requests))
	}
}

// A read that no host has had by half of its time is refused; a write, or a read that a host turned away,
// stays.
func TestUnservedReadIsRejectedAtHalfItsTime(t *testing.T) {
	for _, c := range []struct {
		class   int
		met     bool
		refused bool
	}{{boundedRead, false, true}, {boundedRead, true, false}, {unsafeWrite, false, false}} {
		rig := readyRig(t, testSettings())
		if !c.met {
			for _, host := range rig.router.hostsByID {
				host.concurrencyLimit = 0
			}
		}
		id, actions := rig.request(c.class)
		if c.met {
			host := sentTo(actions, id)
			for _, host := range rig.router.hostsByID {
				host.concurrencyLimit = 0
			}
			rig.answer(id, host, Overloaded, RoleUnknown, 0)
		}
		half := rig.router.settings.Classes[c.class].Deadline / 2
		if a := findAction(rig.advance(half-3*rig.router.maintenanceInterval()), RejectAction, id); a != nil {
			t.Errorf("class %d: refused before half of its time", c.class)
		}
		if a := findAction(rig.advance(2*rig.router.maintenanceInterval()), RejectAction, id); (a != nil) != c.refused {
			t.Errorf("class %d, met %v: refusal at half of its time: %v", c.class, c.met, a)
		}
	}
}
