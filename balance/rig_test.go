package balance

import "testing"

const ms = int64(1000)

// base is the clock at which every test starts: far enough from zero for positions to lie behind it.
const base = 1000 * 1000 * ms

func testSettings() Settings {
	return Settings{
		TickInterval: 5 * ms, HealthChecks: true, Cancellation: true, MaxRetryAfter: 500 * ms, MaxAttempts: 6, DialTimeout: 250 * ms,
		RequestsCarrySessionAge: true, SlowStartInitialShare: 0.2, SlowStartDuration: 15000 * ms, SlowStartOverloadFactor: 2.5, SlowStartOverloadWindow: 2000 * ms,
		Classes: []Class{
			boundedRead:      {LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1, LatePriorityWeight: 0.2, Consistency: BoundedStaleness, MaxStaleness: 1000 * ms},
			sessionRead:      {LatencyObjective: 200 * ms, Deadline: 500 * ms, PriorityWeight: 3, Consistency: ReadYourWrites},
			unsafeWrite:      {LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3, LatePriorityWeight: 0.3, RetrySafety: NonIdempotent, Consistency: Write},
			keyedWrite:       {LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3, LatePriorityWeight: 0.3, RetrySafety: IdempotencyKey, DeduplicationScope: ScopeGroup, DeduplicationWindow: 2000 * ms, Consistency: Write},
			eventualRead:     {LatencyObjective: 300 * ms, Deadline: 1000 * ms, PriorityWeight: 1, Consistency: Eventual},
			linearizableRead: {LatencyObjective: 300 * ms, Deadline: 1000 * ms, PriorityWeight: 1, Consistency: Linearizable},
			keyedGlobalWrite: {LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 3, RetrySafety: IdempotencyKey, DeduplicationScope: ScopeGlobal, DeduplicationWindow: 2000 * ms, Consistency: Write},
		},
	}
}

const (
	boundedRead = iota
	sessionRead
	unsafeWrite
	keyedWrite
	eventualRead
	linearizableRead
	keyedGlobalWrite
)

// routerRig drives a router and keeps what it did.
type routerRig struct {
	t           *testing.T
	router      *Router
	now         int64
	actions     []Action
	lastRequest int64
	attempts    map[int64]int
}

func newRig(t *testing.T, settings Settings, entries ...Endpoint) *routerRig {
	t.Helper()
	r, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	rig := &routerRig{t: t, router: r, now: base, attempts: map[int64]int{}}
	rig.handle(Event{Kind: EndpointsEvent, Complete: true, Endpoints: entries})
	return rig
}

func threeHosts() []Endpoint {
	return []Endpoint{
		{Host: "a", State: Ready, Weight: 1, Primary: true},
		{Host: "b", State: Ready, Weight: 1},
		{Host: "c", State: Ready, Weight: 1},
	}
}

// readyRig is a rig of the trio, all of whose members have just reported themselves up to date.
func readyRig(t *testing.T, settings Settings) *routerRig {
	t.Helper()
	rig := newRig(t, settings, threeHosts()...)
	rig.reportAll(rig.now)
	return rig
}

func (rig *routerRig) handle(ev Event) []Action {
	rig.actions = rig.router.Handle(rig.now, ev, nil)
	return rig.actions
}

// advance passes time with upkeep every period and returns all that the router did meanwhile.
func (rig *routerRig) advance(d int64) []Action {
	var all []Action
	for end := rig.now + d; rig.now < end; {
		rig.now += rig.router.maintenanceInterval()
		all = append(all, rig.handle(Event{Kind: TimerEvent})...)
	}
	return all
}

func (rig *routerRig) request(class int) (int64, []Action) { return rig.requestAs(class, 0, 0) }

func (rig *routerRig) requestAs(class int, key, since int64) (int64, []Action) {
	rig.lastRequest++
	return rig.lastRequest, rig.handle(Event{Kind: RequestEvent, Request: rig.lastRequest, Class: class, Key: key, HasKey: key != 0,
		SessionWriteAge: since, Deadline: rig.now + rig.router.settings.Classes[class].Deadline})
}

func (rig *routerRig) answer(id int64, host string, res Result, role Role, pos int64) []Action {
	try := rig.attempts[id]
	rig.attempts[id]++
	return rig.handle(Event{Kind: OutcomeEvent, Request: id, Attempt: try, Host: host, Result: res, Role: role,
		Position: pos, Latency: 20 * ms, Finished: res == Succeeded})
}

func (rig *routerRig) report(host string, primary bool, pos int64) []Action {
	return rig.handle(Event{Kind: HealthCheckEvent, Host: host, Result: Succeeded, Latency: 2 * ms,
		Report: HostReport{HasPosition: true, Position: pos, HasRole: true, Primary: primary}})
}

// reportAll answers for the trio: a is the primary, b and c have applied up to pos.
func (rig *routerRig) reportAll(pos int64) {
	rig.report("a", true, rig.now)
	rig.report("b", false, pos)
	rig.report("c", false, pos)
}

func findAction(actions []Action, kind ActionKind, id int64) *Action {
	for i := range actions {
		if actions[i].Kind == kind && (id < 0 || actions[i].Request == id) {
			return &actions[i]
		}
	}
	return nil
}

func sentTo(actions []Action, id int64) string {
	if a := findAction(actions, SendAction, id); a != nil {
		return a.Host
	}
	return ""
}

// unequalSettings is a deployment whose reads of any age take fifteen times the work of others.
func unequalSettings() Settings {
	settings := testSettings()
	settings.HostsCheckStaleness, settings.Gateways = true, 3
	settings.Classes[eventualRead].LatencyObjective, settings.Classes[eventualRead].Deadline = 6000*ms, 12000*ms
	return settings
}
