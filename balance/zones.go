package balance

import (
	"math"
	"slices"
)

// SetZoneShares sets what the fleet has agreed on about zones; nil: nothing.
func (r *Router) SetZoneShares(shares ZoneShares) { r.zoneShares = shares }

// avoidsZone reports whether a read avoids a host in a zone from which the fleet moves traffic away. It does
// so only where a replica of its group is healthy in a zone that takes all of its reads.
func (r *Router) avoidsZone(req *pendingRequest, host *hostState) bool {
	elsewhere := func(member *hostState) bool {
		usable := member != host.group.primary && member.health == healthy && !member.excluded
		return usable && r.zoneShares.ReadShare(member.zone) == 1
	}
	rank := math.Mod(req.shedRank*1024, 1) // independent of the rank that decides on load shedding
	if rank < r.zoneShares.ReadShare(host.zone) {
		return false
	}
	return slices.ContainsFunc(host.group.members, elsewhere)
}
