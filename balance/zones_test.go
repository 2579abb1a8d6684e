package balance

import "testing"

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
