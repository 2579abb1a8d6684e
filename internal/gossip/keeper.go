package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCandidates            = 8         // gateways that may keep a group, in the order in which they are asked
	silentCoordinatorBackoff = 5_000_000 // one that did not answer is asked again after about this time
	propagationDelay         = 40_000    // about what a report and a digest take on their way, and in waiting for company
	minDigestInterval        = 40_000    // digests of a group are no closer: news are no fresher
	relaxedIntervalFactor    = 2         // a digest waits until requests have paid so many times its price, if nothing presses
	pressingFraction         = 5         // it is pressing after two of these parts of Within: positions grow too old to be used
	checkTokensPerAttempt    = 0.1       // hosts asked for each attempt at a replica: knowledge must not cost more than it brings
	checkTokenBurst          = 8.0       // enough for all of a group at its start
	rateWarmup               = 1_000_000 // the rate of attempts is not known before: digests come as pressing ones do
)

// groupState is a group of hosts and its keeper.
type groupState struct {
	hash             uint32
	hosts            []*hostState
	hostsByShortHash map[uint16]*hostState // by the part of the code that digests have
	candidates       []int                 // gateways that may keep it

	awaitingSince      int64 // since when a report waits for a digest; 0 if none does
	awaitedCoordinator int   // whom it was sent

	hasNews                    bool    // as its keeper: there is something to tell
	lastReportAt               int64   // when that was reported last
	checkTokens                float64 // that may be named by Ask
	started                    int     // attempts reported since the last digest
	firstReportAt              int64   // the first report ever
	lastDigestAt, nextDigestAt int64

	attemptRate    float64 // attempts at replicas in a second
	digestSentAt   int64   // sending of the digest that was heard last; 0 if none was
	digestInterval int64   // when the next was to follow it
}

// ensureGroup returns the group's, made when first asked for.
func (s *State) ensureGroup(group int64) *groupState {
	id := uint32(xxhash.Sum64String("group "+strconv.FormatInt(group, 10)) >> 40)
	if c := s.groupsByHash[id]; c != nil { // two groups with one code share a keeper; hosts are told apart by their own codes
		return c
	}
	c := &groupState{hash: id, checkTokens: checkTokenBurst, hostsByShortHash: map[uint16]*hostState{}, candidates: rankCandidates(id, s.conf.Gateways)}
	s.groups = append(s.groups, c)
	s.groupsByHash[id] = c
	return c
}

// rankCandidates ranks gateways for a group by rendezvous hashing: each finds the same order, groups spread evenly, and one that
// is passed over moves only what it kept.
func rankCandidates(id uint32, gateways int) []int {
	type ranked struct {
		hash    uint64
		ordinal int
	}
	var best []ranked
	var b [8]byte
	binary.BigEndian.PutUint32(b[:], id)
	for o := range gateways {
		binary.BigEndian.PutUint32(b[4:], uint32(o))
		r := ranked{xxhash.Sum64(b[:]), o}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ordinal, b.ordinal))
		})
		if best = slices.Insert(best, i, r); len(best) > maxCandidates {
			best = best[:maxCandidates]
		}
	}
	var os []int
	for _, r := range best {
		os = append(os, r.ordinal)
	}
	return os
}

// coordinator is the first candidate that is not known to be silent.
func (s *State) coordinator(now int64, c *groupState) int {
	for _, o := range c.candidates {
		if o == s.conf.Ordinal || s.silentUntil[o] <= now {
			return o
		}
	}
	return c.candidates[0]
}

// randomFraction returns a number from 0 on and below 1.
func (s *State) randomFraction() float64 { return float64(s.rand.Below(1<<30)) / (1 << 30) }

// hasRecentDigest tells whether a digest came lately.
func (c *groupState) hasRecentDigest(now int64) bool {
	return c.digestSentAt != 0 && now-c.digestSentAt <= max(countLifetime, 2*c.digestInterval)
}

// awaitDigest notes that a report goes to a keeper, which is to be heard of.
func (c *groupState) awaitDigest(now int64, to int) {
	if c.awaitingSince == 0 || c.awaitedCoordinator != to {
		c.awaitingSince, c.awaitedCoordinator = now, to
	}
}

// passOverSilentCoordinator passes over a keeper that was told and tells nothing.
func (s *State) passOverSilentCoordinator(now int64, c *groupState) {
	if c.awaitingSince != 0 && now-c.awaitingSince > max(s.conf.FreshnessWindow, c.digestInterval)+s.conf.FreshnessWindow/2 {
		s.silentUntil[c.awaitedCoordinator] = now + silentCoordinatorBackoff/2 + s.rand.Below(silentCoordinatorBackoff)
		c.awaitingSince = 0
	}
}

