package balance_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/golden"
)

// This file holds the decisions of the module as they are: a storm of events, always the same one, is played
// on routers, and a hash of all that they answer is compared with the one in testdata/decisions.txt. A change
// that is to leave all decisions alone leaves the hashes alone. One that means to change decisions runs the
// test with -update and says why.

const goldenFile = "decisions.txt"

// actionHash hashes what a module answers. The texts of log lines are left out, since they may be worded
// anew.
type actionHash struct{ *golden.Hash }

func (a actionHash) action(action balance.Action) {
	a.Numbers(int64(action.Kind), action.Request, action.Timeout, action.RetryAfter, int64(action.Attempt), action.At,
		action.Token, int64(action.Peer))
	a.Text(action.Host)
	a.Text(string(action.Data))
	a.Bool(action.Text != "")
}

func (a actionHash) snapshot(facts balance.Snapshot) {
	a.Numbers(facts.SessionFloor, int64(len(facts.Groups)), int64(len(facts.Hosts)))
	for _, group := range facts.Groups {
		a.Numbers(group.Group, group.ObservedAt)
		a.Text(group.Primary)
	}
	for _, host := range facts.Hosts {
		a.Text(host.Host)
		a.Numbers(host.Group, host.Position, host.PositionAt, host.SlowStartUntil)
		a.Bool(host.Primary)
		a.Bool(host.Down)
		a.Float(host.ConcurrencyLimit)
	}
}

// condition is how a host of the storm fares.
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

type simulatedHost struct {
	endpoint  balance.Endpoint
	condition condition
}

// simulation is what the routers of a storm look at.
type simulation struct {
	random    *rand.Rand
	now       int64
	hosts     []*simulatedHost
	primaries map[int64]string
	hash      actionHash
	players   []*gatewayPlayer
	requests  int64
	classes   []balance.Class
}

// attempt is one that is out.
type attempt struct {
	request, sentAt int64
	number, class   int
	host            string
}

// gatewayPlayer is one router with what it waits for.
type gatewayPlayer struct {
	router       *balance.Router
	ordinal      int
	attempts     []attempt
	sends        map[int64]int
	classOf      map[int64]int
	unanswered   []int64
	healthChecks []string
	gossip       [][]byte
	snapshot     balance.Snapshot
}

// zoneShareList is what a fleet has agreed on.
type zoneShareList struct{ shares []float64 }

func (v zoneShareList) ReadShare(zone int) float64 { return v.shares[zone] }

// allClasses has a class for each need with each way of repeating, and dear ones that take long.
func allClasses() (classes []balance.Class) {
	repeats := []balance.Class{{RetrySafety: balance.Idempotent}, {RetrySafety: balance.NonIdempotent}, {RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeGlobal},
		{RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeZone}, {RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeGroup}}
	for _, need := range []balance.Consistency{balance.Eventual, balance.BoundedStaleness, balance.ReadYourWrites, balance.Linearizable, balance.Write} {
		for i, class := range repeats {
			class.Consistency, class.DeduplicationWindow, class.MaxStaleness = need, 400e3, 300e3
			class.LatencyObjective, class.Deadline, class.PriorityWeight = int64(60e3*(1+i%3)), int64(600e3*(1+i%2)), float64(1+i%4)
			class.ObjectivePerWork, class.LatePriorityWeight = float64(i%2), 0.3*float64(i%2)
			classes = append(classes, class)
		}
	}
	return append(classes, balance.Class{LatencyObjective: 2e6, Deadline: 4e6, PriorityWeight: 3, Consistency: balance.Eventual})
}

func (sim *simulation) chance(part float64) bool { return sim.random.Float64() < part }

func (sim *simulation) randomHost() *simulatedHost { return sim.hosts[sim.random.IntN(len(sim.hosts))] }

func (sim *simulation) hostNamed(name string) *simulatedHost {
	i := slices.IndexFunc(sim.hosts, func(h *simulatedHost) bool { return h.endpoint.Host == name })
	return sim.hosts[i]
}

