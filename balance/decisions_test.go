package balance_test

import (
	"strings"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/golden"
)

// This file compares the decisions of the package with recorded ones: it passes a fixed sequence of random
// events to routers and compares a hash of all their actions with the hash in testdata/decisions.txt. A
// change that must not alter decisions leaves the hashes unchanged. For a change that does alter decisions,
// run the test with -update and state the reason.

const goldenFile = "decisions.txt"

// baseSettings returns the settings that each scenario changes.
func baseSettings() balance.Settings {
	return balance.Settings{
		Zone:                    1,
		TickInterval:            5e3,
		MaxRetryAfter:           2e6,
		MaxAttempts:             3,
		DialTimeout:             100e3,
		GossipBytesPerRequest:   30,
		SlowStartInitialShare:   0.1,
		SlowStartDuration:       3e6,
		SlowStartOverloadFactor: 2,
		SlowStartOverloadWindow: 2e6,
	}
}

// The same events always give the same actions, as recorded in the golden file.
func TestDecisionsStayTheSame(t *testing.T) {
	scenarios := []struct {
		name     string
		change   func(s *balance.Settings)
		ordinals []int // of the simulated gateways
	}{
		{"plain", func(*balance.Settings) {}, []int{0}},
		{"probes", func(s *balance.Settings) {
			s.HealthChecks = true
			s.Cancellation = true
			s.MustSubscribe = true
			s.Gateways = 1
		}, []int{0}},
		{"cross", func(s *balance.Settings) {
			s.HealthChecks = true
			s.CrossZoneCost = 0.5
			s.OnlyDrainingExcludes = true
		}, []int{0}},
		{"checked", func(s *balance.Settings) {
			s.HostsCheckStaleness = true
			s.RequestsCarrySessionAge = true
			s.Cancellation = true
			s.MaxAttempts = 5
		}, []int{0}},
		{"few", func(s *balance.Settings) {
			s.Gateways = 3
			s.HealthChecks = true
			s.MustSubscribe = true
		}, []int{0, 1, 2}},
		{"many", func(s *balance.Settings) {
			s.Gateways = 300
			s.HealthChecks = true
			s.HostsCheckStaleness = true
			s.CrossZoneCost = 1
		}, []int{7, 288}},
		{"unknown", func(s *balance.Settings) {
			s.Gateways = 300
			s.RequestsCarrySessionAge = true
			s.TickInterval = 30e3
			s.SlowStartDuration = 0
		}, []int{-1}},
	}
	var lines []string
	for i, scenario := range scenarios {
		settings := baseSettings()
		scenario.change(&settings)
		lines = append(lines, scenario.name+" "+simulateScenario(t, settings, uint64(i), scenario.ordinals))
	}
	golden.CheckLines(t, goldenFile, lines)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for i, change := range []func(settings *balance.Settings){
		func(settings *balance.Settings) { settings.TickInterval = 0 },
		func(settings *balance.Settings) { settings.MaxAttempts = 0 },
		func(settings *balance.Settings) { settings.Classes = []balance.Class{{Deadline: 1}} },
		func(settings *balance.Settings) { settings.Classes = []balance.Class{{LatencyObjective: 1}} },
	} {
		settings := balance.Settings{
			TickInterval: 1,
			MaxAttempts:  1,
			Classes:      []balance.Class{{LatencyObjective: 1, Deadline: 1}},
		}
		if _, err := balance.New(settings, 1); err != nil {
			t.Fatal("valid settings were rejected: ", err)
		}
		change(&settings)
		if _, err := balance.New(settings, 1); err == nil || !strings.HasPrefix(err.Error(), "balance: ") {
			t.Errorf("settings %d: got error %v, want one that begins with balance:", i, err)
		}
	}
}
