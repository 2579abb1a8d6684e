package gossip

// The concurrency cap limits the attempts that all gateways together have in flight at an overloaded host. The limit
// of a single gateway allows at least one attempt, so with hundreds of gateways it does not reduce the load enough.
// All gateways receive the same digests and therefore compute about the same cap.
const (
	lowerLimitShare       = 0.4  // a response time above this share of the objective lowers the limit
	raiseLimitShare       = 0.28 // a response time below this share raises it
	limitDecrease         = 0.8  // factor by which a digest lowers the limit
	minLimit              = 4.0  // attempts; about the number that a host executes in parallel
	limitRemovalThreshold = 100  // attempts; the limit is removed when it rises above this
)

// concurrencyCap is the concurrency cap of one host.
type concurrencyCap struct {
	limit float64 // attempts; 0 means no limit
	draw  float64 // random in [0, 1), drawn again with each digest
}

// adjust applies the values of a digest: the host's response time as a share of the latency objective, and its attempts
// in flight. The draw is a random number in [0, 1) that is used until the next digest.
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

// AtCapacity reports whether this gateway must not send another attempt to a host because of the host's cap. Each
// gateway compares the attempts in flight of the other gateways with a random part of the cap, so that gateways that
// wait for capacity do not all proceed at once: the more capacity is free, the more of them proceed.
func (s *State) AtCapacity(now int64, id string) bool {
	host := s.hosts[id]
	if host == nil || host.concurrencyCap.limit == 0 {
		return false
	}
	inFlight, starting := s.Load(now, id)
	return starting > 0 && inFlight >= host.concurrencyCap.limit*(1-host.concurrencyCap.draw)
}