// addHost lets a host appear; the list marks the first of a group as its primary.
func (sim *simulation) addHost() {
	n := len(sim.hosts)
	group := int64(n%3 + 1)
	name := "host" + strconv.Itoa(n)
	if sim.primaries[group] == "" {
		sim.primaries[group] = name
	}
	sim.hosts = append(sim.hosts, &simulatedHost{endpoint: balance.Endpoint{Host: name, Zone: n / 3 % 3, Group: group, Kind: n % 2,
		State: balance.Ready, Primary: n < 3, Weight: 1}})
}

func newSimulation(settings balance.Settings, seed uint64, ordinals []int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(2024, seed)), now: 1_700_000_000_000_000, primaries: map[int64]string{},
		hash: actionHash{golden.NewHash()}, classes: settings.Classes}
	for range 15 {
		sim.addHost()
	}
	for i, ordinal := range ordinals {
		settings.Ordinal = ordinal
		router, err := balance.New(settings, seed*100+uint64(i))
		if err != nil {
			panic(err)
		}
		sim.players = append(sim.players, &gatewayPlayer{router: router, ordinal: ordinal, sends: map[int64]int{}, classOf: map[int64]int{}})
	}
	return sim
}

// apply writes down what a router answered and does it.
func (sim *simulation) apply(gateway *gatewayPlayer, actions []balance.Action) {
	sim.hash.Numbers(int64(gateway.ordinal), int64(len(actions)))
	for _, action := range actions {
		sim.hash.action(action)
		switch action.Kind {
		case balance.SendAction:
			gateway.attempts = append(gateway.attempts, attempt{action.Request, sim.now, gateway.sends[action.Request], gateway.classOf[action.Request], action.Host})
			gateway.sends[action.Request]++
		case balance.RejectAction, balance.FailAction:
			gateway.unanswered = slices.DeleteFunc(gateway.unanswered, func(id int64) bool { return id == action.Request })
		case balance.HealthCheckAction:
			gateway.healthChecks = append(gateway.healthChecks, action.Host)
		case balance.GossipAction:
			gateway.gossip = append(gateway.gossip, slices.Clone(action.Data))
		}
	}
}

func (sim *simulation) handle(gateway *gatewayPlayer, event balance.Event) {
	sim.apply(gateway, gateway.router.Handle(sim.now, event, nil))
}

// sendEndpoints tells of all hosts or of some, or that asking failed.
func (sim *simulation) sendEndpoints(gateway *gatewayPlayer) {
	event := balance.Event{Kind: balance.EndpointsEvent, Complete: sim.chance(0.5), PollFailed: sim.chance(0.25)}
	for _, host := range sim.hosts {
		if event.Complete && sim.chance(0.97) || sim.chance(0.3) {
			event.Endpoints = append(event.Endpoints, host.endpoint)
		}
	}
	sim.handle(gateway, event)
}

func (sim *simulation) sendRequest(gateway *gatewayPlayer) {
	sim.requests++
	event := balance.Event{Kind: balance.RequestEvent, Request: sim.requests, Class: sim.random.IntN(len(sim.classes)),
		Group: int64(sim.random.IntN(3) + 1), Key: int64(sim.random.IntN(5)), HasKey: sim.chance(0.7), WorkHint: int64(sim.random.IntN(2) * 50e3)}
	if sim.chance(0.5) {
		event.SessionWriteAge = int64(sim.random.IntN(400e3)) - 50e3
	}
	event.Deadline = sim.now + sim.classes[event.Class].Deadline
	switch sim.random.IntN(60) {
	case 0:
		event.Deadline = sim.now + 10e3 // its client leaves at once
	case 1:
		event.Group = 99
	case 2:
		event.Class = []int{-1, len(sim.classes)}[sim.random.IntN(2)]
	}
	gateway.classOf[event.Request] = event.Class
	gateway.unanswered = append(gateway.unanswered, event.Request)
	sim.handle(gateway, event)
}

