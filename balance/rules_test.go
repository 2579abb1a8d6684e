package balance

import (
	"reflect"
	"testing"

	"cloverrock/internal/random"
)

// This file passes random events to a router and checks these rules on every action: no attempt goes to an
// excluded host, a request has one attempt at a time, no unsafe retry is made, no read goes to a host whose
// known position does not satisfy it, every request gets one final answer in time, and a request is rejected
// only if trying again is harmless. An attempt is checked twice: when it is decided, and when it is written,
// which may be later, since its connection may have to be opened.

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 120; seed++ {
		settings := testSettings()
		settings.HostsCheckStaleness = seed%3 == 0
		settings.RequestsCarrySessionAge = seed%5 != 0
		playRandomEvents(t, settings, seed)
	}
}

func TestRulesHoldWithExtremeSettings(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.HealthChecks = false },
		func(s *Settings) { s.Cancellation = false },
		func(s *Settings) { s.MaxRetryAfter = 0 },
		func(s *Settings) { s.MaxAttempts = 1 },
		func(s *Settings) { s.Classes[boundedRead].MaxStaleness = 0 },
		func(s *Settings) { s.SlowStartDuration = 0 },
		func(s *Settings) { s.SlowStartOverloadWindow = 0 },
	} {
		settings := testSettings()
		change(&settings)
		playRandomEvents(t, settings, 3)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := playRandomEvents(t, testSettings(), 11)
	second := playRandomEvents(t, testSettings(), 11)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("the same events gave different actions")
	}
}

// ruleChecker passes random events, and keeps the state against which the router's actions are checked.
type ruleChecker struct {
	t    *testing.T
	rig  *routerRig
	seed uint64
	rand random.Source
	cuts random.Source // decides which answers and reports lack the host's role or position
	pace random.Source // decides when hosts execute the attempts, which is when their answers are made
	log  []Action

	requests map[int64]*checkedRequest
	inFlight []checkedAttempt
	checks   []string // hosts whose health checks are pending

	primary    string
	applied    map[string]int64 // actual log positions, by host
	known      map[string]int64 // by host: the highest position that the router can have received
	wasPrimary map[string]bool  // by host: the router can have received that it was the primary
	replicaAt  map[string]int64 // by host: when the latest answer that told that it is a replica was made
	drainedAt  map[string]int64
	commits    map[int64]int64 // position of the last commit, by session
}

// checkedRequest is a request without a final answer, or with an attempt in flight.
type checkedRequest struct {
	class           *Class
	classIndex      int
	deadline        int64
	session         int64
	minPosition     int64 // known when the request arrived
	attempts        int
	inFlight        int
	mayHaveExecuted bool
	executedAt      int64
	final           bool
}

type checkedAttempt struct {
	request int64
	number  int
	host    string
	sentAt  int64

	written bool // to its connection, or found not valid any more just before
	valid   bool

	// The state of the host when it executed the attempt.
	executedAt int64
	asPrimary  bool
	position   int64
}

// checkedHosts are the ids of threeHosts.
var checkedHosts = []string{"a", "b", "c"}

// playRandomEvents passes random events to a router, checks the rules, and returns all actions.
func playRandomEvents(t *testing.T, settings Settings, seed uint64) []Action {
	t.Helper()
	checker := &ruleChecker{
		t:          t,
		rig:        newRig(t, settings, threeHosts()...),
		seed:       seed,
		rand:       random.Source(seed * 977),
		cuts:       random.Source(seed * 983),
		pace:       random.Source(seed * 991),
		requests:   map[int64]*checkedRequest{},
		primary:    "a",
		applied:    map[string]int64{"a": testStart, "b": testStart, "c": testStart},
		known:      map[string]int64{},
		wasPrimary: map[string]bool{"a": true},
		replicaAt:  map[string]int64{},
		drainedAt:  map[string]int64{},
		commits:    map[int64]int64{},
	}
	for range 3000 {
		checker.step()
	}
	checker.checkNothingIsLeft()
	return checker.log
}

// checkNothingIsLeft checks that the router counts nothing any more once the deadlines of all requests have
// passed.
func (c *ruleChecker) checkNothingIsLeft() {
	for range 200 {
		c.rig.now += 50 * ms
		c.endOverdueAttempts()
		c.check(c.rig.handle(Event{Kind: TimerEvent}))
	}
	router := c.rig.router
	left := len(router.requests)
	for _, host := range router.hostsByID {
		left += len(host.inFlight)
	}
	for _, group := range router.groups {
		left += len(group.queue)
	}
	if left > 0 {
		c.failf("%d requests or attempts are left at the end", left)
	}
}

