package balance

import "testing"

func TestExcludedHostGetsNoRequests(t *testing.T) {
	for _, ph := range []EndpointState{Draining, Removed} {
		rig := readyRig(t, testSettings())
		rig.handle(Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "a", State: ph, Weight: 1}, {Host: "b", State: ph, Weight: 1}}})
		for range 20 {
			for class := range rig.router.settings.Classes {
				id, actions := rig.request(class)
				if h := sentTo(actions, id); h == "a" || h == "b" {
					t.Fatalf("phase %d: class %d went to %s", ph, class, h)
				}
			}
		}
	}
	settings := testSettings()
	settings.OnlyDrainingExcludes = true
	rig := readyRig(t, settings)
	rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts()[1:]})
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Fatal("where only draining binds, a host gone from the list may still serve")
	}
}

func TestSubscriptionIsRenewedAfterAFailure(t *testing.T) {
	settings := testSettings()
	settings.MustSubscribe = true
	rig := newRig(t, settings, threeHosts()...)
	if findAction(rig.actions, SubscribeAction, -1) == nil {
		t.Fatal("not subscribed at the start")
	}
	rig.handle(Event{Kind: EndpointsEvent, PollFailed: true})
	if actions := rig.advance(10000 * ms); findAction(actions, SubscribeAction, -1) == nil {
		t.Fatal("not asked again")
	}
}
