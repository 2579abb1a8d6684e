package gossip

// A cap on how many attempts all gateways together may have in flight at an overloaded host. A gateway's own limit is
// at least one attempt, which does not hold back hundreds of gateways. All gateways receive the same digests and
// therefore compute about the same cap.
const (
	lowerLimitShare       = 0.4  // a response time above this share of the objective lowers the limit
	raiseLimitShare       = 0.28 // and one below this raises it
	limitDecrease         = 0.8  // factor by which a digest lowers the limit
	minLimit              = 4.0  // attempts; about the number that a host executes in parallel
	limitRemovalThreshold = 100  // attempts; a limit above this is removed
)

// concurrencyCap is the cap of one host.
type concurrencyCap struct {
	limit float64 // attempts; 0: no limit
	draw  float64 // random in [0, 1), drawn again with each digest
}

// adjust applies a digest: the host's response time as a share of its objective, and its attempts in flight. The draw
// is the random number in [0, 1) until the next digest.
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

// AtCapacity reports whether the attempts in flight of all gateways at a host have reached its cap. Gateways that wait
// for capacity do not all proceed at once: the more capacity is free, the more of them are admitted by their draw.
func (s *State) AtCapacity(now int64, id string) bool {
	host := s.hosts[id]
	if host == nil || host.concurrencyCap.limit == 0 {
		return false
	}
	inFlight, starting := s.Load(now, id)
	return starting > 0 && inFlight >= host.concurrencyCap.limit*(1-host.concurrencyCap.draw)
}
