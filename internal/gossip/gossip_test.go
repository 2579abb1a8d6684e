package gossip

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"cloverrock/internal/random"
)

const (
	ms   = int64(1000)
	base = 1_700_000_000_000 * ms
)

func conf(gateways, ordinal int) Config {
	return Config{Gateways: gateways, Ordinal: ordinal, BytesPerRequest: 1280, FreshnessWindow: 500 * ms}
}

// fleet is gateways that hear one another after a while, unless a message is lost.
type fleet struct {
	now     int64
	states  []*State
	flying  []flying
	reports int
	digests int
	bytes   int
	stopped map[int]bool
	lose    func(from, to int) bool
	late    map[int]int64      // what comes to a gateway takes so much longer
	knows   []map[string]int64 // positions that were heard, by gateway
}

type flying struct {
	at       int64
	from, to int
	data     []byte
}

func name(h int) string { return fmt.Sprint("s-", h) }

// newFleet has hosts in groups of five.
func newFleet(gateways, hosts int) *fleet {
	f := &fleet{now: base, lose: func(int, int) bool { return false }, stopped: map[int]bool{}, late: map[int]int64{}}
	for i := range gateways {
		s := New(conf(gateways, i), uint64(i)+1)
		for h := range hosts {
			s.AddHost(name(h), int64(h/5))
		}
		f.states = append(f.states, s)
		f.knows = append(f.knows, map[string]int64{})
	}
	return f
}

// step moves the clock by 5 ms. Messages take 10 ms; what comes to a gateway that is stopped waits for it.
func (f *fleet) step() {
	f.now += 5 * ms
	var later []flying
	for _, m := range f.flying {
		if m.at > f.now || f.stopped[m.to] {
			later = append(later, m)
			continue
		}
		for _, fact := range f.states[m.to].Receive(f.now, m.from, m.data) {
			f.knows[m.to][fact.Host] = max(f.knows[m.to][fact.Host], fact.Position)
		}
	}
	f.flying = later
	for i, s := range f.states {
		if f.stopped[i] {
			continue
		}
		for _, m := range s.PendingMessages(f.now) {
			to := []int{m.To}
			if m.To == Broadcast {
				f.digests++
				to = to[:0]
				for o := range f.states {
					to = append(to, o)
				}
			} else {
				f.reports++
			}
			for _, o := range to {
				if o != i {
					f.bytes += len(m.Data)
				}
				if o != i && !f.lose(i, o) {
					f.flying = append(f.flying, flying{f.now + 10*ms + f.late[o], i, o, m.Data})
				}
			}
		}
	}
}

// work has the gateways that run, in turn, hear from each host every 5 ms for so long.
func (f *fleet) work(hosts int, d int64) {
	for end := f.now + d; f.now < end; f.step() {
		for h := range hosts {
			i := int(f.now/ms+int64(h)*7) % len(f.states)
			if f.stopped[i] {
				continue
			}
			s := f.states[i]
			s.Record(HostFact{Host: name(h), Position: f.now - 3*ms, Role: Replica})
			s.SetInFlight(name(h), 1-s.hosts[name(h)].inFlight)
		}
	}
}

// oldest is the greatest age at which a gateway knows a host's position.
func (f *fleet) oldest(hosts int, of func(i int) bool) (age int64) {
	for i, s := range f.states {
		for h := range hosts {
			if of(i) {
				age = max(age, f.now-max(f.knows[i][name(h)], s.hosts[name(h)].ownFact.Position))
			}
		}
	}
	return age
}

func all(int) bool { return true }

// keepers are those of each group as a gateway sees it.
func (f *fleet) keepers(i int) (ks []int) {
	for _, c := range f.states[i].groups {
		ks = append(ks, f.states[i].coordinator(f.now, c))
	}
	return ks
}

