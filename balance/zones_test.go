package balance

import "testing"

// zoneShareMap gives the read share of each zone.
type zoneShareMap map[int]float64

func (z zoneShareMap) ReadShare(zone int) float64 { return z[zone] }

// threeZones is the list threeHosts with each host in its own zone.
func threeZones() []Endpoint {
	endpoints := threeHosts()
	endpoints[1].Zone = 1
	endpoints[2].Zone = 2
	return endpoints
}

func TestReplicasOfAZoneGetItsShareOfReads(t *testing.T) {
	for _, share := range []float64{0, 0.2, 1} {
		rig := newRig(t, testSettings(), threeZones()...)
		rig.reportAll(rig.now)
		rig.router.SetZoneShares(zoneShareMap{0: 1, 1: share, 2: 1})
		sent := rig.sendReads(eventualRead, 400, 20*ms)
		if got := float64(sent["b"]) / 400; got > share/2+0.06 || got < share/2-0.06 {
			t.Errorf("share %.1f: b must get half of it; reads by host: %v", share, sent)
		}
	}
}

// If all zones of a group are evacuated, the group still gets reads. Writes go to the primary in any zone.
// No read goes to a replica whose position is too old, even if the only other replica is in an evacuated
// zone.
func TestReadsAvoidEvacuatedZonesOnlyWhereOthersServe(t *testing.T) {
	rig := newRig(t, testSettings(), threeZones()...)
	rig.reportAll(rig.now)
	rig.router.SetZoneShares(zoneShareMap{0: 0, 1: 0, 2: 0})
	if id, actions := rig.request(eventualRead); sentTo(actions, id) == "" {
		t.Error("a group whose zones are all evacuated gets no reads")
	}
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Error("a write does not go to the primary of an evacuated zone")
	}
	rig.router.SetZoneShares(zoneShareMap{0: 1, 1: 0, 2: 1})
	rig.now += 5000 * ms
	rig.report("b", false, rig.now)
	if id, actions := rig.request(boundedRead); sentTo(actions, id) == "c" {
		t.Error("a read went to a replica whose position is too old")
	}
}

// BenchmarkRead measures what zone shares add to the cost of a read.
func BenchmarkRead(b *testing.B) {
	for name, shares := range map[string]ZoneShares{"off": nil, "on": zoneShareMap{0: 1, 1: 1, 2: 1}} {
		b.Run(name, func(b *testing.B) {
			router, err := New(testSettings(), 7)
			if err != nil {
				b.Fatal(err)
			}
			router.SetZoneShares(shares)
			router.Handle(testStart, Event{
				Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts(),
			}, nil)
			var actions []Action
			id := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now := testStart + id
				actions = router.Handle(now, Event{
					Kind: RequestEvent, Request: id, Class: eventualRead, Deadline: now + 1000*ms,
				}, actions[:0])
				send := findAction(actions, SendAction, anyRequest)
				if send == nil {
					continue
				}
				actions = router.Handle(now, Event{
					Kind: OutcomeEvent, Request: id, Host: send.Host, Result: Succeeded, Latency: 1000,
					Finished: true,
				}, actions[:0])
			}
		})
	}
}