// MaxReportDelay is how long the fleet may have nothing to tell of a host that answers somebody.
func (s *State) MaxReportDelay(host string) int64 {
	b := s.hosts[host]
	if b == nil || b.group.digestSentAt == 0 {
		return 0
	}
	return b.group.digestInterval + 2*propagationDelay
}

// applyReport is the keeper's part: it takes in what a gateway has reported of a host.
func (s *State) applyReport(now, sent int64, from int, b *hostState, r *report) {
	c := b.group
	c.hasNews, c.lastReportAt = true, now
	if r.Role == Primary && b.latest.Role != Primary && r.Position > b.latest.Position { // writes wait for it
		c.nextDigestAt = now
	}
	b.recordLatest(now, r.HostFact)
	if r.LatencyShare > 0 || r.Failing {
		b.reportedSamples.add(r.LatencyShare, r.Failing)
	}
	if b.latest.Role != Primary { // reads go to one replica or another; what goes to the primary has no choice
		c.started += r.started
		c.checkTokens = min(checkTokenBurst, c.checkTokens+checkTokensPerAttempt*float64(r.started))
	}
	if b.reportedCounts == nil {
		b.reportedCounts = make([]reportedCount, s.conf.Gateways)
	}
	n := &b.reportedCounts[from]
	if sent < n.sentAt || now-sent > countLifetime { // overtaken, or from before a stall
		return
	}
	b.reportedTotal += r.inFlight - n.inFlight
	*n = reportedCount{r.inFlight, sent}
}

// recordLatest takes what is known later of a host's log.
func (b *hostState) recordLatest(now int64, f HostFact) {
	if f.Position > b.latest.Position {
		b.latest, b.latestAt = HostFact{Host: b.id, Position: f.Position, Role: f.Role}, now
	}
}

// HostsToCheck returns the hosts that this gateway, as their keeper, wants to be asked for their position. One that nobody has
// heard of for a while gets no bounded reads, and without reads nobody hears of it: of a group the first hosts that are
// known would take all. Those that lag by long are asked seldom, and so is everybody where the group is idle.
func (s *State) HostsToCheck(now int64) (hosts []string) {
	gap := s.conf.FreshnessWindow / 2
	for _, c := range s.groups {
		if c.lastReportAt == 0 || now-c.lastReportAt > gap || s.coordinator(now, c) != s.conf.Ordinal {
			continue
		}
		for _, b := range c.hosts {
			lag := max(b.latestAt-b.latest.Position, 0)
			if b.latest.Role != Primary && now-b.latestAt > gap && now-b.checkedAt > max(gap, min(lag, maxInterval)/4) && c.checkTokens >= 1 {
				c.checkTokens--
				b.checkedAt = now
				hosts = append(hosts, b.id)
			}
		}
	}
	return hosts
}

// inFlightByOthers is how many attempts the other gateways have out, as they have reported.
func (s *State) inFlightByOthers(now int64, b *hostState) int {
	if b.reportedCounts == nil {
		return 0
	}
	if now-b.countsExpiredAt > countLifetime/4 { // gateways that died, and reports that were lost
		b.countsExpiredAt = now
		for i := range b.reportedCounts {
			if n := &b.reportedCounts[i]; n.inFlight > 0 && now-n.sentAt > countLifetime && i != s.conf.Ordinal {
				b.reportedTotal -= n.inFlight
				n.inFlight = 0
			}
		}
	}
	return b.reportedTotal - b.reportedCounts[s.conf.Ordinal].inFlight
}

// isIsolated tells whether this gateway hears nobody, or all too late for what it hears to be used. As a keeper it would tell
// of what it has seen itself, and be taken for one that knows; silent, it is passed over. Where nobody else has
// anything to report, nobody misses it.
func (s *State) isIsolated(now int64) bool { return now-s.newestSentAt > s.conf.FreshnessWindow }

