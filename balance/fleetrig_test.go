package balance

import (
	"cmp"
	"fmt"
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
