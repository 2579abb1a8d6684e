// Package zonefailover decides when a fleet evacuates a failing zone, and in which steps traffic returns to it. If
// zones are grouped into regions, a zone here is a region with all of its hosts.
//
// Each gateway assesses the health of each zone from its own observations (evidence.go) and publishes that as its vote.
// A zone is evacuated when most of the gateways outside it that have a view of its health find it unhealthy, and only
// as far as the other zones have the capacity for its load (capacity.go). Traffic returns in increasing shares, each
// agreed on like the evacuation, at a pace that hosts with cold caches can serve. If the zone fails again, it is
// evacuated again. Package agreement provides one epoch and one time of effect for all gateways. This package does no
// I/O, reads no clock and starts no goroutine.
package zonefailover

import (
	"slices"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
)

// FullShare is the share of a zone that is used in full, in hundredths.
const FullShare = 100

// Config configures the evacuation and recovery of zones. Times are microseconds.
type Config struct {
	Zones   []string // names, by index
	OwnZone int      // this gateway's zone; -1: none

	MaxEvacuated    int     // zones that may be evacuated at a time
	RequiredShare   float64 // fraction of the gateways with a view of a zone's health that must find it unhealthy
	MinViews        int     // gateways that must have a view of the zone's health
	MaxLatencyShare float64 // response time, as a share of the latency objective, up to which zones may be loaded

	RecoverySteps     []byte // shares of a recovery in hundredths, increasing, the last FullShare
	StepDuration      int64  // shortest duration of a step
	EvacuationTime    int64  // shortest time for which a zone stays evacuated; doubled with each failed recovery
	MaxEvacuationTime int64  // limit of the doubling
	BackoffReset      int64  // time in full use after which the doubling is reset

	// Each is false only in experiments that show why it is required.
	PacedRecovery, CheckCapacity bool
}

// Override is an operator's order for a zone, whatever its health.
type Override uint8

// The overrides.
const (
	NoOverride Override = iota
	ForceInUse
	ForceEvacuated
)

// State is one gateway's part in zone failover. It is not safe for concurrent use.
type State struct {
	conf       Config
	agreement  *agreement.Participant
	zones      []zone
	epoch      uint64 // the epoch in effect at the last call of followDecision
	fullShares []byte // all zones in full use
	log        []LogEntry
	lastVote   []ZoneView
	baseline   []float64        // lowest response time of a zone, as a share of the latency objective; 0: unknown
	votes      []agreement.Vote // the votes of the current call of Decide
}

type zone struct {
	override       Override
	share          byte  // in effect, in hundredths
	since          int64 // when share took effect
	evacuationTime int64 // microseconds for which the zone stays evacuated the next time
}

// New returns a state in which all zones are in full use.
func New(conf Config, participant *agreement.Participant) *State {
	s := &State{
		conf:       conf,
		agreement:  participant,
		zones:      make([]zone, len(conf.Zones)),
		baseline:   make([]float64, len(conf.Zones)),
		fullShares: slices.Repeat([]byte{FullShare}, len(conf.Zones)),
	}
	for i := range s.zones {
		s.zones[i] = zone{share: FullShare, evacuationTime: conf.EvacuationTime}
	}
	return s
}

// topic is the topic of all votes and decisions. There is one for all zones, since a decision has to limit how many
// zones are evacuated at a time and to check the capacity of the remaining ones.
const topic = "zones"

// Vote stores this gateway's vote if the views differ from its last vote or the last vote is due for renewal. It reports
// whether it stored a vote; the caller sends the entry to the other members.
func (s *State) Vote(now int64, views []ZoneView) (crdt.Entry, bool) {
	if !viewsChanged(s.lastVote, views) {
		views = s.lastVote
	}
	e, isNew := s.agreement.Vote(now, topic, encodeVote(s.conf.OwnZone, views))
	if isNew {
		s.lastVote = slices.Clone(views)
	}
	return e, isNew
}

// SetOverride sets an operator's order for a zone.
func (s *State) SetOverride(zone int, override Override) { s.zones[zone].override = override }

// Share returns the share of a zone that is to be used now, in hundredths, overrides included.
func (s *State) Share(now int64, zone int) byte {
	switch s.zones[zone].override {
	case ForceInUse:
		return FullShare
	case ForceEvacuated:
		return 0
	}
	shares, _ := s.InEffect(now)
	return shareOf(shares, zone)
}

// OwnZone returns this gateway's zone; -1 if it has none.
func (s *State) OwnZone() int { return s.conf.OwnZone }

// InEffect returns the shares that are in effect and their epoch, without overrides.
func (s *State) InEffect(now int64) (shares []byte, epoch uint64) {
	return s.agreement.InEffect(now, topic, s.fullShares)
}

// InEffectFor returns for how many microseconds the latest decision has been in effect; 0 if it is not in effect yet or
// there is none.
func (s *State) InEffectFor(now int64) int64 {
	if latest, found := s.agreement.Latest(topic); found && now >= latest.EffectiveAt {
		return now - latest.EffectiveAt
	}
	return 0
}

// shareOf returns a zone's share in a decision. A zone that the decision does not include is in full use.
func shareOf(shares []byte, zone int) byte {
	if zone < len(shares) {
		return min(shares[zone], FullShare)
	}
	return FullShare
}

