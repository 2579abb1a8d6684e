package balance

const (
	initialConcurrencyLimit = 4.0  // attempts in flight that a newly listed host is allowed
	minFleetConcurrency     = 5.5  // attempts in flight, of all gateways, that use all cores of a host
	limitGrowShare          = 0.28 // latency share below which the limit grows
	limitCutShare           = 0.4  // latency share above which the limit is cut
	limitCutFactor          = 0.8  // factor of a cut; moderate, since several gateways cut at once
	latencyShareWeight      = 0.15 // weight of a new value; high, since queues grow within a few answers

	shedStartShare    = 0.3 // latency share above which a part of the reads is shed; at 1 all are
	sparseRequestRate = 1.0 // requests per host and second; below it, the overload of all hosts counts too
)

// hostLoad is the load of a host and its concurrency limit. The limit is an AIMD limit (additive increase,
// multiplicative decrease): it grows while answers take a small part of their latency objective
// (limitGrowShare) and is cut when they take a large part of it (limitCutShare).
type hostLoad struct {
	inFlight         []*pendingRequest // attempts of this gateway
	latency          latencyEstimate   // of successful answers
	latencyShare     float64           // part of their latency objective that attempts take, moving average
	concurrencyLimit float64           // attempts of this gateway allowed in flight
	limitCutAt       int64             // when the limit was last cut

	pauseLength int64 // µs; doubles while the host rejects attempts
	pausedUntil int64 // no attempt is sent before this time
}

// admits reports whether a host may be sent a request now: it is neither excluded nor paused, it is healthy,
// this gateway and the fleet are within their limits of attempts in flight, its slow start allows it, and the
// request is not shed.
func (r *Router) admits(req *pendingRequest, host *hostState) bool {
	if host.excluded || r.now < host.pausedUntil {
		return false
	}
	if float64(len(host.inFlight)) >= host.concurrencyLimit || r.gossip.AtCapacity(r.now, host.id) {
		return false
	}
	return r.healthAdmits(host) && r.slowStartAdmits(req, host) && !r.shouldShed(req, host)
}

// healthAdmits reports whether the health of a host allows an attempt. An unhealthy host gets a single
// attempt as a trial, at the earliest half a backoff before its next health check is due. In a deployment
// with health checks, a successful check ends the unhealthy state, and the trial is allowed only at the
// longest backoff, for hosts whose health checks fail although requests would succeed.
func (r *Router) healthAdmits(host *hostState) bool {
	if host.health == healthy {
		return true
	}
	if host.health == suspect || len(host.inFlight) > 0 {
		return false
	}
	if r.now+host.backoff/2 < host.nextTryAt {
		return false
	}
	return !r.settings.HealthChecks || host.backoff >= r.maxBackoff()
}

// shouldShed reports whether to withhold a read from a host to shed load. In a large fleet each gateway has
// too few attempts in flight for a concurrency limit to take effect. Each gateway therefore sheds a part of
// its reads, which grows with the host's latency share.
func (r *Router) shouldShed(req *pendingRequest, host *hostState) bool {
	overload := host.latencyShare
	if r.traffic.requestRatePerHost < sparseRequestRate {
		overload = max(overload, r.gossip.OverloadRatio())
	}
	if req.isWrite() || req.shedRank*(1-shedStartShare) <= 1-overload {
		return false
	}
	req.shed = true
	return true
}

// recordLatency records how long an attempt took, in µs, and adjusts the concurrency limit. An attempt that
// timed out counts as having taken at least its latency objective; otherwise only quick answers would count.
func (r *Router) recordLatency(host *hostState, req *pendingRequest, latency int64, succeeded bool) {
	host.pauseLength /= 2
	share := float64(latency) / float64(req.class.LatencyObjective)
	if succeeded {
		host.latency.add(float64(latency))
		r.traffic.classCost[req.classIndex].add(float64(latency), slowEWMAWeight)
		host.group.latency.add(float64(latency), ewmaWeight)
	} else {
		share = max(share, 1)
	}
	r.recordLatencyShare(host, share)
}

// recordLatencyShare records the part of its latency objective that an attempt of this gateway took, or has
// taken so far.
func (r *Router) recordLatencyShare(host *hostState, share float64) {
	r.gossip.RecordLatencyShare(host.id, share, false)
	r.adjustLimit(host, share)
}

// recordOverdueAttempts records slow attempts while they are still in flight: after half of their latency
// objective and after all of it. This detects overload sooner than waiting for the late answer.
func (r *Router) recordOverdueAttempts(host *hostState) {
	for _, req := range host.inFlight {
		share := float64(req.overdueHalves+1) / 2
		elapsed := r.now - req.sentAt
		if share <= 1 && elapsed > int64(share*float64(req.class.LatencyObjective)) {
			req.overdueHalves++
			r.recordLatencyShare(host, share)
		}
	}
}

// adjustLimit adjusts a host's concurrency limit to the part of its latency objective that an answer took, at
// this or another gateway. The limit is cut at most once per mean latency.
func (r *Router) adjustLimit(host *hostState, share float64) {
	host.latencyShare += float64(latencyShareWeight * (min(share, 1) - host.latencyShare))
	cutIsDue := r.now-host.limitCutAt > int64(host.latency.mean)
	limitIsUsed := float64(len(host.inFlight)+1) >= host.concurrencyLimit
	switch {
	case host.latencyShare > limitCutShare && cutIsDue:
		host.concurrencyLimit = max(r.minConcurrencyLimit, host.concurrencyLimit*limitCutFactor)
		host.limitCutAt = r.now
	case host.latencyShare < limitGrowShare && limitIsUsed:
		host.concurrencyLimit += 1 / host.concurrencyLimit
	}
}

// pauseHost stops attempts at a host for a random time, whose upper bound doubles with each call.
func (r *Router) pauseHost(host *hostState) {
	host.pauseLength = min(max(2*host.pauseLength, r.maintenanceInterval()), r.searchInterval())
	host.pausedUntil = r.now + host.pauseLength/2 + r.rand.Below(host.pauseLength)
}