func (sim *simulation) position(h *simulatedHost) int64 {
	if h.condition == conditionLagging {
		return sim.now - 1e6 - int64(sim.random.IntN(1e6))
	}
	return sim.now - int64(sim.random.IntN(80e3))
}

func (sim *simulation) report(h *simulatedHost) balance.HostReport {
	return balance.HostReport{HasPosition: sim.chance(0.8), HasRole: sim.chance(0.6), Position: sim.position(h),
		Primary: sim.primaries[h.endpoint.Group] == h.endpoint.Host}
}

// result is how an attempt at a host, or a probe, ends.
func (sim *simulation) result(h *simulatedHost) balance.Result {
	if sim.chance(0.02) {
		return balance.Result(sim.random.IntN(int(balance.NotPrimary) + 1))
	}
	choices := map[condition][]balance.Result{
		conditionNormal: {balance.Succeeded}, conditionLagging: {balance.Succeeded, balance.Succeeded, balance.NotPrimary}, conditionSlow: {balance.Succeeded, balance.TimedOut},
		conditionFailing: {balance.Failed, balance.Failed, balance.Succeeded}, conditionOverloaded: {balance.Overloaded, balance.Succeeded},
		conditionRefusing: {balance.ConnectionRefused, balance.ConnectionRefused, balance.Succeeded}, conditionCrashed: {balance.ConnectionRefused, balance.ConnectionReset, balance.TimedOut}}[h.condition]
	return choices[sim.random.IntN(len(choices))]
}

// endAttempt ends an attempt that is out; some come twice, so that the second is late.
func (sim *simulation) endAttempt(gateway *gatewayPlayer) {
	if len(gateway.attempts) == 0 {
		return
	}
	i := sim.random.IntN(len(gateway.attempts))
	a := gateway.attempts[i]
	host := sim.hostNamed(a.host)
	if (host.condition == conditionSlow || host.condition == conditionCrashed) && sim.now-a.sentAt < 400e3 && sim.chance(0.9) {
		return
	}
	if sim.chance(0.97) {
		gateway.attempts = slices.Delete(gateway.attempts, i, i+1)
	}
	event := balance.Event{Kind: balance.OutcomeEvent, Request: a.request, Attempt: a.number, Host: a.host, Result: sim.result(host),
		Latency: min(sim.now-a.sentAt, int64(5e3+sim.random.IntN(60e3)))}
	primary := sim.primaries[host.endpoint.Group] == a.host
	if a.class >= 0 && a.class < len(sim.classes) && sim.classes[a.class].Consistency == balance.Write && !primary && event.Result == balance.Succeeded {
		event.Result = balance.NotPrimary
	}
	if host.condition == conditionSlow {
		event.Latency = sim.now - a.sentAt
	}
	if event.Result.Answered() && sim.chance(0.8) {
		event.Position, event.Report, event.Role = sim.position(host), sim.report(host), balance.Replica
		if primary != sim.chance(0.03) { // and some answers contradict others
			event.Role = balance.Primary
		}
	}
	event.Finished = event.Result == balance.Succeeded && sim.chance(0.95) || event.Result == balance.Failed && sim.chance(0.3) || sim.chance(0.02)
	if sim.chance(0.005) {
		event.Host = "nobody"
	}
	sim.handle(gateway, event)
}

func (sim *simulation) disconnectClient(gateway *gatewayPlayer) {
	if len(gateway.unanswered) > 0 {
		sim.handle(gateway, balance.Event{Kind: balance.ClientDisconnectedEvent, Request: gateway.unanswered[max(0, len(gateway.unanswered)-1-sim.random.IntN(20))]})
	}
}

