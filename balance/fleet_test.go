package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"cloverrock/internal/random"
)

// fleet is many routers before hosts that answer, in one process and on one clock. Messages take 10 ms.
type fleet struct {
	t       *testing.T
	now     int64
	rand    random.Source
	routers []*Router
	events  []occurrence
	next    int64
	tries   map[[2]int64]int                             // attempts of a request
	classOf map[[2]int64]int                             // by router and request
	took    func(host string, class int) (int64, Result) // how an attempt ends, and when
	role    func(host string) Role
	lag     int64

	sent                map[string]int
	probes, told, bytes int
}

type occurrence struct {
	at int64
	to int
	ev Event
}

func fleetSettings(routers int) Settings {
	set := testSettings()
	set.TickInterval, set.Gateways, set.GossipBytesPerRequest = 1*ms, routers, 400
	return set
}

func newFleet(t *testing.T, set Settings, list ...Endpoint) *fleet {
	f := &fleet{t: t, now: base, rand: 1, tries: map[[2]int64]int{}, classOf: map[[2]int64]int{}, sent: map[string]int{}, lag: 20 * ms}
	f.took = func(string, int) (int64, Result) { return 50 * ms, Succeeded }
	f.role = func(h string) Role {
		if h == list[0].Host {
			return Primary
		}
		return Replica
	}
	for i := range max(set.Gateways, 1) {
		set.Ordinal = i
		r, err := New(set, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
		f.tell(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: list})
	}
	return f
}

func (f *fleet) later(at int64, to int, ev Event) {
	i, _ := slices.BinarySearchFunc(f.events, at+1, func(o occurrence, at int64) int { return cmp.Compare(o.at, at) })
	f.events = slices.Insert(f.events, i, occurrence{at, to, ev})
}

func (f *fleet) position(h string) int64 {
	if f.role(h) == Primary {
		return f.now
	}
	return f.now - f.lag
}

func (f *fleet) tell(i int, ev Event) {
	for _, a := range f.routers[i].Handle(f.now, ev, nil) {
		key := [2]int64{int64(i), a.Request}
		switch a.Kind {
		case TimerAction:
			f.later(max(a.At, f.now+1), i, Event{Kind: TimerEvent, Token: a.Token})
		case SendAction:
			f.sent[a.Host]++
			took, result := f.took(a.Host, f.classOf[key])
			f.later(f.now+took, i, Event{Kind: OutcomeEvent, Request: a.Request, Attempt: f.tries[key], Host: a.Host,
				Result: result, Latency: took, Finished: result == Succeeded})
			f.tries[key]++
		case HealthCheckAction:
			f.probes++
			f.later(f.now+ms, i, Event{Kind: HealthCheckEvent, Host: a.Host, Result: Succeeded, Latency: ms})
		case GossipAction:
			f.told++
			for to := range f.routers {
				if to != i && (a.Peer < 0 || a.Peer == to) {
					f.bytes += len(a.Data)
					f.later(f.now+10*ms, to, Event{Kind: GossipEvent, Peer: i, Data: a.Data})
				}
			}
		}
	}
}

// restart puts a new router in the place of one; what was under way there is forgotten.
func (f *fleet) restart(i int, list []Endpoint) {
	r, err := New(f.routers[i].set, uint64(1000+i))
	if err != nil {
		f.t.Fatal(err)
	}
	f.routers[i] = r
	f.events = slices.DeleteFunc(f.events, func(o occurrence) bool { return o.to == i })
	f.tell(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: list})
}

// ask has a router take a request.
func (f *fleet) ask(i, class int) {
	f.next++
	f.classOf[[2]int64{int64(i), f.next}] = class
	f.tell(i, Event{Kind: RequestEvent, Request: f.next, Class: class, Group: 1, Deadline: f.now + f.routers[i].set.Classes[class].Deadline})
}

// run lets time pass; each millisecond, perMs requests of a class come to routers drawn at random.
func (f *fleet) run(d int64, class int, everyUs int64) {
	end := f.now + d
	for at := f.now; ; at += everyUs {
		for len(f.events) > 0 && f.events[0].at <= min(at, end) {
			o := f.events[0]
			f.events = f.events[1:]
			f.now = max(f.now, o.at)
			if o.ev.Kind == OutcomeEvent || o.ev.Kind == HealthCheckEvent {
				f.answer(&o.ev)
			}
			f.tell(o.to, o.ev)
		}
		if f.now = min(at, end); at >= end {
			return
		}
		f.ask(int(f.rand.Below(int64(len(f.routers)))), class)
	}
}

