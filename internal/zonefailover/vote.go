package zonefailover

import "cloverrock/internal/agreement"

// Health is a gateway's assessment of a zone; the numbers are on the wire.
type Health byte

// The states of health.
const (
	Unknown Health = iota // too few observations, or the fault may be the gateway's own link
	Healthy
	Unhealthy
)

// ZoneView is one gateway's view of one zone.
type ZoneView struct {
	Health       Health
	LatencyShare byte   // mean response time in hundredths of the latency objective, at most 255; 0: not measured
	RequestRate  uint16 // recent requests to the zone, in tenths per second
}

const (
	viewSize     = 4   // bytes of a view in a vote
	latencyUnits = 100 // a vote's latency share is in hundredths

	changedRatio  = 1.33 // a figure that changes by a greater ratio justifies a new vote
	changedMargin = 10   // units that a figure has to change in addition, so that small figures do not cause votes all the time
)

// encodeVote returns a vote's body: the gateway's zone (255 if none) and its view of each zone.
func encodeVote(ownZone int, views []ZoneView) []byte {
	b := []byte{byte(ownZone)}
	for _, view := range views {
		b = append(b, byte(view.Health), view.LatencyShare, byte(view.RequestRate>>8), byte(view.RequestRate))
	}
	return b
}

// decodeVote returns the voter's zone and its view of one zone; false if the body has no valid view of that zone.
func decodeVote(b []byte, zone int) (ownZone int, view ZoneView, ok bool) {
	at := 1 + zone*viewSize
	if len(b) < at+viewSize || b[at] > byte(Unhealthy) {
		return 0, ZoneView{}, false
	}
	view = ZoneView{
		Health:       Health(b[at]),
		LatencyShare: b[at+1],
		RequestRate:  uint16(b[at+2])<<8 | uint16(b[at+3]),
	}
	return int(b[0]), view, true
}

// viewsChanged reports whether views justify a new vote: a zone's health or the number of zones has changed, or a
// figure has changed significantly.
func viewsChanged(last, views []ZoneView) bool {
	for i := range views {
		if i >= len(last) || last[i].Health != views[i].Health {
			return true
		}
		if changedSignificantly(float64(last[i].LatencyShare), float64(views[i].LatencyShare)) {
			return true
		}
		if changedSignificantly(float64(last[i].RequestRate), float64(views[i].RequestRate)) {
			return true
		}
	}
	return false
}

// changedSignificantly reports whether two figures differ by more than a third plus changedMargin.
func changedSignificantly(a, b float64) bool {
	return max(a, b) > float64(changedRatio*min(a, b))+changedMargin
}

// VoteCount counts the votes of the gateways outside a zone on that zone, by the health that they state.
type VoteCount struct {
	Healthy, Unhealthy, Unknown int
	measured                    int     // votes of those that find the zone healthy and have measured its response time
	latencyShare                float64 // mean of these votes, as a share of the latency objective; 0 if there are none
}

// viewCount returns how many of the gateways have a view of the zone's health.
func (v *VoteCount) viewCount() int { return v.Healthy + v.Unhealthy }

// countVotes counts the votes of the gateways outside a zone. Votes from inside do not count: those gateways may be cut
// off together with the zone, and then observe failures in all other zones.
func countVotes(votes []agreement.Vote, zone int) (count VoteCount) {
	for _, vote := range votes {
		voterZone, view, ok := decodeVote(vote.Body, zone)
		if !ok || voterZone == zone {
			continue
		}
		switch view.Health {
		case Healthy:
			count.Healthy++
			if view.LatencyShare > 0 {
				count.measured++
				count.latencyShare += float64(view.LatencyShare) / latencyUnits
			}
		case Unhealthy:
			count.Unhealthy++
		case Unknown:
			count.Unknown++
		}
	}
	count.latencyShare /= float64(max(count.measured, 1))
	return count
}

// totalLoad returns the request rate of all gateways to a zone, in tenths of a request per second, and the mean
// response time over the gateways that have measured it, as a share of the latency objective.
func totalLoad(votes []agreement.Vote, zone int) (requestRate, latencyShare float64, measured bool) {
	n := 0
	for _, vote := range votes {
		_, view, ok := decodeVote(vote.Body, zone)
		if !ok {
			continue
		}
		requestRate += float64(view.RequestRate)
		if view.Health == Healthy && view.LatencyShare > 0 {
			latencyShare += float64(view.LatencyShare) / latencyUnits
			n++
		}
	}
	return requestRate, latencyShare / float64(max(n, 1)), n > 0
}
