package balance

// hostSlowStart paces requests to a host that has just started and is not warm yet.
type hostSlowStart struct {
	warmingUp   bool
	slowStartAt int64       // when the host started
	startBucket tokenBucket // attempts that it may be sent
}

// beginSlowStart notes that a host has started. The bucket begins with a random part of a token: with a whole
// one at each of hundreds of gateways, they would overload the host at once.
func (r *Router) beginSlowStart(host *hostState, at int64) {
	host.warmingUp = true
	host.slowStartAt = at
	host.startBucket = tokenBucket{tokens: r.randomFraction(), refilledAt: r.now}
	host.concurrencyLimit = 1
	host.latencyShare = 0
}

// slowStartShare is the part of its capacity that a host has by now, at least: it grows linearly to 1. The
// end of the slow start is noted here.
func (r *Router) slowStartShare(host *hostState) float64 {
	age := r.now - host.slowStartAt
	duration := r.settings.SlowStartDuration
	if !host.warmingUp || age >= duration || duration <= 0 {
		host.warmingUp = false
		return 1
	}
	initial := r.settings.SlowStartInitialShare
	return initial + (1-initial)*float64(age)/float64(duration)
}

// slowStartAdmits reports whether a host's slow start leaves a token for a request. The bucket earns this
// gateway's part of what all requests ask of a host, times half of what overloads a cold one. A long read
// needs its whole cost.
func (r *Router) slowStartAdmits(req *pendingRequest, host *hostState) bool {
	share := r.slowStartShare(host)
	if !host.warmingUp {
		return true
	}
	rate := float64(r.traffic.requestRatePerHost) * share * r.settings.SlowStartOverloadFactor / 2
	// The bucket holds what a quarter of the window earns.
	capacity := max(1, rate*float64(r.settings.SlowStartOverloadWindow)/(4*second))
	host.startBucket.refill(r.now, rate, capacity)
	tokens := host.startBucket.tokens
	cost := r.costFactor(req)
	if cost > longCostFactor && !req.isWrite() {
		return tokens >= cost
	}
	return tokens >= 1
}

// spendSlowStart takes the cost of a request from a host's slow start.
func (r *Router) spendSlowStart(host *hostState, req *pendingRequest) {
	if host.warmingUp {
		host.startBucket.tokens -= r.costFactor(req)
	}
}
