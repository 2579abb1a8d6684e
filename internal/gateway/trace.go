package gateway

// The log lines of trace level follow each request by its id. If that level is disabled, each costs only a comparison.

func (g *Gateway) traceAccepted(id int64, request *Request) {
	if line := g.log.Trace(); line.Enabled() {
		wait := request.Deadline - g.clock.Now()
		line.Int64("request", id).Str("id", request.ClientID).Int64("wait_ms", wait/1000).Msg("gateway: request accepted")
	}
}

func (g *Gateway) traceSent(attempt *Attempt) {
	if line := g.log.Trace(); line.Enabled() {
		timeout := attempt.Deadline - g.clock.Now()
		line.Int64("request", attempt.Request).Int("attempt", attempt.Number).Str("host", attempt.Host).
			Int64("timeout_ms", timeout/1000).Msg("gateway: attempt sent")
	}
}

func (g *Gateway) traceOutcome(attempt *Attempt, outcome *Outcome) {
	g.log.Trace().Int64("request", attempt.Request).Int("attempt", attempt.Number).Str("host", attempt.Host).
		Uint8("result", uint8(outcome.Result)).Int64("latency_ms", outcome.Latency/1000).
		Uint8("role", uint8(outcome.Role)).Int64("position_us", outcome.Position).Msg("gateway: attempt finished")
}

func (g *Gateway) traceEnd(id int64, message string) { g.log.Trace().Int64("request", id).Msg(message) }