// answer fills in what the host tells of itself at the time of its answer.
func (f *fleet) answer(ev *Event) {
	if ev.Result.Answered() {
		ev.Role = f.role(ev.Host)
		ev.Position = f.position(ev.Host)
		ev.Report = HostReport{HasPosition: true, HasRole: true, Position: ev.Position, Primary: ev.Role == Primary}
	}
}

func entries(n int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{Host: fmt.Sprint("h", i), Group: 1, State: Ready, Primary: i == 0})
	}
	return es
}

// Eighty routers that each see a host once in seconds know its position from one another: reads go to replicas, and
// few probes are needed. Without their messages every read would ask first, or burden the primary.
func TestManyRoutersShareWhatTheyHear(t *testing.T) {
	alone := fleetSettings(80)
	alone.GossipBytesPerRequest = 0
	var probes [2]int
	for i, set := range []Settings{fleetSettings(80), alone} {
		f := newFleet(t, set, entries(5)...)
		f.run(1000*ms, recent, 10*ms) // all get to know the hosts
		f.probes, f.sent = 0, map[string]int{}
		f.run(4000*ms, recent, 10*ms) // 100 a second, 1.25 each
		probes[i] = f.probes
		if i == 0 && f.sent["h0"] > 40 {
			t.Errorf("%d of 400 reads went to the primary", f.sent["h0"])
		}
		if i == 0 && float64(f.bytes) > 400*500+80*64*400 {
			t.Errorf("%d bytes delivered", f.bytes)
		}
	}
	if probes[0] > 100 || probes[1] < 3*probes[0] {
		t.Errorf("%d probes for 400 reads, %d without messages", probes[0], probes[1])
	}
}

// The replicas that are heard first do not keep the others out: who is not heard gets no bounded reads, and would not be
// heard for want of them.
func TestNoReplicaIsLeftOut(t *testing.T) {
	f := newFleet(t, fleetSettings(20), entries(5)...)
	for i := range f.routers { // one replica is known, as after a calm time in which few reads came
		f.routers[i].hosts["h1"].pos, f.routers[i].hosts["h1"].posAt = f.now, f.now
	}
	f.run(1000*ms, recent, 8*ms)
	f.sent = map[string]int{}
	f.run(4000*ms, recent, 8*ms) // 500 reads
	for _, h := range []string{"h1", "h2", "h3", "h4"} {
		if f.sent[h] < 60 {
			t.Errorf("%v of 500 reads at the hosts", f.sent)
			break
		}
	}
}

// A replica's promotion, seen by one router, lets the others' writes go without a search of their own.
func TestOneRouterTellsOfANewPrimary(t *testing.T) {
	f := newFleet(t, fleetSettings(80), entries(5)...)
	f.run(500*ms, recent, 10*ms)
	f.role = func(h string) Role {
		if h == "h3" {
			return Primary
		}
		return Replica
	}
	f.tell(7, Event{Kind: HealthCheckEvent, Host: "h3", Result: Succeeded, Latency: ms,
		Report: HostReport{HasPosition: true, HasRole: true, Primary: true, Position: f.now}})
	f.run(100*ms, recent, 50*ms)
	for i, r := range f.routers {
		if p := r.groups[0].primary; p == nil || p.id != "h3" {
			t.Fatalf("router %d does not know the new primary after 100 ms", i)
		}
	}
}

// A message can't name a host that no list has, revive one that the list has dropped, or move a position back.
func TestMessagesDoNotOverruleTheList(t *testing.T) {
	f := newFleet(t, fleetSettings(2), entries(3)...)
	f.run(300*ms, recent, 5*ms)
	r := f.routers[0]
	pos := r.hosts["h1"].pos
	r.Handle(f.now, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "h2", Group: 1, State: Removed}}}, nil)
	f.run(200*ms, recent, 5*ms) // the other still hears and tells of it
	if h := r.hosts["h2"]; h != nil && !h.bound {
		t.Error("a host that is gone came back by hearsay")
	}
	if r.hosts["h1"].pos < pos {
		t.Error("a position went back")
	}
}

