package warmstart

import (
	"fmt"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/store/machine"
)

const (
	second = int64(1_000_000)
	start  = 1_000_000 * second
)

// harness is a store of one machine, shared by the caches of gateways.
type harness struct {
	t      *testing.T
	state  *machine.Machine
	caches []*Cache
}

func newHarness(t *testing.T, names ...string) *harness {
	t.Helper()
	h := &harness{t: t, state: machine.New()}
	for _, n := range names {
		h.caches = append(h.caches, New(Config{Name: n, MinInterval: second / 2, MaxAge: 60 * second}))
	}
	return h
}

// apply commits commands and updates all caches, and counts the operations that took effect.
func (h *harness) apply(cmds []machine.Command) (ops int) {
	h.t.Helper()
	for _, c := range cmds {
		before := h.state.Revision()
		b, err := machine.Encode(&c)
		if err != nil {
			h.t.Fatal(err)
		}
		res, _, err := h.state.Apply(h.state.Index()+1, b)
		if err != nil || res.Code != machine.OK {
			h.t.Fatal(res, err)
		}
		if res.Holds {
			ops += len(c.Then)
		}
		events, _, _ := h.state.EventsSince(NS, "", before, 1000)
		for _, ev := range events {
			for _, cache := range h.caches {
				cache.Update(ev.KV, ev.Deleted)
			}
		}
	}
	return ops
}

func facts(primary string, at int64, hosts ...balance.HostSnapshot) balance.Snapshot {
	return balance.Snapshot{Groups: []balance.GroupSnapshot{{Group: 1, Primary: primary, ObservedAt: at}}, Hosts: hosts}
}

func (h *harness) primary() Primary { return h.caches[0].groups[1] }

func TestTermRisesWithEachChangeOfPrimaryAndOldEvidenceIsIgnored(t *testing.T) {
	h := newHarness(t, "a", "b")
	a := h.caches[0]
	b := h.caches[1]
	h.apply(a.Plan(start, facts("p", start), EndpointList{}))
	if p := h.primary(); p.Host != "p" || p.Term != 1 {
		t.Fatalf("%+v", p)
	}
	h.apply(b.Plan(start+2*second, facts("q", start+2*second), EndpointList{}))
	if p := h.primary(); p.Host != "q" || p.Term != 2 || p.By != "b" {
		t.Errorf("%+v", p)
	}
	// a was cut off and still holds p for the primary: its evidence is older, and within the clocks' bound no younger.
	for i, at := range []int64{start + second, start + 2*second + MaxClockSkew} {
		h.apply(a.Plan(start+int64(4+i)*second, facts("p", at), EndpointList{}))
		if p := h.primary(); p.Host != "q" {
			t.Errorf("evidence of %d put %s back", at-start, p.Host)
		}
	}
	// Both learn of another change at once: one of them writes it, and the term rises once.
	first := a.Plan(start+10*second, facts("r", start+9*second), EndpointList{})
	second := b.Plan(start+10*second, facts("r", start+9*second), EndpointList{})
	if n := h.apply(first) + h.apply(second); n != 1 || h.primary().Term != 3 {
		t.Errorf("%d writes, %+v", n, h.primary())
	}
}

func TestWritesAreRareAndBounded(t *testing.T) {
	h := newHarness(t, "a")
	cache := h.caches[0]
	writes := 0
	for ms := int64(0); ms < 60_000; ms += 20 {
		now := start + ms*1000
		f := facts("h0", now)
		for i := range 100 {
			f.Hosts = append(f.Hosts, balance.HostSnapshot{Host: fmt.Sprint("h", i), Group: 1, Position: now - 5000, PositionAt: now, ConcurrencyLimit: 4})
		}
		cmds := cache.Plan(now, f, EndpointList{Generation: 1, Endpoints: []Endpoint{{Address: "x"}}})
		for _, c := range cmds {
			if len(c.Then) > maxOps {
				t.Fatalf("%d operations", len(c.Then))
			}
		}
		writes += len(cmds)
		h.apply(cmds)
	}
	if writes > 2*2*60 { // two transactions each half second at the most
		t.Errorf("%d transactions in a minute", writes)
	}
	if n := len(h.state.List(NS, "host/", 0)); n != 100 {
		t.Errorf("%d hosts are kept", n)
	}
	behind := int64(0)
	for _, h := range cache.hosts {
		behind = max(behind, start+60*second-h.Position)
	}
	if behind > 8*second {
		t.Errorf("a stored position is %d ms behind", behind/1000)
	}
}

