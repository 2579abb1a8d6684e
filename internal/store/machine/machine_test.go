package machine

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func encode(tb testing.TB, c Command) []byte {
	tb.Helper()
	data, err := Encode(&c)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// harness applies commands in order.
type harness struct {
	t       *testing.T
	machine *Machine
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t, New()}
}

func (h *harness) apply(command Command) Result {
	h.t.Helper()
	result, _, err := h.machine.Apply(h.machine.Index()+1, encode(h.t, command))
	if err != nil {
		h.t.Fatal(err)
	}
	return result
}

func (h *harness) put(key, value string, lease uint64) {
	h.t.Helper()
	h.apply(Command{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "n", Key: key, Value: []byte(value), Lease: lease}}})
}

func (h *harness) requireValue(key, value string) {
	h.t.Helper()
	if kv, _ := h.machine.Get("n", key); string(kv.Value) != value {
		h.t.Errorf("%s is %q, want %q", key, kv.Value, value)
	}
}

func TestTransactionIsAtomic(t *testing.T) {
	h := newHarness(t)
	h.put("a", "1", 0)
	compareAndSet := func(key string, version int64) Command {
		return Command{Kind: TransactionKind, If: []Compare{{NS: "n", Key: key, Number: version}},
			Then: []Op{{Kind: Put, NS: "n", Key: "a", Value: []byte("2")}, {Kind: Put, NS: "n", Key: "b", Value: []byte("2")}},
			Else: []Op{{Kind: Get, NS: "n", Key: "a"}}}
	}
	if result := h.apply(compareAndSet("a", 7)); result.Holds || len(result.KVs) != 1 || result.Revision != 1 {
		t.Errorf("a transaction whose condition fails: %+v", result)
	}
	h.requireValue("b", "")
	if result := h.apply(compareAndSet("a", 1)); !result.Holds || result.Revision != 2 {
		t.Errorf("a transaction whose condition holds: %+v", result)
	}
	h.requireValue("b", "2")
	// The second operation names an unknown lease: the first must not be executed either.
	bad := Command{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "n", Key: "a", Value: []byte("3")}, {Kind: Put, NS: "n", Key: "c", Lease: 99}}}
	if result := h.apply(bad); result.Code != NoLease || result.Revision != 2 {
		t.Errorf("a transaction with an unknown lease: %+v, want NoLease", result)
	}
	h.requireValue("a", "2")
}

func TestRetryIsAppliedOnce(t *testing.T) {
	h := newHarness(t)
	session := h.apply(Command{Kind: OpenSessionKind}).ID
	write := Command{Kind: TransactionKind, Session: session, Seq: 1, Then: []Op{{Kind: Put, NS: "n", Key: "k", Value: []byte("1")}}}
	first := h.apply(write)
	h.put("k", "2", 0)
	if again := h.apply(write); !cmp.Equal(again, first) {
		t.Errorf("a retry returned %+v, the first attempt %+v", again, first)
	}
	h.requireValue("k", "2")
	write.Seq = 2
	h.apply(write)
	write.Seq = 1
	if result := h.apply(write); result.Code != OldSeq {
		t.Errorf("an old sequence number: %+v, want OldSeq", result)
	}
	write.Session = 12345
	if result := h.apply(write); result.Code != NoSession {
		t.Errorf("an unknown session: %+v, want NoSession", result)
	}
}

func TestLeastRecentlyUsedSessionIsDropped(t *testing.T) {
	h := newHarness(t)
	first := h.apply(Command{Kind: OpenSessionKind}).ID
	second := h.apply(Command{Kind: OpenSessionKind}).ID
	use := func(s, seq uint64) Code {
		return h.apply(Command{Kind: TransactionKind, Session: s, Seq: seq}).Code
	}
	use(first, 1)
	for range MaxSessions - 1 {
		h.apply(Command{Kind: OpenSessionKind})
	}
	if use(first, 2) != OK || use(second, 1) != NoSession {
		t.Error("the dropped session is not the least recently used one")
	}
}

