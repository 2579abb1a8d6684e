package balance

const (
	maxBackoffFactor    = 32   // longest backoff of an unhealthy host, in search intervals
	failingErrorShare   = 0.25 // error share above which the other candidate is preferred for a read
	errorShareRetention = 0.8  // decay factor of the error share per second, so that the host is tried again

	checkTokensPerRequest = 2.0  // health checks that each request earns
	maxCheckTokens        = 10.0 // enough to check every member of a few groups

	requiredCheck = 0.0 // tokens; a health check that a decision waits for is not limited
	optionalCheck = 1.0 // tokens; any other health check is limited by the budget
)

// health is the router's assessment of whether a host answers.
type health uint8

const (
	healthy   health = iota
	suspect          // silent for too long, or a connection broke; a health check decides what follows
	unhealthy        // the health check failed as well
)

// hostHealth is the health of a host and the evidence for it.
type hostHealth struct {
	health        health
	silentSince   int64   // since when attempts are in flight without any answer
	lastContactAt int64   // last answer or newer position, received by any gateway
	errorShare    float64 // part of the recent answers that were errors

	crashed     bool  // refused or reset connections repeatedly: its caches will be cold when it returns
	unhealthyAt int64 // when it was last found unhealthy
	backoff     int64 // µs between tries of an unhealthy host
	nextTryAt   int64 // when the next health check is due; a trial is allowed half a backoff earlier

	checkPending bool  // the result of a health check is awaited
	rechecked    bool  // a health check whose connection broke has been repeated
	checkedAt    int64 // when the last health check was sent
}

// countError counts an error in the error share.
func (h *hostHealth) countError() { h.errorShare += float64(ewmaWeight * (1 - h.errorShare)) }

// countSuccess counts a successful answer in the error share.
func (h *hostHealth) countSuccess() { h.errorShare -= float64(ewmaWeight * h.errorShare) }

// isFailing reports whether the error share of the host is too high for reads.
func (h *hostHealth) isFailing() bool { return h.errorShare > failingErrorShare }

// markHealthy records that a host has answered. A host that crashed begins its slow start, even if the
// endpoint list does not show the restart yet.
func (r *Router) markHealthy(host *hostState) {
	host.lastContactAt = r.now
	host.silentSince = r.now
	host.backoff = 0
	host.rechecked = false
	r.freeConnectionTable(host)
	if host.crashed {
		r.beginSlowStart(host, r.now)
	}
	host.health = healthy
	host.crashed = false
}

// markSuspect stops sending to a host until a health check shows whether it is healthy: a lossy link is not a
// crash, and only a host that crashed returns with cold caches. Without health checks, the host is marked as
// unhealthy and crashed at once.
func (r *Router) markSuspect(host *hostState) {
	if !r.settings.HealthChecks {
		r.markUnhealthy(host, true)
		return
	}
	if host.health == healthy {
		host.health = suspect
		r.startHealthCheck(host, requiredCheck)
	}
}

// markUnhealthy marks a host as unhealthy, with exponential backoff. If it is the primary, writes try the
// next member of the group. A host that has crashed begins a slow start when it returns.
func (r *Router) markUnhealthy(host *hostState, crashed bool) {
	host.crashed = host.crashed || crashed
	host.rechecked = false
	host.backoff = min(max(2*host.backoff, r.searchInterval()), r.maxBackoff())
	host.nextTryAt = r.now + r.spreadOverFleet(host.backoff)
	if host.health != unhealthy {
		r.log(LogEntry{Message: "balance: host unhealthy", Host: host.id})
	}
	host.health = unhealthy
	host.unhealthyAt = r.now
	if host.group.primary == host {
		r.demotePrimary(host.group, "unhealthy")
	}
}

// maxBackoff is the longest time between two tries of an unhealthy host, µs.
func (r *Router) maxBackoff() int64 { return maxBackoffFactor * r.searchInterval() }

// detectSilence marks a host as suspect that has attempts in flight and answers none of them for clearly
// longer than its answers usually take. The health check that follows tells slow hosts from crashed ones.
func (r *Router) detectSilence(host *hostState) {
	if host.health != healthy || len(host.inFlight) == 0 || !host.latency.known() {
		return
	}
	// Answers to other gateways count as well, and reach this gateway with a delay.
	reportDelay := float64(r.gossip.MaxReportDelay(host.id))
	silenceTimeout := max(
		host.latency.silenceTimeout(len(host.inFlight)),
		float64(r.maintenanceInterval()),
	) + reportDelay
	if float64(r.now-host.silentSince) > silenceTimeout {
		r.markSuspect(host)
	}
}

// startHealthCheck starts a health check of a host if none is pending, the host is not excluded, and the
// budget covers the cost in tokens. It reports whether it did.
func (r *Router) startHealthCheck(host *hostState, cost float64) bool {
	// A result may be lost, so a pending health check blocks another one only for a limited time.
	awaited := host.checkPending && r.now-host.checkedAt < r.maxBackoff()
	affordable := cost == requiredCheck || r.checkBudget.covers(cost)
	if !r.settings.HealthChecks || awaited || host.excluded || !affordable {
		return false
	}
	r.checkBudget.withdraw(cost)
	host.checkPending = true
	host.checkedAt = r.now
	r.emit(Action{Kind: HealthCheckAction, Host: host.id})
	return true
}

// checkUnhealthyMembers starts the health checks that are due for members of a group that are not healthy. It
// runs when a request for the group arrives, so that a gateway with little traffic checks seldom.
func (r *Router) checkUnhealthyMembers(group *groupState) {
	for _, member := range group.members {
		if member.health != healthy && r.now >= member.nextTryAt {
			r.startHealthCheck(member, optionalCheck)
		}
	}
}

// handleHealthCheck applies the result of a health check. A host that rejects the health check for lack of
// capacity is alive, too: the checks of many gateways at once may fill its connection table.
func (r *Router) handleHealthCheck(event *Event) {
	host := r.hosts[event.Host]
	if host == nil {
		return
	}
	host.checkPending = false
	if !event.Result.Answered() {
		r.handleFailedCheck(host, event.Result)
		return
	}
	r.markHealthy(host)
	if event.Result == Succeeded {
		r.healthCheckRTT.add(float64(event.Latency), ewmaWeight)
	}
	r.recordReport(host, &event.Report, host.checkedAt)
	r.dispatch(host.group)
}

// handleFailedCheck applies a health check that the host did not answer. One broken connection does not
// make a suspect host unhealthy: if the host has crashed, the next health check breaks at once as well.
func (r *Router) handleFailedCheck(host *hostState, result Result) {
	broken := result == ConnectionRefused || result == ConnectionReset
	contactSinceCheck := host.lastContactAt >= host.checkedAt
	switch {
	case contactSinceCheck || result == NotSent:
		// A failure before the latest contact, or of an unsent check, is no evidence about the host.
	case broken && host.health == healthy:
		r.markSuspect(host)
	case broken && host.health == suspect && !host.rechecked:
		host.rechecked = r.startHealthCheck(host, requiredCheck)
	default:
		r.markUnhealthy(host, broken && host.health == unhealthy)
	}
}
