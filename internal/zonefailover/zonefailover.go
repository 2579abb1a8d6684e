// Package zonal decides when a fleet leaves a zone that fails, and by which steps it returns. Where zones belong to regions,
// what is called a zone here is a region: all of its hosts are one.
//
// Each gateway judges each zone by what it sees of it itself (sight.go) and says so as a vote. A zone is left when most of
// the gateways that lie outside it, see each other and have a view of it find it bad, and only as far as the other zones
// bear its load; it is returned to by steps of share, each agreed on like the leaving, at a pace that hosts which
// have started cold bear, and taken back when answers worsen. Agreement is accord's: one epoch, one moment for all.
// Nothing here does I/O, reads a clock or starts anything.
package zonefailover

import (
	"fmt"
	"slices"
	"time"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
)

// FullShare is the share of a zone that is used in full, in hundredths.
const FullShare = 100

// Config says how zones are left. Times are microseconds.
type Config struct {
	Zones   []string // by index
	OwnZone int      // this gateway's zone; -1: none

	MaxEvacuated      int     // zones that may be left at a time
	RequiredShare     float64 // of the gateways with a view, the part that must find a zone bad
	MinViews          int     // gateways that must have a view at the least
	MaxLatencyShare   float64 // of their limit, what the other zones may be loaded to
	RecoverySteps     []byte  // shares of a return, rising, the last Whole
	StepDuration      int64   // a step's least time
	EvacuationTime    int64   // how long a zone is left for at the least; doubled with each return that was taken back
	MaxEvacuationTime int64
	BackoffReset      int64 // after so long in full use, Away is as at first

	// What an experiment takes away, to see that it is missed.
	PacedRecovery, CheckCapacity bool
}

// Override is what an operator wants of a zone, whatever is seen.
type Override uint8

// Pins.
const (
	NoOverride Override = iota
	ForceInUse
	ForceEvacuated
)

// ZoneView is what one gateway finds of one zone.
type ZoneView struct {
	Health       Health
	LatencyShare byte   // of their aim, what answers there take: hundredths, 255 at the most
	RequestRate  uint16 // requests of late, in tenths a second
}

// Health is what a gateway finds.
type Health byte

// Verdicts.
const (
	Unknown Health = iota // too little was seen of it
	Healthy
	Unhealthy
)

const viewSize = 4 // bytes of a view

// encodeVote is a vote's body: the gateway's zone, 255 if none, and its view of each.
func encodeVote(own int, views []ZoneView) []byte {
	b := []byte{byte(own)}
	for _, v := range views {
		b = append(b, byte(v.Health), v.LatencyShare, byte(v.RequestRate>>8), byte(v.RequestRate))
	}
	return b
}

// decodeVote reads of a vote's body what it says of one zone.
func decodeVote(b []byte, zone int) (own int, v ZoneView, ok bool) {
	if at := 1 + zone*viewSize; len(b) >= at+viewSize && b[at] <= byte(Unhealthy) {
		return int(b[0]), ZoneView{Health(b[at]), b[at+1], uint16(b[at+2])<<8 | uint16(b[at+3])}, true
	}
	return 0, v, false
}

// differs tells that views say something else than those that were told last. What others add up needs no more than a
// third; a verdict always counts.
func differs(was, now []ZoneView) bool {
	apart := func(a, b float64) bool { return max(a, b) > 1.33*min(a, b)+10 }
	for i := range now {
		if i >= len(was) || was[i].Health != now[i].Health || apart(float64(was[i].LatencyShare), float64(now[i].LatencyShare)) ||
			apart(float64(was[i].RequestRate), float64(now[i].RequestRate)) {
			return true
		}
	}
	return false
}

// LogEntry is a thing for operators to read.
type LogEntry struct {
	Zone, Message string
	Epoch         uint64
	Share         byte
	NextStepIn    time.Duration // until the next step may come; 0 if none does
}

// State is what a gateway holds of all zones.
type State struct {
	conf       Config
	agreement  *agreement.Participant
	zones      []zone
	epoch      uint64 // as last noted
	fullShares []byte // all zones in full use
	log        []LogEntry
	lastVote   []ZoneView
	baseline   []float64        // the least that answers of a zone took of their aim, on the mean
	votes      []agreement.Vote // of the round that is being decided
}

type zone struct {
	override       Override
	share          byte
	since          int64 // when it took effect
	evacuationTime int64 // how long it is left for at the least, the next time
}

// New returns a state in which all zones are whole.
func New(conf Config, council *agreement.Participant) *State {
	s := &State{conf: conf, agreement: council, zones: make([]zone, len(conf.Zones)), baseline: make([]float64, len(conf.Zones)), fullShares: slices.Repeat([]byte{FullShare}, len(conf.Zones))}
	for i := range s.zones {
		s.zones[i] = zone{share: FullShare, evacuationTime: conf.EvacuationTime}
	}
	return s
}

