package gossip

// hostState is the state of one host: this gateway's observations, reports of other gateways, and the last digest.
type hostState struct {
	id    string
	hash  uint32
	group *groupState

	// Observations of this gateway.
	ownFact          HostFact
	samples          latencySamples
	inFlight         int
	reportedInFlight int // inFlight as of the last report
	started          int // attempts started since the last report
	reportDue        bool

	latest            HostFact // the latest position that any gateway reported, with the role at that position
	latestAt          int64    // when latest was received
	checkedAt         int64    // when HostsToCheck last returned this host; used on the coordinator
	publishedPosition int64
	reportedSamples   latencySamples
	reportedCounts    []reportedCount // by gateway
	reportedTotal     int             // sum of reportedCounts
	countsExpiredAt   int64           // when outdated counts were last removed

	concurrencyCap     concurrencyCap
	publishedLoad      float64 // attempts of all gateways in flight, from the last digest
	ownInPublishedLoad int     // this gateway's part of publishedLoad
}

// latencySamples is the sum of response times as shares of their latency objective.
type latencySamples struct {
	sum           float64
	count, errors int
}

func (s *latencySamples) add(share float64, failed bool) {
	s.count++
	s.sum += share
	if failed {
		s.errors++
	}
}

// writeTo sets the latency share and failure flag of a fact if there are samples.
func (s *latencySamples) writeTo(fact *HostFact) {
	if s.count > 0 {
		fact.LatencyShare = s.sum / float64(s.count)
		fact.Failing = 2*s.errors > s.count
	}
}

// reportedCount is the number of attempts in flight at a host that one gateway reported.
type reportedCount struct {
	inFlight int
	sentAt   int64
}

// Record records a position and role that a host reported to this gateway.
func (s *State) Record(fact HostFact) {
	host := s.hosts[fact.Host]
	if host != nil && fact.Position > host.ownFact.Position {
		host.ownFact = fact
		s.scheduleReport(host)
	}
}

// overloadWeight is the weight of a new answer in the moving average of OverloadRatio. The average covers about thirty
// answers, which a gateway among hundreds receives in a second or two.
const overloadWeight = 0.03

// OverloadRatio returns the share of this gateway's recent attempts, at all hosts together, that took at least their
// latency objective or were rejected. It serves gateways that contact each host too seldom to measure its load. Response
// times within the objective do not count, because without load they differ between deployments.
func (s *State) OverloadRatio() float64 { return s.overloadRatio }

// RecordLatencyShare records an attempt at a host: its response time, or the time that it has been in flight so far, as
// a share of the latency objective, and whether the host answered with an error.
func (s *State) RecordLatencyShare(id string, share float64, failed bool) {
	s.overloadRatio -= float64(overloadWeight * s.overloadRatio)
	if share >= 1 {
		s.overloadRatio += overloadWeight
	}
	if host := s.hosts[id]; host != nil {
		host.samples.add(share, failed)
		s.scheduleReport(host)
	}
}

// SetInFlight sets how many attempts this gateway has in flight at a host.
func (s *State) SetInFlight(id string, n int) {
	host := s.hosts[id]
	if host == nil || host.inFlight == n {
		return
	}
	host.started += max(n-host.inFlight, 0)
	host.inFlight = n
	s.scheduleReport(host)
}

// scheduleReport includes a host in the next report, unless another host shares its hash.
func (s *State) scheduleReport(host *hostState) {
	if !host.reportDue && s.hostsByHash[host.hash] == host {
		host.reportDue = true
		s.pendingReports = append(s.pendingReports, host)
	}
}

// Load returns how many attempts other gateways have in flight at a host, and an estimate of the attempts of the group
// that have started but are in no digest yet. Both are 0 without a recent digest.
func (s *State) Load(now int64, id string) (inFlight, starting float64) {
	host := s.hosts[id]
	if host == nil {
		return 0, 0
	}
	group := host.group
	if s.isCoordinator(now, group) {
		return float64(s.inFlightByOthers(now, host)), group.attemptRate * float64(propagationDelay) / 1e6
	}
	if !group.hasRecentDigest(now) {
		return 0, 0
	}
	inFlight = max(0, host.publishedLoad-float64(host.ownInPublishedLoad))
	return inFlight, group.attemptRate * float64(group.digestInterval+propagationDelay) / 1e6
}

// recordLatest records a position and role if the position is higher than all before.
func (h *hostState) recordLatest(now int64, fact HostFact) {
	if fact.Position > h.latest.Position {
		h.latest = HostFact{Host: h.id, Position: fact.Position, Role: fact.Role}
		h.latestAt = now
	}
}

// recordCount records how many attempts a gateway has in flight. Counts that are reordered or outdated are ignored.
func (h *hostState) recordCount(now, sentAt int64, from, inFlight int) {
	count := &h.reportedCounts[from]
	if sentAt < count.sentAt || now-sentAt > countLifetime {
		return
	}
	h.reportedTotal += inFlight - count.inFlight
	*count = reportedCount{inFlight, sentAt}
}

// expireCounts removes the counts that other gateways have not repeated within countLifetime, because the gateways
// crashed or their reports were lost. It does so at most about four times per countLifetime.
func (h *hostState) expireCounts(now int64, self int) {
	if now-h.countsExpiredAt <= countLifetime/4 {
		return
	}
	h.countsExpiredAt = now
	for i := range h.reportedCounts {
		count := &h.reportedCounts[i]
		if i != self && count.inFlight > 0 && now-count.sentAt > countLifetime {
			h.reportedTotal -= count.inFlight
			count.inFlight = 0
		}
	}
}

// inFlightByOthers returns how many attempts the other gateways have reported as in flight at a host.
func (s *State) inFlightByOthers(now int64, host *hostState) int {
	if host.reportedCounts == nil {
		return 0
	}
	host.expireCounts(now, s.conf.Ordinal)
	return host.reportedTotal - host.reportedCounts[s.conf.Ordinal].inFlight
}
