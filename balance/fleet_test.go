package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"cloverrock/internal/random"
)

// routerFleet is many routers before hosts that answer, in one process and on one clock. Messages take 10 ms.
type routerFleet struct {
	t              *testing.T
	now            int64
	rand           random.Source
	routers        []*Router
	events         []scheduledEvent
	lastRequest    int64
	attempts       map[[2]int64]int                             // attempts of a request
	classOf        map[[2]int64]int                             // by router and request
	serviceTime    func(host string, class int) (int64, Result) // how an attempt ends, and when
	roleOf         func(host string) Role
	replicationLag int64

	sent                    map[string]int
	probes, messages, bytes int
}

type scheduledEvent struct {
	at int64
	to int
	ev Event
}

func fleetSettings(routers int) Settings {
	settings := testSettings()
	settings.TickInterval, settings.Gateways, settings.GossipBytesPerRequest = 1*ms, routers, 400
	return settings
}

func newFleet(t *testing.T, settings Settings, list ...Endpoint) *routerFleet {
	f := &routerFleet{t: t, now: base, rand: 1, attempts: map[[2]int64]int{}, classOf: map[[2]int64]int{}, sent: map[string]int{}, replicationLag: 20 * ms}
	f.serviceTime = func(string, int) (int64, Result) { return 50 * ms, Succeeded }
	f.roleOf = func(h string) Role {
		if h == list[0].Host {
			return Primary
		}
		return Replica
	}
	for i := range max(settings.Gateways, 1) {
		settings.Ordinal = i
		r, err := New(settings, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
		f.handle(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: list})
	}
	return f
}

func (f *routerFleet) schedule(at int64, to int, ev Event) {
	i, _ := slices.BinarySearchFunc(f.events, at+1, func(o scheduledEvent, at int64) int { return cmp.Compare(o.at, at) })
	f.events = slices.Insert(f.events, i, scheduledEvent{at, to, ev})
}

func (f *routerFleet) position(h string) int64 {
	if f.roleOf(h) == Primary {
		return f.now
	}
	return f.now - f.replicationLag
}

func (f *routerFleet) handle(i int, ev Event) {
	for _, a := range f.routers[i].Handle(f.now, ev, nil) {
		key := [2]int64{int64(i), a.Request}
		switch a.Kind {
		case TimerAction:
			f.schedule(max(a.At, f.now+1), i, Event{Kind: TimerEvent, Token: a.Token})
		case SendAction:
			f.sent[a.Host]++
			took, result := f.serviceTime(a.Host, f.classOf[key])
			f.schedule(f.now+took, i, Event{Kind: OutcomeEvent, Request: a.Request, Attempt: f.attempts[key], Host: a.Host,
				Result: result, Latency: took, Finished: result == Succeeded})
			f.attempts[key]++
		case HealthCheckAction:
			f.probes++
			f.schedule(f.now+ms, i, Event{Kind: HealthCheckEvent, Host: a.Host, Result: Succeeded, Latency: ms})
		case GossipAction:
			f.messages++
			for to := range f.routers {
				if to != i && (a.Peer < 0 || a.Peer == to) {
					f.bytes += len(a.Data)
					f.schedule(f.now+10*ms, to, Event{Kind: GossipEvent, Peer: i, Data: a.Data})
				}
			}
		}
	}
}

// restart puts a new router in the place of one; what was under way there is forgotten.
func (f *routerFleet) restart(i int, list []Endpoint) {
	r, err := New(f.routers[i].settings, uint64(1000+i))
	if err != nil {
		f.t.Fatal(err)
	}
	f.routers[i] = r
	f.events = slices.DeleteFunc(f.events, func(o scheduledEvent) bool { return o.to == i })
	f.handle(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: list})
}

// request has a router take a request.
func (f *routerFleet) request(i, class int) {
	f.lastRequest++
	f.classOf[[2]int64{int64(i), f.lastRequest}] = class
	f.handle(i, Event{Kind: RequestEvent, Request: f.lastRequest, Class: class, Group: 1, Deadline: f.now + f.routers[i].settings.Classes[class].Deadline})
}

