package warmstart

import (
	"fmt"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/store/machine"
)

const (
	sec  = int64(1_000_000)
	base = 1_000_000 * sec
)

// rig is a store of one machine, shared by keepers.
type rig struct {
	t       *testing.T
	m       *machine.Machine
	keepers []*Keeper
}

func newRig(t *testing.T, names ...string) *rig {
	r := &rig{t: t, m: machine.New()}
	for _, n := range names {
		r.keepers = append(r.keepers, New(Config{Name: n, Every: sec / 2, Believe: 60 * sec}))
	}
	return r
}

// apply commits commands and tells all keepers, and counts the operations that took effect.
func (r *rig) apply(cmds []machine.Command) (ops int) {
	r.t.Helper()
	for _, c := range cmds {
		before := r.m.Revision()
		b, err := machine.Encode(&c)
		if err != nil {
			r.t.Fatal(err)
		}
		res, _, err := r.m.Apply(r.m.Index()+1, b)
		if err != nil || res.Code != machine.OK {
			r.t.Fatal(res, err)
		}
		if res.Holds {
			ops += len(c.Then)
		}
		events, _, _ := r.m.EventsSince(NS, "", before, 1000)
		for _, ev := range events {
			for _, k := range r.keepers {
				k.Stored(ev.KV, ev.Deleted)
			}
		}
	}
	return ops
}

func facts(primary string, at int64, hosts ...balance.HostSnapshot) balance.Snapshot {
	return balance.Snapshot{Groups: []balance.GroupSnapshot{{Group: 1, Primary: primary, ObservedAt: at}}, Hosts: hosts}
}

func (r *rig) primary() Primary { return r.keepers[0].groups[1] }

func TestTermRisesWithEachChangeAndOldEvidenceChangesNothing(t *testing.T) {
	r := newRig(t, "a", "b")
	a, b := r.keepers[0], r.keepers[1]
	r.apply(a.Plan(base, facts("p", base), List{}))
	if p := r.primary(); p.Host != "p" || p.Term != 1 {
		t.Fatalf("%+v", p)
	}
	r.apply(b.Plan(base+2*sec, facts("q", base+2*sec), List{}))
	if p := r.primary(); p.Host != "q" || p.Term != 2 || p.By != "b" {
		t.Errorf("%+v", p)
	}
	// a was cut off and still holds p for the primary: its evidence is older, and within the clocks' bound no younger.
	for i, at := range []int64{base + sec, base + 2*sec + Skew} {
		r.apply(a.Plan(base+int64(4+i)*sec, facts("p", at), List{}))
		if p := r.primary(); p.Host != "q" {
			t.Errorf("evidence of %d put %s back", at-base, p.Host)
		}
	}
	// Both learn of another change at once: one of them writes it, and the term rises once.
	first := a.Plan(base+10*sec, facts("r", base+9*sec), List{})
	second := b.Plan(base+10*sec, facts("r", base+9*sec), List{})
	if n := r.apply(first) + r.apply(second); n != 1 || r.primary().Term != 3 {
		t.Errorf("%d writes, %+v", n, r.primary())
	}
}

func TestWritesAreFewAndBounded(t *testing.T) {
	r := newRig(t, "a")
	k, writes := r.keepers[0], 0
	for ms := int64(0); ms < 60_000; ms += 20 {
		now := base + ms*1000
		f := facts("h0", now)
		for i := range 100 {
			f.Hosts = append(f.Hosts, balance.HostSnapshot{Host: fmt.Sprint("h", i), Group: 1, Position: now - 5000, PositionAt: now, ConcurrencyLimit: 4})
		}
		cmds := k.Plan(now, f, List{Generation: 1, Entries: []Entry{{Address: "x"}}})
		for _, c := range cmds {
			if len(c.Then) > maxOps {
				t.Fatalf("%d operations", len(c.Then))
			}
		}
		writes += len(cmds)
		r.apply(cmds)
	}
	if writes > 2*2*60 { // two transactions each half second at the most
		t.Errorf("%d transactions in a minute", writes)
	}
	if n := len(r.m.List(NS, "host/", 0)); n != 100 {
		t.Errorf("%d hosts are kept", n)
	}
	behind := int64(0)
	for _, h := range k.hosts {
		behind = max(behind, base+60*sec-h.Position)
	}
	if behind > 8*sec {
		t.Errorf("a stored position is %d ms behind", behind/1000)
	}
}

