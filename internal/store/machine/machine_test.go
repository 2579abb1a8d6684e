package machine

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// rig applies commands in order.
type rig struct {
	t *testing.T
	m *Machine
}

func newRig(t *testing.T) *rig { return &rig{t, New()} }

func (r *rig) do(c Command) Result {
	r.t.Helper()
	b, err := Encode(&c)
	if err != nil {
		r.t.Fatal(err)
	}
	res, _, err := r.m.Apply(r.m.Index()+1, b)
	if err != nil {
		r.t.Fatal(err)
	}
	return res
}

func (r *rig) put(key, value string, lease uint64) Result {
	r.t.Helper()
	return r.do(Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: key, Value: []byte(value), Lease: lease}}})
}

func (r *rig) want(key, value string) {
	r.t.Helper()
	if kv, _ := r.m.Get("n", key); string(kv.Value) != value {
		r.t.Errorf("%s is %q, want %q", key, kv.Value, value)
	}
}

func TestTransactionIsWholeOrNothing(t *testing.T) {
	r := newRig(t)
	r.put("a", "1", 0)
	cas := func(key string, version int64) Command {
		return Command{Kind: TxnKind, If: []Compare{{NS: "n", Key: key, Number: version}},
			Then: []Op{{Kind: Put, NS: "n", Key: "a", Value: []byte("2")}, {Kind: Put, NS: "n", Key: "b", Value: []byte("2")}},
			Else: []Op{{Kind: Get, NS: "n", Key: "a"}}}
	}
	if res := r.do(cas("a", 7)); res.Holds || len(res.KVs) != 1 || res.Revision != 1 {
		t.Errorf("a comparison that fails: %+v", res)
	}
	r.want("b", "")
	if res := r.do(cas("a", 1)); !res.Holds || res.Revision != 2 {
		t.Errorf("one that holds: %+v", res)
	}
	r.want("b", "2")
	// The second operation names a lease that is not there: the first is not done either.
	bad := Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: "a", Value: []byte("3")}, {Kind: Put, NS: "n", Key: "c", Lease: 99}}}
	if res := r.do(bad); res.Code != NoLease || res.Revision != 2 {
		t.Errorf("a lease that is not there: %+v", res)
	}
	r.want("a", "2")
}

func TestRetryIsAppliedOnce(t *testing.T) {
	r := newRig(t)
	s := r.do(Command{Kind: OpenKind}).ID
	write := Command{Kind: TxnKind, Session: s, Seq: 1, Then: []Op{{Kind: Put, NS: "n", Key: "k", Value: []byte("1")}}}
	first := r.do(write)
	r.put("k", "2", 0)
	if again := r.do(write); !cmp.Equal(again, first) {
		t.Errorf("a retry got %+v, the first %+v", again, first)
	}
	r.want("k", "2")
	write.Seq = 2
	r.do(write)
	write.Seq = 1
	if res := r.do(write); res.Code != OldSeq {
		t.Errorf("an old number: %+v", res)
	}
	write.Session = 12345
	if res := r.do(write); res.Code != NoSession {
		t.Errorf("a session that is not known: %+v", res)
	}
}

func TestSessionUnusedForLongestGoes(t *testing.T) {
	r := newRig(t)
	first, second := r.do(Command{Kind: OpenKind}).ID, r.do(Command{Kind: OpenKind}).ID
	use := func(s, seq uint64) Code {
		return r.do(Command{Kind: TxnKind, Session: s, Seq: seq}).Code
	}
	use(first, 1)
	for range MaxSessions - 1 {
		r.do(Command{Kind: OpenKind})
	}
	if use(first, 2) != OK || use(second, 1) != NoSession {
		t.Error("not the one unused for longest was dropped")
	}
}

func TestLeaseEndsOnTheLogicalClock(t *testing.T) {
	r := newRig(t)
	lease := r.do(Command{Kind: GrantKind, Amount: 100}).ID
	r.put("a", "1", lease)
	r.put("b", "1", lease)
	r.put("b", "2", 0) // written again without: it stays
	r.do(Command{Kind: ClockKind, Amount: 60})
	r.do(Command{Kind: KeepKind, Lease: lease})
	r.do(Command{Kind: ClockKind, Amount: 60})
	r.want("a", "1")
	before := r.m.Revision()
	r.do(Command{Kind: ClockKind, Amount: 40})
	r.want("a", "")
	r.want("b", "2")
	events, _, ok := r.m.Since("n", "", before, 10)
	if !ok || len(events) != 1 || !events[0].Deleted || events[0].KV.Key != "a" {
		t.Errorf("the end of a lease is told as %+v", events)
	}
	for _, c := range []Command{{Kind: KeepKind, Lease: lease}, {Kind: RevokeKind, Lease: lease}} {
		if res := r.do(c); res.Code != NoLease {
			t.Errorf("%+v: %+v", c, res)
		}
	}
	if res := r.do(Command{Kind: ClockKind, Amount: -1}); res.Code != BadAmount {
		t.Error("the clock went back")
	}
}