func TestUrgentChangesAreWrittenFirst(t *testing.T) {
	h := newHarness(t, "a")
	cache := h.caches[0]
	f := balance.Snapshot{}
	for i := range 200 {
		f.Hosts = append(f.Hosts, balance.HostSnapshot{Host: fmt.Sprintf("h%03d", i), Group: 1, Position: start, PositionAt: start})
	}
	f.Hosts[199].Down = true
	h.apply(cache.Plan(start, f, EndpointList{}))
	if !cache.hosts["h199"].Down {
		t.Error("a host that is down was left for later")
	}
}

// restarted returns a cache of a new incarnation that has read the store.
func (h *harness) restarted() *Cache {
	fresh := New(Config{Name: "a", MaxAge: 60 * second})
	for _, kv := range h.state.List(NS, "", 0) {
		fresh.Update(&kv, false)
	}
	return fresh
}

func hostsByID(restored Restored) map[string]balance.HostSnapshot {
	hosts := map[string]balance.HostSnapshot{}
	for _, host := range restored.Snapshot.Hosts {
		hosts[host.Host] = host
	}
	return hosts
}

func TestRestoredStateDependsOnItsAge(t *testing.T) {
	h := newHarness(t, "a")
	known := facts("p", start,
		balance.HostSnapshot{Host: "p", Group: 1, Position: start, PositionAt: start, Primary: true},
		balance.HostSnapshot{Host: "d", Group: 1, Position: start - second, PositionAt: start, Down: true, ConcurrencyLimit: 9},
		balance.HostSnapshot{Host: "c", Group: 1, Position: start - 2*second, PositionAt: start, SlowStartUntil: start + 16*second})
	h.apply(h.caches[0].Plan(start, known, EndpointList{Generation: 9, Endpoints: []Endpoint{{Address: "1:1"}}}))
	fresh := h.restarted()

	soon := fresh.Restore(start+5*second, 7)
	if len(soon.Snapshot.Groups) != 1 || soon.List == nil {
		t.Errorf("after 5 s: %+v", soon)
	}
	hosts := hostsByID(soon)
	if !hosts["d"].Down || hosts["d"].ConcurrencyLimit != 9 || hosts["c"].SlowStartUntil == 0 || hosts["p"].Position != start {
		t.Errorf("hosts after 5 s: %+v", hosts)
	}

	later := fresh.Restore(start+100*second, 9)
	if len(later.Snapshot.Groups) != 0 || later.List != nil {
		t.Errorf("after 100 s: %+v", later)
	}
	hosts = hostsByID(later)
	if hosts["d"].Down || hosts["d"].ConcurrencyLimit != 0 || hosts["c"].SlowStartUntil != 0 || hosts["d"].Position != start-second {
		t.Errorf("hosts after 100 s: %+v", hosts)
	}

	// A clock that was ahead by minutes has left times from the future: no evidence.
	future := fresh.Restore(start-100*second, 0)
	if len(future.Snapshot.Groups) != 0 || hostsByID(future)["d"].Position != 0 {
		t.Errorf("from the future: %+v", future)
	}
}

// What a former primary had may lie ahead of what the other hosts ever had.
func TestPositionOfAFormerPrimaryIsDiscarded(t *testing.T) {
	h := newHarness(t, "a")
	known := facts("p", start,
		balance.HostSnapshot{Host: "p", Group: 1, Position: start, PositionAt: start, Primary: true},
		balance.HostSnapshot{Host: "d", Group: 1, Position: start - second, PositionAt: start, Down: true, ConcurrencyLimit: 9})
	h.apply(h.caches[0].Plan(start, known, EndpointList{}))
	h.apply(h.caches[0].Plan(start+2*second, facts("q", start+2*second), EndpointList{}))
	hosts := hostsByID(h.restarted().Restore(start+5*second, 9))
	if hosts["p"].Position != 0 || hosts["d"].Position != start-second {
		t.Errorf("after a change of primary: %+v", hosts)
	}
	future := h.restarted().Restore(start-100*second, 0)
	if len(future.Snapshot.Groups) != 0 || hostsByID(future)["d"].Position != 0 {
		t.Errorf("from the future: %+v", future)
	}
}

func TestUnreadableKeysAreCountedAndLeft(t *testing.T) {
	cache := New(Config{Name: "a"})
	for _, key := range []string{"host/x", "group/1", "list", "floor", "group/x"} {
		cache.Update(&machine.KV{NS: NS, Key: key, Value: []byte("\xc1noise")}, false)
	}
	if cache.Unreadable() != 5 || len(cache.hosts)+len(cache.groups) != 0 {
		t.Errorf("%d unread, %d hosts, %d groups", cache.Unreadable(), len(cache.hosts), len(cache.groups))
	}
}
