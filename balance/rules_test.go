package balance

import (
	"reflect"
	"slices"
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
	cuts random.Source // decides which answers lack the host's role and position
	log  []Action

	requests map[int64]*checkedRequest
	inFlight []checkedAttempt
	checks   []string // hosts whose health checks are pending

	primary    string
	applied    map[string]int64 // actual log positions, by host
	known      map[string]int64 // by host: the highest position that the router can have received
	wasPrimary map[string]bool  // by host: the router can have received that it was the primary
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
		requests:   map[int64]*checkedRequest{},
		primary:    "a",
		applied:    map[string]int64{"a": testStart, "b": testStart, "c": testStart},
		known:      map[string]int64{},
		wasPrimary: map[string]bool{"a": true},
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

// step advances the clock and passes one random event.
func (c *ruleChecker) step() {
	c.rig.now += int64(c.draw(8)) * ms
	c.replicate()
	switch c.draw(8) {
	case 0, 1, 2:
		c.sendRequest()
	case 3, 4:
		c.endRandomAttempt()
	case 5:
		c.check(c.rig.handle(Event{Kind: TimerEvent}))
		for len(c.checks) > 0 {
			c.endHealthCheck()
		}
	case 6:
		if c.draw(10) == 0 {
			c.primary = checkedHosts[c.draw(len(checkedHosts))]
		}
	case 7:
		if c.draw(60) == 0 {
			c.drainOrReturn(checkedHosts[c.draw(len(checkedHosts))])
		}
	}
	c.endOverdueAttempts()
	c.checkFinalAnswers()
}

// replicate lets the replicas apply a part of the primary's log.
func (c *ruleChecker) replicate() {
	for _, host := range checkedHosts {
		if host == c.primary {
			c.applied[host] = c.rig.now
		} else if c.draw(3) == 0 && c.rig.now-c.applied[host] > 50*ms {
			c.applied[host] += (c.rig.now - c.applied[host]) / 2
		}
	}
}

func (c *ruleChecker) sendRequest() {
	c.rig.lastRequest++
	id := c.rig.lastRequest
	session := id%7 + 1
	index := c.draw(len(c.settings().Classes))
	class := c.rig.class(index)
	deadline := c.rig.now + class.Deadline
	request := &checkedRequest{class: class, classIndex: index, deadline: deadline, session: session}
	event := Event{
		Kind:       RequestEvent,
		Request:    id,
		Class:      index,
		SessionKey: session,
		HasSession: true,
		Deadline:   deadline,
	}
	if class.Consistency == ReadYourWrites && c.commits[session] > 0 {
		request.minPosition = c.commits[session]
		if c.settings().RequestsCarrySessionAge {
			event.SessionWriteAge = max(1, c.rig.now-request.minPosition) // 0 means no write
			request.minPosition = c.rig.now - event.SessionWriteAge
		}
	}
	if class.Consistency == Linearizable {
		request.minPosition = c.rig.now
	}
	c.requests[id] = request
	c.check(c.rig.handle(event))
}

func (c *ruleChecker) endRandomAttempt() {
	if len(c.inFlight) == 0 {
		return
	}
	i := c.draw(len(c.inFlight))
	results := []Result{
		Succeeded, Succeeded, Succeeded, Failed, Overloaded, TimedOut, ConnectionRefused, ConnectionReset,
		NotPrimary,
	}
	result := results[c.draw(len(results))]
	isWrite := c.requests[c.inFlight[i].request].class.Consistency == Write
	if isWrite && c.inFlight[i].host != c.primary && result == Succeeded {
		result = NotPrimary
	} else if !isWrite && result == NotPrimary {
		result = Succeeded
	}
	if !c.write(c.inFlight[i]) {
		result = NotSent
	}
	c.endAttempt(i, result)
}

// write writes an attempt whose connection is open now, unless the router has recalled it, and reports
// whether it did.
func (c *ruleChecker) write(attempt checkedAttempt) bool {
	if !c.rig.router.AttemptStillValid(c.rig.now, attempt.request) {
		return false
	}
	c.checkTarget(attempt.request, attempt.host)
	return true
}

func (c *ruleChecker) endAttempt(i int, result Result) {
	attempt := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	request := c.requests[attempt.request]
	request.inFlight--
	if !result.ProvesNotExecuted() {
		if !request.mayHaveExecuted {
			request.executedAt = attempt.sentAt
		}
		request.mayHaveExecuted = true
	}
	event := Event{
		Kind:    OutcomeEvent,
		Request: attempt.request,
		Attempt: attempt.number,
		Host:    attempt.host,
		Result:  result,
		Latency: c.rig.now - attempt.sentAt,
	}
	if result.Answered() {
		c.fillAnswer(&event, request)
	}
	if result == Succeeded || request.final {
		request.final = true
		event.Finished = true
	}
	c.check(c.rig.handle(event))
}

// fillAnswer sets the role and position of the host in its answer, and records that the router received them.
// One answer in statusCutShare is cut off before both; a write that it answers has succeeded all the same.
func (c *ruleChecker) fillAnswer(event *Event, request *checkedRequest) {
	const statusCutShare = 6
	if event.Result == Succeeded && request.class.Consistency == Write {
		c.commits[request.session] = c.rig.now
	}
	if c.cuts.Below(statusCutShare) == 0 {
		return
	}
	event.Role = Replica
	if event.Host == c.primary {
		event.Role = Primary
	}
	if c.seed%2 == 0 && event.Role == Replica { // answers carry positions
		event.Position = c.applied[event.Host]
	}
	if event.Result == Succeeded && request.class.Consistency == Write {
		event.Position = c.rig.now
	}
	c.known[event.Host] = max(c.known[event.Host], event.Position)
	if event.Role == Primary {
		c.wasPrimary[event.Host] = true
	} else {
		delete(c.wasPrimary, event.Host)
	}
}

func (c *ruleChecker) endHealthCheck() {
	host := c.checks[0]
	c.checks = c.checks[1:]
	event := Event{Kind: HealthCheckEvent, Host: host, Result: TimedOut, Latency: 250 * ms}
	if c.draw(4) > 0 {
		c.known[host] = max(c.known[host], c.applied[host])
		isPrimary := host == c.primary
		if isPrimary {
			c.wasPrimary[host] = true
		}
		event.Result = Succeeded
		event.Latency = 2 * ms
		event.Report = HostReport{
			HasPosition: true, Position: c.applied[host], HasRole: true, Primary: isPrimary,
		}
	}
	c.check(c.rig.handle(event))
}

func (c *ruleChecker) drainOrReturn(host string) {
	state := Ready
	if _, drained := c.drainedAt[host]; drained {
		delete(c.drainedAt, host)
	} else {
		c.drainedAt[host] = c.rig.now - 1
		state = Draining
	}
	c.check(c.rig.list(Endpoint{Host: host, State: state, Weight: 1}))
}

// endOverdueAttempts ends the attempts in flight whose deadline has passed.
func (c *ruleChecker) endOverdueAttempts() {
	overdue := func(attempt checkedAttempt) bool {
		return c.requests[attempt.request].deadline <= c.rig.now
	}
	for {
		i := slices.IndexFunc(c.inFlight, overdue)
		if i < 0 {
			return
		}
		c.endAttempt(i, TimedOut)
	}
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
	attempt := checkedAttempt{action.Request, request.attempts, action.Host, c.rig.now}
	c.inFlight = append(c.inFlight, attempt)
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
