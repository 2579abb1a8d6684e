package balance

import "testing"

func TestExcludedHostGetsNoRequests(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		rig := readyRig(t, testSettings())
		rig.list(
			Endpoint{Host: "a", State: state, Weight: 1},
			Endpoint{Host: "b", State: state, Weight: 1},
		)
		for range 20 {
			for class := range rig.router.settings.Classes {
				id, actions := rig.request(class)
				if host := sentTo(actions, id); host == "a" || host == "b" {
					t.Fatalf("state %d: class %d went to %s", state, class, host)
				}
			}
		}
	}
}

func TestVanishedHostMayServeWhereOnlyDrainingExcludes(t *testing.T) {
	settings := testSettings()
	settings.OnlyDrainingExcludes = true
	rig := readyRig(t, settings)
	rig.listAll(threeHosts()[1:]...)
	if id, actions := rig.request(unsafeWrite); sentTo(actions, id) != "a" {
		t.Fatal("the host that left the list without draining got no write")
	}
}

func TestSubscriptionIsRenewedAfterAFailure(t *testing.T) {
	settings := testSettings()
	settings.MustSubscribe = true
	rig := newRig(t, settings, threeHosts()...)
	if !hasAction(rig.actions, SubscribeAction, anyRequest) {
		t.Fatal("did not subscribe at the start")
	}
	rig.handle(Event{Kind: EndpointsEvent, PollFailed: true})
	if !hasAction(rig.advance(10000*ms), SubscribeAction, anyRequest) {
		t.Fatal("did not subscribe again after the failed poll")
	}
}
