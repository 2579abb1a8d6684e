package balance

import "testing"

func TestServiceResumesAfterBadInput(t *testing.T) {
	twice := append(threeHosts(), threeHosts()...)
	torn := threeHosts()[:1]
	moved := threeHosts()
	moved[1].Group, moved[2].State = 7, 99
	negative := threeHosts()
	negative[0].Weight, negative[0].StartedAt = -1, base*10
	for _, c := range []struct {
		name string
		ev   Event
	}{
		{"empty list", Event{Kind: EndpointsEvent, Complete: true}},
		{"list with every host twice", Event{Kind: EndpointsEvent, Complete: true, Endpoints: twice}},
		{"torn list", Event{Kind: EndpointsEvent, Complete: true, Endpoints: torn}},
		{"contradictory list", Event{Kind: EndpointsEvent, Complete: true, Endpoints: moved}},
		{"list from the future", Event{Kind: EndpointsEvent, Complete: true, Endpoints: negative}},
		{"failed list", Event{Kind: EndpointsEvent, PollFailed: true}},
		{"garbage from a peer", Event{Kind: GossipEvent, Peer: -5, Data: []byte{0xff, 0, 1}}},
		{"probe of an unknown host", Event{Kind: HealthCheckEvent, Host: "nobody", Result: Succeeded}},
		{"outcome of nothing", Event{Kind: OutcomeEvent, Request: 999, Host: "a", Result: ConnectionReset}},
		{"client of nothing left", Event{Kind: ClientDisconnectedEvent, Request: 999}},
		{"report from the future", Event{Kind: HealthCheckEvent, Host: "b", Result: Succeeded,
			Report: HostReport{HasRole: true, Primary: true}}},
		{"unknown event", Event{Kind: 200}},
	} {
		rig := readyRig(t, testSettings())
		rig.handle(c.ev)
		for class := range rig.router.settings.Classes {
			rig.request(class)
		}
		rig.advance(4000 * ms)
		for _, host := range rig.router.hostsByID { // all clients have left; what is out ends
			for len(host.inFlight) > 0 {
				req := host.inFlight[0]
				rig.handle(Event{Kind: OutcomeEvent, Request: req.id, Attempt: req.attempt, Host: host.id, Result: TimedOut, Finished: true})
			}
		}
		rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts()})
		rig.advance(20000 * ms) // longer than any cold time
		rig.reportAll(rig.now)
		id, actions := rig.request(unsafeWrite)
		if actions = append(actions, rig.advance(200*ms)...); sentTo(actions, id) != "a" {
			t.Errorf("%s: a write does not reach the primary again: %+v", c.name, actions)
		}
	}
}