// The tick says how often a router may act, not how often it should: with a finer one it asks no more.
func TestPacesDoNotFollowTheTick(t *testing.T) {
	var probes [2]int
	for i, tick := range []int64{1 * ms, 20 * ms} {
		set := fleetSettings(1)
		set.TickInterval = tick
		f := newFleet(t, set, entries(5)...)
		f.role = func(string) Role { return Replica } // nobody leads
		f.took = func(string, int) (int64, Result) { return ms, NotPrimary }
		f.ask(0, unsafe)
		f.run(300*ms, unsafe, 500*ms)
		probes[i] = f.probes
	}
	if probes[0] > probes[1]*3/2 {
		t.Errorf("%d probes with a tick of 1 ms, %d with 20 ms", probes[0], probes[1])
	}
}

// Of two replicas, the one goes first that has less out by all accounts, but not for all routers at once: what they move
// together evens out the difference. What is old counts nothing.
func TestOthersLoadsCount(t *testing.T) {
	const routers = 20
	f := newFleet(t, fleetSettings(routers), entries(3)...)
	slow := int64(400 * ms)
	f.took = func(h string, _ int) (int64, Result) {
		if h == "h1" {
			return slow, Succeeded
		}
		return 10 * ms, Succeeded
	}
	f.run(3000*ms, recent, 2*ms)
	r := f.routers[0]
	out := func(h string) (n int) {
		for _, r := range f.routers {
			n += len(r.hosts[h].out)
		}
		return n
	}
	n, coming := r.news.Load(f.now, "h1")
	if all := out("h1"); math.Abs(n-float64(all)) > 4 || n == 0 || coming <= 0 {
		t.Fatalf("%.0f out at h1 by all accounts, in truth %d; %.1f coming", n, all, coming)
	}
	if share := float64(f.sent["h1"]) / float64(f.sent["h1"]+f.sent["h2"]); share > 0.3 {
		t.Errorf("%.2f of the reads went to the host that takes 40 times as long", share)
	}
	if n, coming := r.news.Load(f.now+5000*ms, "h1"); n != 0 || coming != 0 {
		t.Errorf("news of 5 s ago count: %.0f out, %.1f coming", n, coming)
	}
}

// New connections of all routers together cost hosts much: reads stay with those that a router is connected to.
func TestReadsStayWithOpenConnections(t *testing.T) {
	f := newFleet(t, fleetSettings(1), entries(3)...)
	f.run(300*ms, recent, 5*ms)
	r := f.routers[0]
	r.hosts["h1"].open, r.hosts["h2"].open = true, false
	q := &request{class: &r.set.Classes[recent], group: r.groups[0]}
	n := 0
	for range 1000 {
		r.hosts["h1"].out, r.hosts["h2"].out = nil, nil
		r.hosts["h1"].pos, r.hosts["h2"].pos = r.now, r.now
		if r.reader(q) == r.hosts["h1"] {
			n++
		}
	}
	if n < 800 || n == 1000 {
		t.Errorf("%d of 1000 reads were drawn for the host with a connection", n)
	}
}

// A read that no host is to be burdened with is refused so that it does not come back while they are busy.
func TestSparedReadComesBackLate(t *testing.T) {
	f := newFleet(t, fleetSettings(1), entries(3)...)
	f.run(300*ms, recent, 5*ms)
	r := f.routers[0]
	for _, m := range r.groups[0].members {
		m.share = 1
	}
	id := int64(1 << 40)
	acts := r.Handle(f.now, Event{Kind: RequestEvent, Request: id, Class: recent, Group: 1, Deadline: f.now + 1000*ms}, nil)
	if a := find(acts, SendAction, id); a != nil {
		t.Fatalf("sent to %s, whose answers take all of their aim", a.Host)
	}
	for now := f.now; now < f.now+600*ms; now += 20 * ms {
		if a := find(r.Handle(now, Event{Kind: TimerEvent}, nil), RejectAction, id); a != nil {
			if a.RetryAfter < r.set.MaxRetryAfter*7/8 {
				t.Errorf("refused until in %d ms", a.RetryAfter/ms)
			}
			return
		}
	}
	t.Error("not refused by half of its time")
}
