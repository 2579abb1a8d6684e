// Package gossip decides what the gateways of a fleet tell one another of the hosts, to whom, when, and what of it is
// believed.
//
// Many gateways see each host seldom, but together often. Each group of hosts has a keeper among the gateways, found by
// each gateway for itself (keeper.go). A gateway reports to it what it hears from a host and how many attempts it has
// out there, in a few bytes to the keeper alone; the keeper adds up and tells everybody in one short digest, as often as
// the group's requests pay for. So what is told in a second follows the requests and the groups; only digests are
// multiplied by the number of gateways, and they come the less often the more these are.
//
// Nothing rests on who keeps: two keepers at a time do no harm, since positions only rise and loads are taken from the
// one that a gateway reports to, and without one a gateway knows what it has seen itself. A message that is lost, late,
// repeated or out of order does no harm either. Nothing here does I/O, reads a clock or starts anything; the same calls
// give the same messages.
package gossip

import (
	"slices"

	"cloverrock/internal/random"
)

// Role is the part that a host was seen to play.
type Role uint8

// The roles of a host.
const (
	Unknown Role = iota
	Primary
	Replica
)

// HostFact is what is known of a host. Times are microseconds since 1970, positions are times of the log.
type HostFact struct {
	Host         string
	Position     int64   // applied at least up to here; 0 if not known
	Role         Role    // as of Position
	LatencyShare float64 // of their aim that answers took of late; 0 if not told
	Failing      bool    // most answers of late were errors
}

// Message is one datagram to send.
type Message struct {
	To   int // number of a gateway, or Everybody
	Data []byte
}

// Broadcast is the receiver of what goes to all gateways.
const Broadcast = -1

// Config describes the fleet.
type Config struct {
	Gateways        int     // of the tier, this one included
	Ordinal         int     // number of this one among them, from 0
	BytesPerRequest float64 // bytes, each counted once for each receiver, that a request pays for at the most
	FreshnessWindow int64   // what is told is wanted by others within this time of its being so
}

// enabled tells whether there is anybody to tell.
func (c *Config) enabled() bool {
	return c.Gateways > 1 && c.BytesPerRequest > 0 && c.FreshnessWindow > 0 && c.Ordinal >= 0 && c.Ordinal < c.Gateways
}

const (
	malformedReportInterval = 10_000_000
	reportInterval          = 20_000    // after reports were sent, others wait so long: a busy gateway sends some at a time
	countLifetime           = 1_000_000 // a count that was not told again for so long stands for nothing
)

// hostState is what is known of one host.
type hostState struct {
	id    string
	hash  uint32
	group *groupState

	ownFact          HostFact // heard from the host itself
	samples          latencySamples
	inFlight         int  // attempts of this gateway
	reportedInFlight int  // and as it last reported them
	started          int  // attempts since then
	reportDue        bool // to be reported

	latest            HostFact // the latest position that anybody has heard and told, with the role as of it
	latestAt          int64    // when it came to be known
	checkedAt         int64    // as its keeper: when Ask named it last
	publishedPosition int64
	reportedSamples   latencySamples
	reportedCounts    []reportedCount // by gateway
	reportedTotal     int             // all of these
	countsExpiredAt   int64

	concurrencyCap     concurrencyCap
	publishedLoad      float64 // as the keeper told: attempts of all, this gateway's as it had reported them included
	ownInPublishedLoad int
}

// latencySamples are of how much of their aim answers took.
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

// writeTo writes what the samples say into a fact.
func (s *latencySamples) writeTo(f *HostFact) {
	if s.count > 0 {
		f.LatencyShare, f.Failing = s.sum/float64(s.count), 2*s.errors > s.count
	}
}

// reportedCount is what a gateway has out at a host, as of when.
type reportedCount struct {
	inFlight int
	sentAt   int64
}