// topic is that of all votes and decisions. One for all zones: a gateway has one thing to say, and what has to hold of
// the zones together, that so many are left at a time and the others bear it, holds of each decision by itself.
const topic = "zones"

// Vote says what this gateway sees, if that is new or was said long ago; the entry is to be told to the others.
func (s *State) Vote(now int64, views []ZoneView) (crdt.Entry, bool) {
	if !differs(s.lastVote, views) {
		views = s.lastVote
	}
	e, ok := s.agreement.Vote(now, topic, encodeVote(s.conf.OwnZone, views))
	if ok {
		s.lastVote = slices.Clone(views)
	}
	return e, ok
}

// SetOverride sets what operators want of a zone.
func (s *State) SetOverride(zone int, p Override) { s.zones[zone].override = p }

// Share is how much of a zone is used now, in hundredths.
func (s *State) Share(now int64, zone int) byte {
	switch s.zones[zone].override {
	case ForceInUse:
		return FullShare
	case ForceEvacuated:
		return 0
	}
	shares, _ := s.agreement.InEffect(now, topic, s.fullShares)
	return shareOf(shares, zone)
}

// OwnZone is this gateway's zone; -1: none.
func (s *State) OwnZone() int { return s.conf.OwnZone }

// InEffect is what is in force.
func (s *State) InEffect(now int64) (shares []byte, epoch uint64) {
	return s.agreement.InEffect(now, topic, s.fullShares)
}

// InEffectFor is how long what is in force has been so.
func (s *State) InEffectFor(now int64) int64 {
	if d, ok := s.agreement.Latest(topic); ok && now >= d.EffectiveAt {
		return now - d.EffectiveAt
	}
	return 0
}

// shareOf is a zone's share in a decision. One that was made with other zones in mind says nothing of those it lacks.
func shareOf(shares []byte, zone int) byte {
	if zone < len(shares) {
		return min(shares[zone], FullShare)
	}
	return FullShare
}

// TakeLog returns what operators should read since they were last asked for.
func (s *State) TakeLog() []LogEntry {
	l := s.log
	s.log = nil
	return l
}

func (s *State) logZone(i int, z *zone, next int64, format string, a ...any) {
	s.log = append(s.log, LogEntry{Zone: s.conf.Zones[i], Message: fmt.Sprintf(format, a...), Epoch: s.epoch, Share: z.share,
		NextStepIn: time.Duration(next) * time.Microsecond})
}

// VoteCount is what the votes on a zone come to.
type VoteCount struct {
	Healthy, Unhealthy, Unknown int
	latencyShare                float64 // mean of those that find it good
}

func (t VoteCount) views() int { return t.Healthy + t.Unhealthy }

// countVotes adds up the votes of gateways that lie outside a zone. All gateways of a zone may be cut off with it, and then see
// everybody else as bad: those inside have no say.
func (s *State) countVotes(i int) (t VoteCount) {
	for _, v := range s.votes {
		own, view, ok := decodeVote(v.Body, i)
		if !ok || own == i {
			continue
		}
		switch view.Health {
		case Healthy:
			t.Healthy++
			t.latencyShare += float64(view.LatencyShare) / 100
		case Unhealthy:
			t.Unhealthy++
		case Unknown:
			t.Unknown++
		}
	}
	if t.Healthy > 0 {
		t.latencyShare /= float64(t.Healthy)
	}
	return t
}

// Decide looks at all zones, and returns what is to be told to the others: a proposal whose turn has come.
func (s *State) Decide(now int64, members agreement.Members) (told []crdt.Entry) {
	s.votes = s.agreement.Votes(now, topic, members)
	s.followDecision(now)
	s.updateBaselines()
	next := make([]byte, len(s.zones))
	any := false
	for i := range s.zones {
		next[i] = s.zones[i].share
		if d, ok := s.agreement.Latest(topic); ok {
			next[i] = shareOf(d.Value, i)
		}
	}
	for i := range s.zones {
		if share, due := s.nextShare(now, i, next); due {
			next[i], any = share, true
		}
	}
	if !any {
		s.agreement.Withdraw(topic)
		if e, ok := s.agreement.Resend(now, topic, members); ok {
			told = append(told, e)
		}
	} else if e, ok := s.agreement.Propose(now, topic, next, s.fullShares, members); ok {
		told = append(told, e)
		for i, share := range next {
			if t := s.countVotes(i); share != s.zones[i].share {
				s.logZone(i, &s.zones[i], 0, "proposed share %d: %d gateways find it bad, %d good, %d have no view", share, t.Unhealthy, t.Healthy, t.Unknown)
			}
		}
	}
	return told
}

