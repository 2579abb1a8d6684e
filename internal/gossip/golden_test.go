package gossip

import (
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"testing"

	"cloverrock/internal/golden"
)

const goldenNow = 1_700_000_000_123_000

// The encoding of a report does not change, and decodes to what was reported.
func TestGoldenReports(t *testing.T) {
	currentPrimary := report{HostFact{Position: goldenNow, Role: Primary, LatencyShare: 1}, 0x010203, 1, 2}
	busyReplica := report{HostFact{Position: goldenNow - 300_000, Role: Replica, LatencyShare: 2}, 0xffffff, 255, 255}
	failing := report{HostFact{Position: goldenNow - 1000, Failing: true}, 7, 0, 0}
	oldest := report{HostFact: HostFact{Position: goldenNow - 65_534_000, Role: Replica}}
	tests := []struct {
		name       string
		made, read report
	}{
		{"nothing known", report{}, report{}},
		{"now, primary", currentPrimary, currentPrimary},
		{"replica, most counts", busyReplica, busyReplica},
		{"counts over the most", report{hash: 1, inFlight: 256, started: 1000}, report{hash: 1, inFlight: 255, started: 255}},
		{"failing", failing, failing},
		{"oldest age", oldest, oldest},
		{"too old", report{HostFact: HostFact{Position: goldenNow - 65_535_000}}, report{}},
		{"ahead of the clock", report{HostFact: HostFact{Position: goldenNow + 1000}}, report{}},
		{"least share", report{HostFact: HostFact{LatencyShare: 0.0001}}, report{HostFact: HostFact{LatencyShare: math.Exp2(-31.0 / 8)}}},
		{"most share", report{HostFact: HostFact{LatencyShare: 1000}}, report{HostFact: HostFact{LatencyShare: math.Exp2(30.0 / 8)}}},
	}
	var cases []golden.Case
	for _, test := range tests {
		b := appendReport(newMessage(goldenNow, reportVersion), goldenNow, &test.made)
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(b)})
	}
	stored := golden.Check(t, "reports.golden", cases)
	for _, test := range tests {
		version, sent, body := decodeHeader(t, stored[test.name])
		read, err := readReport(sent, body)
		if version != reportVersion || err != nil || read != test.read {
			t.Errorf("%s: decoded %v (version %d, %v), want the encoded value", test.name, read, version, err)
		}
	}
}

// The encoding of a digest does not change, and decodes to what was published.
func TestGoldenDigests(t *testing.T) {
	newEntry := func(position int64, role Role, share float64, failing bool, code uint16, load float64) entry {
		return entry{HostFact{Position: position, Role: role, LatencyShare: share, Failing: failing}, code, load}
	}
	var bands []entry
	for i, share := range []float64{0, 0.08, 0.18, 0.26, 0.36, 0.55, 1} {
		bands = append(bands, newEntry(goldenNow-int64(i)*4_000, Replica, share, false, uint16(i), float64(i*2)))
	}
	tests := []struct {
		name         string
		primaryFirst bool
		made         digest
	}{
		{"nothing", false, digest{}},
		{"a primary leads", true, digest{0x010203, 20_000, 8, []entry{
			newEntry(goldenNow, Primary, 1, false, 0xffff, 15),
			newEntry(goldenNow-4_000, Replica, 0, false, 1, 16),
		}}},
		{"oldest, most", false, digest{0xffffff, 254 * 20_000, 4096, []entry{newEntry(goldenNow-254*4_000, Replica, 0, true, 2, 76)}}},
		{"not known", false, digest{1, 40_000, 0.5, []entry{newEntry(0, Unknown, 0, false, 3, 0)}}},
		{"each band", false, digest{2, 60_000, 0.25, bands}},
	}
	var cases []golden.Case
	for _, test := range tests {
		made := &test.made
		header := newMessage(goldenNow, digestVersion)
		b := appendDigestHeader(header, made.group, made.interval, made.attemptRate, test.primaryFirst)
		for _, e := range made.entries {
			b = appendEntry(b, goldenNow, uint32(e.shortHash), e.HostFact, e.load)
		}
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(b)})
	}
	stored := golden.Check(t, "digests.golden", cases)
	for _, test := range tests {
		version, sent, body := decodeHeader(t, stored[test.name])
		read, err := readDigest(sent, body)
		if version != digestVersion || err != nil || !reflect.DeepEqual(read, test.made) {
			t.Errorf("%s: decoded %v (version %d, %v), want the encoded value", test.name, read, version, err)
		}
	}
}

// Hashes of hosts and groups and the order of a group's candidates do not change: gateways of different versions must
// agree on them.
func TestGoldenCodesAndOrder(t *testing.T) {
	cases := []golden.Case{{Name: "bounds", Form: fmt.Sprint(MaxMessage, " ", Broadcast)}}
	for _, host := range []string{"", "host-a", "10.0.0.1:5432"} {
		cases = append(cases, golden.Case{Name: "code of " + host, Form: fmt.Sprintf("%06x", hostHash(host))})
	}
	for _, id := range []uint32{0, 1, 0xffffff} {
		cases = append(cases, golden.Case{Name: fmt.Sprintf("order for %06x", id), Form: fmt.Sprint(rankCandidates(id, 40))})
	}
	for _, group := range []int64{-1, 0, 1 << 31} {
		state := New(Config{Gateways: 3, BytesPerRequest: 1, FreshnessWindow: 1}, 1).ensureGroup(group)
		cases = append(cases, golden.Case{Name: fmt.Sprint("code of group ", group), Form: fmt.Sprintf("%06x", state.hash)})
	}
	golden.Check(t, "codes.golden", cases)
}

// decodeHeader decodes a recorded message, checks its header and returns its parts.
func decodeHeader(t *testing.T, form string) (version byte, sent int64, body []byte) {
	t.Helper()
	b, err := hex.DecodeString(form)
	if err != nil {
		t.Fatal(err)
	}
	version, sent, body, err = readHeader(goldenNow, b)
	if err != nil || sent != goldenNow {
		t.Fatalf("sending time %d, %v, want goldenNow", sent, err)
	}
	return version, sent, body
}