// What one gateway hears, all know soon, and what is told follows the hosts and not the gateways.
func TestFleetKnowsWhatOneHears(t *testing.T) {
	const gateways, hosts = 80, 20
	f := newFleet(gateways, hosts)
	f.work(hosts, 3000*ms)
	if age := f.oldest(hosts, all); age > 300*ms {
		t.Errorf("a host is known as of %d ms ago", age/ms)
	}
	if ks := f.keepers(3); !slices.Equal(ks, f.keepers(70)) {
		t.Errorf("gateways disagree on keepers: %v", ks)
	}
	// Each of 4 groups is told of 25 times a second at the most.
	if most := 4 * 3 * 25; f.digests > most || f.digests < 30 {
		t.Errorf("%d digests in 3 s, want %d at most", f.digests, most)
	}
}

// Digests come as seldom as the requests pay for, however many gateways there are.
func TestDigestsArePaidFor(t *testing.T) {
	const hosts, gateways = 5, 400
	f := newFleet(gateways, hosts)
	requests := 0
	for f.now < base+8000*ms {
		if f.now%(25*ms) == 0 { // 40 in a second
			requests++
			s := f.states[requests%gateways]
			s.SetInFlight(name(requests%hosts), s.hosts[name(requests%hosts)].inFlight+1)
		}
		f.step()
	}
	free := 6 * 50 * gateways // of the first second, when the rate is not known
	if most := int(conf(2, 0).BytesPerRequest)*requests + free; f.bytes > most {
		t.Errorf("%d bytes delivered for %d requests", f.bytes, requests)
	}
	if alone := New(conf(1, 0), 1); alone.PendingMessages(base) != nil || alone.hosts["x"] != nil {
		t.Error("a gateway that is alone talks")
	}
	nobody := New(conf(3, -1), 1) // one that does not know its number
	if nobody.AddHost("x", 1); len(nobody.hosts) != 0 {
		t.Error("a gateway without a number takes part")
	}
}

// The keeper dies, or is stopped: the next one is told, and tells. When the first is back, all return to it.
func TestAnotherKeepsWhenTheKeeperIsSilent(t *testing.T) {
	const gateways, hosts = 30, 5
	f := newFleet(gateways, hosts)
	f.work(hosts, 2000*ms)
	first := f.keepers(0)[0]
	f.stopped[first] = true
	running := func(i int) bool { return i != first }
	f.work(hosts, 1500*ms)
	other := f.keepers((first + 1) % gateways)[0]
	if age := f.oldest(hosts, running); other == first || age > 300*ms {
		t.Fatalf("keeper %d after %d; a host is known as of %d ms ago", other, first, age/ms)
	}
	delete(f.stopped, first)
	f.work(hosts, 9000*ms)
	if ks := f.keepers((first + 1) % gateways); ks[0] != first {
		t.Errorf("keeper %d long after %d is back", ks[0], first)
	}
}

// A keeper that can't hear, or hears all too late, but can be heard, tells of little more than what it has seen itself: it
// falls silent, and another keeps, steadily, until it hears again. The same where it was the keeper of no group before.
func TestKeeperThatCannotHearIsPassedOver(t *testing.T) {
	const gateways, hosts = 30, 5
	for _, late := range []int64{0, 1000 * ms} {
		f := newFleet(gateways, hosts)
		f.work(hosts, 2000*ms)
		first := f.keepers(0)[0]
		others := func(i int) bool { return i != first }
		if f.late[first] = late; late == 0 {
			f.lose = func(_, to int) bool { return to == first }
		}
		f.work(hosts, 1700*ms)
		for range 80 { // some that ask it again do without for a while
			f.work(hosts, 100*ms)
			if age := f.oldest(hosts, others); age > 300*ms {
				t.Fatalf("late %d ms: %d ms after, a host is known as of %d ms ago", late/ms, (f.now-base)/ms-2000, age/ms)
			}
		}
		f.late[first], f.lose = 0, func(int, int) bool { return false }
		f.work(hosts, 9000*ms)
		if ks := f.keepers((first + 1) % gateways); ks[0] != first {
			t.Errorf("keeper %d long after %d hears again", ks[0], first)
		}
	}
}