func (sim *simulation) answerHealthCheck(gateway *gatewayPlayer) {
	if len(gateway.healthChecks) == 0 {
		return
	}
	name := gateway.healthChecks[0]
	if gateway.healthChecks = gateway.healthChecks[1:]; sim.chance(0.05) {
		return // lost for good
	}
	host := sim.hostNamed(name)
	event := balance.Event{Kind: balance.HealthCheckEvent, Host: name, Result: sim.result(host), Latency: int64(1e3 + sim.random.IntN(20e3))}
	if event.Result.Answered() {
		event.Report = sim.report(host)
	}
	if sim.chance(0.01) {
		event.Host = "nobody"
	}
	sim.handle(gateway, event)
}

// deliverGossip passes a message of one router on to another, whole or garbled.
func (sim *simulation) deliverGossip(gateway *gatewayPlayer) {
	from := sim.players[sim.random.IntN(len(sim.players))]
	event := balance.Event{Kind: balance.GossipEvent, Peer: from.ordinal, Data: []byte{3, 1, 2}}
	if len(from.gossip) > 0 {
		event.Data = slices.Clone(from.gossip[max(0, len(from.gossip)-1-sim.random.IntN(3))])
	}
	if sim.chance(0.1) {
		event.Data[sim.random.IntN(len(event.Data))] ^= byte(1 + sim.random.IntN(255))
	}
	sim.handle(gateway, event)
}

// callQueries calls what is not an event.
func (sim *simulation) callQueries(gateway *gatewayPlayer) {
	switch sim.random.IntN(4) {
	case 0:
		for _, a := range gateway.attempts {
			sim.hash.Bool(gateway.router.AttemptStillValid(sim.now, a.request))
		}
		sim.hash.Bool(gateway.router.AttemptStillValid(sim.now, -1))
	case 1:
		gateway.snapshot = gateway.router.Snapshot()
		sim.hash.snapshot(gateway.snapshot)
	case 2:
		facts := sim.players[sim.random.IntN(len(sim.players))].snapshot
		sim.apply(gateway, gateway.router.Restore(sim.now, facts, nil))
	case 3:
		if sim.chance(0.3) {
			gateway.router.SetZoneShares(nil)
		} else {
			gateway.router.SetZoneShares(zoneShareList{[]float64{sim.random.Float64(), 1, float64(sim.random.IntN(2))}})
		}
	}
}

