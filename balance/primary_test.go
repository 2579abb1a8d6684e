package balance

import "testing"

func TestWriteTriesEachMemberThenWaitsForThePrimary(t *testing.T) {
	rig := newRig(t, testSettings(), threeUnmarkedHosts()...)
	id, actions := rig.request(unsafeWrite)
	for i, want := range []string{"a", "b", "c"} {
		if got := sentTo(actions, id); got != want {
			t.Fatalf("attempt %d went to %q, want %q", i, got, want)
		}
		actions = rig.answer(id, want, NotPrimary, Replica, 0)
	}
	if sentTo(actions, id) != "" || hasAction(actions, RejectAction, id) {
		t.Fatalf("the write does not wait after a round of all members: %v", actions)
	}
	rig.now += 300 * ms
	if actions = rig.report("c", true, rig.now); sentTo(actions, id) != "c" {
		t.Fatalf("the write was not sent to the confirmed primary: %v", actions)
	}
}

func TestFirstWriteGoesToTheListedPrimaryElseTheLowestID(t *testing.T) {
	for _, c := range []struct {
		marked bool
		want   string
	}{{true, "c"}, {false, "a"}} {
		endpoints := threeUnmarkedHosts()
		endpoints[2].Primary = c.marked
		rig := newRig(t, testSettings(), endpoints...)
		id, actions := rig.request(unsafeWrite)
		if got := sentTo(actions, id); got != c.want {
			t.Errorf("primary marked in the list: %v; first write went to %q, want %q", c.marked, got, c.want)
		}
	}
}

// If no primary was ever confirmed, the duration of the search counts from the first request that waits. If
// it counted from time zero, the wait between checks would be an eighth of the clock's value, and the write
// would expire first.
func TestSearchForANeverConfirmedPrimaryContinues(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	searchTime := 2 * rig.router.searchInterval()
	id, actions := rig.request(unsafeWrite)
	for range 3 {
		host := sentTo(actions, id)
		if host == "" {
			t.Fatal("the write did not try the next member")
		}
		actions = rig.answer(id, host, NotPrimary, RoleUnknown, 0)
	}
	if actions = append(actions, rig.advance(searchTime)...); !hasCheck(actions) {
		t.Fatal("no health check after the round")
	}
	for _, host := range []string{"a", "b", "c"} {
		rig.report(host, false, rig.now) // as of a time before the new primary was promoted
	}
	if !hasCheck(rig.advance(searchTime)) {
		t.Fatal("the search ended after one health check")
	}
	if actions := rig.report("b", true, rig.now); sentTo(actions, id) != "b" {
		t.Fatalf("the write does not go to the primary that was found: %+v", actions)
	}
}

func TestOldReportDoesNotOverrideANewerAnswer(t *testing.T) {
	rig := readyRig(t, testSettings())
	isPrimary := func(id string) bool {
		primary := rig.router.groups[0].primary
		return primary != nil && primary.id == id
	}
	rig.now += 1000 * ms
	id, _ := rig.request(unsafeWrite)
	rig.answer(id, "a", Succeeded, Primary, rig.now)
	rig.report("a", false, rig.now-200*ms) // from before the answer, but delivered after it
	if !isPrimary("a") {
		t.Fatal("an old report demoted the primary")
	}
	rig.report("b", true, rig.now-100*ms)
	if !isPrimary("a") {
		t.Fatal("a report with an older position replaced a newer primary")
	}
	rig.now += 100 * ms
	rig.report("b", true, rig.now)
	if !isPrimary("b") {
		t.Fatal("the later report did not make b the primary")
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
	keyed, _ := rig.request(keyedWrite)
	unsafe, _ := rig.request(unsafeWrite)
	if !hasCheck(rig.advance(200 * ms)) {
		t.Fatal("no health check of the silent primary")
	}
	rig.endCheck("a", TimedOut)
	id, actions := rig.request(unsafeWrite)
	if sentTo(actions, id) != "" {
		t.Fatal("a write went to a silent primary")
	}
	if actions = rig.report("b", true, rig.now); sentTo(actions, id) != "b" {
		t.Fatal("the waiting write was not sent to the new primary")
	}
	if actions = rig.answer(keyed, "a", ConnectionReset, RoleUnknown, 0); sentTo(actions, keyed) != "b" {
		t.Fatalf("the keyed write was not retried: %v", actions)
	}
	actions = rig.answer(unsafe, "a", ConnectionReset, RoleUnknown, 0)
	if !hasAction(actions, FailAction, unsafe) {
		t.Fatalf("want the non-idempotent write failed: %v", actions)
	}
}

// An answer that a host gave as the primary, and that was complete only after a later answer of the same
// host as a replica, made it the primary again. Reads went there although an answer had told that it is none.
// The same happened where the late answer, or the late report, told no position.
func TestLateAnswerOfAPrimaryDoesNotUndoALaterOneAsReplica(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(rig *routerRig, write, answeredAt int64)
	}{
		{"answer with a position", func(rig *routerRig, write, answeredAt int64) {
			rig.answer(write, "a", Succeeded, Primary, answeredAt)
		}},
		{"answer without a position", func(rig *routerRig, write, _ int64) {
			rig.answer(write, "a", Succeeded, Primary, 0)
		}},
		{"report without a position", func(rig *routerRig, write, _ int64) {
			rig.handle(Event{
				Kind: OutcomeEvent, Request: write, Host: "a", Result: Succeeded, Finished: true,
				Report: HostReport{HasRole: true, Primary: true},
			})
		}},
	} {
		rig := newRig(t, testSettings(), threeHosts()...)
		rig.reportAll(rig.now - 5000*ms)
		rig.now += 50 * ms
		early, actions := rig.request(unsafeWrite)
		late, _ := rig.requestAs(sessionRead, 1, 10*ms)
		if sentTo(actions, early) != "a" {
			t.Fatalf("%s: want the write sent to the primary", c.name)
		}
		wasPrimaryAt := rig.now
		rig.now += 50 * ms
		rig.answer(late, "a", Succeeded, Replica, wasPrimaryAt+10*ms)
		rig.now += 5 * ms
		c.end(rig, early, wasPrimaryAt)
		read, actions := rig.requestAs(sessionRead, 1, 10*ms)
		if sentTo(actions, read) == "a" {
			t.Errorf("%s: the read is sent to the former primary: %+v", c.name, actions)
		}
	}
}

// A health check's report that says nothing of its position shows the role as of the sending of the check.
func TestLateReportWithoutAPositionDoesNotUndoALaterAnswer(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	rig.reportAll(rig.now - 5000*ms)
	rig.now += 50 * ms
	read, _ := rig.requestAs(sessionRead, 1, 10*ms)
	rig.router.markSuspect(rig.host("a")) // sends the health check
	rig.now += 50 * ms
	rig.answer(read, "a", Succeeded, Replica, rig.now-20*ms)
	rig.now += 50 * ms
	rig.handle(Event{
		Kind: HealthCheckEvent, Host: "a", Result: Succeeded, Latency: 100 * ms,
		Report: HostReport{HasRole: true, Primary: true},
	})
	next, actions := rig.requestAs(sessionRead, 1, 10*ms)
	if sentTo(actions, next) == "a" {
		t.Errorf("the read is sent to the former primary: %+v", actions)
	}
}
