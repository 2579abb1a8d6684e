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

// zoneShareMap is a view of shares.
type zoneShareMap map[int]float64

func (z zoneShareMap) ReadShare(zone int) float64 { return z[zone] }

// Of a zone that is left in part, that part of the reads goes to its replicas; none is kept from a group that
// has no other, writes go where the primary is, and no read goes to a replica that is too old for it.
func TestReadsAvoidEvacuatedZones(t *testing.T) {
	endpoints := threeHosts()
	endpoints[1].Zone, endpoints[2].Zone = 1, 2
	for _, share := range []float64{0, 0.2, 1} {
		rig := newRig(t, testSettings(), endpoints...)
		rig.reportAll(rig.now)
		rig.router.SetZoneShares(zoneShareMap{0: 1, 1: share, 2: 1})
		sent := map[string]int{}
		for range 400 {
			rig.now += 20 * ms
			id, actions := rig.request(eventualRead)
			h := sentTo(actions, id)
			sent[h]++
			rig.answer(id, h, Succeeded, Replica, rig.now)
		}
		if got := float64(sent["b"]) / 400; got > share/2+0.06 || got < share/2-0.06 {
			t.Errorf("share %.1f: %v", share, sent)
		}
	}
	rig := newRig(t, testSettings(), endpoints...)
	rig.reportAll(rig.now)
	rig.router.SetZoneShares(zoneShareMap{0: 0, 1: 0, 2: 0})
	if id, actions := rig.request(eventualRead); sentTo(actions, id) == "" {
		t.Error("a group that lies in zones that are all left gets no reads")
	}
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Error("a write does not go to the primary of a zone that is left")
	}
	rig.router.SetZoneShares(zoneShareMap{0: 1, 1: 0, 2: 1})
	rig.now += 5000 * ms
	rig.report("b", false, rig.now)
	if id, actions := rig.request(boundedRead); sentTo(actions, id) == "c" {
		t.Error("a read went to a replica that is too old")
	}
}

// What a view costs a read.
func BenchmarkRead(b *testing.B) {
	for name, v := range map[string]ZoneShares{"off": nil, "on": zoneShareMap{0: 1, 1: 1, 2: 1}} {
		b.Run(name, func(b *testing.B) {
			settings := testSettings()
			r, err := New(settings, 7)
			if err != nil {
				b.Fatal(err)
			}
			r.SetZoneShares(v)
			r.Handle(base, Event{Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts()}, nil)
			actions, id := []Action(nil), int64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				actions = r.Handle(base+id, Event{Kind: RequestEvent, Request: id, Class: eventualRead, Deadline: base + id + 1000*ms}, actions[:0])
				for _, a := range actions {
					if a.Kind == SendAction {
						actions = r.Handle(base+id, Event{Kind: OutcomeEvent, Request: id, Host: a.Host, Result: Succeeded, Latency: 1000, Finished: true}, actions[:0])
						break
					}
				}
			}
		})
	}
}
