package gossip

// How many attempts all gateways together may have out at a host that is too busy. A gateway's own limit is one at the
// least, so that hundreds of gateways are never held back by it: the queue of a busy host then stays full for good, and
// each answer comes after its time. All hear the same digests, so each learns about the same limit from them.
const (
	busyShare = 0.4  // answers that take more of their aim lower the limit
	calmShare = 0.28 // and less raises it
	crowdCut  = 0.8  // what a digest leaves of it
	fewest    = 4.0  // no limit is lower: about what a host has in work at once
	unlimited = 100  // one that has grown to this is none
)

// crowd is the limit of one host.
type crowd struct {
	most float64 // 0: any number
	draw float64 // this gateway's part of chance, drawn anew with each digest
}

// learn takes how much of their aim a host's answers took, by a digest, with what all had out there.
func (c *crowd) learn(share, out, draw float64) {
	c.draw = draw
	if share > busyShare {
		if c.most == 0 || c.most > out {
			c.most = out
		}
		c.most = max(fewest, c.most*crowdCut)
	} else if share > 0 && share < calmShare && c.most > 0 {
		if c.most /= crowdCut; c.most > unlimited {
			c.most = 0
		}
	}
}

// AtCapacity tells whether a host has as many attempts out, by all accounts, as it should. Of the gateways that wait for room
// not all go at once: the more of it there is, the more find their draw below it.
func (s *State) AtCapacity(now int64, host string) bool {
	b := s.hosts[host]
	if b == nil || b.crowd.most == 0 {
		return false
	}
	out, coming := s.Load(now, host)
	return coming > 0 && out >= b.crowd.most*(1-b.crowd.draw)
}