// State is one gateway's part in the exchange. It is not safe for concurrent use.
type State struct {
	conf           Config
	rand           random.Source
	hosts          map[string]*hostState
	hostsByHash    map[uint32]*hostState  // nil where two hosts share a code: nothing is believed of either
	groups         []*groupState          // in the order in which they came, so that the same calls give the same messages
	groupsByHash   map[uint32]*groupState // the same by code
	silentUntil    map[int]int64          // gateways that did not answer as keepers, until when they are passed over
	pendingReports []*hostState
	nextReportsAt  int64 // when reports may go out again
	newestSentAt   int64 // sending of the newest message that was heard
	overloadRatio  float64

	malformed, malformedReported int // messages that could not be read, and how many of these Complaint has told
	malformedReportedAt          int64
}

// New returns a state that knows no host.
func New(c Config, seed uint64) *State {
	return &State{conf: c, rand: random.Source(seed), hosts: map[string]*hostState{}, hostsByHash: map[uint32]*hostState{},
		groupsByHash: map[uint32]*groupState{}, silentUntil: map[int]int64{}}
}

// AddHost makes a host of a group known, so that what others tell of it is understood.
func (s *State) AddHost(host string, group int64) {
	if !s.conf.enabled() || s.hosts[host] != nil {
		return
	}
	b := &hostState{id: host, hash: hostHash(host), group: s.ensureGroup(group)}
	s.hosts[host] = b
	addUnique(s.hostsByHash, b.hash, b)
	addUnique(b.group.hostsByShortHash, uint16(b.hash), b)
	b.group.hosts = append(b.group.hosts, b)
}

// addUnique puts a value under its code. Of two with one code nothing is believed: whom a message means is not known.
func addUnique[K comparable, V any](m map[K]*V, k K, v *V) {
	if _, taken := m[k]; taken {
		v = nil
	}
	m[k] = v
}

// removeUnique takes a value out; what shared its code stays marked, since old messages may still come.
func removeUnique[K comparable, V any](m map[K]*V, k K, v *V) {
	if m[k] == v {
		delete(m, k)
	}
}

// RemoveHost forgets a host: nothing more is said or believed of it.
func (s *State) RemoveHost(host string) {
	b := s.hosts[host]
	if b == nil {
		return
	}
	delete(s.hosts, host)
	removeUnique(s.hostsByHash, b.hash, b)
	removeUnique(b.group.hostsByShortHash, uint16(b.hash), b)
	is := func(o *hostState) bool { return o == b }
	b.group.hosts = slices.DeleteFunc(b.group.hosts, is)
	s.pendingReports = slices.DeleteFunc(s.pendingReports, is)
}

// MalformedMessages is the number of messages that could not be read.
func (s *State) MalformedMessages() int { return s.malformed }

// TakeMalformedReport tells how many messages could not be read since the last time, at most once in ten seconds: whoever sends
// them is not to fill a log.
func (s *State) TakeMalformedReport(now int64) int {
	n := s.malformed - s.malformedReported
	if n == 0 || s.malformedReportedAt != 0 && now-s.malformedReportedAt < malformedReportInterval {
		return 0
	}
	s.malformedReported, s.malformedReportedAt = s.malformed, now
	return n
}

// Record takes what a host itself has told.
func (s *State) Record(f HostFact) {
	if b := s.hosts[f.Host]; b != nil && f.Position > b.ownFact.Position {
		b.ownFact = f
		s.scheduleReport(b)
	}
}

// overloadWeight is what a new answer counts in Busy: some thirty decide, a second or two of a gateway among hundreds.
const overloadWeight = 0.03

// OverloadRatio is the part of this gateway's own attempts, at all hosts together, that took all of their aim of late, or were turned
// away. Of hundreds of gateways each meets a host once in some seconds, and where others can't be heard knows few hosts
// well. How much of its aim an answer in time takes is not counted: at rest that differs from deployment to deployment.
func (s *State) OverloadRatio() float64 { return s.overloadRatio }

