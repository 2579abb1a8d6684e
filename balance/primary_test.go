package balance

import "testing"

func TestWriteTriesEachMemberThenWaitsForThePrimary(t *testing.T) {
	settings := testSettings()
	endpoints := threeHosts()
	endpoints[0].Primary = false
	rig := newRig(t, settings, endpoints...)
	id, actions := rig.request(unsafeWrite)
	for i, want := range []string{"a", "b", "c"} {
		if got := sentTo(actions, id); got != want {
			t.Fatalf("try %d went to %q, want %q", i, got, want)
		}
		actions = rig.answer(id, want, NotPrimary, Replica, 0)
	}
	if sentTo(actions, id) != "" || findAction(actions, RejectAction, id) != nil {
		t.Fatalf("not held after a round of misses: %v", actions)
	}
	rig.now += 300 * ms
	if actions = rig.report("c", true, rig.now); sentTo(actions, id) != "c" {
		t.Fatalf("not released to the named primary: %v", actions)
	}
}

func TestFirstWriteGoesToTheListedPrimaryElseTheLowestID(t *testing.T) {
	for _, c := range []struct {
		mark bool
		want string
	}{{true, "c"}, {false, "a"}} {
		settings := testSettings()
		endpoints := threeHosts()
		endpoints[0].Primary, endpoints[2].Primary = false, c.mark
		rig := newRig(t, settings, endpoints...)
		id, actions := rig.request(unsafeWrite)
		if got := sentTo(actions, id); got != c.want {
			t.Errorf("list marks a primary %v: first write went to %q, want %q", c.mark, got, c.want)
		}
	}
}

// A router that never was sure of a primary goes on asking at its pace: with the start of time as the start
// of the search, the second probe would come after an eighth of all time, and the write would be held to its
// end.
func TestSearchForANeverConfirmedPrimaryContinues(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	id, actions := rig.request(unsafeWrite)
	for range 3 {
		host := sentTo(actions, id)
		if host == "" {
			t.Fatal("the write does not walk")
		}
		actions = rig.answer(id, host, NotPrimary, RoleUnknown, 0)
	}
	if actions = append(actions, rig.advance(2*rig.router.searchInterval())...); findAction(actions, HealthCheckAction, -1) == nil {
		t.Fatal("no probe after the round")
	}
	for _, host := range []string{"a", "b", "c"} {
		rig.report(host, false, rig.now) // taken before the successor was made primary
	}
	if actions := rig.advance(2 * rig.router.searchInterval()); findAction(actions, HealthCheckAction, -1) == nil {
		t.Fatal("the search has ended after one probe")
	}
	if actions := rig.report("b", true, rig.now); sentTo(actions, id) != "b" {
		t.Fatalf("the write does not go to the primary that was found: %+v", actions)
	}
}

func TestOldReportDoesNotOverruleANewerAnswer(t *testing.T) {
	rig := readyRig(t, testSettings())
	rig.now += 1000 * ms
	id, _ := rig.request(unsafeWrite)
	rig.answer(id, "a", Succeeded, Primary, rig.now)
	rig.report("a", false, rig.now-200*ms) // made before the answer, delivered after it
	if p := rig.router.groups[0].primary; p == nil || p.id != "a" {
		t.Fatal("an old report unseated the primary")
	}
	rig.report("b", true, rig.now-100*ms)
	if p := rig.router.groups[0].primary; p == nil || p.id != "a" {
		t.Fatal("an older claim won over a newer one")
	}
	rig.now += 100 * ms
	rig.report("b", true, rig.now)
	if p := rig.router.groups[0].primary; p == nil || p.id != "b" {
		t.Fatal("the later claim did not win")
	}
}

func TestSilentPrimaryIsCheckedWhileWritesWait(t *testing.T) {
	rig := readyRig(t, testSettings())
	for range 10 {
		id, _ := rig.request(keyedWrite)
		rig.now += 20 * ms
		rig.answer(id, "a", Succeeded, Primary, rig.now)
	}
	rig.report("b", false, rig.now)
	rig.report("c", false, rig.now)
	lost, _ := rig.request(keyedWrite)
	gone, _ := rig.request(unsafeWrite)
	actions := rig.advance(200 * ms)
	if findAction(actions, HealthCheckAction, -1) == nil {
		t.Fatal("silence was not probed")
	}
	rig.handle(Event{Kind: HealthCheckEvent, Host: "a", Result: TimedOut, Latency: 250 * ms})
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("a write went to a silent primary")
	}
	actions = rig.report("b", true, rig.now)
	if sentTo(actions, id) != "b" {
		t.Fatal("held write was not released")
	}
	if actions = rig.answer(lost, "a", ConnectionReset, RoleUnknown, 0); sentTo(actions, lost) != "b" {
		t.Fatalf("keyed write did not go again: %v", actions)
	}
	if actions = rig.answer(gone, "a", ConnectionReset, RoleUnknown, 0); findAction(actions, FailAction, gone) == nil {
		t.Fatalf("want the unsafe write failed: %v", actions)
	}
}
