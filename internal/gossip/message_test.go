package gossip

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

// malformedMessages returns messages that must be rejected, by the reason.
func malformedMessages() map[string][]byte {
	valid := report{HostFact{Position: base, Role: Replica}, hostHash(hostName(0)), 3, 1}
	report := appendReport(newMessage(base, reportVersion), base, &valid)
	digest := newDigest(77)
	with := func(message []byte, i int, b byte) []byte {
		message = slices.Clone(message)
		message[i] = b
		return message
	}
	return map[string][]byte{
		"empty":                        {},
		"no version":                   with(report, 0, 0),
		"an earlier version":           with(report, 0, 1),
		"a later version":              with(report, 0, 9),
		"truncated report":             report[:len(report)-1],
		"truncated header":             report[:3],
		"truncated digest":             digest[:len(digest)-1],
		"truncated header of a digest": digest[:7],
		"too long":                     append(slices.Clone(report), make([]byte, 32*reportSize)...),
		"an unknown role":              with(report, headerSize+5, 3<<roleShift),
		"sent in the future":           newMessage(base+60_000*ms, reportVersion),
	}
}

// newDigest returns a digest of a group with one host, its primary.
func newDigest(group uint32) []byte {
	header := appendDigestHeader(newMessage(base, digestVersion), group, 40*ms, 20, true)
	return appendEntry(header, base, hostHash(hostName(0)), HostFact{Position: base - ms}, 3)
}

// A malformed message is counted and otherwise ignored. The count is reported at most once in ten seconds.
func TestMalformedMessagesHaveNoEffect(t *testing.T) {
	s := New(testConfig(2, 0), 1)
	s.AddHost(hostName(0), 1)
	before := *s.hosts[hostName(0)]
	for what, m := range malformedMessages() {
		malformed := s.MalformedMessages()
		facts := s.Receive(base, 1, m)
		counted := s.MalformedMessages() - malformed
		if facts != nil || counted != 1 || !reflect.DeepEqual(*s.hosts[hostName(0)], before) {
			t.Errorf("%s: facts %+v, %d malformed messages counted, want no facts, one counted and the host unchanged",
				what, facts, counted)
		}
	}
	s.Receive(base, -1, newMessage(base, reportVersion)) // from a sender outside the fleet
	s.Receive(base, 2, newMessage(base, reportVersion))
	if n := s.TakeMalformedReport(base); n != len(malformedMessages())+2 || s.TakeMalformedReport(base+ms) != 0 {
		t.Errorf("%d malformed messages were reported, want all of them once", n)
	}
	s.Receive(base, 1, nil)
	if s.TakeMalformedReport(base+5000*ms) != 0 || s.TakeMalformedReport(base+11_000*ms) != 1 {
		t.Error("malformed messages are reported within ten seconds of the last report, or not at all")
	}
}

// For any input, no accepted position is ahead of the clock by more than maxClockLead, and no message that is sent
// exceeds the maximum size.
func FuzzReceive(f *testing.F) {
	for _, m := range malformedMessages() {
		f.Add(m)
	}
	s := New(testConfig(80, 0), 1)
	group := s.ensureGroup(1).hash
	f.Add(newDigest(group))
	f.Fuzz(func(t *testing.T, m []byte) {
		s := New(testConfig(80, 0), 1)
		s.AddHost(hostName(0), 1)
		s.AddHost(hostName(1), 1)
		for _, fact := range s.Receive(base, 1, m) {
			if fact.Position > base+maxClockLead || fact.Role > Replica || math.IsNaN(fact.LatencyShare) || s.hosts[fact.Host] == nil {
				t.Errorf("accepted invalid fact %+v", fact)
			}
		}
		for now := base; now < base+200*ms; now += 5 * ms {
			for _, m := range s.PendingMessages(now) {
				if len(m.Data) > MaxMessage {
					t.Errorf("a pending message has %d bytes, above the maximum size", len(m.Data))
				}
			}
		}
	})
}