// A third of all messages is lost, and one gateway can't reach the keeper at all: it asks another, and both speak.
func TestLinksThatLose(t *testing.T) {
	const gateways, hosts = 30, 10
	f := newFleet(gateways, hosts)
	first := f.keepers(0)[0]
	cut := (first + 1) % gateways
	luck := random.Source(1)
	f.lose = func(from, to int) bool {
		return from == cut && to == first || from == first && to == cut || luck.Below(3) == 0
	}
	f.work(hosts, 6000*ms)
	if age := f.oldest(hosts, all); age > 900*ms {
		t.Errorf("a host is known as of %d ms ago", age/ms)
	}
	if f.keepers(cut)[0] == first {
		t.Error("a gateway goes on reporting to one that it can't reach")
	}
}

// Half of the fleet can't hear the other half: each half has keepers of its own, and afterwards there is one again.
func TestHalvesThatDoNotHear(t *testing.T) {
	const gateways, hosts = 40, 10
	f := newFleet(gateways, hosts)
	f.work(hosts, 1000*ms)
	f.lose = func(from, to int) bool { return from%2 != to%2 }
	f.work(hosts, 6000*ms)
	if age := f.oldest(hosts, all); age > 900*ms {
		t.Errorf("in halves a host is known as of %d ms ago", age/ms)
	}
	f.lose = func(int, int) bool { return false }
	f.work(hosts, 9000*ms)
	if !slices.Equal(f.keepers(0), f.keepers(1)) {
		t.Errorf("keepers %v and %v long after the cut", f.keepers(0), f.keepers(1))
	}
}

// Of five hosts one is heard by requests. The keeper, and nobody else, has the others asked at a pace; and nobody once the
// group is idle.
func TestKeeperAsksWhoIsNotHeard(t *testing.T) {
	f := newFleet(4, 5)
	asked := map[string]int{}
	for f.now < base+2000*ms {
		i := int(f.now/ms/5) % 4
		f.states[i].Record(HostFact{Host: name(0), Position: f.now - 3*ms, Role: Replica})
		f.states[i].SetInFlight(name(0), 1-f.states[i].hosts[name(0)].inFlight)
		f.step()
		for i, s := range f.states {
			for _, h := range s.HostsToCheck(f.now) {
				if i != f.keepers(i)[0] {
					t.Fatalf("gateway %d asks", i)
				}
				asked[h]++
				if h == name(1) { // it answers; the others are silent, and one of them is far behind
					s.Record(HostFact{Host: h, Position: f.now - 20*ms, Role: Replica})
				} else if h == name(2) {
					s.Record(HostFact{Host: h, Position: f.now - 4000*ms, Role: Replica})
				}
			}
		}
	}
	for host, want := range map[string][2]int{name(0): {0, 1}, name(1): {4, 9}, name(2): {2, 4}, name(3): {6, 9}} {
		if n := asked[host]; n < want[0] || n > want[1] {
			t.Errorf("%s was asked %d times in 2 s, want %v", host, n, want)
		}
	}
	clear(asked)
	for range 400 {
		f.step()
		for _, s := range f.states {
			for _, h := range s.HostsToCheck(f.now) {
				asked[h]++
			}
		}
	}
	if asked[name(3)] > 2 {
		t.Errorf("%v asked while nobody reads", asked)
	}
}

