package balance

import (
	"errors"
	"testing"
)

func TestErrorNamesTheInvalidSetting(t *testing.T) {
	for want, settings := range map[string]Settings{
		"TickInterval":     {},
		"MaxAttempts":      {TickInterval: 1},
		"LatencyObjective": {TickInterval: 1, MaxAttempts: 1, Classes: []Class{{}}},
		"Deadline":         {TickInterval: 1, MaxAttempts: 1, Classes: []Class{{LatencyObjective: 1}}},
	} {
		_, err := New(settings, 1)
		var settingsError *SettingsError
		if !errors.As(err, &settingsError) || settingsError.Setting != want {
			t.Errorf("got error %v, want a *SettingsError for %s", err, want)
		}
	}
}

// badEvents returns invalid events by description.
func badEvents() map[string]Event {
	twice := append(threeHosts(), threeHosts()...)
	contradictory := threeHosts()
	contradictory[1].Group = 7
	contradictory[2].State = 99
	future := threeHosts()
	future[0].Weight = -1
	future[0].StartedAt = testStart * 10
	return map[string]Event{
		"empty list":                  {Kind: EndpointsEvent, Complete: true},
		"list with every host twice":  {Kind: EndpointsEvent, Complete: true, Endpoints: twice},
		"truncated list":              {Kind: EndpointsEvent, Complete: true, Endpoints: threeHosts()[:1]},
		"contradictory list":          {Kind: EndpointsEvent, Complete: true, Endpoints: contradictory},
		"list from the future":        {Kind: EndpointsEvent, Complete: true, Endpoints: future},
		"failed poll":                 {Kind: EndpointsEvent, PollFailed: true},
		"malformed gossip":            {Kind: GossipEvent, Peer: -5, Data: []byte{0xff, 0, 1}},
		"check of an unknown host":    {Kind: HealthCheckEvent, Host: "nobody", Result: Succeeded},
		"outcome of no request":       {Kind: OutcomeEvent, Request: 999, Host: "a", Result: ConnectionReset},
		"disconnection of no request": {Kind: ClientDisconnectedEvent, Request: 999},
		"report without a position": {
			Kind: HealthCheckEvent, Host: "b", Result: Succeeded,
			Report: HostReport{HasRole: true, Primary: true},
		},
		"unknown event": {Kind: 200},
	}
}

func TestServiceResumesAfterBadInput(t *testing.T) {
	for name, event := range badEvents() {
		rig := readyRig(t, testSettings())
		rig.handle(event)
		for class := range rig.router.settings.Classes {
			rig.request(class)
		}
		rig.advance(4000 * ms) // until all requests have expired
		for _, host := range rig.router.hostsByID {
			for len(host.inFlight) > 0 {
				req := host.inFlight[0]
				rig.handle(Event{
					Kind: OutcomeEvent, Request: req.id, Attempt: req.attempt, Host: host.id,
					Result: TimedOut, Finished: true,
				})
			}
		}
		rig.listAll(threeHosts()...)
		rig.advance(20000 * ms) // longer than any slow start
		rig.reportAll(rig.now)
		id, actions := rig.request(unsafeWrite)
		actions = append(actions, rig.advance(200*ms)...)
		if sentTo(actions, id) != "a" {
			t.Errorf("%s: a write does not reach the primary afterwards: %+v", name, actions)
		}
	}
}
