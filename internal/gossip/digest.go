package gossip

// Limits of the interval between digests.
const (
	minDigestInterval     = 40_000    // microseconds; more frequent digests would contain no newer reports
	relaxedIntervalFactor = 2         // usual interval, as a multiple of the time in which requests pay for a digest
	rateWarmup            = 1_000_000 // microseconds from the first report until the attempt rate is known
	// The next digest is due at the latest after this fraction of the freshness window, because positions would
	// otherwise become too old to be used. Once the attempt rate is known, a digest is due only after requests have
	// paid for it.
	urgentNumerator   = 2
	urgentDenominator = 5
)

// buildDigest returns the digest that this gateway, as the coordinator of a group, must broadcast now, or nil.
func (s *State) buildDigest(now int64, group *groupState) []byte {
	if !group.hasUnpublished || now < group.nextDigestAt || s.isIsolated(now) {
		return nil
	}
	group.updateAttemptRate(now)
	group.started = 0
	group.lastDigestAt = now
	group.hasUnpublished = false

	entries, primaryFirst := s.buildEntries(now, group)
	interval := s.nextInterval(now, group, digestHeaderSize+len(entries))
	group.nextDigestAt = now + interval
	message := newMessage(now, digestVersion)
	message = appendDigestHeader(message, group.hash, interval, group.attemptRate, primaryFirst)
	return append(message, entries...)
}

// updateAttemptRate updates the rate, a moving average over about a second, by the attempts since the last digest.
func (g *groupState) updateAttemptRate(now int64) {
	if g.lastDigestAt == 0 {
		g.firstReportAt = now
		g.lastDigestAt = now - rateWarmup/4
	}
	elapsed := float64(now-g.lastDigestAt) / 1e6
	warmupLeft := rateWarmup/1e6 - float64(now-g.firstReportAt)/1e6
	weight := min(1, max(elapsed, warmupLeft))
	g.attemptRate += float64(weight * (float64(g.started)/elapsed - g.attemptRate))
}

// buildEntries returns the entries of a digest, and whether the first of them is the primary's.
func (s *State) buildEntries(now int64, group *groupState) (entries []byte, primaryFirst bool) {
	primary := group.latestPrimary()
	if primary != nil {
		entries = s.appendHost(entries, now, primary, true)
		primaryFirst = len(entries) > 0
	}
	for _, host := range group.hosts {
		if host != primary {
			entries = s.appendHost(entries, now, host, false)
		}
	}
	return entries, primaryFirst
}

// latestPrimary returns the host that was reported as primary at the highest position, or nil.
func (g *groupState) latestPrimary() (primary *hostState) {
	for _, host := range g.hosts {
		if host.latest.Role != Primary {
			continue
		}
		if primary == nil || host.latest.Position > primary.latest.Position {
			primary = host
		}
	}
	return primary
}

// appendHost appends a host's entry if it is not empty, its short hash is unambiguous and the message has space left.
func (s *State) appendHost(entries []byte, now int64, host *hostState, isPrimary bool) []byte {
	load := s.totalLoad(now, host)
	fact := host.latest
	host.reportedSamples.writeTo(&fact)
	roleIsCurrent := isPrimary || fact.Role == Replica // a former primary has no role to publish
	hasNewPosition := fact.Position > host.publishedPosition && fact.Role != Unknown && roleIsCurrent
	isEmpty := load == 0 && host.reportedSamples.count == 0 && !hasNewPosition
	isAmbiguous := host.group.hostsByShortHash[shortHash(host.hash)] != host
	isFull := digestHeaderSize+len(entries)+entrySize > MaxMessage
	if isEmpty || isAmbiguous || isFull {
		return entries
	}
	if hasNewPosition {
		host.publishedPosition = fact.Position
	} else {
		fact.Position = 0
	}
	if isPrimary {
		host.concurrencyCap.adjust(fact.LatencyShare, load, s.rand.Fraction())
	}
	host.reportedSamples = latencySamples{}
	return appendEntry(entries, now, host.hash, fact, load)
}

// totalLoad returns how many attempts all gateways have in flight at a host. If another gateway also publishes digests
// of the group, some gateways cannot reach one of the two coordinators, and the higher number is the more accurate
// one.
func (s *State) totalLoad(now int64, host *hostState) float64 {
	load := float64(s.inFlightByOthers(now, host) + host.inFlight)
	if host.group.hasRecentDigest(now) {
		load = max(load, host.publishedLoad)
	}
	return load
}

// nextInterval returns the time in microseconds from a digest of the given size, in bytes, until the next one: usually
// relaxedIntervalFactor times the time in which requests pay for a digest, within the limits above. Each attempt pays
// BytesPerRequest bytes.
func (s *State) nextInterval(now int64, group *groupState, size int) int64 {
	cost := float64(size * (s.conf.Gateways - 1)) // bytes
	paidInterval := maxInterval * 2.0
	if group.attemptRate > 0 {
		paidInterval = min(paidInterval, cost/(group.attemptRate*s.conf.BytesPerRequest)*1e6)
	}
	urgent := float64(s.conf.FreshnessWindow) * urgentNumerator / urgentDenominator
	if now-group.firstReportAt >= rateWarmup {
		urgent = max(urgent, paidInterval)
	}
	return int64(min(max(relaxedIntervalFactor*paidInterval, minDigestInterval), urgent))
}

// receiveDigest applies a digest of another gateway and returns the facts in it. Loads are used only from the
// coordinator to which this gateway reports, because any other one has received only a part of the reports.
func (s *State) receiveDigest(now, sentAt int64, from int, body []byte) ([]HostFact, error) {
	d, err := readDigest(sentAt, body)
	if err != nil {
		return nil, err
	}
	group := s.groupsByHash[d.group]
	if group == nil {
		return nil, nil
	}
	if group.awaitedCoordinator == from {
		group.awaitingSince = 0
	}
	coordinator := s.coordinator(now, group)
	useLoads := (coordinator == from || coordinator == s.conf.Ordinal) && sentAt > group.digestSentAt
	if useLoads {
		group.applyHeader(sentAt, &d)
	}
	var facts []HostFact
	for _, e := range d.entries {
		host := group.hostsByShortHash[e.shortHash]
		if host == nil {
			continue
		}
		if useLoads {
			host.publishedLoad = e.load
			host.ownInPublishedLoad = host.reportedInFlight
		}
		host.recordLatest(now, e.HostFact)
		if useLoads && host.latest.Role == Primary { // the entry has no role if the primary has stopped answering
			host.concurrencyCap.adjust(e.LatencyShare, e.load, s.rand.Fraction())
		}
		if e.Position > 0 || e.LatencyShare > 0 || e.Failing {
			e.Host = host.id
			facts = append(facts, e.HostFact)
		}
	}
	return facts, nil
}

// applyHeader applies the header of a digest and sets the loads of all hosts to 0, because hosts without an entry have
// no attempts in flight.
func (g *groupState) applyHeader(sentAt int64, d *digest) {
	g.digestSentAt = sentAt
	g.digestInterval = d.interval
	g.attemptRate = d.attemptRate
	for _, host := range g.hosts {
		host.publishedLoad = 0
		host.ownInPublishedLoad = 0
	}
}
