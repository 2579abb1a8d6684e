package simprotocol

import (
	"reflect"
	"testing"

	"cloverrock/balance"
)

func TestStartReadsSettingsSeedAndPositionOrigin(t *testing.T) {
	line := `start who=1 entropy=5 options={"balancers": 3, "ordinal": 2, "zones": ["a", "b"], "discovery": "subscribe",
 "classes": [{"aimMs": 200.5, "deadlineMs": 500, "repeat": "non_idempotent", "streamed": true}, {"aimMs": 1, "deadlineMs": 2, "repeat": "idempotency_key", "group": "zone"}],
 "extra": {"baseTimeMs": 2.5, "classRead": ["own_writes", "recent"], "stalenessBoundMs": [0, 300], "roleInList": "delayed", "serverChecks": "hold", "tokens": "router"},
 "obligations": {"drainBindsAlone": true, "coldFrom": 0.25}, "report": {"fields": ["x0", "rif"]}, "weightSource": "live", "tickMs": 5, "what": {}}`
	settings, seed, positionOrigin, err := ParseStart(ParseLine([]byte(line)))
	if err != nil {
		t.Fatal(err)
	}
	if seed != 5 || positionOrigin != 2500 {
		t.Errorf("seed and origin read as %d, %d", seed, positionOrigin)
	}
	want := balance.Settings{
		TickInterval:          5000,
		MustSubscribe:         true,
		HostsCheckStaleness:   true,
		OnlyDrainingExcludes:  true,
		SlowStartInitialShare: 0.25,
		Classes: []balance.Class{
			{LatencyObjective: 200500, Deadline: 500_000, RetrySafety: balance.NonIdempotent, Consistency: balance.ReadYourWrites},
			{LatencyObjective: 1000, Deadline: 2000, RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeZone,
				Consistency: balance.BoundedStaleness, MaxStaleness: 300_000},
		},
	}
	if !reflect.DeepEqual(settings, want) {
		t.Errorf("settings read as %+v\nwant %+v", settings, want)
	}
}

// A word that this version does not have was taken for the least strict one: a write of such a class could run twice, and
// a read could be answered from data of any age.
func TestUnknownWordsAreTakenForTheStrictest(t *testing.T) {
	line := `start who=1 entropy=5 options={"discovery": "polled", "classes": [{"repeat": "signed", "group": "rack"}],` +
		` "extra": {"classRead": ["exact"], "serverChecks": "warn", "tokens": "signed"}}`
	settings, _, _, err := ParseStart(ParseLine([]byte(line)))
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Settings{
		MustSubscribe: true,
		Classes: []balance.Class{{
			RetrySafety: balance.NonIdempotent, DeduplicationScope: balance.ScopeZone, Consistency: balance.Linearizable,
		}},
	}
	if !reflect.DeepEqual(settings, want) {
		t.Errorf("settings read as %+v\nwant %+v", settings, want)
	}
}