// Loads add up over the fleet, hold when the same is told twice, and are forgotten with a gateway that tells no more.
func TestLoadsAddUp(t *testing.T) {
	const gateways = 12
	f := newFleet(gateways, 5)
	k := f.keepers(0)[0]
	a, b, c := (k+1)%gateways, (k+2)%gateways, (k+3)%gateways
	told := func(i int) (float64, float64) { return f.states[i].Load(f.now, name(1)) }
	f.states[a].SetInFlight(name(1), 2)
	f.states[b].SetInFlight(name(1), 1)
	f.states[k].SetInFlight(name(1), 4)
	f.states[c].SetInFlight(name(2), 40) // more than a digest is exact about
	for range 60 {
		for _, m := range f.flying { // everything comes twice
			f.states[m.to].Receive(f.now, m.from, m.data)
		}
		f.step()
	}
	for i, want := range map[int]float64{a: 5, b: 6, c: 7, k: 3} {
		if n, coming := told(i); n != want || coming <= 0 {
			t.Errorf("gateway %d: %.0f out at a host by others, want %.0f; %.1f coming", i, n, want, coming)
		}
	}
	if n, _ := f.states[a].Load(f.now, name(2)); n != 40 {
		t.Errorf("%.0f out, want 40", n)
	}
	f.stopped[b] = true // dies with one out
	for range 400 {
		f.states[a].SetInFlight(name(0), 1-f.states[a].hosts[name(0)].inFlight) // digests go on
		f.states[k].SetInFlight(name(0), 1-f.states[k].hosts[name(0)].inFlight)
		f.step()
	}
	if n, _ := told(c); n != 4 { // a's are forgotten, too: it has said nothing of them for 2 s
		t.Errorf("%.0f out after two gateways were silent, want the keeper's 4", n)
	}
	for range 400 {
		f.step()
	}
	if n, coming := told(c); n != 0 || coming != 0 {
		t.Errorf("old news count: %.0f out, %.1f coming", n, coming)
	}
}

// A primary whose answers take all of their aim is given less and less by all together, and nobody's attempts are shut
// out for good: the less it holds, the more gateways may go. When it is calm again the limit goes.
func TestBusyPrimaryIsGivenLess(t *testing.T) {
	const gateways = 40
	f := newFleet(gateways, 5)
	full := func() (n int) {
		for _, s := range f.states {
			if s.AtCapacity(f.now, name(0)) {
				n++
			}
		}
		return n
	}
	run := func(d int64, share float64, out int) {
		for end := f.now + d; f.now < end; f.step() {
			for i, s := range f.states {
				s.SetInFlight(name(0), min(1, max(0, out-i))) // so many gateways have one out
				s.SetInFlight(name(1), 1-s.hosts[name(1)].inFlight)
			}
			s := f.states[int(f.now/ms)%gateways]
			s.Record(HostFact{Host: name(0), Position: f.now - ms, Role: Primary})
			s.RecordLatencyShare(name(0), share, false)
		}
	}
	run(1000*ms, 0.2, 30)
	if n := full(); n != 0 {
		t.Fatalf("%d gateways hold back from a primary that is well", n)
	}
	run(1500*ms, 1.5, 30)
	if n := full(); n != gateways {
		t.Errorf("%d of %d gateways hold back with 30 out at a primary that answers late", n, gateways)
	}
	run(200*ms, 1.5, 1)
	if n := full(); n < 2 || n > gateways*2/3 {
		t.Errorf("%d of %d gateways hold back with one out", n, gateways)
	}
	run(4000*ms, 0.1, 20)
	if n := full(); n != 0 {
		t.Errorf("%d gateways hold back long after", n)
	}
}

// A report from before the sender's newer one, or from before a stall, does not change what is out.
func TestLateReportsCountNothing(t *testing.T) {
	f := newFleet(2, 5)
	k := f.keepers(0)[0]
	keeper, from := f.states[k], 1-k
	report := func(at int64, n int) []byte {
		return appendReport(newMessage(at, reportVersion), at, &report{hash: hostHash(name(0)), inFlight: n})
	}
	keeper.Receive(base+30*ms, from, report(base+20*ms, 3))
	keeper.Receive(base+40*ms, from, report(base+10*ms, 9))
	keeper.Receive(base+2000*ms, from, report(base+50*ms, 9))
	if n := keeper.hosts[name(0)].reportedTotal; n != 3 {
		t.Errorf("%d out, want 3", n)
	}
}

