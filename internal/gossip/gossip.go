// Package gossip exchanges facts about hosts between the gateways of a fleet. It decides what is sent to whom and when,
// and which received facts are valid.
//
// A single gateway contacts each host seldom; together the gateways contact it often. Each group of hosts has a
// coordinator among the gateways, which each gateway determines for itself (coordinator.go). A gateway sends reports to
// the coordinator alone: what a host has answered and how many attempts it has in flight there. The coordinator
// aggregates them and broadcasts one short digest, as often as the byte budget of the group's requests allows. Traffic
// therefore grows with requests and groups; only digests are multiplied by the number of gateways.
//
// Correctness does not depend on who coordinates: two coordinators at a time are harmless, since positions only
// increase and loads are used only from the coordinator that a gateway reports to. Without a coordinator a gateway uses
// its own observations. Messages may be lost, delayed, duplicated or reordered. The package does no I/O, reads no clock
// and starts no goroutine; the same calls give the same messages.
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

// HostFact is the state of a host as one or more gateways observed it. Positions are commit times in the host's log, in
// microseconds since 1970.
type HostFact struct {
	Host         string
	Position     int64   // the host has applied its log at least up to here; 0 if unknown
	Role         Role    // as of Position
	LatencyShare float64 // recent response time as a share of the latency objective; 0 if unknown
	Failing      bool    // most recent answers were errors
}

// Message is one datagram to send.
type Message struct {
	To   int // ordinal of a gateway, or Broadcast
	Data []byte
}

// Broadcast is the value of Message.To for a message to all gateways.
const Broadcast = -1

// Config describes the fleet.
type Config struct {
	Gateways        int     // size of the fleet, this gateway included
	Ordinal         int     // this gateway's number, from 0
	BytesPerRequest float64 // upper limit of gossip bytes per request, each byte counted once for each receiver
	FreshnessWindow int64   // microseconds for which a fact is useful to others
}

// enabled reports whether there are other gateways to exchange facts with.
func (c *Config) enabled() bool {
	if c.Ordinal < 0 || c.Ordinal >= c.Gateways {
		return false
	}
	return c.Gateways > 1 && c.BytesPerRequest > 0 && c.FreshnessWindow > 0
}

// Intervals in microseconds.
const (
	malformedReportInterval = 10_000_000 // shortest time between two log lines on malformed messages
	reportInterval          = 20_000     // shortest time between two rounds of reports, so that one message carries several
	countLifetime           = 1_000_000  // an in-flight count expires unless it is repeated within this time
)

// State is one gateway's part in the exchange. It is not safe for concurrent use.
type State struct {
	conf         Config
	rand         random.Source
	hosts        map[string]*hostState
	hostsByHash  map[uint32]*hostState  // nil where two hosts share a hash: facts of either are dropped
	groups       []*groupState          // in the order of their creation, so that the same calls give the same messages
	groupsByHash map[uint32]*groupState // the same by hash
	silentUntil  map[int]int64          // by gateway: a silent coordinator is passed over until then

	pendingReports []*hostState
	nextReportsAt  int64
	newestSentAt   int64 // when the newest message that was received had been sent
	overloadRatio  float64

	malformed           int // messages that could not be decoded
	malformedReported   int // of these, the ones that TakeMalformedReport has returned
	malformedReportedAt int64
}

// New returns a state without hosts; the seed feeds its random numbers.
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

// AddHost adds a host of a group. Messages about other hosts are ignored.
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

// RemoveHost removes a host: nothing about it is sent or accepted any more.
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

// addUnique adds a value under its hash. Two values with the same hash are ambiguous: the hash then maps to nil.
func addUnique[K comparable, V any](m map[K]*V, hash K, value *V) {
	if _, taken := m[hash]; taken {
		value = nil
	}
	m[hash] = value
}

// removeUnique removes a value. A shared hash stays marked as ambiguous, since old messages may still arrive.
func removeUnique[K comparable, V any](m map[K]*V, hash K, value *V) {
	if m[hash] == value {
		delete(m, hash)
	}
}

// MalformedMessages is the number of messages that could not be decoded.
func (s *State) MalformedMessages() int { return s.malformed }

// TakeMalformedReport returns how many messages could not be decoded since it last returned a number above 0. It
// does so at most once per malformedReportInterval, so that a faulty sender cannot fill the log.
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

// Receive applies a message of another gateway and returns the facts in it about known hosts. A message with any
// malformed part is counted and has no effect.
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

// receive is Receive with an error for a malformed message.
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
