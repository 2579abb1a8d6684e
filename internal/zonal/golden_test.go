package zonal

import (
	"encoding/hex"
	"fmt"
	"testing"

	"cloverrock/internal/golden"
)

// A vote's body has the same bytes as ever, and they say of each zone what was found.
func TestGoldenVotes(t *testing.T) {
	tests := []struct {
		name  string
		own   int
		views []View
	}{
		{"of no zone", -1, []View{{Good, 40, 1}}},
		{"each verdict", 2, []View{{Unseen, 0, 0}, {Good, 255, 65535}, {Bad, 1, 256}}},
		{"no zones", 0, nil},
	}
	var cases []golden.Case
	for _, test := range tests {
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(encode(test.own, test.views))})
	}
	stored := golden.Check(t, "votes.golden", append(cases, golden.Case{Name: "topic and whole", Form: fmt.Sprint(topic, " ", Whole)}))
	for _, test := range tests {
		b, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		for zone, view := range test.views {
			if own, read, ok := decode(b, zone); !ok || byte(own) != byte(test.own) || read != view {
				t.Errorf("%s: zone %d is read as %v of %d, %v", test.name, zone, read, own, ok)
			}
		}
	}
}
