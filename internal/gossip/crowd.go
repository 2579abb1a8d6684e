package gossip

// How many attempts all gateways together may have out at a host that is too busy. A gateway's own limit is one at the
// least, so that hundreds of gateways are never held back by it: the queue of a busy host then stays full for good, and
// each answer comes after its time. All hear the same digests, so each learns about the same limit from them.
const (
	lowerLimitShare       = 0.4  // answers that take more of their aim lower the limit
	raiseLimitShare       = 0.28 // and less raises it
	limitDecrease         = 0.8  // what a digest leaves of it
	minLimit              = 4.0  // no limit is lower: about what a host has in work at once
	limitRemovalThreshold = 100  // one that has grown to this is none
)

// concurrencyCap is the limit of one host.
type concurrencyCap struct {
	limit float64 // 0: any number
	draw  float64 // this gateway's part of chance, drawn anew with each digest
}

// adjust takes how much of their aim a host's answers took, by a digest, with what all had out there.
func (c *concurrencyCap) adjust(share, out, draw float64) {
	c.draw = draw
	if share > lowerLimitShare {
		if c.limit == 0 || c.limit > out {
			c.limit = out
		}
		c.limit = max(minLimit, c.limit*limitDecrease)
	} else if share > 0 && share < raiseLimitShare && c.limit > 0 {
		if c.limit /= limitDecrease; c.limit > limitRemovalThreshold {
			c.limit = 0
		}
	}
}

// AtCapacity tells whether a host has as many attempts out, by all accounts, as it should. Of the gateways that wait for room
// not all go at once: the more of it there is, the more find their draw below it.
func (s *State) AtCapacity(now int64, host string) bool {
	b := s.hosts[host]
	if b == nil || b.concurrencyCap.limit == 0 {
		return false
	}
	out, coming := s.Load(now, host)
	return coming > 0 && out >= b.concurrencyCap.limit*(1-b.concurrencyCap.draw)
}
