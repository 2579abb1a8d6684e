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

// answers hashes what a module answers. The texts of log lines are left out, since they may be worded anew.
type answers struct{ *golden.Hash }

func (a answers) action(action balance.Action) {
	a.Numbers(int64(action.Kind), action.Request, action.Timeout, action.RetryAfter, int64(action.Attempt), action.At,
		action.Token, int64(action.Peer))
	a.Text(action.Host)
	a.Text(string(action.Data))
	a.Bool(action.Text != "")
}

func (a answers) facts(facts balance.Snapshot) {
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

// mood is how a host of the storm fares.
type mood int

const (
	well mood = iota
	lagging
	slow
	failing
	full
	refusing
	dead
	moods
)

type worldHost struct {
	entry balance.Endpoint
	mood  mood
}

// world is what the routers of a storm look at.
type world struct {
	random    *rand.Rand
	now       int64
	hosts     []*worldHost
	primaries map[int64]string
	answers   answers
	players   []*player
	requests  int64
	classes   []balance.Class
}

// attempt is one that is out.
type attempt struct {
	request, sentAt int64
	number, class   int
	host            string
}

// player is one router with what it waits for.
type player struct {
	router   *balance.Router
	ordinal  int
	attempts []attempt
	sends    map[int64]int
	classOf  map[int64]int
	open     []int64
	probes   []string
	told     [][]byte
	facts    balance.Snapshot
}

// view is what a fleet has agreed on.
type view struct{ shares []float64 }

func (v view) ReadShare(zone int) float64 { return v.shares[zone] }

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

func (w *world) odds(part float64) bool { return w.random.Float64() < part }

func (w *world) anyHost() *worldHost { return w.hosts[w.random.IntN(len(w.hosts))] }

func (w *world) hostNamed(name string) *worldHost {
	i := slices.IndexFunc(w.hosts, func(h *worldHost) bool { return h.entry.Host == name })
	return w.hosts[i]
}

// addHost lets a host appear; the list marks the first of a group as its primary.
func (w *world) addHost() {
	n := len(w.hosts)
	group := int64(n%3 + 1)
	name := "host" + strconv.Itoa(n)
	if w.primaries[group] == "" {
		w.primaries[group] = name
	}
	w.hosts = append(w.hosts, &worldHost{entry: balance.Endpoint{Host: name, Zone: n / 3 % 3, Group: group, Kind: n % 2,
		State: balance.Ready, Primary: n < 3, Weight: 1}})
}

func newWorld(set balance.Settings, seed uint64, ordinals []int) *world {
	w := &world{random: rand.New(rand.NewPCG(2024, seed)), now: 1_700_000_000_000_000, primaries: map[int64]string{},
		answers: answers{golden.NewHash()}, classes: set.Classes}
	for range 15 {
		w.addHost()
	}
	for i, ordinal := range ordinals {
		set.Ordinal = ordinal
		router, err := balance.New(set, seed*100+uint64(i))
		if err != nil {
			panic(err)
		}
		w.players = append(w.players, &player{router: router, ordinal: ordinal, sends: map[int64]int{}, classOf: map[int64]int{}})
	}
	return w
}

// take writes down what a router answered and does it.
func (w *world) take(p *player, actions []balance.Action) {
	w.answers.Numbers(int64(p.ordinal), int64(len(actions)))
	for _, action := range actions {
		w.answers.action(action)
		switch action.Kind {
		case balance.SendAction:
			p.attempts = append(p.attempts, attempt{action.Request, w.now, p.sends[action.Request], p.classOf[action.Request], action.Host})
			p.sends[action.Request]++
		case balance.RejectAction, balance.FailAction:
			p.open = slices.DeleteFunc(p.open, func(id int64) bool { return id == action.Request })
		case balance.HealthCheckAction:
			p.probes = append(p.probes, action.Host)
		case balance.GossipAction:
			p.told = append(p.told, slices.Clone(action.Data))
		}
	}
}

func (w *world) handle(p *player, event balance.Event) { w.take(p, p.router.Handle(w.now, event, nil)) }

// list tells of all hosts or of some, or that asking failed.
func (w *world) list(p *player) {
	event := balance.Event{Kind: balance.EndpointsEvent, Complete: w.odds(0.5), PollFailed: w.odds(0.25)}
	for _, host := range w.hosts {
		if event.Complete && w.odds(0.97) || w.odds(0.3) {
			event.Endpoints = append(event.Endpoints, host.entry)
		}
	}
	w.handle(p, event)
}

func (w *world) request(p *player) {
	w.requests++
	event := balance.Event{Kind: balance.RequestEvent, Request: w.requests, Class: w.random.IntN(len(w.classes)),
		Group: int64(w.random.IntN(3) + 1), Key: int64(w.random.IntN(5)), HasKey: w.odds(0.7), WorkHint: int64(w.random.IntN(2) * 50e3)}
	if w.odds(0.5) {
		event.SessionWriteAge = int64(w.random.IntN(400e3)) - 50e3
	}
	event.Deadline = w.now + w.classes[event.Class].Deadline
	switch w.random.IntN(60) {
	case 0:
		event.Deadline = w.now + 10e3 // its client leaves at once
	case 1:
		event.Group = 99
	case 2:
		event.Class = []int{-1, len(w.classes)}[w.random.IntN(2)]
	}
	p.classOf[event.Request] = event.Class
	p.open = append(p.open, event.Request)
	w.handle(p, event)
}

func (w *world) position(h *worldHost) int64 {
	if h.mood == lagging {
		return w.now - 1e6 - int64(w.random.IntN(1e6))
	}
	return w.now - int64(w.random.IntN(80e3))
}

func (w *world) report(h *worldHost) balance.HostReport {
	return balance.HostReport{HasPosition: w.odds(0.8), HasRole: w.odds(0.6), Position: w.position(h),
		Primary: w.primaries[h.entry.Group] == h.entry.Host}
}

// result is how an attempt at a host, or a probe, ends.
func (w *world) result(h *worldHost) balance.Result {
	if w.odds(0.02) {
		return balance.Result(w.random.IntN(int(balance.NotPrimary) + 1))
	}
	choices := map[mood][]balance.Result{
		well: {balance.Succeeded}, lagging: {balance.Succeeded, balance.Succeeded, balance.NotPrimary}, slow: {balance.Succeeded, balance.TimedOut},
		failing: {balance.Failed, balance.Failed, balance.Succeeded}, full: {balance.Overloaded, balance.Succeeded},
		refusing: {balance.ConnectionRefused, balance.ConnectionRefused, balance.Succeeded}, dead: {balance.ConnectionRefused, balance.ConnectionReset, balance.TimedOut}}[h.mood]
	return choices[w.random.IntN(len(choices))]
}

// outcome ends an attempt that is out; some come twice, so that the second is late.
func (w *world) outcome(p *player) {
	if len(p.attempts) == 0 {
		return
	}
	i := w.random.IntN(len(p.attempts))
	a := p.attempts[i]
	host := w.hostNamed(a.host)
	if (host.mood == slow || host.mood == dead) && w.now-a.sentAt < 400e3 && w.odds(0.9) {
		return
	}
	if w.odds(0.97) {
		p.attempts = slices.Delete(p.attempts, i, i+1)
	}
	event := balance.Event{Kind: balance.OutcomeEvent, Request: a.request, Attempt: a.number, Host: a.host, Result: w.result(host),
		Latency: min(w.now-a.sentAt, int64(5e3+w.random.IntN(60e3)))}
	primary := w.primaries[host.entry.Group] == a.host
	if a.class >= 0 && a.class < len(w.classes) && w.classes[a.class].Consistency == balance.Write && !primary && event.Result == balance.Succeeded {
		event.Result = balance.NotPrimary
	}
	if host.mood == slow {
		event.Latency = w.now - a.sentAt
	}
	if event.Result.Answered() && w.odds(0.8) {
		event.Position, event.Report, event.Role = w.position(host), w.report(host), balance.Replica
		if primary != w.odds(0.03) { // and some answers contradict others
			event.Role = balance.Primary
		}
	}
	event.Finished = event.Result == balance.Succeeded && w.odds(0.95) || event.Result == balance.Failed && w.odds(0.3) || w.odds(0.02)
	if w.odds(0.005) {
		event.Host = "nobody"
	}
	w.handle(p, event)
}

func (w *world) gone(p *player) {
	if len(p.open) > 0 {
		w.handle(p, balance.Event{Kind: balance.ClientDisconnectedEvent, Request: p.open[max(0, len(p.open)-1-w.random.IntN(20))]})
	}
}

func (w *world) probed(p *player) {
	if len(p.probes) == 0 {
		return
	}
	name := p.probes[0]
	if p.probes = p.probes[1:]; w.odds(0.05) {
		return // lost for good
	}
	host := w.hostNamed(name)
	event := balance.Event{Kind: balance.HealthCheckEvent, Host: name, Result: w.result(host), Latency: int64(1e3 + w.random.IntN(20e3))}
	if event.Result.Answered() {
		event.Report = w.report(host)
	}
	if w.odds(0.01) {
		event.Host = "nobody"
	}
	w.handle(p, event)
}

// tell passes a message of one router on to another, whole or garbled.
func (w *world) tell(p *player) {
	from := w.players[w.random.IntN(len(w.players))]
	event := balance.Event{Kind: balance.GossipEvent, Peer: from.ordinal, Data: []byte{3, 1, 2}}
	if len(from.told) > 0 {
		event.Data = slices.Clone(from.told[max(0, len(from.told)-1-w.random.IntN(3))])
	}
	if w.odds(0.1) {
		event.Data[w.random.IntN(len(event.Data))] ^= byte(1 + w.random.IntN(255))
	}
	w.handle(p, event)
}

// ask calls what is not an event.
func (w *world) ask(p *player) {
	switch w.random.IntN(4) {
	case 0:
		for _, a := range p.attempts {
			w.answers.Bool(p.router.AttemptStillValid(w.now, a.request))
		}
		w.answers.Bool(p.router.AttemptStillValid(w.now, -1))
	case 1:
		p.facts = p.router.Snapshot()
		w.answers.facts(p.facts)
	case 2:
		facts := w.players[w.random.IntN(len(w.players))].facts
		w.take(p, p.router.Restore(w.now, facts, nil))
	case 3:
		if w.odds(0.3) {
			p.router.SetZoneShares(nil)
		} else {
			p.router.SetZoneShares(view{[]float64{w.random.Float64(), 1, float64(w.random.IntN(2))}})
		}
	}
}

// change lets something become of a host.
func (w *world) change() {
	host := w.anyHost()
	switch w.random.IntN(10) {
	case 0:
		host.entry.State = balance.EndpointState(w.random.IntN(3))
	case 1:
		host.entry.StartedAt, host.mood = w.now-int64(w.random.IntN(2e6))+200e3, well
	case 2:
		w.primaries[host.entry.Group] = host.entry.Host
	case 3:
		if len(w.hosts) < 24 {
			w.addHost()
		}
	case 4, 5:
		host.mood = mood(w.random.IntN(int(moods)))
	default:
		host.mood = well
		host.entry.State = balance.Ready
	}
}

// restart has a fresh router go on in place of a player's, with what the old one knew.
func (w *world) restart(p *player, set balance.Settings) {
	facts := p.router.Snapshot()
	for i := range facts.Hosts {
		facts.Hosts[i].ConcurrencyLimit *= 4 // more than is believed at once
	}
	set.Ordinal = p.ordinal
	router, err := balance.New(set, uint64(w.requests))
	if err != nil {
		panic(err)
	}
	*p = player{router: router, ordinal: p.ordinal, sends: map[int64]int{}, classOf: map[int64]int{}, facts: facts}
	event := balance.Event{Kind: balance.EndpointsEvent, Complete: true}
	for _, host := range w.hosts {
		event.Endpoints = append(event.Endpoints, host.entry)
	}
	w.handle(p, event)
	w.take(p, p.router.Restore(w.now, facts, nil))
}

// step plays one event.
func (w *world) step(busy float64) {
	if w.odds(0.8) { // some come at one moment
		w.now += int64(w.random.IntN(7e3))
	}
	p := w.players[w.random.IntN(len(w.players))]
	draw := w.random.Float64()
	switch {
	case draw < 0.30*busy:
		w.request(p)
	case draw < 0.65:
		w.outcome(p)
	case draw < 0.80:
		w.handle(p, balance.Event{Kind: balance.TimerEvent})
	case draw < 0.90:
		w.probed(p)
	case draw < 0.94:
		w.tell(p)
	case draw < 0.96:
		w.ask(p)
	case draw < 0.97:
		w.gone(p)
	case draw < 0.98:
		w.list(p)
	case draw < 0.998:
		w.change()
	default:
		w.now += int64(w.random.IntN(2e6)) // nothing happens for a while
	}
}

// storm plays thousands of events, calm and busy hours, a long silence, and a restart of each router.
func storm(set balance.Settings, seed uint64, ordinals []int) string {
	set.Classes = allClasses()
	w := newWorld(set, seed, ordinals)
	for _, p := range w.players {
		w.list(p)
	}
	for part := range 8 {
		for range 1500 {
			w.step([]float64{1, 0.5, 2, 0.1}[part%4])
		}
		if part == 3 {
			w.now += 40e6
		}
		if part == 5 {
			for _, p := range w.players {
				w.restart(p, set)
			}
		}
	}
	return w.answers.String()
}

// The same events always give the same actions, and those that were given when the golden file was written.
func TestDecisionsStayTheSame(t *testing.T) {
	base := balance.Settings{Zone: 1, TickInterval: 5e3, MaxRetryAfter: 2e6, MaxAttempts: 3, DialTimeout: 100e3, GossipBytesPerRequest: 30,
		SlowStartInitialShare: 0.1, SlowStartDuration: 3e6, SlowStartOverloadFactor: 2, SlowStartOverloadWindow: 2e6}
	with := func(change func(set *balance.Settings)) balance.Settings {
		set := base
		change(&set)
		return set
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
		lines = append(lines, s.name+" "+storm(s.set, uint64(i), s.ordinals))
	}
	golden.CheckLines(t, goldenFile, lines)
}

// Settings that no router can go by are turned away.
func TestSettingsTurnedAway(t *testing.T) {
	good := balance.Settings{TickInterval: 1, MaxAttempts: 1, Classes: []balance.Class{{LatencyObjective: 1, Deadline: 1}}}
	for i, bad := range []func(set *balance.Settings){
		func(set *balance.Settings) { set.TickInterval = 0 },
		func(set *balance.Settings) { set.MaxAttempts = 0 },
		func(set *balance.Settings) { set.Classes = []balance.Class{{Deadline: 1}} },
		func(set *balance.Settings) { set.Classes = []balance.Class{{LatencyObjective: 1}} },
	} {
		set := good
		bad(&set)
		if _, err := balance.New(set, 1); err == nil {
			t.Errorf("settings %d were taken", i)
		}
	}
}
