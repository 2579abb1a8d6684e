package balance

// hostSlowStart paces requests to a host that has just started and whose caches are cold.
type hostSlowStart struct {
	warmingUp      bool
	slowStartAt    int64       // when the host started
	startLearnedAt int64       // when this gateway learned of that
	startBucket    tokenBucket // attempts that this gateway may send
}

// beginSlowStart begins the slow start of a host that started at the given time. The bucket begins with a
// random part of a token: if each of hundreds of gateways began with a whole one, they would overload the
// host at once.
func (r *Router) beginSlowStart(host *hostState, at int64) {
	host.warmingUp = true
	host.slowStartAt = at
	host.startLearnedAt = r.now
	host.startBucket = tokenBucket{tokens: r.rand.Fraction(), refilledAt: r.now}
	host.concurrencyLimit = 1
	host.latencyShare = 0
}

// slowStartShare returns a lower bound for the part of its capacity that a host in slow start has. The bound
// grows linearly from Settings.SlowStartInitialShare to 1; at 1, slowStartShare ends the slow start.
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

// slowStartAdmits reports whether the token bucket of a host in slow start admits a request. The bucket is
// refilled at the rate of this gateway's requests per host, times the capacity share of the host, times
// half of Settings.SlowStartOverloadFactor. A long read needs tokens for all of its cost, any other request
// one token.
func (r *Router) slowStartAdmits(req *pendingRequest, host *hostState) bool {
	share := r.slowStartShare(host)
	if !host.warmingUp {
		return true
	}
	rate := float64(r.traffic.requestRatePerHost) * share * r.settings.SlowStartOverloadFactor / 2
	// The bucket holds as many tokens as are added in a quarter of the overload window.
	capacity := max(1, rate*float64(r.settings.SlowStartOverloadWindow)/(4*second))
	host.startBucket.refill(r.now, rate, capacity)
	tokens := host.startBucket.tokens
	cost := r.costFactor(req)
	if cost > longCostFactor && !req.isWrite() {
		return tokens >= cost
	}
	return tokens >= 1
}

// precedesSlowStart reports whether the attempt in flight of a request was decided before this gateway
// learned that its host has started anew: the slow start has not admitted it.
func (req *pendingRequest) precedesSlowStart() bool {
	return req.host.warmingUp && req.sentAt < req.host.startLearnedAt
}

// takeSlowStartTokens removes the cost of a request from the bucket of a host in slow start.
func (r *Router) takeSlowStartTokens(host *hostState, req *pendingRequest) {
	if host.warmingUp {
		host.startBucket.tokens -= r.costFactor(req)
	}
}
