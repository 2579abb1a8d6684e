package balance

const (
	requestRateRetention = 0.9 // weight of the previous average request rate in each update
	longCostFactor       = 2.0 // multiple of the mean cost above which a read is long
)

// trafficStats are averages over the requests of this gateway.
type trafficStats struct {
	classCost     []movingAverage // mean time that an attempt of each class takes, µs
	meanCost      movingAverage   // mean time that an attempt of any class takes, µs
	longReadShare float64         // part of all work that long reads of eventual consistency make up

	requestCount       float64       // requests since measuredAt
	measuredAt         int64         // when the rate was last measured
	requestRatePerHost movingAverage // requests of this gateway for each host and second
}

// newTrafficStats returns statistics that use latency objectives as costs until attempts are measured.
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
	stats.longReadShare = float64(stats.longReadShare * (1 - slowEWMAWeight))
	if r.isLongRead(req) {
		stats.longReadShare += float64(slowEWMAWeight * r.costFactor(req))
	}
}

// measureTraffic updates the request rate, the error shares and the idle timeout once a second.
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
	r.idleTimeout = min(r.idleTimeout+r.idleTimeout/idleTimeoutGrowthDivisor, maxIdleTimeout)
}

// costFactor returns the cost of a request as a multiple of the mean cost, at least 1.
func (r *Router) costFactor(req *pendingRequest) float64 {
	return max(1, float64(r.traffic.classCost[req.classIndex]/r.traffic.meanCost))
}

// isLongRead reports whether a request is a read of eventual consistency whose cost is above longCostFactor.
func (r *Router) isLongRead(req *pendingRequest) bool {
	return req.class.Consistency == Eventual && r.costFactor(req) > longCostFactor
}
