package zonefailover

import (
	"encoding/hex"
	"fmt"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
)

// The encoding of a vote does not change, and decodes to the view of each zone.
func TestGoldenVotes(t *testing.T) {
	tests := []struct {
		name    string
		ownZone int
		views   []ZoneView
	}{
		{"of no zone", -1, []ZoneView{{Healthy, 40, 1}}},
		{"each verdict", 2, []ZoneView{{Unknown, 0, 0}, {Healthy, 255, 65535}, {Unhealthy, 1, 256}}},
		{"no zones", 0, nil},
	}
	var cases []golden.Case
	for _, test := range tests {
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(encodeVote(test.ownZone, test.views))})
	}
	stored := golden.Check(t, "votes.golden", append(cases, golden.Case{Name: "topic and whole", Form: fmt.Sprint(topic, " ", FullShare)}))
	for _, test := range tests {
		b, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		for zone, view := range test.views {
			if ownZone, decoded, ok := decodeVote(b, zone); !ok || byte(ownZone) != byte(test.ownZone) || decoded != view {
				t.Errorf("%s: zone %d is decoded as view %v of a gateway in zone %d, valid: %v", test.name, zone, decoded, ownZone, ok)
			}
		}
	}
}

// The encoding of a proposal and a vote does not change: a share for each zone, in the order of the zones.
func TestGoldenProposal(t *testing.T) {
	const start = 1_000_000_000
	state := crdt.New(crdt.Config{Self: "a", Incarnation: 1, Kinds: map[crdt.Kind]crdt.KindConfig{
		1: {Name: "votes", Rule: crdt.LastWriterWins, TTL: start, MaxValueSize: 64},
		2: {Name: "decided", Rule: crdt.HighestEpoch, TTL: start, MaxValueSize: 64},
	}})
	participant := agreement.New(agreement.Config{
		Self:          "a",
		VoteKind:      1,
		DecisionKind:  2,
		EffectDelay:   1,
		VoteTTL:       start,
		DecisionTTL:   start,
		RequireQuorum: true,
	}, state)
	s := New(Config{
		Zones:           []string{"x", "y", "z"},
		OwnZone:         0,
		MaxEvacuated:    1,
		RequiredShare:   0.6,
		MinViews:        1,
		MaxLatencyShare: 0.6,
		RecoverySteps:   []byte{50, FullShare},
		StepDuration:    1,
		EvacuationTime:  1,
	}, participant)
	vote, voted := s.Vote(start, []ZoneView{{Healthy, 20, 5}, {Unhealthy, 200, 5}, {Healthy, 20, 5}})
	sent := s.Decide(start, agreement.Members{"a": true})
	if !voted || len(sent) != 1 {
		t.Fatalf("want a vote and 1 entry to send, got %d entries", len(sent))
	}
	sent = append(sent, vote)
	b, err := crdt.Encode(&crdt.Message{Entries: sent})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "proposal.golden", []golden.Case{{Name: "proposal and vote", Form: hex.EncodeToString(b)}})
	if s.Share(start+1, 0) != FullShare || s.Share(start+1, 1) != 0 {
		t.Errorf("shares in effect: %d and %d, want 100 and 0", s.Share(start+1, 0), s.Share(start+1, 1))
	}
}
