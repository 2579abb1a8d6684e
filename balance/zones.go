package balance

import (
	"math"
	"slices"
)

// zoneRankFactor multiplies the shed rank of a read; the fraction of the product is a second rank,
// independent of the first.
const zoneRankFactor = 1024

// SetZoneShares sets the shares of zones that the fleet has agreed on; nil if all zones get all of their
// reads.
func (r *Router) SetZoneShares(shares ZoneShares) { r.zoneShares = shares }

// avoidsZone reports whether a read avoids a host because the fleet moves reads away from the zone of the
// host. It does so only if a healthy replica of the group is in a zone whose share is 1.
func (r *Router) avoidsZone(req *pendingRequest, host *hostState) bool {
	elsewhere := func(member *hostState) bool {
		usable := member != host.group.primary && member.health == healthy && !member.excluded
		return usable && r.zoneShares.ReadShare(member.zone) == 1
	}
	rank := math.Mod(req.shedRank*zoneRankFactor, 1)
	if rank < r.zoneShares.ReadShare(host.zone) {
		return false
	}
	return slices.ContainsFunc(host.group.members, elsewhere)
}
