package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCandidates            = 8         // gateways that may coordinate a group
	silentCoordinatorBackoff = 5_000_000 // mean time, in microseconds, for which a silent coordinator is skipped
	propagationDelay         = 40_000    // microseconds from a report until the digest that contains it arrives
	checkTokensPerAttempt    = 0.1       // health checks that are allowed per attempt at a replica
	checkTokenBurst          = 8.0       // health checks; enough for all hosts of a group at its start
)

// groupState is the state of a group of hosts. On the group's coordinator it includes the state of the next digest.
type groupState struct {
	hash             uint32
	hosts            []*hostState
	hostsByShortHash map[uint16]*hostState
	candidates       []int // ordinals of the gateways that may coordinate the group, in order of preference

	awaitingSince      int64 // sending time of the oldest report that no digest has followed yet; 0 if there is none
	awaitedCoordinator int   // the receiver of that report

	// Used only on the coordinator.
	hasUnpublished bool // something was reported since the last digest
	lastReportAt   int64
	firstReportAt  int64
	checkTokens    float64 // number of hosts that HostsToCheck may return at present
	started        int     // attempts at replicas that were reported since the last digest
	lastDigestAt   int64
	nextDigestAt   int64

	attemptRate    float64 // attempts at replicas, per second
	digestSentAt   int64   // sending time of the newest digest received; 0 if none was received
	digestInterval int64   // microseconds until the next digest, as stated in the newest one received
}

// ensureGroup returns the state of a group and creates it on first use. Groups with the same hash share one state and
// therefore a coordinator; their hosts are distinguished by their own hashes.
func (s *State) ensureGroup(id int64) *groupState {
	hash := uint32(xxhash.Sum64String("group "+strconv.FormatInt(id, 10)) >> 40)
	if group := s.groupsByHash[hash]; group != nil {
		return group
	}
	group := &groupState{
		hash:             hash,
		checkTokens:      checkTokenBurst,
		hostsByShortHash: map[uint16]*hostState{},
		candidates:       rankCandidates(hash, s.conf.Gateways),
	}
	s.groups = append(s.groups, group)
	s.groupsByHash[hash] = group
	return group
}

// rankCandidates ranks the gateways for a group by rendezvous hashing. All gateways compute the same order, the groups
// are spread evenly, and when a gateway is silent only the groups that it coordinated get another coordinator.
func rankCandidates(groupHash uint32, gateways int) []int {
	type candidate struct {
		score   uint64
		ordinal int
	}
	compare := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ordinal, b.ordinal))
	}
	var best []candidate
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], groupHash)
	for ordinal := range gateways {
		binary.BigEndian.PutUint32(key[4:], uint32(ordinal))
		next := candidate{xxhash.Sum64(key[:]), ordinal}
		i, _ := slices.BinarySearchFunc(best, next, compare)
		best = slices.Insert(best, i, next)
		best = best[:min(len(best), maxCandidates)]
	}
	var ordinals []int
	for _, c := range best {
		ordinals = append(ordinals, c.ordinal)
	}
	return ordinals
}

// coordinator returns the first candidate that is not marked as silent, or the first one if all are.
func (s *State) coordinator(now int64, group *groupState) int {
	for _, ordinal := range group.candidates {
		if ordinal == s.conf.Ordinal || s.silentUntil[ordinal] <= now {
			return ordinal
		}
	}
	return group.candidates[0]
}

// isCoordinator reports whether this gateway coordinates a group.
func (s *State) isCoordinator(now int64, group *groupState) bool {
	return s.coordinator(now, group) == s.conf.Ordinal
}

// hasRecentDigest reports whether the newest digest received is recent enough to be used.
func (g *groupState) hasRecentDigest(now int64) bool {
	return g.digestSentAt != 0 && now-g.digestSentAt <= max(countLifetime, 2*g.digestInterval)
}

// awaitDigest records that a report was sent to a coordinator and that a digest of it is expected.
func (g *groupState) awaitDigest(now int64, coordinator int) {
	if g.awaitingSince == 0 || g.awaitedCoordinator != coordinator {
		g.awaitingSince = now
		g.awaitedCoordinator = coordinator
	}
}

// markSilentCoordinator marks a coordinator as silent for a random backoff if reports were sent to it and no digest
// of it has arrived in time.
func (s *State) markSilentCoordinator(now int64, group *groupState) {
	timeout := max(s.conf.FreshnessWindow, group.digestInterval) + s.conf.FreshnessWindow/2
	if group.awaitingSince == 0 || now-group.awaitingSince <= timeout {
		return
	}
	backoff := silentCoordinatorBackoff/2 + s.rand.Below(silentCoordinatorBackoff)
	s.silentUntil[group.awaitedCoordinator] = now + backoff
	group.awaitingSince = 0
}

// MaxReportDelay returns the longest time, in microseconds, until this gateway learns of an answer that a host gave to
// another gateway; 0 if unknown.
func (s *State) MaxReportDelay(id string) int64 {
	host := s.hosts[id]
	if host == nil || host.group.digestSentAt == 0 {
		return 0
	}
	return host.group.digestInterval + 2*propagationDelay
}

// HostsToCheck returns the ids of the hosts that this gateway, as the coordinator of their groups, must send a health
// check to learn their positions. A replica with an unknown position gets no reads with bounded staleness, and without
// reads its position would stay unknown. Replicas that lag far behind are checked less often. Hosts of an idle group are
// not checked.
func (s *State) HostsToCheck(now int64) (ids []string) {
	for _, group := range s.groups {
		idle := group.lastReportAt == 0 || now-group.lastReportAt > s.maxUncheckedAge()
		if idle || !s.isCoordinator(now, group) {
			continue
		}
		for _, host := range group.hosts {
			if group.checkTokens >= 1 && s.needsCheck(now, host) {
				group.checkTokens--
				host.checkedAt = now
				ids = append(ids, host.id)
			}
		}
	}
	return ids
}

// maxUncheckedAge returns the age in microseconds of a replica's position above which the replica is checked.
func (s *State) maxUncheckedAge() int64 { return s.conf.FreshnessWindow / 2 }

// needsCheck reports whether the position of a replica is outdated and its last check is long enough ago.
func (s *State) needsCheck(now int64, host *hostState) bool {
	if host.latest.Role == Primary || now-host.latestAt <= s.maxUncheckedAge() {
		return false
	}
	lag := max(host.latestAt-host.latest.Position, 0)
	pause := max(s.maxUncheckedAge(), min(lag, maxInterval)/4)
	return now-host.checkedAt > pause
}

// isIsolated reports whether this gateway receives no messages or only outdated ones. As a coordinator it would then
// broadcast little more than its own observations. It sends no digests, so that the other gateways replace it.
func (s *State) isIsolated(now int64) bool { return now-s.newestSentAt > s.conf.FreshnessWindow }
