package balance

import "testing"

// A new router sends writes to the primary in the snapshot without a search. A host that answers as a
// replica gets no more writes, and no reads that need the primary.
func TestRestoredPrimaryIsAFirstGuess(t *testing.T) {
	old := readyRig(t, testSettings())
	old.report("a", false, old.now)
	old.now += 10 * ms
	old.report("c", true, old.now)
	snapshot := old.router.Snapshot()
	if len(snapshot.Groups) != 1 || snapshot.Groups[0].Primary != "c" {
		t.Fatalf("%+v", snapshot)
	}
	fresh := newRig(t, testSettings(), threeHosts()...) // its endpoint list marks a as the primary
	fresh.router.Restore(fresh.now, snapshot, nil)
	id, actions := fresh.request(unsafeWrite)
	if host := sentTo(actions, id); host != "c" {
		t.Fatalf("the write goes to %q, want the primary in the snapshot, c", host)
	}
	if actions = fresh.answer(id, "c", NotPrimary, RoleUnknown, 0); sentTo(actions, id) == "c" {
		t.Error("a wrong guess is tried again")
	}
	if _, actions = fresh.request(linearizableRead); hasAction(actions, SendAction, anyRequest) {
		t.Error("a read that needs the primary goes to a host that is not")
	}
}

// A router's own observations take precedence over a snapshot, and unknown hosts are ignored.
func TestOwnObservationsOverrideASnapshot(t *testing.T) {
	rig := readyRig(t, testSettings())
	snapshot := Snapshot{
		Groups: []GroupSnapshot{
			{Group: 0, Primary: "b", ObservedAt: rig.now + 1000*ms},
			{Group: 9, Primary: "b"},
		},
		Hosts: []HostSnapshot{
			{Host: "a", Unhealthy: true, ConcurrencyLimit: 99},
			{Host: "nobody", Unhealthy: true},
			{Host: "b", Group: 5, Position: rig.now + 9},
		},
	}
	actions := rig.router.Restore(rig.now, snapshot, nil)
	if len(actions) != 0 || rig.host("a").health != healthy || rig.host("b").position > rig.now {
		t.Errorf("%+v", actions)
	}
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Error("the confirmed primary gets no writes")
	}
}

// A host that was restored as unhealthy gets no requests until a health check is answered. A host that was
// restored in slow start stays in it.
func TestRestoredHostsStayUnhealthyOrInSlowStart(t *testing.T) {
	rig := newRig(t, testSettings(), threeHosts()...)
	rig.router.Restore(rig.now, Snapshot{Hosts: []HostSnapshot{
		{Host: "a", Unhealthy: true},
		{Host: "b", Position: rig.now, SlowStartUntil: rig.now + 10000*ms},
		{Host: "c", Position: rig.now},
	}}, nil)
	for range 20 {
		if id, actions := rig.request(boundedRead); sentTo(actions, id) == "a" {
			t.Fatal("a read goes to an unhealthy host")
		}
	}
	if !rig.host("b").warmingUp {
		t.Error("b is not in slow start")
	}
	rig.advance(2 * rig.router.searchInterval())
	send := findAction(rig.report("a", true, rig.now), SendAction, anyRequest)
	if send == nil || send.Host != "a" {
		t.Errorf("a host that answers again gets no requests: %+v", send)
	}
}
