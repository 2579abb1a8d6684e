package balance

import "testing"

const ms = int64(1000) // µs

// testStart is the time at which every test starts: late enough for earlier log positions to be positive.
const testStart = 1000 * 1000 * ms

// The classes of testSettings.
const (
	boundedRead = iota
	sessionRead
	unsafeWrite
	keyedWrite
	eventualRead
	linearizableRead
	keyedGlobalWrite
)

func testClasses() []Class {
	return []Class{
		boundedRead: {
			LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1, LatePriorityWeight: 0.2,
			Consistency: BoundedStaleness, MaxStaleness: 1000 * ms,
		},
		sessionRead: {
			LatencyObjective: 200 * ms, Deadline: 500 * ms, PriorityWeight: 3,
			Consistency: ReadYourWrites,
		},
		unsafeWrite: {
			LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3, LatePriorityWeight: 0.3,
			Consistency: Write, RetrySafety: NonIdempotent,
		},
		keyedWrite: {
			LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3, LatePriorityWeight: 0.3,
			Consistency: Write, RetrySafety: IdempotencyKey,
			DeduplicationScope: ScopeGroup, DeduplicationWindow: 2000 * ms,
		},
		eventualRead: {
			LatencyObjective: 300 * ms, Deadline: 1000 * ms, PriorityWeight: 1,
			Consistency: Eventual,
		},
		linearizableRead: {
			LatencyObjective: 300 * ms, Deadline: 1000 * ms, PriorityWeight: 1,
			Consistency: Linearizable,
		},
		keyedGlobalWrite: {
			LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3,
			Consistency: Write, RetrySafety: IdempotencyKey,
			DeduplicationScope: ScopeGlobal, DeduplicationWindow: 2000 * ms,
		},
	}
}

func testSettings() Settings {
	return Settings{
		TickInterval:            5 * ms,
		HealthChecks:            true,
		Cancellation:            true,
		MaxRetryAfter:           500 * ms,
		MaxAttempts:             6,
		DialTimeout:             250 * ms,
		RequestsCarrySessionAge: true,
		SlowStartInitialShare:   0.2,
		SlowStartDuration:       15000 * ms,
		SlowStartOverloadFactor: 2.5,
		SlowStartOverloadWindow: 2000 * ms,
		Classes:                 testClasses(),
	}
}

// longReadSettings describe a deployment whose eventual reads take fifteen times the work of other requests.
func longReadSettings() Settings {
	settings := testSettings()
	settings.HostsCheckStaleness = true
	settings.Gateways = 3
	settings.Classes[eventualRead].LatencyObjective = 6000 * ms
	settings.Classes[eventualRead].Deadline = 12000 * ms
	return settings
}

// threeHosts is the endpoint list of one group: a is the primary, b and c are its replicas.
func threeHosts() []Endpoint {
	return []Endpoint{
		{Host: "a", State: Ready, Weight: 1, Primary: true},
		{Host: "b", State: Ready, Weight: 1},
		{Host: "c", State: Ready, Weight: 1},
	}
}

// threeUnmarkedHosts is the list threeHosts with no host marked as primary.
func threeUnmarkedHosts() []Endpoint {
	endpoints := threeHosts()
	endpoints[0].Primary = false
	return endpoints
}

// routerRig passes events to a router, and holds the clock and the actions of the last event.
type routerRig struct {
	router      *Router
	now         int64
	actions     []Action
	lastRequest int64
	attempts    map[int64]int // number of ended attempts of each request
}

func newRig(t *testing.T, settings Settings, endpoints ...Endpoint) *routerRig {
	t.Helper()
	return newSeededRig(t, settings, 7, endpoints...)
}

func newSeededRig(t *testing.T, settings Settings, seed uint64, endpoints ...Endpoint) *routerRig {
	t.Helper()
	router, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	rig := &routerRig{router: router, now: testStart, attempts: map[int64]int{}}
	rig.listAll(endpoints...)
	return rig
}

// readyRig returns a rig of threeHosts, all of which have just reported a current position.
func readyRig(t *testing.T, settings Settings) *routerRig {
	t.Helper()
	rig := newRig(t, settings, threeHosts()...)
	rig.reportAll(rig.now)
	return rig
}

func (rig *routerRig) host(id string) *hostState { return rig.router.hosts[id] }

func (rig *routerRig) class(index int) *Class { return &rig.router.settings.Classes[index] }

