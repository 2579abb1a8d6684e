// Package gossip decides what the gateways of a fleet tell one another about the hosts, to whom, when, and which of it
// is believed.
//
// A single gateway sees each host seldom; together the gateways see it often. Each group of hosts has a coordinator
// among the gateways, which each gateway determines for itself (coordinator.go). A gateway sends reports to the
// coordinator alone: what it heard from a host and how many attempts it has in flight there. The coordinator adds these
// up and broadcasts one short digest, as often as the group's requests pay for. The traffic of a second therefore
// follows the requests and the groups; only digests are multiplied by the number of gateways.
//
// Correctness does not depend on who coordinates: two coordinators at a time do no harm, since positions only rise and
// loads are taken from the one that a gateway reports to, and without one a gateway knows what it has seen itself.
// Messages may be lost, delayed, duplicated or reordered. The package does no I/O, reads no clock and starts no
// goroutine; the same calls give the same messages.
package gossip

import (
	"slices"

	"cloverrock/internal/random"
)

// Role is the replication role in which a host was seen.
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
	LatencyShare float64 // recent response time as a share of the latency objective; 0 if not known
	Failing      bool    // most recent answers were errors
}

// Message is one datagram to send.
type Message struct {
	To   int // ordinal of a gateway, or Broadcast
	Data []byte
}

// Broadcast is the receiver of what goes to all gateways.
const Broadcast = -1

// Config describes the fleet.
type Config struct {
	Gateways        int     // size of the fleet, this gateway included
	Ordinal         int     // this gateway's number, from 0
	BytesPerRequest float64 // upper limit of gossip bytes per request, each byte counted once for each receiver
	FreshnessWindow int64   // microseconds for which a fact is useful to others
}

// enabled tells whether there is anybody to exchange facts with.
func (c *Config) enabled() bool {
	if c.Ordinal < 0 || c.Ordinal >= c.Gateways {
		return false
	}
	return c.Gateways > 1 && c.BytesPerRequest > 0 && c.FreshnessWindow > 0
}

// Intervals in microseconds.
const (
	malformedReportInterval = 10_000_000 // least time between two reports of malformed messages to the log
	reportInterval          = 20_000     // least time between two rounds of reports, so that one message carries several
	countLifetime           = 1_000_000  // an in-flight count that was not repeated for so long is void
)

// State is one gateway's part in the exchange. It is not safe for concurrent use.
type State struct {
	conf         Config
	rand         random.Source
	hosts        map[string]*hostState
	hostsByHash  map[uint32]*hostState  // nil where two hosts share a hash: nothing is believed of either
	groups       []*groupState          // in the order of their creation, so that the same calls give the same messages
	groupsByHash map[uint32]*groupState // the same by hash
	silentUntil  map[int]int64          // by gateway: a silent coordinator is passed over until then

	pendingReports []*hostState
	nextReportsAt  int64
	newestSentAt   int64 // when the newest message that was received had been sent
	overloadRatio  float64

	malformed           int // messages that could not be read
	malformedReported   int // of these, the ones that TakeMalformedReport has returned
	malformedReportedAt int64
}

// New returns a state that knows no host.
func New(c Config, seed uint64) *State {
	return &State{
		conf:         c,
		rand:         random.Source(seed),
		hosts:        map[string]*hostState{},
		hostsByHash:  map[uint32]*hostState{},
		groupsByHash: map[uint32]*groupState{},
		silentUntil:  map[int]int64{},
	}
}

// AddHost makes a host of a group known, so that messages about it are understood.
func (s *State) AddHost(id string, groupID int64) {
	if !s.conf.enabled() || s.hosts[id] != nil {
		return
	}
	group := s.ensureGroup(groupID)
	host := &hostState{id: id, hash: hostHash(id), group: group}
	s.hosts[id] = host
	addUnique(s.hostsByHash, host.hash, host)
	addUnique(group.hostsByShortHash, shortHash(host.hash), host)
	group.hosts = append(group.hosts, host)
}

// RemoveHost forgets a host: nothing more is sent or believed of it.
func (s *State) RemoveHost(id string) {
	host := s.hosts[id]
	if host == nil {
		return
	}
	delete(s.hosts, id)
	removeUnique(s.hostsByHash, host.hash, host)
	removeUnique(host.group.hostsByShortHash, shortHash(host.hash), host)
	isHost := func(other *hostState) bool { return other == host }
	host.group.hosts = slices.DeleteFunc(host.group.hosts, isHost)
	s.pendingReports = slices.DeleteFunc(s.pendingReports, isHost)
}

// addUnique puts a value under its hash. Two values with one hash can't be told apart: the hash then stands for none.
func addUnique[K comparable, V any](m map[K]*V, hash K, value *V) {
	if _, taken := m[hash]; taken {
		value = nil
	}
	m[hash] = value
}

// removeUnique takes a value out. A shared hash stays marked as such, since old messages may still arrive.
func removeUnique[K comparable, V any](m map[K]*V, hash K, value *V) {
	if m[hash] == value {
		delete(m, hash)
	}
}

// MalformedMessages is the number of messages that could not be read.
func (s *State) MalformedMessages() int { return s.malformed }

// TakeMalformedReport returns how many messages could not be read since it last returned a number above 0. It does so
// at most once in ten seconds, so that a sender of garbage can't fill the log.
func (s *State) TakeMalformedReport(now int64) int {
	n := s.malformed - s.malformedReported
	if n == 0 {
		return 0
	}
	if s.malformedReportedAt != 0 && now-s.malformedReportedAt < malformedReportInterval {
		return 0
	}
	s.malformedReported = s.malformed
	s.malformedReportedAt = now
	return n
}

// PendingMessages returns the messages to send now: reports, and digests of the groups that this gateway coordinates.
func (s *State) PendingMessages(now int64) []Message {
	var messages []Message
	if now >= s.nextReportsAt && len(s.pendingReports) > 0 {
		s.nextReportsAt = now + reportInterval
		messages = s.buildReports(now)
	}
	for _, group := range s.groups {
		if data := s.buildDigest(now, group); data != nil {
			messages = append(messages, Message{Broadcast, data})
		}
		s.passOverSilentCoordinator(now, group)
	}
	return messages
}

// Receive takes a message of another gateway and returns the facts in it that are to be believed. A message of which
// any part can't be read has no effect.
func (s *State) Receive(now int64, from int, data []byte) []HostFact {
	if !s.conf.enabled() {
		return nil
	}
	facts, err := s.receive(now, from, data)
	if err != nil {
		s.malformed++
		return nil
	}
	return facts
}

func (s *State) receive(now int64, from int, data []byte) ([]HostFact, error) {
	version, sentAt, body, err := readHeader(now, data)
	if err != nil {
		return nil, err
	}
	if from < 0 || from >= s.conf.Gateways {
		return nil, errUnknownSender
	}
	s.newestSentAt = max(s.newestSentAt, sentAt)
	if version == reportVersion {
		return s.receiveReport(now, sentAt, from, body)
	}
	delete(s.silentUntil, from) // a digest proves that the gateway coordinates; a report doesn't
	return s.receiveDigest(now, sentAt, from, body)
}
