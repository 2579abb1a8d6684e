package balance

const (
	maxBackoffFactor    = 32   // search intervals: the longest backoff of an unhealthy host
	failingErrorShare   = 0.25 // a host with a higher error share gets a read only if the other fails too
	errorShareRetention = 0.8  // part of the error share kept each second, so that the host is tried again

	checkTokensPerRequest = 2.0  // health checks that each request pays for
	maxCheckTokens        = 10.0 // enough to check every member of a few groups

	requiredCheck = 0.0 // tokens: a health check that a decision waits for is free
	optionalCheck = 1.0 // tokens: any other one is paid for by the budget
)

// health is what the router thinks of a host's ability to answer.
type health uint8

const (
	healthy   health = iota
	suspect          // silent for too long, or a connection broke: a health check decides
	unhealthy        // the health check failed, too
)

// hostHealth is the health of a host and the evidence for it.
type hostHealth struct {
	health      health
	silentSince int64   // since when attempts are in flight without any answer
	lastHeardAt int64   // last sign of life
	errorShare  float64 // part of the answers that were errors, of late

	crashed     bool  // it went on refusing or breaking connections: it will come back cold
	unhealthyAt int64 // when it was last found not to serve
	backoff     int64 // µs between tries of an unhealthy host
	nextTryAt   int64

	checkPending bool  // the result of a health check is awaited
	rechecked    bool  // a health check that broke off was repeated once
	checkedAt    int64 // when the last health check was sent
}

// countError and countSuccess keep the share of errors among answers.
func (h *hostHealth) countError()   { h.errorShare += ewmaWeight * (1 - h.errorShare) }
func (h *hostHealth) countSuccess() { h.errorShare -= ewmaWeight * h.errorShare }

// isFailing reports whether the host mostly answers with errors.
func (h *hostHealth) isFailing() bool { return h.errorShare > failingErrorShare }

// markHealthy takes a sign of life. A host that crashed starts slowly, even if the list does not show its
// start yet.
func (r *Router) markHealthy(host *hostState) {
	host.lastHeardAt = r.now
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

// markSuspect stops sending to a host until a health check decides: a lossy link is not a crash, and a
// crashed host comes back cold.
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

// markUnhealthy notes that a host does not serve. Writes go on to the next member.
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

// detectSilence suspects a host that has attempts in flight and answers none of them for clearly longer than
// its answers take. A health check decides, so slow hosts are not taken for crashed ones.
func (r *Router) detectSilence(host *hostState) {
	if host.health != healthy || len(host.inFlight) == 0 || !host.latency.known() {
		return
	}
	// What other gateways hear of the host counts, and comes with a delay.
	reportDelay := float64(r.gossip.MaxReportDelay(host.id))
	patience := max(host.latency.patience(len(host.inFlight)), float64(r.maintenanceInterval())) + reportDelay
	if float64(r.now-host.silentSince) > patience {
		r.markSuspect(host)
	}
}

// startHealthCheck checks a host if that is allowed and the budget covers the cost in tokens. It reports
// whether it did.
func (r *Router) startHealthCheck(host *hostState, cost float64) bool {
	// A result may be lost for good, so it is not awaited for ever.
	awaited := host.checkPending && r.now-host.checkedAt < r.maxBackoff()
	affordable := cost == requiredCheck || r.checkBudget.has(cost)
	if !r.settings.HealthChecks || awaited || host.excluded || !affordable {
		return false
	}
	r.checkBudget.spend(cost)
	host.checkPending = true
	host.checkedAt = r.now
	r.emit(Action{Kind: HealthCheckAction, Host: host.id})
	return true
}

// checkUnhealthyMembers checks the members of a group that a request has come for, when they are due: a
// gateway with little traffic checks little.
func (r *Router) checkUnhealthyMembers(group *groupState) {
	for _, member := range group.members {
		if member.health != healthy && r.now >= member.nextTryAt {
			r.startHealthCheck(member, optionalCheck)
		}
	}
}

// handleHealthCheck takes the result of a health check. Being turned away is a sign of life, too: many
// gateways that check at once fill a host's table.
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
	r.recordReport(host, &event.Report)
	r.dispatch(host.group)
}

// handleFailedCheck takes a health check that the host did not answer. One broken connection is not a crash:
// a host that crashed breaks the next one as well, and at once.
func (r *Router) handleFailedCheck(host *hostState, result Result) {
	broken := result == ConnectionRefused || result == ConnectionReset
	heardMeanwhile := host.lastHeardAt >= host.checkedAt
	switch {
	case heardMeanwhile || result == NotSent:
		// The failure proves nothing.
	case broken && host.health == healthy:
		r.markSuspect(host)
	case broken && host.health == suspect && !host.rechecked:
		host.rechecked = r.startHealthCheck(host, requiredCheck)
	default:
		r.markUnhealthy(host, broken && host.health == unhealthy)
	}
}
