package gateway

import "cloverrock/balance"

// Accept passes a new request to the router and returns the id of the request.
func (g *Gateway) Accept(request Request) int64 {
	g.lastRequest++
	g.counts.Requests++
	id := g.lastRequest
	g.requests[id] = &pendingRequest{Request: request}
	g.traceAccepted(id, &request)
	g.handle(balance.Event{
		Kind: balance.RequestEvent, Request: id, Class: request.Class, Group: request.Group,
		SessionKey: request.SessionKey, HasSession: request.HasSession, Deadline: request.Deadline,
		SessionWriteAge: g.sessionWriteAge(request.MinPosition),
	})
	return id
}

// sessionWriteAge returns the age, in microseconds, of the log position that a read must include; 0 means that there is
// no such position. The position of a commit is rounded up and may lie slightly ahead of the clock, so its age may be
// negative.
func (g *Gateway) sessionWriteAge(minPosition int64) int64 {
	if minPosition <= 0 {
		return 0
	}
	age := g.clock.Now() - minPosition
	if age == 0 {
		return 1
	}
	return age
}

// ClientDisconnected reports that the client of a request has disconnected.
func (g *Gateway) ClientDisconnected(id int64) {
	req := g.requests[id]
	if req == nil || req.finished {
		return
	}
	g.traceEnd(id, "gateway: client disconnected")
	g.finish(id, req)
	g.handle(balance.Event{Kind: balance.ClientDisconnectedEvent, Request: id})
}

// finishedOrDisconnected reports whether a request is finished, after checking the client's connection itself. It is
// called just before the first byte of an attempt is written, when the event of a disconnection may still be queued.
func (g *Gateway) finishedOrDisconnected(id int64) bool {
	req := g.requests[id]
	if req != nil && !req.finished && req.Client.Disconnected() {
		g.ClientDisconnected(id)
	}
	return req == nil || req.finished
}

// AttemptFinished handles the outcome of an attempt. The first success is served to the client. An outcome that arrives
// after the final answer, or after the client has disconnected, is reported to the router only.
func (g *Gateway) AttemptFinished(attempt Attempt, outcome Outcome) {
	req := g.requests[attempt.Request]
	if req == nil {
		return
	}
	req.attemptInFlight = false
	g.counts.Outcomes[outcome.Result]++
	g.traceOutcome(&attempt, &outcome)
	g.notifyObservers(attempt.Host, req.Class, outcome)
	if outcome.Result == balance.Succeeded && !req.finished {
		req.Client.Serve(outcome.Value)
		g.finish(attempt.Request, req)
	}
	finished := req.finished
	if finished {
		delete(g.requests, attempt.Request)
	}
	g.handle(balance.Event{
		Kind: balance.OutcomeEvent, Request: attempt.Request, Attempt: attempt.Number, Host: attempt.Host,
		Result: outcome.Result, Finished: finished,
		Latency: outcome.Latency, Role: outcome.Role, Position: outcome.Position, Report: outcome.Report,
	})
}

// HealthCheckFinished handles the outcome of a health check.
func (g *Gateway) HealthCheckFinished(host string, outcome Outcome) {
	if !outcome.Result.Answered() {
		g.counts.HealthChecksFailed++
	}
	g.notifyObservers(host, HealthCheckClass, outcome)
	g.handle(balance.Event{
		Kind: balance.HealthCheckEvent, Host: host,
		Result: outcome.Result, Latency: outcome.Latency, Report: outcome.Report,
	})
}

// EndpointsUpdated handles an endpoint list, or a list of changes if it is not complete.
func (g *Gateway) EndpointsUpdated(endpoints []balance.Endpoint, complete bool) {
	g.endpointsKnown = true
	g.handle(balance.Event{Kind: balance.EndpointsEvent, Endpoints: endpoints, Complete: complete})
}

// EndpointsPollFailed reports that a poll for the endpoint list failed.
func (g *Gateway) EndpointsPollFailed() {
	g.handle(balance.Event{Kind: balance.EndpointsEvent, PollFailed: true})
}

// GossipReceived handles a message from another gateway.
func (g *Gateway) GossipReceived(peer int, data []byte) {
	g.counts.GossipReceived++
	g.handle(balance.Event{Kind: balance.GossipEvent, Peer: peer, Data: data})
}

// Shutdown makes the router answer every request, including those that are accepted later, before deadline, a time
// in microseconds on the loop's clock.
func (g *Gateway) Shutdown(deadline int64) {
	g.handle(balance.Event{Kind: balance.ShutdownEvent, Deadline: deadline})
}

// handle passes events to the router one at a time. An event that is caused by an action is queued until all actions of
// the current event are done.
func (g *Gateway) handle(event balance.Event) {
	g.events = append(g.events, event)
	if g.handling {
		return
	}
	g.handling = true
	for len(g.events) > 0 {
		next := g.events[0]
		g.events = g.events[1:]
		g.actions = g.router.Handle(g.clock.Now(), next, g.actions[:0])
		for i := range g.actions {
			g.execute(&g.actions[i])
		}
	}
	g.events = nil
	g.handling = false
}

// finish marks a request as answered or abandoned. The request is deleted once its attempt has ended.
func (g *Gateway) finish(id int64, req *pendingRequest) {
	req.finished = true
	req.Client = nil
	req.Body = nil
	if !req.attemptInFlight {
		delete(g.requests, id)
	}
}
