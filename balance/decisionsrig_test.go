package balance_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/golden"
)

// This file contains the simulation of decisions_test.go. The golden hashes depend on every random number:
// the number of draws and their order must not change.

// actionHash hashes the actions of a router. The texts of log lines are left out, so that they may be
// reworded.
type actionHash struct{ *golden.Hash }

func (h actionHash) action(action balance.Action) {
	h.Numbers(
		int64(action.Kind),
		action.Request,
		action.Timeout,
		action.RetryAfter,
		int64(action.Attempt),
		action.At,
		action.Token,
		int64(action.Peer),
	)
	h.Text(action.Host)
	h.Text(string(action.Data))
	h.Bool(action.Log != nil)
}

func (h actionHash) snapshot(snapshot balance.Snapshot) {
	h.Numbers(snapshot.SessionFloor, int64(len(snapshot.Groups)), int64(len(snapshot.Hosts)))
	for _, group := range snapshot.Groups {
		h.Numbers(group.Group, group.ObservedAt)
		h.Text(group.Primary)
	}
	for _, host := range snapshot.Hosts {
		h.Text(host.Host)
		h.Numbers(host.Group, host.Position, host.PositionAt, host.SlowStartUntil)
		h.Bool(host.Primary)
		h.Bool(host.Unhealthy)
		h.Float(host.ConcurrencyLimit)
	}
}

// condition is the state of a simulated host.
type condition int

const (
	conditionNormal condition = iota
	conditionLagging
	conditionSlow
	conditionFailing
	conditionOverloaded
	conditionRefusing
	conditionCrashed
	conditionCount
)

// resultsOf are the possible results of attempts and health checks in each condition.
var resultsOf = map[condition][]balance.Result{
	conditionNormal:     {balance.Succeeded},
	conditionLagging:    {balance.Succeeded, balance.Succeeded, balance.NotPrimary},
	conditionSlow:       {balance.Succeeded, balance.TimedOut},
	conditionFailing:    {balance.Failed, balance.Failed, balance.Succeeded},
	conditionOverloaded: {balance.Overloaded, balance.Succeeded},
	conditionRefusing:   {balance.ConnectionRefused, balance.ConnectionRefused, balance.Succeeded},
	conditionCrashed:    {balance.ConnectionRefused, balance.ConnectionReset, balance.TimedOut},
}

type simulatedHost struct {
	endpoint  balance.Endpoint
	condition condition
}

// simulation is a set of simulated hosts and the routers that use them.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	now       int64
	hosts     []*simulatedHost
	primaries map[int64]string
	hash      actionHash
	gateways  []*simulatedGateway
	requests  int64
	classes   []balance.Class
}

// simulatedAttempt is an attempt in flight.
type simulatedAttempt struct {
	request int64
	sentAt  int64
	number  int
	class   int
	host    string
}

// simulatedGateway is one router and its pending attempts, answers and health checks.
type simulatedGateway struct {
	router       *balance.Router
	ordinal      int
	attempts     []simulatedAttempt
	sends        map[int64]int // number of attempts sent for each request
	classOf      map[int64]int
	unanswered   []int64
	healthChecks []string
	gossip       [][]byte
	snapshot     balance.Snapshot
}

// zoneShareList gives the read share of each zone.
type zoneShareList []float64

func (z zoneShareList) ReadShare(zone int) float64 { return z[zone] }

// allClasses returns a class for each consistency with each kind of retry safety, and one class of long
// reads.
func allClasses() []balance.Class {
	safeties := []balance.Class{
		{RetrySafety: balance.Idempotent},
		{RetrySafety: balance.NonIdempotent},
		{RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeGlobal},
		{RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeZone},
		{RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeGroup},
	}
	consistencies := []balance.Consistency{
		balance.Eventual, balance.BoundedStaleness, balance.ReadYourWrites, balance.Linearizable,
		balance.Write,
	}
	var classes []balance.Class
	for _, consistency := range consistencies {
		for i, class := range safeties {
			class.Consistency = consistency
			class.DeduplicationWindow = 400e3
			class.MaxStaleness = 300e3
			class.LatencyObjective = int64(60e3 * (1 + i%3))
			class.Deadline = int64(600e3 * (1 + i%2))
			class.PriorityWeight = float64(1 + i%4)
			class.ObjectivePerWork = float64(i % 2)
			class.LatePriorityWeight = 0.3 * float64(i%2)
			classes = append(classes, class)
		}
	}
	long := balance.Class{
		LatencyObjective: 2e6, Deadline: 4e6, PriorityWeight: 3, Consistency: balance.Eventual,
	}
	return append(classes, long)
}

func newSimulation(t *testing.T, settings balance.Settings, seed uint64, ordinals []int) *simulation {
	t.Helper()
	sim := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(2024, seed)),
		now:       1_700_000_000_000_000,
		primaries: map[int64]string{},
		hash:      actionHash{golden.NewHash()},
		classes:   settings.Classes,
	}
	for range 15 {
		sim.addHost()
	}
	for i, ordinal := range ordinals {
		settings.Ordinal = ordinal
		sim.gateways = append(sim.gateways, sim.newGateway(settings, seed*100+uint64(i)))
	}
	return sim
}

func (sim *simulation) newGateway(settings balance.Settings, seed uint64) *simulatedGateway {
	sim.t.Helper()
	router, err := balance.New(settings, seed)
	if err != nil {
		sim.t.Fatal(err)
	}
	return &simulatedGateway{
		router:  router,
		ordinal: settings.Ordinal,
		sends:   map[int64]int{},
		classOf: map[int64]int{},
	}
}

func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