// Messages lost, late, twice and out of order: positions only rise, and a role is as old as its position. Of two that
// were primary, the later one is.
func TestOldNewsDoNoHarm(t *testing.T) {
	f := newFleet(2, 5)
	k := f.keepers(0)[0]
	keeper := f.states[k]
	tell := func(h int, at int64, r Role) {
		keeper.Receive(base+ms, 1-k, appendReport(newMessage(base, reportVersion), base, &report{HostFact: HostFact{Position: at, Role: r}, hash: hostHash(name(h))}))
	}
	tell(0, base-10*ms, Replica)
	tell(0, base-900*ms, Primary)
	tell(1, base-300*ms, Primary)
	tell(2, base-20*ms, Primary)
	m := keeper.PendingMessages(base + 20*ms)
	if len(m) != 1 || m[0].To != Broadcast {
		t.Fatalf("said %v", m)
	}
	got := map[string]HostFact{}
	for _, fact := range f.states[1-k].Receive(base+30*ms, k, m[0].Data) {
		got[fact.Host] = fact
	}
	if a, c := got[name(0)], got[name(2)]; a.Role != Replica || a.Position > base-10*ms || a.Position < base-15*ms || c.Role != Primary {
		t.Errorf("%+v, %+v", a, c)
	}
	if old, said := got[name(1)]; said {
		t.Errorf("who was primary before is told of as %+v", old)
	}
}

// A host that gets slow, or fails, is told of though its position stands still.
func TestTroubleIsTold(t *testing.T) {
	f := newFleet(2, 5)
	k := f.keepers(0)[0]
	said := func(share float64, failed bool) (facts []HostFact) {
		f.states[1-k].RecordLatencyShare(name(0), share, failed)
		for range 100 {
			f.states[1-k].SetInFlight(name(1), 1-f.states[1-k].hosts[name(1)].inFlight) // requests go on, and pay
			for _, m := range f.flying {
				if m.from == k && m.at <= f.now+5*ms {
					facts = append(facts, New(conf(2, 1-k), 1).hearAs(f.states[1-k], f.now, k, m.data)...)
				}
			}
			f.step()
		}
		return facts
	}
	for _, c := range []struct {
		share  float64
		failed bool
		want   float64
	}{{0.25, false, 0.26}, {0.5, false, 0.55}, {3, false, 1}, {0, true, 0}} {
		got := said(c.share, c.failed)
		if got = slices.DeleteFunc(got, func(f HostFact) bool { return f.Host != name(0) }); len(got) != 1 || got[0].LatencyShare != c.want || got[0].Failing != c.failed {
			t.Errorf("%v: said %+v", c, got)
		}
	}
}

// hearAs reads a message as another state would, and leaves that one alone.
func (s *State) hearAs(other *State, now int64, from int, data []byte) []HostFact {
	for _, c := range other.groups {
		for _, b := range c.hosts {
			s.AddHost(b.id, 0)
		}
	}
	return s.Receive(now, from, data)
}

func bad() map[string][]byte {
	report := appendReport(newMessage(base, reportVersion), base, &report{HostFact{Position: base, Role: Replica}, hostHash(name(0)), 3, 1})
	digest := appendEntry(appendDigestHead(newMessage(base, digestVersion), 77, 40*ms, 20, true), base, hostHash(name(0)), HostFact{Position: base - ms}, 3)
	with := func(m []byte, i int, b byte) []byte { m = slices.Clone(m); m[i] = b; return m }
	return map[string][]byte{
		"empty": {}, "no version": with(report, 0, 0), "a version before": with(report, 0, 1), "a later version": with(report, 0, 9),
		"report cut short": report[:len(report)-1], "head alone, cut": report[:3], "digest cut short": digest[:len(digest)-1],
		"digest without its head": digest[:7], "too long": append(slices.Clone(report), make([]byte, 32*reportSize)...),
		"a role that is none": with(report, headerSize+5, 3<<6), "sent in the future": newMessage(base+60_000*ms, reportVersion),
	}
}