// run lets time pass; each millisecond, perMs requests of a class come to routers drawn at random.
func (f *routerFleet) run(d int64, class int, everyUs int64) {
	end := f.now + d
	for at := f.now; ; at += everyUs {
		for len(f.events) > 0 && f.events[0].at <= min(at, end) {
			o := f.events[0]
			f.events = f.events[1:]
			f.now = max(f.now, o.at)
			if o.ev.Kind == OutcomeEvent || o.ev.Kind == HealthCheckEvent {
				f.answer(&o.ev)
			}
			f.handle(o.to, o.ev)
		}
		if f.now = min(at, end); at >= end {
			return
		}
		f.request(int(f.rand.Below(int64(len(f.routers)))), class)
	}
}

// answer fills in what the host tells of itself at the time of its answer.
func (f *routerFleet) answer(ev *Event) {
	if ev.Result.Answered() {
		ev.Role = f.roleOf(ev.Host)
		ev.Position = f.position(ev.Host)
		ev.Report = HostReport{HasPosition: true, HasRole: true, Position: ev.Position, Primary: ev.Role == Primary}
	}
}

func hostList(n int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{Host: fmt.Sprint("h", i), Group: 1, State: Ready, Primary: i == 0})
	}
	return es
}

// Eighty routers that each see a host once in seconds know its position from one another: reads go to
// replicas, and few probes are needed. Without their messages every read would ask first, or burden the
// primary.
func TestGatewaysShareKnownPositions(t *testing.T) {
	alone := fleetSettings(80)
	alone.GossipBytesPerRequest = 0
	var probes [2]int
	for i, settings := range []Settings{fleetSettings(80), alone} {
		f := newFleet(t, settings, hostList(5)...)
		f.run(1000*ms, boundedRead, 10*ms) // all get to know the hosts
		f.probes, f.sent = 0, map[string]int{}
		f.run(4000*ms, boundedRead, 10*ms) // 100 a second, 1.25 each
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

// The replicas that are heard first do not keep the others out: who is not heard gets no bounded reads, and
// would not be heard for want of them.
func TestReplicasOfUnknownPositionGetReadsToo(t *testing.T) {
	f := newFleet(t, fleetSettings(20), hostList(5)...)
	for i := range f.routers { // one replica is known, as after a calm time in which few reads came
		f.routers[i].hosts["h1"].position, f.routers[i].hosts["h1"].positionHeardAt = f.now, f.now
	}
	f.run(1000*ms, boundedRead, 8*ms)
	f.sent = map[string]int{}
	f.run(4000*ms, boundedRead, 8*ms) // 500 reads
	for _, h := range []string{"h1", "h2", "h3", "h4"} {
		if f.sent[h] < 60 {
			t.Errorf("%v of 500 reads at the hosts", f.sent)
			break
		}
	}
}

// A replica's promotion, seen by one router, lets the others' writes go without a search of their own.
func TestNewPrimaryIsToldToAllGateways(t *testing.T) {
	f := newFleet(t, fleetSettings(80), hostList(5)...)
	f.run(500*ms, boundedRead, 10*ms)
	f.roleOf = func(h string) Role {
		if h == "h3" {
			return Primary
		}
		return Replica
	}
	f.handle(7, Event{Kind: HealthCheckEvent, Host: "h3", Result: Succeeded, Latency: ms,
		Report: HostReport{HasPosition: true, HasRole: true, Primary: true, Position: f.now}})
	f.run(100*ms, boundedRead, 50*ms)
	for i, r := range f.routers {
		if p := r.groups[0].primary; p == nil || p.id != "h3" {
			t.Fatalf("router %d does not know the new primary after 100 ms", i)
		}
	}
}

// A message can't name a host that no list has, revive one that the list has dropped, or move a position
// back.
func TestGossipDoesNotOverruleTheEndpointList(t *testing.T) {
	f := newFleet(t, fleetSettings(2), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	pos := r.hosts["h1"].position
	r.Handle(f.now, Event{Kind: EndpointsEvent, Endpoints: []Endpoint{{Host: "h2", Group: 1, State: Removed}}}, nil)
	f.run(200*ms, boundedRead, 5*ms) // the other still hears and tells of it
	if host := r.hosts["h2"]; host != nil && !host.excluded {
		t.Error("a host that is gone came back by hearsay")
	}
	if r.hosts["h1"].position < pos {
		t.Error("a position went back")
	}
}

// The tick says how often a router may act, not how often it should: with a finer one it asks no more.
func TestCheckRateDoesNotFollowTheTickInterval(t *testing.T) {
	var probes [2]int
	for i, tick := range []int64{1 * ms, 20 * ms} {
		settings := fleetSettings(1)
		settings.TickInterval = tick
		f := newFleet(t, settings, hostList(5)...)
		f.roleOf = func(string) Role { return Replica } // nobody leads
		f.serviceTime = func(string, int) (int64, Result) { return ms, NotPrimary }
		f.request(0, unsafeWrite)
		f.run(300*ms, unsafeWrite, 500*ms)
		probes[i] = f.probes
	}
	if probes[0] > probes[1]*3/2 {
		t.Errorf("%d probes with a tick of 1 ms, %d with 20 ms", probes[0], probes[1])
	}
}

// Of two replicas, the one goes first that has less out by all accounts, but not for all routers at once:
// what they move together evens out the difference. What is old counts nothing.
func TestLoadOfOtherGatewaysCounts(t *testing.T) {
	const routers = 20
	f := newFleet(t, fleetSettings(routers), hostList(3)...)
	slow := int64(400 * ms)
	f.serviceTime = func(h string, _ int) (int64, Result) {
		if h == "h1" {
			return slow, Succeeded
		}
		return 10 * ms, Succeeded
	}
	f.run(3000*ms, boundedRead, 2*ms)
	r := f.routers[0]
	out := func(h string) (n int) {
		for _, r := range f.routers {
			n += len(r.hosts[h].inFlight)
		}
		return n
	}
	n, coming := r.gossip.Load(f.now, "h1")
	if all := out("h1"); math.Abs(n-float64(all)) > 4 || n == 0 || coming <= 0 {
		t.Fatalf("%.0f out at h1 by all accounts, in truth %d; %.1f coming", n, all, coming)
	}
	if share := float64(f.sent["h1"]) / float64(f.sent["h1"]+f.sent["h2"]); share > 0.3 {
		t.Errorf("%.2f of the reads went to the host that takes 40 times as long", share)
	}
	if n, coming := r.gossip.Load(f.now+5000*ms, "h1"); n != 0 || coming != 0 {
		t.Errorf("news of 5 s ago count: %.0f out, %.1f coming", n, coming)
	}
}

// New connections of all routers together cost hosts much: reads stay with those that a router is connected
// to.
func TestReadsPreferConnectedHosts(t *testing.T) {
	f := newFleet(t, fleetSettings(1), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	r.hosts["h1"].connected, r.hosts["h2"].connected = true, false
	req := &pendingRequest{class: &r.settings.Classes[boundedRead], group: r.groups[0]}
	n := 0
	for range 1000 {
		r.hosts["h1"].inFlight, r.hosts["h2"].inFlight = nil, nil
		r.hosts["h1"].position, r.hosts["h2"].position = r.now, r.now
		if r.chooseReplica(req) == r.hosts["h1"] {
			n++
		}
	}
	if n < 800 || n == 1000 {
		t.Errorf("%d of 1000 reads were drawn for the host with a connection", n)
	}
}

// A read that no host is to be burdened with is refused so that it does not come back while they are busy.
func TestShedReadIsToComeBackLate(t *testing.T) {
	f := newFleet(t, fleetSettings(1), hostList(3)...)
	f.run(300*ms, boundedRead, 5*ms)
	r := f.routers[0]
	for _, m := range r.groups[0].members {
		m.latencyShare = 1
	}
	id := int64(1 << 40)
	actions := r.Handle(f.now, Event{Kind: RequestEvent, Request: id, Class: boundedRead, Group: 1, Deadline: f.now + 1000*ms}, nil)
	if a := findAction(actions, SendAction, id); a != nil {
		t.Fatalf("sent to %s, whose answers take all of their aim", a.Host)
	}
	for now := f.now; now < f.now+600*ms; now += 20 * ms {
		if a := findAction(r.Handle(now, Event{Kind: TimerEvent}, nil), RejectAction, id); a != nil {
			if a.RetryAfter < r.settings.MaxRetryAfter*7/8 {
				t.Errorf("refused until in %d ms", a.RetryAfter/ms)
			}
			return
		}
	}
	t.Error("not refused by half of its time")
}