func TestLeaseEndsOnTheLogicalClock(t *testing.T) {
	h := newHarness(t)
	lease := h.apply(Command{Kind: GrantLeaseKind, Amount: 100}).ID
	h.put("a", "1", lease)
	h.put("b", "1", lease)
	h.put("b", "2", 0) // written again without a lease: the key is kept
	h.apply(Command{Kind: AdvanceClockKind, Amount: 60})
	h.apply(Command{Kind: KeepAliveKind, Lease: lease})
	h.apply(Command{Kind: AdvanceClockKind, Amount: 60})
	h.requireValue("a", "1")
	before := h.machine.Revision()
	h.apply(Command{Kind: AdvanceClockKind, Amount: 40})
	h.requireValue("a", "")
	h.requireValue("b", "2")
	events, _, ok := h.machine.EventsSince("n", "", before, 10)
	if !ok || len(events) != 1 || !events[0].Deleted || events[0].KV.Key != "a" {
		t.Errorf("the end of the lease recorded the events %+v, want the deletion of a", events)
	}
	for _, c := range []Command{{Kind: KeepAliveKind, Lease: lease}, {Kind: RevokeLeaseKind, Lease: lease}} {
		if res := h.apply(c); res.Code != NoLease {
			t.Errorf("%+v on an ended lease: %+v, want NoLease", c, res)
		}
	}
	if res := h.apply(Command{Kind: AdvanceClockKind, Amount: -1}); res.Code != BadAmount {
		t.Error("a negative step of the clock was accepted")
	}
}

func TestEventsOfARevisionAreReturnedTogetherAndOnce(t *testing.T) {
	h := newHarness(t)
	for i := range 30 {
		h.apply(Command{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "n", Key: fmt.Sprint("x", i)}, {Kind: Put, NS: "n", Key: "y"}, {Kind: Put, NS: "o", Key: "x"}}})
	}
	seen := 0
	at := int64(0)
	for at < h.machine.Revision() {
		events, upTo, ok := h.machine.EventsSince("n", "", at, 5)
		if !ok || upTo <= at || len(events)%2 != 0 {
			t.Fatalf("after revision %d: %d events, complete up to %d, ok %t; want progress and both events of each revision", at, len(events), upTo, ok)
		}
		for _, e := range events {
			if e.Revision <= at || e.Revision > upTo {
				t.Errorf("an event of revision %d was returned for the revisions after %d up to %d", e.Revision, at, upTo)
			}
		}
		seen += len(events)
		at = upTo
	}
	if seen != 60 {
		t.Errorf("%d events in total, want 60", seen)
	}
	h.apply(Command{Kind: CompactKind, Amount: 20})
	if _, _, ok := h.machine.EventsSince("n", "", 19, 5); ok {
		t.Error("events of a compacted revision were returned")
	}
	if _, _, ok := h.machine.EventsSince("n", "", 20, 5); !ok {
		t.Error("the events after the compacted revision were not returned")
	}
}

// A watch that went on at an instance that was behind went back to its revision, and got the events after that again.
func TestWatchAtAStateThatIsBehindDoesNotGoBack(t *testing.T) {
	h := newHarness(t)
	put := func() {
		h.apply(Command{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "n", Key: "x"}}})
	}
	put()
	seen := h.machine.Revision() + 2 // at another instance
	events, upTo, ok := h.machine.EventsSince("n", "", seen, 10)
	if !ok || len(events) != 0 || upTo != seen {
		t.Errorf("after revision %d, which this state has not reached: %d events, complete up to %d, ok %t; want none up to %d",
			seen, len(events), upTo, ok, seen)
	}
	for range 3 {
		put()
	}
	events, upTo, _ = h.machine.EventsSince("n", "", upTo, 10)
	if len(events) != 1 || events[0].Revision != seen+1 || upTo != seen+1 {
		t.Errorf("events %+v up to %d, want only that of revision %d", events, upTo, seen+1)
	}
}