func (sim *simulation) randomGateway() *simulatedGateway {
	return sim.gateways[sim.random.IntN(len(sim.gateways))]
}

func (sim *simulation) hostNamed(name string) *simulatedHost {
	named := func(host *simulatedHost) bool { return host.endpoint.Host == name }
	return sim.hosts[slices.IndexFunc(sim.hosts, named)]
}

func (sim *simulation) isPrimary(host *simulatedHost) bool {
	return sim.primaries[host.endpoint.Group] == host.endpoint.Host
}

// addHost adds a host. The endpoint list marks the first host of each group as its primary.
func (sim *simulation) addHost() {
	n := len(sim.hosts)
	group := int64(n%3 + 1)
	name := "host" + strconv.Itoa(n)
	if sim.primaries[group] == "" {
		sim.primaries[group] = name
	}
	sim.hosts = append(sim.hosts, &simulatedHost{endpoint: balance.Endpoint{
		Host:    name,
		Zone:    n / 3 % 3,
		Group:   group,
		Kind:    n % 2,
		State:   balance.Ready,
		Primary: n < 3,
		Weight:  1,
	}})
}

// changeHost changes the state of a random host.
func (sim *simulation) changeHost() {
	host := sim.hosts[sim.random.IntN(len(sim.hosts))]
	switch sim.random.IntN(10) {
	case 0:
		host.endpoint.State = balance.EndpointState(sim.random.IntN(3))
	case 1:
		host.endpoint.StartedAt = sim.now - int64(sim.random.IntN(2e6)) + 200e3
		host.condition = conditionNormal
	case 2:
		sim.primaries[host.endpoint.Group] = host.endpoint.Host
	case 3:
		if len(sim.hosts) < 24 {
			sim.addHost()
		}
	case 4, 5:
		host.condition = condition(sim.random.IntN(int(conditionCount)))
	default:
		host.condition = conditionNormal
		host.endpoint.State = balance.Ready
	}
}

func (sim *simulation) handle(gateway *simulatedGateway, event balance.Event) {
	sim.apply(gateway, gateway.router.Handle(sim.now, event, nil))
}

// apply hashes the actions of a router and carries them out.
func (sim *simulation) apply(gateway *simulatedGateway, actions []balance.Action) {
	sim.hash.Numbers(int64(gateway.ordinal), int64(len(actions)))
	for _, action := range actions {
		sim.hash.action(action)
		switch action.Kind {
		case balance.SendAction:
			gateway.attempts = append(gateway.attempts, simulatedAttempt{
				request: action.Request,
				sentAt:  sim.now,
				number:  gateway.sends[action.Request],
				class:   gateway.classOf[action.Request],
				host:    action.Host,
			})
			gateway.sends[action.Request]++
		case balance.RejectAction, balance.FailAction:
			answered := func(id int64) bool { return id == action.Request }
			gateway.unanswered = slices.DeleteFunc(gateway.unanswered, answered)
		case balance.HealthCheckAction:
			gateway.healthChecks = append(gateway.healthChecks, action.Host)
		case balance.GossipAction:
			gateway.gossip = append(gateway.gossip, slices.Clone(action.Data))
		}
	}
}

// restart replaces the router of a gateway by a new one that restores a snapshot of the old one.
func (sim *simulation) restart(gateway *simulatedGateway, settings balance.Settings) {
	snapshot := gateway.router.Snapshot()
	for i := range snapshot.Hosts {
		snapshot.Hosts[i].ConcurrencyLimit *= 4 // more than Restore accepts
	}
	settings.Ordinal = gateway.ordinal
	*gateway = *sim.newGateway(settings, uint64(sim.requests))
	gateway.snapshot = snapshot
	sim.sendAllEndpoints(gateway)
	sim.apply(gateway, gateway.router.Restore(sim.now, snapshot, nil))
}

// step passes one event to a random gateway; requestRate scales the rate of requests.
func (sim *simulation) step(requestRate float64) {
	if sim.chance(0.8) { // some events have the same time
		sim.now += int64(sim.random.IntN(7e3))
	}
	gateway := sim.randomGateway()
	draw := sim.random.Float64()
	switch {
	case draw < 0.30*requestRate:
		sim.sendRequest(gateway)
	case draw < 0.65:
		sim.endAttempt(gateway)
	case draw < 0.80:
		sim.handle(gateway, balance.Event{Kind: balance.TimerEvent})
	case draw < 0.90:
		sim.answerHealthCheck(gateway)
	case draw < 0.94:
		sim.deliverGossip(gateway)
	case draw < 0.96:
		sim.callOtherMethods(gateway)
	case draw < 0.97:
		sim.disconnectClient(gateway)
	case draw < 0.98:
		sim.sendEndpoints(gateway)
	case draw < 0.998:
		sim.changeHost()
	default:
		sim.now += int64(sim.random.IntN(2e6)) // a time without events
	}
}

// simulateScenario simulates thousands of events at low and high request rates, a long pause, and a restart
// of each gateway. It returns a hash of all actions of the routers.
func simulateScenario(t *testing.T, settings balance.Settings, seed uint64, ordinals []int) string {
	t.Helper()
	settings.Classes = allClasses()
	sim := newSimulation(t, settings, seed, ordinals)
	for _, gateway := range sim.gateways {
		sim.sendEndpoints(gateway)
	}
	requestRates := []float64{1, 0.5, 2, 0.1}
	for part := range 8 {
		for range 1500 {
			sim.step(requestRates[part%len(requestRates)])
		}
		if part == 3 {
			sim.now += 40e6
		}
		if part == 5 {
			for _, gateway := range sim.gateways {
				sim.restart(gateway, settings)
			}
		}
	}
	return sim.hash.String()
}