func TestGraveChangesGoFirst(t *testing.T) {
	r := newRig(t, "a")
	k := r.keepers[0]
	f := balance.Snapshot{}
	for i := range 200 {
		f.Hosts = append(f.Hosts, balance.HostSnapshot{Host: fmt.Sprintf("h%03d", i), Group: 1, Position: base, PositionAt: base})
	}
	f.Hosts[199].Down = true
	r.apply(k.Plan(base, f, List{}))
	if !k.hosts["h199"].Down {
		t.Error("a host that is down was left for later")
	}
}

func TestBeliefGoesAsFarAsAge(t *testing.T) {
	r := newRig(t, "a")
	k := r.keepers[0]
	f := facts("p", base, balance.HostSnapshot{Host: "p", Group: 1, Position: base, PositionAt: base, Primary: true},
		balance.HostSnapshot{Host: "d", Group: 1, Position: base - sec, PositionAt: base, Down: true, ConcurrencyLimit: 9},
		balance.HostSnapshot{Host: "c", Group: 1, Position: base - 2*sec, PositionAt: base, SlowStartUntil: base + 16*sec})
	r.apply(k.Plan(base, f, List{Generation: 9, Entries: []Entry{{Address: "1:1"}}}))
	by := func(b Belief) map[string]balance.HostSnapshot {
		m := map[string]balance.HostSnapshot{}
		for _, h := range b.Facts.Hosts {
			m[h.Host] = h
		}
		return m
	}
	fresh := New(Config{Name: "a", Believe: 60 * sec})
	for _, kv := range r.m.List(NS, "", 0) {
		fresh.Stored(&kv, false)
	}
	soon, later := fresh.Start(base+5*sec, 7), fresh.Start(base+100*sec, 9)
	if h := by(soon); len(soon.Facts.Groups) != 1 || soon.List == nil || !h["d"].Down || h["d"].ConcurrencyLimit != 9 || h["c"].SlowStartUntil == 0 || h["p"].Position != base {
		t.Errorf("after 5 s: %+v", soon)
	}
	if h := by(later); len(later.Facts.Groups) != 0 || later.List != nil || h["d"].Down || h["d"].ConcurrencyLimit != 0 || h["c"].SlowStartUntil != 0 || h["d"].Position != base-sec {
		t.Errorf("after 100 s: %+v", later)
	}
	// p was primary when its position was heard, and q is by now: what p had may be ahead of what the others ever had.
	r.apply(k.Plan(base+2*sec, facts("q", base+2*sec), List{}))
	for _, kv := range r.m.List(NS, "", 0) {
		fresh.Stored(&kv, false)
	}
	if h := by(fresh.Start(base+5*sec, 9)); h["p"].Position != 0 || h["d"].Position != base-sec {
		t.Errorf("after a change of primary: %+v", h)
	}
	// A clock that was ahead by minutes has left times from the future: no evidence.
	if b := fresh.Start(base-100*sec, 0); len(b.Facts.Groups) != 0 || by(b)["d"].Position != 0 {
		t.Errorf("from the future: %+v", b)
	}
}

func TestWhatCannotBeReadIsLeft(t *testing.T) {
	k := New(Config{Name: "a"})
	for _, key := range []string{"host/x", "group/1", "list", "floor", "group/x"} {
		k.Stored(&machine.KV{NS: NS, Key: key, Value: []byte("\xc1noise")}, false)
	}
	if k.Unread() != 5 || len(k.hosts)+len(k.groups) != 0 {
		t.Errorf("%d unread, %d hosts, %d groups", k.Unread(), len(k.hosts), len(k.groups))
	}
}