// Decide assesses all zones from the votes, and returns the entries to be sent to the other members: a proposal when it
// is this gateway's turn to propose, or the last decision when it is due for renewal. Call it periodically.
func (s *State) Decide(now int64, members agreement.Members) (toSend []crdt.Entry) {
	s.votes = s.agreement.Votes(now, topic, members)
	s.followDecision(now)
	s.updateBaselines()
	shares, isChange := s.wantedShares(now)
	if !isChange {
		s.agreement.Withdraw(topic)
		if e, isDue := s.agreement.Resend(now, topic, members); isDue {
			toSend = append(toSend, e)
		}
		return toSend
	}
	if e, isDue := s.agreement.Propose(now, topic, shares, s.fullShares, members); isDue {
		toSend = append(toSend, e)
		s.logProposals(shares)
	}
	return toSend
}

// wantedShares returns the shares that should be in effect next, and whether they differ from those decided last.
func (s *State) wantedShares(now int64) (shares []byte, isChange bool) {
	latest, decided := s.agreement.Latest(topic)
	shares = make([]byte, len(s.zones))
	for i := range s.zones {
		shares[i] = s.zones[i].share
		if decided {
			shares[i] = shareOf(latest.Value, i)
		}
	}
	for i := range s.zones {
		if share, isDue := s.nextShare(now, i, shares); isDue {
			shares[i] = share
			isChange = true
		}
	}
	return shares, isChange
}

// followDecision applies the shares that have come into effect.
func (s *State) followDecision(now int64) {
	shares, epoch := s.InEffect(now)
	effectiveAt := now
	if latest, found := s.agreement.Latest(topic); found && latest.Epoch == epoch {
		effectiveAt = latest.EffectiveAt
	}
	isNew := epoch != s.epoch
	s.epoch = epoch
	for i := range s.zones {
		share := shareOf(shares, i)
		if isNew && share != s.zones[i].share {
			s.changeShare(i, share, effectiveAt)
		} else {
			s.resetBackoff(now, i, share)
		}
	}
}

// resetBackoff resets a zone's evacuation time when it has been in full use for longer than BackoffReset.
func (s *State) resetBackoff(now int64, i int, share byte) {
	if share == FullShare && now-s.zones[i].since > s.conf.BackoffReset {
		s.zones[i].evacuationTime = s.conf.EvacuationTime
	}
}

// changeShare applies and logs a new share of a zone. A lower share during a recovery means that the recovery failed.
func (s *State) changeShare(i int, share byte, effectiveAt int64) {
	z := &s.zones[i]
	previous := z.share
	z.share = share
	z.since = effectiveAt
	switch {
	case share < previous && previous < FullShare:
		z.evacuationTime = min(2*z.evacuationTime, s.conf.MaxEvacuationTime)
		s.logChange(i, logRecoveryFailed, previous, z.evacuationTime)
	case share < previous:
		s.logChange(i, logEvacuated, previous, z.evacuationTime)
	case share == FullShare:
		s.logChange(i, logFullUse, previous, 0)
	default:
		s.logChange(i, logRecovering, previous, s.conf.StepDuration)
	}
}

// nextShare returns the share that should be proposed for zone i, if a change is due. wanted holds the shares of all
// zones: those decided last, with the changes that are already due for the zones before i.
func (s *State) nextShare(now int64, i int, wanted []byte) (share byte, isDue bool) {
	z := &s.zones[i]
	votes := countVotes(s.votes, i)
	isUnhealthy := s.isUnhealthy(&votes)
	if z.share == FullShare {
		if !isUnhealthy || countOthersNotInFullUse(i, wanted) >= s.conf.MaxEvacuated {
			return 0, false
		}
		share = s.shareToKeep(i)
		return share, share < FullShare
	}
	if isUnhealthy && z.share > 0 {
		share = s.shareToKeep(i)
		visibleInVotes := now-z.since > s.conf.StepDuration/4 // before that, votes are about the previous share
		return share, share < z.share && visibleInVotes
	}
	if !s.isHealthy(&votes) || !s.mayRecover(now, z, &votes) {
		return 0, false
	}
	return s.nextRecoveryStep(z.share), true
}

// isUnhealthy reports whether enough votes find a zone unhealthy to evacuate it.
func (s *State) isUnhealthy(votes *VoteCount) bool {
	return votes.viewCount() >= s.conf.MinViews && float64(votes.Unhealthy) >= s.conf.RequiredShare*float64(votes.viewCount())
}

// isHealthy reports whether enough votes find a zone healthy to return traffic to it.
func (s *State) isHealthy(votes *VoteCount) bool {
	return votes.viewCount() >= 1 && float64(votes.Unhealthy) <= (1-s.conf.RequiredShare)*float64(votes.viewCount())
}

// mayRecover reports whether a healthy zone that is not in full use may take the next recovery step. The next step waits
// while response times are too long. If no gateway has measured any, the zone has no load that a step could add to.
func (s *State) mayRecover(now int64, z *zone, votes *VoteCount) bool {
	if z.share == 0 {
		return now-z.since >= z.evacuationTime
	}
	if !s.conf.PacedRecovery {
		return true
	}
	return now-z.since >= s.conf.StepDuration && votes.latencyShare <= s.conf.MaxLatencyShare
}

// nextRecoveryStep returns the recovery step after a share; without paced recovery that is always full use.
func (s *State) nextRecoveryStep(share byte) byte {
	for _, step := range s.conf.RecoverySteps {
		if step > share && (s.conf.PacedRecovery || step == FullShare) {
			return step
		}
	}
	return FullShare
}

// countOthersNotInFullUse counts the zones other than i that are not in full use.
func countOthersNotInFullUse(i int, shares []byte) (n int) {
	for other, share := range shares {
		if other != i && share < FullShare {
			n++
		}
	}
	return n
}