// followDecision follows the shares that are in force.
func (s *State) followDecision(now int64) {
	shares, epoch := s.agreement.InEffect(now, topic, s.fullShares)
	from := now
	if d, ok := s.agreement.Latest(topic); ok && d.Epoch == epoch {
		from = d.EffectiveAt
	}
	news := epoch != s.epoch
	s.epoch = epoch
	for i := range s.zones {
		z := &s.zones[i]
		share, was := shareOf(shares, i), z.share
		if !news || share == was {
			if share == FullShare && now-z.since > s.conf.BackoffReset {
				z.evacuationTime = s.conf.EvacuationTime
			}
			continue
		}
		z.share, z.since = share, from
		switch {
		case share < was && was < FullShare: // a return was taken back
			z.evacuationTime = min(2*z.evacuationTime, s.conf.MaxEvacuationTime)
			s.logZone(i, z, z.evacuationTime, "return taken back at %d of 100", was)
		case share < was:
			s.logZone(i, z, z.evacuationTime, "left")
		case share == FullShare:
			s.logZone(i, z, 0, "in full use again")
		default:
			s.logZone(i, z, s.conf.StepDuration, "returning")
		}
	}
}

// nextShare is the share of a zone that should be agreed on next, if that is another; next has what is to be of the others.
func (s *State) nextShare(now int64, i int, next []byte) (share byte, due bool) {
	z := &s.zones[i]
	t := s.countVotes(i)
	bad := t.views() >= s.conf.MinViews && float64(t.Unhealthy) >= s.conf.RequiredShare*float64(t.views())
	good := t.views() >= 1 && float64(t.Unhealthy) <= (1-s.conf.RequiredShare)*float64(t.views())
	switch {
	case bad && z.share == FullShare:
		if evacuatedOthers(i, next) >= s.conf.MaxEvacuated {
			return 0, false
		}
		share = s.shareToKeep(i)
		return share, share < FullShare
	case z.share == FullShare:
		return 0, false
	case bad && z.share > 0: // but not for what was sent before the step
		share = s.shareToKeep(i)
		return share, share < z.share && now-z.since > s.conf.StepDuration/4
	case !good:
		return 0, false
	case z.share == 0 && now-z.since < z.evacuationTime, z.share > 0 && now-z.since < s.conf.StepDuration && s.conf.PacedRecovery:
		return 0, false
	case z.share > 0 && t.latencyShare > s.conf.MaxLatencyShare && s.conf.PacedRecovery: // answers worsen: the step is held
		return 0, false
	}
	for _, step := range s.conf.RecoverySteps {
		if step > z.share && (s.conf.PacedRecovery || step == FullShare) {
			return step, true
		}
	}
	return FullShare, true
}

// evacuatedOthers counts the other zones that are left or on their way back.
func evacuatedOthers(i int, next []byte) (n int) {
	for o, share := range next {
		if o != i && share < FullShare {
			n++
		}
	}
	return n
}

// totalLoad adds up what all gateways send to a zone, and the mean of what its answers take of their aim, by n of them.
func (s *State) totalLoad(zone int) (load, used float64, n int) {
	for _, v := range s.votes {
		if _, view, ok := decodeVote(v.Body, zone); ok {
			load += float64(view.RequestRate)
			if view.Health == Healthy && view.LatencyShare > 0 {
				used += float64(view.LatencyShare) / 100
				n++
			}
		}
	}
	return load, used / float64(max(n, 1)), n
}

// updateBaselines notes how little answers of each zone take when it has least to do.
func (s *State) updateBaselines() {
	for i := range s.zones {
		if _, used, n := s.totalLoad(i); n > 0 && (s.baseline[i] == 0 || used < s.baseline[i]) {
			s.baseline[i] = used
		}
	}
}

// hasSeenLoadElsewhere tells that another zone than i has been seen at work, so that what it bears is known at all.
func (s *State) hasSeenLoadElsewhere(i int) bool {
	for o, calm := range s.baseline {
		if _, used, n := s.totalLoad(o); o != i && n > 0 && used > calm {
			return true
		}
	}
	return false
}

// shareToKeep is the share of a zone that has to stay for the others to bear what it gives up. Answers of a host in use u take
// 1/(1-u) times what they take of a calm one (processor sharing), so u follows from what they take now and took at
// the least; at Bear of their aim no more is to be given.
func (s *State) shareToKeep(i int) byte {
	if !s.conf.CheckCapacity {
		return 0
	}
	var load, room float64
	for o := range s.zones {
		here, used, n := s.totalLoad(o)
		if o == i {
			load = here
			continue
		}
		calm := s.baseline[o]
		if n == 0 || here == 0 || calm == 0 || used <= calm {
			continue
		}
		use, most := 1-calm/used, 1-calm/s.conf.MaxLatencyShare
		room += here * max(most/use-1, 0)
	}
	if load == 0 || room >= load || len(s.zones) < 2 || !s.hasSeenLoadElsewhere(i) {
		return 0
	}
	return byte(FullShare * (1 - room/load)) // steps of the return go on from there
}