// changeHost lets something become of a host.
func (sim *simulation) changeHost() {
	host := sim.randomHost()
	switch sim.random.IntN(10) {
	case 0:
		host.endpoint.State = balance.EndpointState(sim.random.IntN(3))
	case 1:
		host.endpoint.StartedAt, host.condition = sim.now-int64(sim.random.IntN(2e6))+200e3, conditionNormal
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

// restart has a fresh router go on in place of a player's, with what the old one knew.
func (sim *simulation) restart(gateway *gatewayPlayer, settings balance.Settings) {
	facts := gateway.router.Snapshot()
	for i := range facts.Hosts {
		facts.Hosts[i].ConcurrencyLimit *= 4 // more than is believed at once
	}
	settings.Ordinal = gateway.ordinal
	router, err := balance.New(settings, uint64(sim.requests))
	if err != nil {
		panic(err)
	}
	*gateway = gatewayPlayer{router: router, ordinal: gateway.ordinal, sends: map[int64]int{}, classOf: map[int64]int{}, snapshot: facts}
	event := balance.Event{Kind: balance.EndpointsEvent, Complete: true}
	for _, host := range sim.hosts {
		event.Endpoints = append(event.Endpoints, host.endpoint)
	}
	sim.handle(gateway, event)
	sim.apply(gateway, gateway.router.Restore(sim.now, facts, nil))
}

// step plays one event.
func (sim *simulation) step(busy float64) {
	if sim.chance(0.8) { // some come at one moment
		sim.now += int64(sim.random.IntN(7e3))
	}
	gateway := sim.players[sim.random.IntN(len(sim.players))]
	draw := sim.random.Float64()
	switch {
	case draw < 0.30*busy:
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
		sim.callQueries(gateway)
	case draw < 0.97:
		sim.disconnectClient(gateway)
	case draw < 0.98:
		sim.sendEndpoints(gateway)
	case draw < 0.998:
		sim.changeHost()
	default:
		sim.now += int64(sim.random.IntN(2e6)) // nothing happens for a while
	}
}

// playStorm plays thousands of events, calm and busy hours, a long silence, and a restart of each router.
func playStorm(settings balance.Settings, seed uint64, ordinals []int) string {
	settings.Classes = allClasses()
	sim := newSimulation(settings, seed, ordinals)
	for _, gateway := range sim.players {
		sim.sendEndpoints(gateway)
	}
	for part := range 8 {
		for range 1500 {
			sim.step([]float64{1, 0.5, 2, 0.1}[part%4])
		}
		if part == 3 {
			sim.now += 40e6
		}
		if part == 5 {
			for _, gateway := range sim.players {
				sim.restart(gateway, settings)
			}
		}
	}
	return sim.hash.String()
}

// The same events always give the same actions, and those that were given when the golden file was written.
func TestDecisionsStayTheSame(t *testing.T) {
	base := balance.Settings{Zone: 1, TickInterval: 5e3, MaxRetryAfter: 2e6, MaxAttempts: 3, DialTimeout: 100e3, GossipBytesPerRequest: 30,
		SlowStartInitialShare: 0.1, SlowStartDuration: 3e6, SlowStartOverloadFactor: 2, SlowStartOverloadWindow: 2e6}
	with := func(change func(set *balance.Settings)) balance.Settings {
		settings := base
		change(&settings)
		return settings
	}
	storms := []struct {
		name     string
		set      balance.Settings
		ordinals []int
	}{
		{"plain", base, []int{0}},
		{"probes", with(func(s *balance.Settings) {
			s.HealthChecks, s.Cancellation, s.MustSubscribe, s.Gateways = true, true, true, 1
		}), []int{0}},
		{"cross", with(func(s *balance.Settings) { s.HealthChecks, s.CrossZoneCost, s.OnlyDrainingExcludes = true, 0.5, true }), []int{0}},
		{"checked", with(func(s *balance.Settings) {
			s.HostsCheckStaleness, s.RequestsCarrySessionAge, s.Cancellation, s.MaxAttempts = true, true, true, 5
		}), []int{0}},
		{"few", with(func(s *balance.Settings) { s.Gateways, s.HealthChecks, s.MustSubscribe = 3, true, true }), []int{0, 1, 2}},
		{"many", with(func(s *balance.Settings) {
			s.Gateways, s.HealthChecks, s.HostsCheckStaleness, s.CrossZoneCost = 300, true, true, 1
		}), []int{7, 288}},
		{"unknown", with(func(s *balance.Settings) {
			s.Gateways, s.RequestsCarrySessionAge, s.TickInterval, s.SlowStartDuration = 300, true, 30e3, 0
		}), []int{-1}},
	}
	var lines []string
	for i, s := range storms {
		lines = append(lines, s.name+" "+playStorm(s.set, uint64(i), s.ordinals))
	}
	golden.CheckLines(t, goldenFile, lines)
}

// Settings that no router can go by are turned away.
func TestInvalidSettingsAreRejected(t *testing.T) {
	good := balance.Settings{TickInterval: 1, MaxAttempts: 1, Classes: []balance.Class{{LatencyObjective: 1, Deadline: 1}}}
	for i, bad := range []func(set *balance.Settings){
		func(set *balance.Settings) { set.TickInterval = 0 },
		func(set *balance.Settings) { set.MaxAttempts = 0 },
		func(set *balance.Settings) { set.Classes = []balance.Class{{Deadline: 1}} },
		func(set *balance.Settings) { set.Classes = []balance.Class{{LatencyObjective: 1}} },
	} {
		settings := good
		bad(&settings)
		if _, err := balance.New(settings, 1); err == nil {
			t.Errorf("settings %d were taken", i)
		}
	}
}
