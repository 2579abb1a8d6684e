package balance

const (
	requestRateRetention = 0.9 // part of the average request rate that is kept each second
	longCostFactor       = 2.0 // a read that takes more than this multiple of the mean time is a long one
)

// trafficStats are averages over the requests of this gateway.
type trafficStats struct {
	classCost     []movingAverage // time that an attempt of each class takes, µs
	meanCost      movingAverage   // the same over all requests, µs
	longReadShare float64         // part of all work that is long reads of eventual consistency

	requestCount       float64       // requests since measuredAt
	measuredAt         int64         // when the rate was last measured
	requestRatePerHost movingAverage // requests of this gateway for each host and second
}

// newTrafficStats takes latency objectives for costs, until attempts are measured.
func newTrafficStats(classes []Class) trafficStats {
	var stats trafficStats
	for i := range classes {
		objective := float64(classes[i].LatencyObjective)
		stats.classCost = append(stats.classCost, movingAverage(objective))
		stats.meanCost += movingAverage(objective / float64(len(classes)))
	}
	return stats
}

// recordRequest counts a new request.
func (r *Router) recordRequest(req *pendingRequest) {
	stats := &r.traffic
	stats.requestCount++
	stats.meanCost.add(float64(stats.classCost[req.classIndex]), meanCostWeight)
	stats.longReadShare *= 1 - slowEWMAWeight
	if r.isLongRead(req) {
		stats.longReadShare += slowEWMAWeight * r.costFactor(req)
	}
}

// measureTraffic updates, once a second, the request rate and all that fades with time.
func (r *Router) measureTraffic() {
	stats := &r.traffic
	elapsed := r.now - stats.measuredAt
	if elapsed < second {
		return
	}
	rate := stats.requestCount * second / float64(elapsed)
	stats.requestRatePerHost.add(rate/float64(max(len(r.hostsByID), 1)), 1-requestRateRetention)
	stats.requestCount = 0
	stats.measuredAt = r.now
	for _, host := range r.hostsByID {
		host.errorShare *= errorShareRetention
	}
	r.idleTimeout = min(r.idleTimeout+r.idleTimeout/idleTimeoutGrowth, maxIdleTimeout)
}

// costFactor is the work of a request as a multiple of the mean, 1 at least.
func (r *Router) costFactor(req *pendingRequest) float64 {
	return max(1, float64(r.traffic.classCost[req.classIndex]/r.traffic.meanCost))
}

// isLongRead reports whether a request is a read of eventual consistency that takes much longer than most.
func (r *Router) isLongRead(req *pendingRequest) bool {
	return req.class.Consistency == Eventual && r.costFactor(req) > longCostFactor
}
