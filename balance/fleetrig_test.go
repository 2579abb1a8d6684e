package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"cloverrock/internal/random"
)

// routerFleet consists of many routers and the hosts that answer them, on one simulated clock. Gossip takes
// 10 ms.
type routerFleet struct {
	t           *testing.T
	now         int64
	rand        random.Source
	routers     []*Router
	events      []scheduledEvent // sorted by time
	lastRequest int64
	attempts    map[routerRequest]int // number of attempts sent
	classOf     map[routerRequest]int

	serviceTime    func(host string, class int) (int64, Result) // how long an attempt takes and how it ends
	roleOf         func(host string) Role
	replicationLag int64

	sent         map[string]int // number of attempts by host
	checks       int            // number of health checks
	gossipBytes  int            // bytes delivered
	gossipEvents int            // messages sent
}

type routerRequest struct {
	router  int
	request int64
}

type scheduledEvent struct {
	at     int64
	router int
	event  Event
}

func fleetSettings(routers int) Settings {
	settings := testSettings()
	settings.TickInterval = 1 * ms
	settings.Gateways = routers
	settings.GossipBytesPerRequest = 400
	return settings
}

// hostList returns one group of n hosts, h0, h1 and so on; h0 is its primary.
func hostList(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		host := Endpoint{Host: fmt.Sprint("h", i), Group: 1, State: Ready, Primary: i == 0}
		endpoints = append(endpoints, host)
	}
	return endpoints
}

// primaryIs returns a role function for which one host is the primary and all others are replicas.
func primaryIs(primary string) func(host string) Role {
	return func(host string) Role {
		if host == primary {
			return Primary
		}
		return Replica
	}
}

func newFleet(t *testing.T, settings Settings, endpoints ...Endpoint) *routerFleet {
	t.Helper()
	fleet := &routerFleet{
		t:              t,
		now:            testStart,
		rand:           1,
		attempts:       map[routerRequest]int{},
		classOf:        map[routerRequest]int{},
		serviceTime:    func(string, int) (int64, Result) { return 50 * ms, Succeeded },
		roleOf:         primaryIs(endpoints[0].Host),
		replicationLag: 20 * ms,
		sent:           map[string]int{},
	}
	for i := range max(settings.Gateways, 1) {
		settings.Ordinal = i
		router, err := New(settings, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		fleet.routers = append(fleet.routers, router)
		fleet.handle(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: endpoints})
	}
	return fleet
}

// restart replaces a router by a new one. Events that are scheduled for the old router are dropped.
func (f *routerFleet) restart(i int, endpoints []Endpoint) {
	router, err := New(f.routers[i].settings, uint64(1000+i))
	if err != nil {
		f.t.Fatal(err)
	}
	f.routers[i] = router
	f.events = slices.DeleteFunc(f.events, func(e scheduledEvent) bool { return e.router == i })
	f.handle(i, Event{Kind: EndpointsEvent, Complete: true, Endpoints: endpoints})
}

// schedule adds an event, after all events of the same time.
func (f *routerFleet) schedule(at int64, router int, event Event) {
	byTime := func(e scheduledEvent, at int64) int { return cmp.Compare(e.at, at) }
	i, _ := slices.BinarySearchFunc(f.events, at+1, byTime)
	f.events = slices.Insert(f.events, i, scheduledEvent{at, router, event})
}

// handle passes an event to a router and carries out its actions.
func (f *routerFleet) handle(router int, event Event) {
	for _, action := range f.routers[router].Handle(f.now, event, nil) {
		switch action.Kind {
		case TimerAction:
			timer := Event{Kind: TimerEvent, Token: action.Token}
			f.schedule(max(action.At, f.now+1), router, timer)
		case SendAction:
			f.send(router, &action)
		case HealthCheckAction:
			f.checks++
			result := Event{Kind: HealthCheckEvent, Host: action.Host, Result: Succeeded, Latency: ms}
			f.schedule(f.now+ms, router, result)
		case GossipAction:
			f.sendGossip(router, &action)
		}
	}
}

func (f *routerFleet) send(router int, action *Action) {
	key := routerRequest{router, action.Request}
	latency, result := f.serviceTime(action.Host, f.classOf[key])
	f.sent[action.Host]++
	f.schedule(f.now+latency, router, Event{
		Kind:     OutcomeEvent,
		Request:  action.Request,
		Attempt:  f.attempts[key],
		Host:     action.Host,
		Result:   result,
		Latency:  latency,
		Finished: result == Succeeded,
	})
	f.attempts[key]++
}

func (f *routerFleet) sendGossip(from int, action *Action) {
	f.gossipEvents++
	for to := range f.routers {
		if to != from && (action.Peer < 0 || action.Peer == to) {
			f.gossipBytes += len(action.Data)
			f.schedule(f.now+10*ms, to, Event{Kind: GossipEvent, Peer: from, Data: action.Data})
		}
	}
}

// request passes a new request to a router.
func (f *routerFleet) request(router, class int) {
	f.lastRequest++
	f.classOf[routerRequest{router, f.lastRequest}] = class
	f.handle(router, Event{
		Kind:     RequestEvent,
		Request:  f.lastRequest,
		Class:    class,
		Group:    1,
		Deadline: f.now + f.routers[router].settings.Classes[class].Deadline,
	})
}

// run advances the clock, and passes a request of a class to a random router at each interval.
func (f *routerFleet) run(duration int64, class int, interval int64) {
	end := f.now + duration
	for at := f.now; ; at += interval {
		f.handleUntil(min(at, end))
		f.now = min(at, end)
		if at >= end {
			return
		}
		f.request(int(f.rand.Below(int64(len(f.routers)))), class)
	}
}

// handleUntil passes the events that are due.
func (f *routerFleet) handleUntil(end int64) {
	for len(f.events) > 0 && f.events[0].at <= end {
		next := f.events[0]
		f.events = f.events[1:]
		f.now = max(f.now, next.at)
		if next.event.Kind == OutcomeEvent || next.event.Kind == HealthCheckEvent {
			f.fillAnswer(&next.event)
		}
		f.handle(next.router, next.event)
	}
}

// fillAnswer sets the role and position of the host at the time of its answer.
func (f *routerFleet) fillAnswer(event *Event) {
	if !event.Result.Answered() {
		return
	}
	event.Role = f.roleOf(event.Host)
	event.Position = f.now
	if event.Role != Primary {
		event.Position -= f.replicationLag
	}
	event.Report = HostReport{
		HasPosition: true,
		HasRole:     true,
		Position:    event.Position,
		Primary:     event.Role == Primary,
	}
}
