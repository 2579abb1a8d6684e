package balance

import "testing"

// A fresh router that believes another's facts sends writes to the primary that it found, and asks nobody first.
func TestBeliefIsAFirstGuess(t *testing.T) {
	old := readyRig(t, testSettings())
	old.report("a", false, old.now)
	old.now += 10 * ms
	old.report("c", true, old.now)
	f := old.r.Snapshot()
	if len(f.Groups) != 1 || f.Groups[0].Primary != "c" {
		t.Fatalf("%+v", f)
	}
	fresh := newRig(t, testSettings(), trio()...) // its list names a
	fresh.r.Restore(fresh.now, f, nil)
	id, acts := fresh.ask(unsafe)
	if to := sentTo(acts, id); to != "c" {
		t.Fatalf("the write goes to %q", to)
	}
	if acts = fresh.answer(id, "c", NotPrimary, RoleUnknown, 0); sentTo(acts, id) == "c" {
		t.Error("a guess that was wrong is held on to")
	}
	if _, acts = fresh.askFor(latest, 0, 0); find(acts, SendAction, -1) != nil {
		t.Error("a read that needs the primary goes to one that is not")
	}
}

// What a router has seen itself goes before what it is told, and unknown hosts are passed over.
func TestOwnEyesGoFirst(t *testing.T) {
	g := readyRig(t, testSettings())
	acts := g.r.Restore(g.now, Snapshot{Groups: []GroupSnapshot{{Group: 0, Primary: "b", ObservedAt: g.now + 1000*ms}, {Group: 9, Primary: "b"}},
		Hosts: []HostSnapshot{{Host: "a", Down: true, ConcurrencyLimit: 99}, {Host: "nobody", Down: true}, {Host: "b", Group: 5, Position: g.now + 9}}}, nil)
	if len(acts) != 0 || g.r.hosts["a"].cond != up || g.r.hosts["b"].pos > g.now {
		t.Errorf("%+v", acts)
	}
	if id, acts := g.ask(unsafe); sentTo(acts, id) != "a" {
		t.Error("the primary that was seen gets no writes")
	}
}

// A host believed down gets nothing until a probe has answered, and a cold one keeps its budget.
func TestBelievedDownAndColdAreSpared(t *testing.T) {
	g := newRig(t, testSettings(), trio()...)
	g.r.Restore(g.now, Snapshot{Hosts: []HostSnapshot{{Host: "a", Down: true}, {Host: "b", Position: g.now, SlowStartUntil: g.now + 10000*ms}, {Host: "c", Position: g.now}}}, nil)
	for range 20 {
		if id, acts := g.ask(recent); sentTo(acts, id) == "a" {
			t.Fatal("a read goes to a host that is down")
		}
	}
	if !g.r.hosts["b"].cold {
		t.Error("b is not cold")
	}
	g.wait(2 * g.r.pace())
	if a := find(g.report("a", true, g.now), SendAction, -1); a == nil || a.Host != "a" {
		t.Errorf("a host that answers again gets nothing: %+v", a)
	}
}

// zones is a view of shares.
type zones map[int]float64

func (z zones) ReadShare(zone int) float64 { return z[zone] }

// Of a zone that is left in part, that part of the reads goes to its replicas; none is kept from a group that has no other,
// writes go where the primary is, and no read goes to a replica that is too old for it.
func TestLeftZoneIsSpared(t *testing.T) {
	e := trio()
	e[1].Zone, e[2].Zone = 1, 2
	for _, share := range []float64{0, 0.2, 1} {
		g := newRig(t, testSettings(), e...)
		g.reportAll(g.now)
		g.r.SetZoneShares(zones{0: 1, 1: share, 2: 1})
		sent := map[string]int{}
		for range 400 {
			g.now += 20 * ms
			id, acts := g.ask(loose)
			h := sentTo(acts, id)
			sent[h]++
			g.answer(id, h, Succeeded, Replica, g.now)
		}
		if got := float64(sent["b"]) / 400; got > share/2+0.06 || got < share/2-0.06 {
			t.Errorf("share %.1f: %v", share, sent)
		}
	}
	g := newRig(t, testSettings(), e...)
	g.reportAll(g.now)
	g.r.SetZoneShares(zones{0: 0, 1: 0, 2: 0})
	if id, acts := g.ask(loose); sentTo(acts, id) == "" {
		t.Error("a group that lies in zones that are all left gets no reads")
	}
	if id, acts := g.ask(unsafe); sentTo(acts, id) != "a" {
		t.Error("a write does not go to the primary of a zone that is left")
	}
	g.r.SetZoneShares(zones{0: 1, 1: 0, 2: 1})
	g.now += 5000 * ms
	g.report("b", false, g.now)
	if id, acts := g.ask(recent); sentTo(acts, id) == "c" {
		t.Error("a read went to a replica that is too old")
	}
}

// What a view costs a read.
func BenchmarkRead(b *testing.B) {
	for name, v := range map[string]ZoneShares{"off": nil, "on": zones{0: 1, 1: 1, 2: 1}} {
		b.Run(name, func(b *testing.B) {
			set := testSettings()
			r, err := New(set, 7)
			if err != nil {
				b.Fatal(err)
			}
			r.SetZoneShares(v)
			r.Handle(base, Event{Kind: EndpointsEvent, Complete: true, Endpoints: trio()}, nil)
			acts, id := []Action(nil), int64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				acts = r.Handle(base+id, Event{Kind: RequestEvent, Request: id, Class: loose, Deadline: base + id + 1000*ms}, acts[:0])
				for _, a := range acts {
					if a.Kind == SendAction {
						acts = r.Handle(base+id, Event{Kind: OutcomeEvent, Request: id, Host: a.Host, Result: Succeeded, Latency: 1000, Finished: true}, acts[:0])
						break
					}
				}
			}
		})
	}
}