func (rig *routerRig) handle(event Event) []Action {
	rig.actions = rig.router.Handle(rig.now, event, nil)
	return rig.actions
}

// listAll passes a complete endpoint list, and list passes a partial one.
func (rig *routerRig) listAll(endpoints ...Endpoint) {
	rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: endpoints})
}

func (rig *routerRig) list(endpoints ...Endpoint) []Action {
	return rig.handle(Event{Kind: EndpointsEvent, Endpoints: endpoints})
}

// advance moves the clock by a duration, runs maintenance at each interval, and returns all actions.
func (rig *routerRig) advance(duration int64) []Action {
	var all []Action
	for end := rig.now + duration; rig.now < end; {
		rig.now += rig.router.maintenanceInterval()
		all = append(all, rig.handle(Event{Kind: TimerEvent})...)
	}
	return all
}

// request passes a new request of a class and returns its id.
func (rig *routerRig) request(class int) (int64, []Action) { return rig.requestAs(class, 0, 0) }

// requestAs passes a new request of a session (0: none) whose last write has the given age (0: none).
func (rig *routerRig) requestAs(class int, session, writeAge int64) (int64, []Action) {
	rig.lastRequest++
	return rig.lastRequest, rig.handle(Event{
		Kind:            RequestEvent,
		Request:         rig.lastRequest,
		Class:           class,
		SessionKey:      session,
		HasSession:      session != 0,
		SessionWriteAge: writeAge,
		Deadline:        rig.now + rig.class(class).Deadline,
	})
}

// answer ends the attempt in flight of a request. The result Succeeded also finishes the request.
func (rig *routerRig) answer(id int64, host string, result Result, role Role, position int64) []Action {
	attempt := rig.attempts[id]
	rig.attempts[id]++
	return rig.handle(Event{
		Kind:     OutcomeEvent,
		Request:  id,
		Attempt:  attempt,
		Host:     host,
		Result:   result,
		Role:     role,
		Position: position,
		Latency:  20 * ms,
		Finished: result == Succeeded,
	})
}

// disconnect passes the disconnection of a request's client.
func (rig *routerRig) disconnect(id int64) []Action {
	return rig.handle(Event{Kind: ClientDisconnectedEvent, Request: id})
}

// endCheck passes the result of a health check without a report.
func (rig *routerRig) endCheck(host string, result Result) []Action {
	return rig.handle(Event{Kind: HealthCheckEvent, Host: host, Result: result, Latency: 20 * ms})
}

// report passes a successful health check with a host's report of itself.
func (rig *routerRig) report(host string, primary bool, position int64) []Action {
	return rig.handle(Event{
		Kind:    HealthCheckEvent,
		Host:    host,
		Result:  Succeeded,
		Latency: 2 * ms,
		Report:  HostReport{HasPosition: true, Position: position, HasRole: true, Primary: primary},
	})
}

// reportAll passes reports of threeHosts: a is the primary, and b and c have applied their logs up to
// position.
func (rig *routerRig) reportAll(position int64) {
	rig.report("a", true, rig.now)
	rig.report("b", false, position)
	rig.report("c", false, position)
}

const anyRequest = -1 // matches any request in findAction

// sendReads passes n reads of a class at an interval, answers each at once, and returns the number that each
// host got.
func (rig *routerRig) sendReads(class, n int, interval int64) map[string]int {
	sent := map[string]int{}
	for range n {
		rig.now += interval
		id, actions := rig.request(class)
		host := sentTo(actions, id)
		sent[host]++
		rig.answer(id, host, Succeeded, Replica, rig.now)
	}
	return sent
}

// findAction returns the first action of a kind for a request, or nil.
func findAction(actions []Action, kind ActionKind, id int64) *Action {
	for i := range actions {
		if actions[i].Kind == kind && (id == anyRequest || actions[i].Request == id) {
			return &actions[i]
		}
	}
	return nil
}

func hasAction(actions []Action, kind ActionKind, id int64) bool {
	return findAction(actions, kind, id) != nil
}

// hasCheck reports whether there is any health check among actions.
func hasCheck(actions []Action) bool { return hasAction(actions, HealthCheckAction, anyRequest) }

// sentTo returns the host that a request was sent to; "" if it was not sent.
func sentTo(actions []Action, id int64) string {
	if action := findAction(actions, SendAction, id); action != nil {
		return action.Host
	}
	return ""
}
