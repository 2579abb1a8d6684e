package warmstart

import (
	"fmt"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/store/machine"
)

const (
	second = int64(1_000_000)   // in microseconds
	start  = 1_000_000 * second // time at which the tests begin, in microseconds
)

// harness is a store consisting of one state machine, with a cache for each gateway that uses it.
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

// apply commits commands, updates all caches, and returns the number of operations that took effect.
func (h *harness) apply(commands []machine.Command) (ops int) {
	h.t.Helper()
	for _, command := range commands {
		before := h.state.Revision()
		encoded, err := machine.Encode(&command)
		if err != nil {
			h.t.Fatal(err)
		}
		result, _, err := h.state.Apply(h.state.Index()+1, encoded)
		if err != nil || result.Code != machine.OK {
			h.t.Fatal(result, err)
		}
		if result.Holds {
			ops += len(command.Then)
		}
		events, _, _ := h.state.EventsSince(NS, "", before, 1000)
		for _, event := range events {
			for _, cache := range h.caches {
				cache.Update(event.KV, event.Deleted)
			}
		}
	}
	return ops
}

// snapshotOf returns the snapshot of a router that observed the primary of group 1 at the given time.
func snapshotOf(primary string, at int64, hosts ...balance.HostSnapshot) balance.Snapshot {
	return balance.Snapshot{Groups: []balance.GroupSnapshot{{Group: 1, Primary: primary, ObservedAt: at}}, Hosts: hosts}
}

func (h *harness) primary() Primary { return h.caches[0].groups[1] }

func TestTermIncreasesWithPrimaryChangeAndOldObservationsAreIgnored(t *testing.T) {
	h := newHarness(t, "a", "b")
	a := h.caches[0]
	b := h.caches[1]
	h.apply(a.Plan(start, snapshotOf("p", start), EndpointList{}))
	if p := h.primary(); p.Host != "p" || p.Term != 1 {
		t.Fatalf("%+v", p)
	}
	h.apply(b.Plan(start+2*second, snapshotOf("q", start+2*second), EndpointList{}))
	if p := h.primary(); p.Host != "q" || p.Term != 2 || p.By != "b" {
		t.Errorf("%+v", p)
	}
	// a was partitioned and still reports p as the primary. Its observations are older, or newer
	// by no more than MaxClockSkew.
	for i, at := range []int64{start + second, start + 2*second + MaxClockSkew} {
		h.apply(a.Plan(start+int64(4+i)*second, snapshotOf("p", at), EndpointList{}))
		if p := h.primary(); p.Host != "q" {
			t.Errorf("an observation at %d us replaced the primary by %s", at-start, p.Host)
		}
	}
	// Both observe another change concurrently. Only one of them writes it, and the term increases once.
	first := a.Plan(start+10*second, snapshotOf("r", start+9*second), EndpointList{})
	second := b.Plan(start+10*second, snapshotOf("r", start+9*second), EndpointList{})
	if n := h.apply(first) + h.apply(second); n != 1 || h.primary().Term != 3 {
		t.Errorf("%d writes, %+v", n, h.primary())
	}
}

func TestWritesAreRateLimitedAndBounded(t *testing.T) {
	h := newHarness(t, "a")
	cache := h.caches[0]
	writes := 0
	for ms := int64(0); ms < 60_000; ms += 20 {
		now := start + ms*1000
		snapshot := snapshotOf("h0", now)
		for i := range 100 {
			snapshot.Hosts = append(snapshot.Hosts, balance.HostSnapshot{Host: fmt.Sprint("h", i), Group: 1, Position: now - 5000, PositionAt: now, ConcurrencyLimit: 4})
		}
		commands := cache.Plan(now, snapshot, EndpointList{Generation: 1, Endpoints: []Endpoint{{Address: "x"}}})
		for _, c := range commands {
			if len(c.Then) > maxOps {
				t.Fatalf("%d operations in one transaction", len(c.Then))
			}
		}
		writes += len(commands)
		h.apply(commands)
	}
	if writes > 2*2*60 { // at most two transactions in each half second
		t.Errorf("%d transactions in a minute, want at most 240", writes)
	}
	if n := len(h.state.List(NS, "host/", 0)); n != 100 {
		t.Errorf("%d hosts are stored, want 100", n)
	}
	behind := int64(0)
	for _, h := range cache.hosts {
		behind = max(behind, start+60*second-h.Position)
	}
	if behind > 8*second {
		t.Errorf("a stored position is %d ms behind, want at most 8000 ms", behind/1000)
	}
}

