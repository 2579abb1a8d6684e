package balance

import "slices"

// This file makes the random events of the test of the rules, and plays the hosts that answer. Answers come
// in any order and may lack what answers may lack. The checks of the rules are in rules_test.go.

// step advances the clock and passes one random event.
func (c *ruleChecker) step() {
	c.rig.now += int64(c.draw(8)) * ms
	c.replicate()
	c.executeAttempts()
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

// executeAttempts writes some of the attempts in flight, which their hosts then execute. The answers come
// later, in any order.
func (c *ruleChecker) executeAttempts() {
	const executeShare = 4 // one attempt in this many
	for i := range c.inFlight {
		if c.pace.Below(executeShare) == 0 {
			c.execute(&c.inFlight[i])
		}
	}
}

// execute writes an attempt whose connection is open now, unless it was written before or is not valid any
// more.
func (c *ruleChecker) execute(attempt *checkedAttempt) {
	if attempt.written {
		return
	}
	attempt.written = true
	attempt.valid = c.rig.router.AttemptStillValid(c.rig.now, attempt.request)
	if !attempt.valid {
		return
	}
	c.checkTarget(attempt.request, attempt.host)
	attempt.executedAt = c.rig.now
	attempt.asPrimary = attempt.host == c.primary
	attempt.position = c.applied[attempt.host]
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
	attempt := &c.inFlight[i]
	c.execute(attempt)
	isWrite := c.requests[attempt.request].class.Consistency == Write
	switch {
	case !attempt.valid:
		result = NotSent
	case isWrite && !attempt.asPrimary && result == Succeeded:
		result = NotPrimary
	case !isWrite && result == NotPrimary:
		result = Succeeded
	}
	c.endAttempt(i, result)
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
		c.fillAnswer(&event, &attempt, request)
	}
	if result == Succeeded || request.final {
		request.final = true
		event.Finished = true
	}
	c.check(c.rig.handle(event))
}

// fillAnswer sets the role and position that the host had when it executed an attempt, and records that the
// router received them. One answer in statusCutShare is cut off before both, and one before the position; a
// write that it answers has succeeded all the same.
func (c *ruleChecker) fillAnswer(event *Event, attempt *checkedAttempt, request *checkedRequest) {
	const statusCutShare = 6
	isCommit := event.Result == Succeeded && request.class.Consistency == Write
	if isCommit {
		c.commits[request.session] = max(c.commits[request.session], attempt.executedAt)
	}
	cut := c.cuts.Below(statusCutShare)
	if cut == 0 {
		return
	}
	c.recordRole(event, attempt)
	if cut == 1 {
		return
	}
	if isCommit {
		event.Position = attempt.executedAt
	} else if c.seed%2 == 0 && event.Role == Replica { // answers carry positions
		event.Position = attempt.position
	}
	c.known[event.Host] = max(c.known[event.Host], event.Position)
}

// recordRole sets the role in an answer. A primary's answer that is older than one that told that the host is
// a replica does not show that it is the primary.
func (c *ruleChecker) recordRole(event *Event, attempt *checkedAttempt) {
	if !attempt.asPrimary {
		event.Role = Replica
		c.replicaAt[event.Host] = max(c.replicaAt[event.Host], attempt.executedAt)
		delete(c.wasPrimary, event.Host)
		return
	}
	event.Role = Primary
	if attempt.executedAt > c.replicaAt[event.Host] {
		c.wasPrimary[event.Host] = true
	}
}

// endHealthCheck ends a health check. One report in reportCutShare lacks the position, and one the role.
func (c *ruleChecker) endHealthCheck() {
	const reportCutShare = 6
	host := c.checks[0]
	c.checks = c.checks[1:]
	event := Event{Kind: HealthCheckEvent, Host: host, Result: TimedOut, Latency: 250 * ms}
	if c.draw(4) > 0 {
		event.Result = Succeeded
		event.Latency = 2 * ms
		cut := c.cuts.Below(reportCutShare)
		if cut != 0 {
			c.known[host] = max(c.known[host], c.applied[host])
			event.Report.HasPosition = true
			event.Report.Position = c.applied[host]
		}
		if cut != 1 {
			event.Report.HasRole = true
			event.Report.Primary = host == c.primary
			c.wasPrimary[host] = c.wasPrimary[host] || event.Report.Primary
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
