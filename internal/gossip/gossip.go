// Package gossip exchanges facts about hosts between the gateways of a fleet. It decides what is sent to whom and when,
// and which received facts are valid.
//
// A single gateway contacts each host seldom, but all gateways together contact it often. Each group of hosts has one of
// the gateways as its coordinator, which every gateway determines for itself (coordinator.go). A gateway sends reports
// only to the coordinator: what a host has answered, and how many attempts it has in flight there. The coordinator
// aggregates the reports and broadcasts one short digest, as often as the byte budget of the group's requests allows.
// Traffic therefore grows with requests and groups; only digests are multiplied by the number of gateways.
//
// Correctness does not depend on which gateway coordinates a group. Two coordinators at a time are harmless, because
// positions only increase and loads are used only from the coordinator that a gateway reports to. Without a coordinator
// a gateway uses its own observations. Messages may be lost, delayed, duplicated or reordered. The package does no I/O,
// reads no clock and starts no goroutine; the same calls produce the same messages, on every kind of machine: a product
// is rounded by a conversion before it enters a sum, because some compilers otherwise fuse the two.
package gossip

import (
	"slices"

	"cloverrock/internal/random"
)

// Role is the replication role that a host reported.
type Role uint8

// The roles of a host.
const (
	Unknown Role = iota
	Primary
	Replica
)

// HostFact is the state of a host as observed by one or more gateways. Positions are commit times in the host's log, in
// microseconds since 1970.
type HostFact struct {
	Host         string
	Position     int64   // the host has applied its log at least up to this position; 0 if unknown
	Role         Role    // at Position
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
	Gateways        int     // number of gateways, this one included
	Ordinal         int     // this gateway's number, from 0
	BytesPerRequest float64 // limit on gossip bytes per request; a byte counts once for each receiver
	FreshnessWindow int64   // microseconds for which a fact is useful to other gateways
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
	malformedReportInterval = 10_000_000 // shortest time between two log lines about malformed messages
	reportInterval          = 20_000     // shortest time between two rounds of reports; one message then carries several
	countLifetime           = 1_000_000  // an in-flight count expires unless it is repeated within this time
)

// State is the gossip state of one gateway. It is not safe for concurrent use.
type State struct {
	conf         Config
	rand         random.Source
	hosts        map[string]*hostState
	hostsByHash  map[uint32]*hostState  // nil if several hosts share a hash: facts about any of them are ignored
	groups       []*groupState          // in order of creation, so that the same calls produce the same messages
	groupsByHash map[uint32]*groupState // the same groups by hash
	silentUntil  map[int]int64          // by gateway: until when it is skipped as a coordinator because it was silent

	pendingReports []*hostState
	nextReportsAt  int64
	newestSentAt   int64 // latest sending time of all messages received
	overloadRatio  float64

	malformed           int // messages that could not be decoded
	malformedReported   int // of these, the ones that TakeMalformedReport has returned
	malformedReportedAt int64
}

// New returns a state without hosts; seed is the seed of its random numbers.
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

// AddHost adds a host of a group. Facts about hosts that were not added are ignored.
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

// RemoveHost removes a host. From then on messages neither contain it nor change its state.
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

// removeUnique removes a value. An ambiguous hash stays marked as such, because old messages may still arrive.
func removeUnique[K comparable, V any](m map[K]*V, hash K, value *V) {
	if m[hash] == value {
		delete(m, hash)
	}
}

// MalformedMessages returns the number of messages that could not be decoded.
func (s *State) MalformedMessages() int { return s.malformed }

// TakeMalformedReport returns how many messages could not be decoded since it last returned a number above 0. It returns
// such a number at most once per malformedReportInterval, so that a faulty sender cannot fill the log.
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
		s.markSilentCoordinator(now, group)
	}
	return messages
}

// Receive applies a message of another gateway and returns the facts in it about known hosts. A message of which any
// part is malformed is counted and otherwise ignored.
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

// receive does the work of Receive, and returns an error for a malformed message.
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
	delete(s.silentUntil, from) // a digest proves that the gateway is a running coordinator; a report does not
	return s.receiveDigest(now, sentAt, from, body)
}