func TestBadMessagesTellNothing(t *testing.T) {
	s := New(conf(2, 0), 1)
	s.AddHost(name(0), 1)
	before := *s.hosts[name(0)]
	for what, m := range bad() {
		dropped := s.MalformedMessages()
		if f := s.Receive(base, 1, m); f != nil || s.MalformedMessages() != dropped+1 || !reflect.DeepEqual(*s.hosts[name(0)], before) {
			t.Errorf("%s: %+v, %d dropped", what, f, s.MalformedMessages()-dropped)
		}
	}
	s.Receive(base, -1, newMessage(base, reportVersion)) // from nobody in the tier
	s.Receive(base, 2, newMessage(base, reportVersion))
	if n := s.TakeMalformedReport(base); n != len(bad())+2 || s.TakeMalformedReport(base+ms) != 0 {
		t.Errorf("%d messages were complained of", n)
	}
	s.Receive(base, 1, nil)
	if s.TakeMalformedReport(base+5000*ms) != 0 || s.TakeMalformedReport(base+11_000*ms) != 1 {
		t.Error("complaints do not come once in ten seconds")
	}
}

// Two hosts with one code can't be told apart: neither is spoken or believed of.
func TestHostsWithOneCodeAreLeftOut(t *testing.T) {
	seen := map[uint32]string{}
	var a, b string
	for i := 0; b == ""; i++ {
		id := fmt.Sprint("x", i)
		if first, ok := seen[hostHash(id)]; ok {
			a, b = first, id
		}
		seen[hostHash(id)] = id
	}
	s := New(conf(2, 0), 1)
	s.AddHost(a, 1)
	s.AddHost(b, 1)
	m := appendReport(newMessage(base, reportVersion), base, &report{HostFact{Position: base, Role: Replica}, hostHash(a), 1, 1})
	if f := s.Receive(base, 1, m); f != nil {
		t.Errorf("believed %+v", f)
	}
	s.Record(HostFact{Host: a, Position: base, Role: Primary})
	if len(s.pendingReports) != 0 {
		t.Error("a host that can't be told apart is told of")
	}
	s.RemoveHost(b)
	s.RemoveHost(a)
	if len(s.hosts) != 0 || len(s.groups[0].hosts) != 0 {
		t.Error("hosts stay")
	}
}

// Groups spread evenly over the gateways that keep them.
func TestKeepingIsSpread(t *testing.T) {
	const gateways, groups = 20, 2000
	kept := make([]float64, gateways)
	for g := range groups {
		kept[rankCandidates(uint32(g*7919), gateways)[0]]++
	}
	mean := float64(groups) / gateways
	if least, most := slices.Min(kept), slices.Max(kept); least < mean-4*math.Sqrt(mean) || most > mean+4*math.Sqrt(mean) {
		t.Errorf("gateways keep %.0f to %.0f groups", least, most)
	}
}

// Whatever comes, no position lies ahead of the clock and nothing panics.
func FuzzHear(f *testing.F) {
	for _, m := range bad() {
		f.Add(m)
	}
	s := New(conf(80, 0), 1)
	group := s.ensureGroup(1).hash
	f.Add(appendEntry(appendDigestHead(newMessage(base, digestVersion), group, 40*ms, 20, true), base, hostHash(name(0)), HostFact{Position: base - ms}, 3))
	f.Fuzz(func(t *testing.T, m []byte) {
		s := New(conf(80, 0), 1)
		s.AddHost(name(0), 1)
		s.AddHost(name(1), 1)
		for _, fact := range s.Receive(base, 1, m) {
			if fact.Position > base+maxClockLead || fact.Role > Replica || math.IsNaN(fact.LatencyShare) || s.hosts[fact.Host] == nil {
				t.Errorf("believed %+v", fact)
			}
		}
		for now := base; now < base+200*ms; now += 5 * ms {
			for _, m := range s.PendingMessages(now) {
				if len(m.Data) > MaxMessage {
					t.Errorf("a message of %d bytes", len(m.Data))
				}
			}
		}
	})
}