func TestUrgentChangesAreWrittenFirst(t *testing.T) {
	h := newHarness(t, "a")
	cache := h.caches[0]
	snapshot := balance.Snapshot{}
	for i := range 200 {
		snapshot.Hosts = append(snapshot.Hosts, balance.HostSnapshot{Host: fmt.Sprintf("h%03d", i), Group: 1, Position: start, PositionAt: start})
	}
	snapshot.Hosts[199].Unhealthy = true
	h.apply(cache.Plan(start, snapshot, EndpointList{}))
	if !cache.hosts["h199"].Down {
		t.Error("a host that is down was not written first")
	}
}

// restarted returns the cache of a restarted gateway that has read the store.
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

func TestRestoreUsesOnlyRecentState(t *testing.T) {
	h := newHarness(t, "a")
	known := snapshotOf("p", start,
		balance.HostSnapshot{Host: "p", Group: 1, Position: start, PositionAt: start, Primary: true},
		balance.HostSnapshot{Host: "d", Group: 1, Position: start - second, PositionAt: start, Unhealthy: true, ConcurrencyLimit: 9},
		balance.HostSnapshot{Host: "c", Group: 1, Position: start - 2*second, PositionAt: start, SlowStartUntil: start + 16*second})
	h.apply(h.caches[0].Plan(start, known, EndpointList{Generation: 9, Endpoints: []Endpoint{{Address: "1:1"}}}))
	fresh := h.restarted()

	recent := fresh.Restore(start+5*second, 7)
	if len(recent.Snapshot.Groups) != 1 || recent.List == nil {
		t.Errorf("after 5 s: %+v", recent)
	}
	hosts := hostsByID(recent)
	if !hosts["d"].Unhealthy || hosts["d"].ConcurrencyLimit != 9 || hosts["c"].SlowStartUntil == 0 || hosts["p"].Position != start {
		t.Errorf("hosts after 5 s: %+v", hosts)
	}

	later := fresh.Restore(start+100*second, 9)
	if len(later.Snapshot.Groups) != 0 || later.List != nil {
		t.Errorf("after 100 s: %+v", later)
	}
	hosts = hostsByID(later)
	if hosts["d"].Unhealthy || hosts["d"].ConcurrencyLimit != 0 || hosts["c"].SlowStartUntil != 0 || hosts["d"].Position != start-second {
		t.Errorf("hosts after 100 s: %+v", hosts)
	}

	// Times in the future, which a gateway wrote whose clock was minutes ahead, are not used.
	future := fresh.Restore(start-100*second, 0)
	if len(future.Snapshot.Groups) != 0 || hostsByID(future)["d"].Position != 0 {
		t.Errorf("from the future: %+v", future)
	}
}

// The position of a former primary may be ahead of every other host, so it is not used.
func TestPositionOfAFormerPrimaryIsDiscarded(t *testing.T) {
	h := newHarness(t, "a")
	known := snapshotOf("p", start,
		balance.HostSnapshot{Host: "p", Group: 1, Position: start, PositionAt: start, Primary: true},
		balance.HostSnapshot{Host: "d", Group: 1, Position: start - second, PositionAt: start, Unhealthy: true, ConcurrencyLimit: 9})
	h.apply(h.caches[0].Plan(start, known, EndpointList{}))
	h.apply(h.caches[0].Plan(start+2*second, snapshotOf("q", start+2*second), EndpointList{}))
	hosts := hostsByID(h.restarted().Restore(start+5*second, 9))
	if hosts["p"].Position != 0 || hosts["d"].Position != start-second {
		t.Errorf("after a change of primary: %+v", hosts)
	}
	future := h.restarted().Restore(start-100*second, 0)
	if len(future.Snapshot.Groups) != 0 || hostsByID(future)["d"].Position != 0 {
		t.Errorf("from the future: %+v", future)
	}
}

func TestUnreadableKeysAreCountedAndIgnored(t *testing.T) {
	cache := New(Config{Name: "a"})
	for _, key := range []string{"host/x", "group/1", "list", "floor", "group/x"} {
		cache.Update(&machine.KV{NS: NS, Key: key, Value: []byte("\xc1noise")}, false)
	}
	if cache.Unreadable() != 5 || len(cache.hosts)+len(cache.groups) != 0 {
		t.Errorf("%d unreadable, %d hosts, %d groups; want 5, 0 and 0", cache.Unreadable(), len(cache.hosts), len(cache.groups))
	}
}