// randomCommand returns a write, or a command of a lease, session or the clock.
func (h *harness) randomCommand(rng *rand.Rand) Command {
	put := Op{Kind: Put, NS: "n", Key: strconv.Itoa(rng.IntN(50)), Value: []byte(strconv.FormatUint(rng.Uint64(), 10))}
	c := Command{Kind: TransactionKind, Then: []Op{put}}
	switch rng.IntN(8) {
	case 0:
		c = Command{Kind: GrantLeaseKind, Amount: int64(1 + rng.IntN(300))}
	case 1:
		c = Command{Kind: AdvanceClockKind, Amount: int64(rng.IntN(50))}
	case 2:
		c = Command{Kind: OpenSessionKind}
	case 3:
		c.Then = append(c.Then, Op{Kind: Delete, NS: "n", Key: strconv.Itoa(rng.IntN(50))})
	case 4:
		for id := range h.machine.leases {
			c.Then[0].Lease = max(c.Then[0].Lease, id)
		}
	}
	return c
}

// A machine restored from an image gives the same results as the original machine. The image does not change when the
// original applies further commands.
func TestRestoredImageBehavesLikeTheOriginal(t *testing.T) {
	h := newHarness(t)
	rng := rand.New(rand.NewPCG(4, 4))
	for range 500 {
		h.apply(h.randomCommand(rng))
	}
	image := h.machine.Image()
	var before, after bytes.Buffer
	if err := image.Write(&before); err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(bytes.NewReader(before.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		command := encode(t, h.randomCommand(rng))
		original, _, err1 := h.machine.Apply(h.machine.Index()+1, command)
		copied, _, err2 := restored.Apply(restored.Index()+1, command)
		if err1 != nil || err2 != nil || !cmp.Equal(original, copied) {
			t.Fatalf("the restored machine differs from the original: errors %v and %v, results: %s", err1, err2, cmp.Diff(original, copied))
		}
	}
	if h.machine.Chain() != restored.Chain() {
		t.Error("the chains differ")
	}
	if err := image.Write(&after); err != nil || !bytes.Equal(before.Bytes(), after.Bytes()) {
		t.Error("the image has changed with the machine")
	}
	for cut := 0; cut < before.Len(); cut += 1 + before.Len()/50 {
		if _, err := Restore(bytes.NewReader(before.Bytes()[:cut])); err == nil {
			t.Errorf("an image truncated at %d was accepted", cut)
		}
	}
}

// A build returns an error for a record of a newer build, and does not skip it.
func TestUnknownRecordsAreNotApplied(t *testing.T) {
	m := New()
	newer := encode(t, Command{Format: Format + 1, Kind: TransactionKind})
	unknownKind := encode(t, Command{Kind: lastKind + 1})
	for _, b := range [][]byte{newer, unknownKind, []byte("noise"), {}} {
		if _, _, err := m.Apply(1, b); !errors.Is(err, ErrUnknownRecord) || m.Index() != 0 {
			t.Errorf("record %q: error %v, index %d; want ErrUnknownRecord at index 0", b, err, m.Index())
		}
	}
	if _, _, err := New().WithFormat(Format+1).Apply(1, newer); err != nil {
		t.Errorf("a build that supports the newer format: %v", err)
	}
	raise := encode(t, Command{Kind: RaiseFormatKind, Amount: Format + 1})
	if res, _, err := m.Apply(1, raise); err != nil || res.Code != BadAmount {
		t.Error("a build accepted an agreed format that it does not support")
	}
}

func FuzzApply(f *testing.F) {
	f.Add(encode(f, Command{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "n", Key: "k"}}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := New()
		_, _, _ = m.Apply(1, b) // no input may panic
	})
}

func BenchmarkApply(b *testing.B) {
	m := New()
	for i := range b.N {
		put := Op{Kind: Put, NS: "n", Key: strconv.Itoa(i % 100000), Value: make([]byte, 64)}
		c := encode(b, Command{Kind: TransactionKind, Then: []Op{put}})
		if _, _, err := m.Apply(m.Index()+1, c); err != nil {
			b.Fatal(err)
		}
	}
}
