package balance

import "testing"

// A fresh router that believes another's facts sends writes to the primary that it found, and asks nobody
// first.
func TestRestoredPrimaryIsAFirstGuess(t *testing.T) {
	old := readyRig(t, testSettings())
	old.report("a", false, old.now)
	old.now += 10 * ms
	old.report("c", true, old.now)
	f := old.router.Snapshot()
	if len(f.Groups) != 1 || f.Groups[0].Primary != "c" {
		t.Fatalf("%+v", f)
	}
	fresh := newRig(t, testSettings(), threeHosts()...) // its list names a
	fresh.router.Restore(fresh.now, f, nil)
	id, actions := fresh.request(unsafeWrite)
	if to := sentTo(actions, id); to != "c" {
		t.Fatalf("the write goes to %q", to)
	}
	if actions = fresh.answer(id, "c", NotPrimary, RoleUnknown, 0); sentTo(actions, id) == "c" {
		t.Error("a guess that was wrong is held on to")
	}
	if _, actions = fresh.requestAs(linearizableRead, 0, 0); findAction(actions, SendAction, -1) != nil {
		t.Error("a read that needs the primary goes to one that is not")
	}
}

// What a router has seen itself goes before what it is told, and unknown hosts are passed over.
func TestOwnObservationsOverruleASnapshot(t *testing.T) {
	rig := readyRig(t, testSettings())
	actions := rig.router.Restore(rig.now, Snapshot{Groups: []GroupSnapshot{{Group: 0, Primary: "b", ObservedAt: rig.now + 1000*ms}, {Group: 9, Primary: "b"}},
		Hosts: []HostSnapshot{{Host: "a", Down: true, ConcurrencyLimit: 99}, {Host: "nobody", Down: true}, {Host: "b", Group: 5, Position: rig.now + 9}}}, nil)
	if len(actions) != 0 || rig.router.hosts["a"].health != healthy || rig.router.hosts["b"].position > rig.now {
		t.Errorf("%+v", actions)
	}
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Error("the primary that was seen gets no writes")
	}
}

// A host believed down gets nothing until a probe has answered, and a cold one keeps its budget.
func TestRestoredUnhealthyAndColdHostsAreSpared(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	rig.router.Restore(rig.now, Snapshot{Hosts: []HostSnapshot{{Host: "a", Down: true}, {Host: "b", Position: rig.now, SlowStartUntil: rig.now + 10000*ms}, {Host: "c", Position: rig.now}}}, nil)
	for range 20 {
		if id, actions := rig.request(boundedRead); sentTo(actions, id) == "a" {
			t.Fatal("a read goes to a host that is down")
		}
	}
	if !rig.router.hosts["b"].warmingUp {
		t.Error("b is not cold")
	}
	rig.advance(2 * rig.router.searchInterval())
	if a := findAction(rig.report("a", true, rig.now), SendAction, -1); a == nil || a.Host != "a" {
		t.Errorf("a host that answers again gets nothing: %+v", a)
	}
}
