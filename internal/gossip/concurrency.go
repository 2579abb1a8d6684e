package gossip

// A cap on how many attempts all gateways together may have in flight at an overloaded host. A gateway's own limit is
// at least one attempt, which does not hold back hundreds of gateways. All gateways receive the same digests and
// therefore learn about the same cap from them.
const (
	lowerLimitShare       = 0.4  // a response time above this share of the objective lowers the limit
	raiseLimitShare       = 0.28 // and one below this raises it
	limitDecrease         = 0.8  // factor by which a digest lowers the limit
	minLimit              = 4.0  // attempts; about what a host works on at once
	limitRemovalThreshold = 100  // attempts; a limit above this is removed
)

// concurrencyCap is the cap of one host.
type concurrencyCap struct {
	limit float64 // attempts; 0: no limit
	draw  float64 // random, from 0 on and below 1, drawn anew with each digest
}

// adjust takes a host's response time, as a share of its objective, and the attempts in flight by a digest.
func (c *concurrencyCap) adjust(share, inFlight, draw float64) {
	c.draw = draw
	if share > lowerLimitShare {
		if c.limit == 0 || c.limit > inFlight {
			c.limit = inFlight
		}
		c.limit = max(minLimit, c.limit*limitDecrease)
		return
	}
	if share > 0 && share < raiseLimitShare && c.limit > 0 {
		c.limit /= limitDecrease
		if c.limit > limitRemovalThreshold {
			c.limit = 0
		}
	}
}

// AtCapacity tells whether a host has as many attempts in flight, of all gateways, as it should. The gateways that wait
// for capacity do not all proceed at once: the more of it there is, the more of them find their draw below it.
func (s *State) AtCapacity(now int64, id string) bool {
	host := s.hosts[id]
	if host == nil || host.concurrencyCap.limit == 0 {
		return false
	}
	inFlight, starting := s.Load(now, id)
	return starting > 0 && inFlight >= host.concurrencyCap.limit*(1-host.concurrencyCap.draw)
}