func TestWatchTellsEachRevisionWholeAndOnce(t *testing.T) {
	r := newRig(t)
	for i := range 30 {
		r.do(Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: fmt.Sprint("x", i)}, {Kind: Put, NS: "n", Key: "y"}, {Kind: Put, NS: "o", Key: "x"}}})
	}
	seen, at := 0, int64(0)
	for at < r.m.Revision() {
		events, upTo, ok := r.m.Since("n", "", at, 5)
		if !ok || upTo <= at || len(events)%2 != 0 {
			t.Fatalf("from %d: %d events, up to %d, %t", at, len(events), upTo, ok)
		}
		for _, e := range events {
			if e.Revision <= at || e.Revision > upTo {
				t.Errorf("an event of %d between %d and %d", e.Revision, at, upTo)
			}
		}
		seen, at = seen+len(events), upTo
	}
	if seen != 60 {
		t.Errorf("%d events", seen)
	}
	r.do(Command{Kind: CompactKind, Amount: 20})
	if _, _, ok := r.m.Since("n", "", 19, 5); ok {
		t.Error("a compacted revision was told")
	}
	if _, _, ok := r.m.Since("n", "", 20, 5); !ok {
		t.Error("the first that is kept was not told")
	}
}

// TestImageIsTheState: a machine restored from an image cannot be told from the one it was taken of, and the image
// does not change with the machine.
func TestImageIsTheState(t *testing.T) {
	r := newRig(t)
	rng := rand.New(rand.NewPCG(4, 4))
	var commands [][]byte
	next := func() []byte {
		c := Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: fmt.Sprint(rng.IntN(50)), Value: []byte(fmt.Sprint(rng.Uint64()))}}}
		switch rng.IntN(8) {
		case 0:
			c = Command{Kind: GrantKind, Amount: int64(1 + rng.IntN(300))}
		case 1:
			c = Command{Kind: ClockKind, Amount: int64(rng.IntN(50))}
		case 2:
			c = Command{Kind: OpenKind}
		case 3:
			c.Then = append(c.Then, Op{Kind: Delete, NS: "n", Key: fmt.Sprint(rng.IntN(50))})
		case 4:
			for id := range r.m.leases {
				c.Then[0].Lease = max(c.Then[0].Lease, id)
			}
		}
		b, _ := Encode(&c)
		return b
	}
	for range 500 {
		commands = append(commands, next())
		if _, _, err := r.m.Apply(r.m.Index()+1, commands[len(commands)-1]); err != nil {
			t.Fatal(err)
		}
	}
	image := r.m.Image()
	var before, after bytes.Buffer
	if err := image.Write(&before); err != nil {
		t.Fatal(err)
	}
	other, err := Restore(bytes.NewReader(before.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		b := next()
		a1, _, err1 := r.m.Apply(r.m.Index()+1, b)
		a2, _, err2 := other.Apply(other.Index()+1, b)
		if err1 != nil || err2 != nil || !cmp.Equal(a1, a2) {
			t.Fatalf("%v, %v: %s", err1, err2, cmp.Diff(a1, a2))
		}
	}
	if r.m.Chain() != other.Chain() {
		t.Error("the chains differ")
	}
	if err := image.Write(&after); err != nil || !bytes.Equal(before.Bytes(), after.Bytes()) {
		t.Error("the image has changed with the machine")
	}
	for cut := 0; cut < before.Len(); cut += 1 + before.Len()/50 {
		if _, err := Restore(bytes.NewReader(before.Bytes()[:cut])); err == nil {
			t.Errorf("an image cut at %d was taken", cut)
		}
	}
}

// An old build that meets what a newer one has written stops, and does not pass over it.
func TestUnknownRecordsStop(t *testing.T) {
	m := New()
	newer, _ := Encode(&Command{V: Format + 1, Kind: TxnKind})
	strange, _ := Encode(&Command{Kind: lastKind + 1})
	for _, b := range [][]byte{newer, strange, []byte("noise"), {}} {
		if _, _, err := m.Apply(1, b); !errors.Is(err, ErrUnknown) || m.Index() != 0 {
			t.Errorf("%q: %v, index %d", b, err, m.Index())
		}
	}
	if _, _, err := New().Speaking(Format+1).Apply(1, newer); err != nil {
		t.Errorf("a newer build: %v", err)
	}
	raise, _ := Encode(&Command{Kind: RaiseKind, Amount: Format + 1})
	if res, _, _ := m.Apply(1, raise); res.Code != BadAmount {
		t.Error("an old build agreed to what it does not know")
	}
}

func FuzzApply(f *testing.F) {
	b, _ := Encode(&Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: "k"}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := New()
		_, _, _ = m.Apply(1, b) // no input may panic
	})
}

func BenchmarkApply(b *testing.B) {
	m := New()
	for i := range b.N {
		c, _ := Encode(&Command{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "n", Key: fmt.Sprint(i % 100000), Value: make([]byte, 64)}}})
		if _, _, err := m.Apply(m.Index()+1, c); err != nil {
			b.Fatal(err)
		}
	}
}
