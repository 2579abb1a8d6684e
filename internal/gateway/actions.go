package gateway

import "cloverrock/balance"

// execute carries out one action of the router.
func (g *Gateway) execute(action *balance.Action) {
	switch action.Kind {
	case balance.SendAction:
		g.send(action)
	case balance.CancelAction:
		g.hosts.Cancel(action.Request, action.Attempt)
	case balance.RejectAction:
		g.reject(action)
	case balance.FailAction:
		g.fail(action)
	case balance.TimerAction:
		g.startTimer(action)
	case balance.HealthCheckAction:
		g.counts.HealthChecks++
		g.hosts.CheckHealth(action.Host)
	case balance.CloseIdleAction:
		g.hosts.CloseIdle(action.Host)
	case balance.GossipAction:
		g.counts.GossipSent++
		g.counts.GossipBytesSent += len(action.Data)
		g.peers.Send(action.Peer, action.Data)
	case balance.LogAction:
		g.writeLog(action.Log)
	case balance.SubscribeAction:
		g.endpoints.Subscribe()
	case balance.PollEndpointsAction:
		g.endpoints.Poll()
	}
}

// send starts an attempt. It refuses an attempt for a request that is finished or already has an attempt in flight;
// the router asks for such an attempt only if it has a defect.
func (g *Gateway) send(action *balance.Action) {
	id := action.Request
	req := g.requests[id]
	if req == nil || req.finished || req.attemptInFlight {
		g.log.Error().Int64("request", id).Str("host", action.Host).
			Msg("gateway: attempt not sent, request is finished or has an attempt in flight")
		return
	}
	deadline := req.Deadline
	if action.Timeout != 0 {
		deadline = min(deadline, g.clock.Now()+action.Timeout)
	}
	attempt := Attempt{
		Request: id, Number: req.attempts, Host: action.Host, Write: req.Write, Deadline: deadline, Body: req.Body,
		Expired: func() bool { return g.finishedOrDisconnected(id) || !g.router.AttemptStillValid(g.clock.Now(), id) },
	}
	req.attempts++
	if req.attempts > 1 {
		g.counts.Retries++
	}
	req.attemptInFlight = true
	g.traceSent(&attempt)
	g.hosts.Send(attempt)
}

func (g *Gateway) reject(action *balance.Action) {
	req := g.requests[action.Request]
	if req == nil || req.finished {
		return
	}
	g.counts.Rejected++
	g.traceEnd(action.Request, "gateway: request rejected")
	req.Client.Reject(action.RetryAfter)
	g.finish(action.Request, req)
}

func (g *Gateway) fail(action *balance.Action) {
	req := g.requests[action.Request]
	if req == nil || req.finished {
		return
	}
	g.counts.Failed++
	g.traceEnd(action.Request, "gateway: request failed")
	req.Client.Fail()
	g.finish(action.Request, req)
}

func (g *Gateway) startTimer(action *balance.Action) {
	token := action.Token
	g.clock.CallAt(action.At, func() {
		g.handle(balance.Event{Kind: balance.TimerEvent, Token: token})
	})
}

// writeLog writes a log entry of the router with its fields.
func (g *Gateway) writeLog(entry *balance.LogEntry) {
	event := g.log.Info()
	if entry.HasGroup {
		event.Int64("group", entry.Group)
	}
	if entry.Host != "" {
		event.Str("host", entry.Host)
	}
	if entry.Reason != "" {
		event.Str("reason", entry.Reason)
	}
	if entry.Count != 0 {
		event.Int("count", entry.Count)
	}
	event.Msg(entry.Message)
}