// RecordLatencyShare takes how much of its aim an answer of a host took, or that it was an error.
func (s *State) RecordLatencyShare(host string, share float64, failed bool) {
	if s.overloadRatio -= overloadWeight * s.overloadRatio; share >= 1 {
		s.overloadRatio += overloadWeight
	}
	if b := s.hosts[host]; b != nil {
		b.samples.add(share, failed)
		s.scheduleReport(b)
	}
}

// SetInFlight takes how many attempts this gateway has out at a host now.
func (s *State) SetInFlight(host string, n int) {
	if b := s.hosts[host]; b != nil && b.inFlight != n {
		b.started += max(n-b.inFlight, 0)
		b.inFlight = n
		s.scheduleReport(b)
	}
}

// scheduleReport has a host reported, unless another shares its code.
func (s *State) scheduleReport(b *hostState) {
	if !b.reportDue && s.hostsByHash[b.hash] == b {
		b.reportDue = true
		s.pendingReports = append(s.pendingReports, b)
	}
}

// PendingMessages returns the messages that are to go now: reports, and digests of the groups that this gateway keeps.
func (s *State) PendingMessages(now int64) []Message {
	var ms []Message
	if now >= s.nextReportsAt && len(s.pendingReports) > 0 {
		s.nextReportsAt = now + reportInterval
		ms = s.reports(now)
	}
	for _, c := range s.groups {
		if m := s.buildDigest(now, c); m != nil {
			ms = append(ms, Message{Broadcast, m})
		}
		s.passOverSilentCoordinator(now, c)
	}
	return ms
}

// reports returns what is to be told to keepers, and takes in what this gateway keeps itself.
func (s *State) reports(now int64) (ms []Message) {
	for _, b := range s.pendingReports {
		r := report{HostFact: b.ownFact, hash: b.hash, inFlight: b.inFlight, started: b.started}
		r.Host = b.id
		b.samples.writeTo(&r.HostFact)
		b.reportDue, b.samples, b.reportedInFlight, b.started = false, latencySamples{}, b.inFlight, 0
		to := s.coordinator(now, b.group)
		if to == s.conf.Ordinal {
			s.applyReport(now, now, to, b, &r)
			continue
		}
		b.group.awaitDigest(now, to)
		i := slices.IndexFunc(ms, func(m Message) bool { return m.To == to && len(m.Data)+reportSize <= MaxMessage })
		if i < 0 {
			i, ms = len(ms), append(ms, Message{to, newMessage(now, reportVersion)})
		}
		ms[i].Data = appendReport(ms[i].Data, now, &r)
	}
	s.pendingReports = s.pendingReports[:0]
	return ms
}

// Receive takes a message of another gateway and returns what of it is news and may be believed. A message that can't be
// read in any part tells nothing.
func (s *State) Receive(now int64, from int, data []byte) []HostFact {
	if !s.conf.enabled() {
		return nil
	}
	kind, sent, body, err := readHeader(now, data)
	if err == nil && from >= 0 && from < s.conf.Gateways {
		s.newestSentAt = max(s.newestSentAt, sent)
		var facts []HostFact
		if kind == reportVersion {
			facts, err = s.receiveReport(now, sent, from, body)
		} else {
			delete(s.silentUntil, from) // who can't hear reports as well, but tells nothing
			facts, err = s.receiveDigest(now, sent, from, body)
		}
		if err == nil {
			return facts
		}
	}
	s.malformed++
	return nil
}

// Load is how many attempts other gateways have out at a host, and how many of the group's are about to begin that
// nobody has told of. Both are 0 while nothing is known, or what is known is old: then each host is as good as another.
func (s *State) Load(now int64, host string) (out, coming float64) {
	b := s.hosts[host]
	if b == nil {
		return 0, 0
	}
	c := b.group
	if s.coordinator(now, c) == s.conf.Ordinal {
		return float64(s.inFlightByOthers(now, b)), c.attemptRate * float64(propagationDelay) / 1e6
	}
	if !c.hasRecentDigest(now) {
		return 0, 0
	}
	return max(0, b.publishedLoad-float64(b.ownInPublishedLoad)), c.attemptRate * float64(c.digestInterval+propagationDelay) / 1e6
}