// draw returns a number in [0, n).
func (c *ruleChecker) draw(n int) int { return int(c.rand.Below(int64(n))) }

func (c *ruleChecker) settings() *Settings { return &c.rig.router.settings }

// failf ends the test and prints the seed that reproduces the failure.
func (c *ruleChecker) failf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d: "+format, append([]any{c.seed}, args...)...)
}

// check checks the rules on the actions, and records the attempts and health checks that they start.
func (c *ruleChecker) check(actions []Action) {
	for i := range actions {
		action := &actions[i]
		c.log = append(c.log, *action)
		switch action.Kind {
		case SendAction:
			c.checkSend(action)
		case RejectAction, FailAction:
			c.checkFinal(action)
		case HealthCheckAction:
			if _, drained := c.drainedAt[action.Host]; !drained {
				c.checks = append(c.checks, action.Host)
			}
		}
	}
}

func (c *ruleChecker) checkSend(action *Action) {
	request := c.requests[action.Request]
	if request.inFlight > 0 {
		c.failf("two attempts in flight")
	}
	c.checkTarget(action.Request, action.Host)
	c.inFlight = append(c.inFlight, checkedAttempt{
		request: action.Request,
		number:  request.attempts,
		host:    action.Host,
		sentAt:  c.rig.now,
	})
	request.attempts++
	request.inFlight++
}

// checkTarget checks that a request may be sent to a host now.
func (c *ruleChecker) checkTarget(id int64, host string) {
	request := c.requests[id]
	if request.final {
		c.failf("sent after the final answer")
	}
	if at, drained := c.drainedAt[host]; drained && c.rig.now > at {
		c.failf("sent to a drained host")
	}
	c.checkRetry(request)
	c.checkFreshness(request, host)
}

func (c *ruleChecker) checkRetry(request *checkedRequest) {
	if !request.mayHaveExecuted {
		return
	}
	switch request.class.RetrySafety {
	case NonIdempotent:
		c.failf("non-idempotent request sent twice")
	case IdempotencyKey:
		if c.rig.now > request.executedAt+request.class.DeduplicationWindow {
			c.failf("request with an idempotency key sent after its deduplication window")
		}
	}
}

// checkFreshness checks that the known position of a host satisfies a read, unless hosts check staleness.
func (c *ruleChecker) checkFreshness(request *checkedRequest, host string) {
	needed := request.minPosition
	switch request.class.Consistency {
	case Eventual, Write:
		return
	case BoundedStaleness:
		needed = c.rig.now - request.class.MaxStaleness
	case ReadYourWrites:
		if !c.settings().RequestsCarrySessionAge {
			needed = c.commits[request.session]
		}
	}
	if !c.settings().HostsCheckStaleness && !c.wasPrimary[host] && c.known[host] < needed {
		c.failf("class %d read from host %s with known position %d, want at least %d",
			request.classIndex, host, c.known[host], needed)
	}
}

func (c *ruleChecker) checkFinal(action *Action) {
	request := c.requests[action.Request]
	if request.final {
		c.failf("two final answers")
	}
	request.final = true
	safety := request.class.RetrySafety
	harmless := safety == Idempotent ||
		safety == IdempotencyKey && request.class.DeduplicationScope == ScopeGlobal
	mayHaveRun := request.mayHaveExecuted || request.inFlight > 0
	if action.Kind == RejectAction && mayHaveRun && !harmless {
		c.failf("rejected a request that may have been executed and is unsafe to repeat")
	}
}

// checkFinalAnswers checks that each request got its final answer in time, and removes the finished requests.
func (c *ruleChecker) checkFinalAnswers() {
	for id := int64(1); id <= c.rig.lastRequest; id++ {
		request := c.requests[id]
		if request == nil {
			continue
		}
		if !request.final && c.rig.now > request.deadline+20*ms && request.inFlight == 0 {
			// The router acts only when events arrive, and its timer may be due.
			c.check(c.rig.handle(Event{Kind: TimerEvent}))
			if !request.final {
				c.failf("request %d got no final answer", id)
			}
		}
		if request.final && request.inFlight == 0 {
			delete(c.requests, id)
		}
	}
}