// buildDigest returns what the keeper of a group tells all others now, or nil.
func (s *State) buildDigest(now int64, c *groupState) []byte {
	if !c.hasNews || now < c.nextDigestAt || s.isIsolated(now) {
		return nil
	}
	if c.lastDigestAt == 0 {
		c.firstReportAt, c.lastDigestAt = now, now-rateWarmup/4
	}
	elapsed := float64(now-c.lastDigestAt) / 1e6
	c.attemptRate += min(1, max(elapsed, rateWarmup/1e6-float64(now-c.firstReportAt)/1e6)) * (float64(c.started)/elapsed - c.attemptRate)
	c.started, c.lastDigestAt, c.hasNews = 0, now, false

	// The primary goes first; who says later that it is one is.
	var primary *hostState
	for _, b := range c.hosts {
		if b.latest.Role == Primary && (primary == nil || b.latest.Position > primary.latest.Position) {
			primary = b
		}
	}
	var entries []byte
	add := func(b *hostState) {
		load := float64(s.inFlightByOthers(now, b) + b.inFlight)
		if c.hasRecentDigest(now) {
			load = max(load, b.publishedLoad) // another tells of the group, too, and some can't hear it
		}
		f := b.latest
		b.reportedSamples.writeTo(&f)
		told := f.Position > b.publishedPosition && f.Role != Unknown && (b == primary || f.Role == Replica)
		if load == 0 && b.reportedSamples.count == 0 && !told || c.hostsByShortHash[uint16(b.hash)] != b || digestHeaderSize+len(entries)+entrySize > MaxMessage {
			return
		}
		if !told {
			f.Position = 0
		} else {
			b.publishedPosition = f.Position
		}
		if b == primary {
			b.concurrencyCap.adjust(f.LatencyShare, load, s.randomFraction())
		}
		b.reportedSamples = latencySamples{}
		entries = appendEntry(entries, now, b.hash, f, load)
	}
	leads := false
	if primary != nil {
		add(primary)
		leads = len(entries) > 0
	}
	for _, b := range c.hosts {
		if b != primary {
			add(b)
		}
	}
	cost := float64((digestHeaderSize + len(entries)) * (s.conf.Gateways - 1))
	paid := maxInterval * 2.0
	if c.attemptRate > 0 {
		paid = min(paid, cost/(c.attemptRate*s.conf.BytesPerRequest)*1e6)
	}
	pressing := float64(s.conf.FreshnessWindow) * 2 / pressingFraction
	if now-c.firstReportAt >= rateWarmup {
		pressing = max(pressing, paid)
	}
	every := int64(min(max(relaxedIntervalFactor*paid, minDigestInterval), pressing))
	c.nextDigestAt = now + every
	return append(appendDigestHead(newMessage(now, digestVersion), c.hash, every, c.attemptRate, leads), entries...)
}

// receiveReport takes a report, as a keeper; the gateway itself learns by it, too.
func (s *State) receiveReport(now, sent int64, from int, body []byte) ([]HostFact, error) {
	if len(body)%reportSize != 0 {
		return nil, errMalformedMessage
	}
	reports := make([]report, 0, len(body)/reportSize)
	for ; len(body) > 0; body = body[reportSize:] {
		r, err := readReport(sent, body)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	var facts []HostFact
	for _, r := range reports {
		if b := s.hostsByHash[r.hash]; b != nil {
			r.Host = b.id
			s.applyReport(now, sent, from, b, &r)
			facts = append(facts, r.HostFact)
		}
	}
	return facts, nil
}

// receiveDigest takes a digest. Loads are believed of the keeper that this gateway reports to; another, which some others
// report to while they can't hear the first, knows a part of them only.
func (s *State) receiveDigest(now, sent int64, from int, body []byte) ([]HostFact, error) {
	d, err := readDigest(sent, body)
	if err != nil {
		return nil, err
	}
	c := s.groupsByHash[d.group]
	if c == nil {
		return nil, nil
	}
	if c.awaitedCoordinator == from {
		c.awaitingSince = 0
	}
	followed := (s.coordinator(now, c) == from || s.coordinator(now, c) == s.conf.Ordinal) && sent > c.digestSentAt
	if followed {
		c.digestSentAt, c.digestInterval, c.attemptRate = sent, d.interval, d.attemptRate
		for _, b := range c.hosts { // of whom nothing is said, nothing is out
			b.publishedLoad, b.ownInPublishedLoad = 0, 0
		}
	}
	var facts []HostFact
	for _, e := range d.entries {
		b := c.hostsByShortHash[e.shortHash]
		if b == nil {
			continue
		}
		if followed {
			b.publishedLoad, b.ownInPublishedLoad = e.load, b.reportedInFlight
		}
		b.recordLatest(now, e.HostFact)
		if followed && b.latest.Role == Primary { // one that answers nothing more is told of without its role
			b.concurrencyCap.adjust(e.LatencyShare, e.load, s.randomFraction())
		}
		if e.Position > 0 || e.LatencyShare > 0 || e.Failing {
			e.Host = b.id
			facts = append(facts, e.HostFact)
		}
	}
	return facts, nil
}
