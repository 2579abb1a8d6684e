package gossip

// hostState is the state of one host: own observations, reports of others and the last digest.
type hostState struct {
	id    string
	hash  uint32
	group *groupState

	// What this gateway observed itself.
	ownFact          HostFact
	samples          latencySamples
	inFlight         int
	reportedInFlight int // inFlight as of the last report
	started          int // attempts started since the last report
	reportDue        bool

	latest            HostFact // the latest position that any gateway reported, with the role at that position
	latestAt          int64    // when it was received
	checkedAt         int64    // as its coordinator: when HostsToCheck named it last
	publishedPosition int64
	reportedSamples   latencySamples
	reportedCounts    []reportedCount // by gateway
	reportedTotal     int             // sum of reportedCounts
	countsExpiredAt   int64           // when outdated counts were last removed

	concurrencyCap     concurrencyCap
	publishedLoad      float64 // attempts in flight of all gateways, by the last digest
	ownInPublishedLoad int     // this gateway's part of it
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

// writeTo sets a fact's share and failure flag if there are samples.
func (s *latencySamples) writeTo(fact *HostFact) {
	if s.count > 0 {
		fact.LatencyShare = s.sum / float64(s.count)
		fact.Failing = 2*s.errors > s.count
	}
}

// reportedCount is how many attempts a gateway reported as in flight at a host.
type reportedCount struct {
	inFlight int
	sentAt   int64
}

// Record records what a host itself has reported to this gateway.
func (s *State) Record(fact HostFact) {
	host := s.hosts[fact.Host]
	if host != nil && fact.Position > host.ownFact.Position {
		host.ownFact = fact
		s.scheduleReport(host)
	}
}

// overloadWeight is the weight of a new answer in the moving average of OverloadRatio: about thirty answers decide,
// which is a second or two of a gateway among hundreds.
const overloadWeight = 0.03

// OverloadRatio is the share of this gateway's recent attempts, at all hosts together, that took all of their latency
// objective or were rejected. It is for gateways that contact each host too seldom to judge it. The response time of
// answers within the objective does not count, since at rest it differs from deployment to deployment.
func (s *State) OverloadRatio() float64 { return s.overloadRatio }

// RecordLatencyShare records an answer of a host: its response time as a share of the latency objective, and whether it
// was an error.
func (s *State) RecordLatencyShare(id string, share float64, failed bool) {
	s.overloadRatio -= overloadWeight * s.overloadRatio
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

// Load is how many attempts other gateways have in flight at a host, and how many of the group's are about to start
// that no digest contains yet. Both are 0 without a recent digest.
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

// recordLatest records a position and role if the position is the latest so far.
func (h *hostState) recordLatest(now int64, fact HostFact) {
	if fact.Position > h.latest.Position {
		h.latest = HostFact{Host: h.id, Position: fact.Position, Role: fact.Role}
		h.latestAt = now
	}
}

// recordCount records how many attempts a gateway has in flight. A count that is reordered or outdated is ignored.
func (h *hostState) recordCount(now, sentAt int64, from, inFlight int) {
	count := &h.reportedCounts[from]
	if sentAt < count.sentAt || now-sentAt > countLifetime {
		return
	}
	h.reportedTotal += inFlight - count.inFlight
	*count = reportedCount{inFlight, sentAt}
}

// expireCounts removes the counts that other gateways have not repeated within countLifetime: they crashed, or their
// reports were lost. It runs at most four times per countLifetime.
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

// inFlightByOthers is how many attempts the other gateways have in flight at a host, as they have reported.
func (s *State) inFlightByOthers(now int64, host *hostState) int {
	if host.reportedCounts == nil {
		return 0
	}
	host.expireCounts(now, s.conf.Ordinal)
	return host.reportedTotal - host.reportedCounts[s.conf.Ordinal].inFlight
}
