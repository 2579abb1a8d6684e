package balance

import (
	"strconv"

	"cloverrock/internal/gossip"
)

// This file passes on to other routers what hosts have told this one, and takes in what they pass on. What is worth
// telling, and to whom, is decided in internal/gossip; a fact that others heard counts as one that this router heard.

// tell notes what a host itself has told, for the other routers.
func (r *Router) tell(h *host, position int64, role Role) {
	r.news.Record(gossip.HostFact{Host: h.id, Position: position, Role: gossip.Role(role)})
}

// weigh takes how much of its aim an attempt of ours took, or will take at the least.
func (r *Router) weigh(h *host, share float64) {
	r.news.RecordLatencyShare(h.id, share, false)
	r.judge(h, share)
}

// askAround asks hosts of which the fleet is to hear, on behalf of all.
func (r *Router) askAround() {
	for _, id := range r.news.HostsToCheck(r.now) {
		if h := r.hosts[id]; h.cond == up {
			r.probe(h, 1)
		}
	}
}

// tellAll sends what is due to the others.
func (r *Router) tellAll() {
	for _, m := range r.news.PendingMessages(r.now) {
		r.act(Action{Kind: GossipAction, Peer: m.To, Data: m.Data})
	}
}

// hear takes what another router tells. A role is as old as the position that came with it.
func (r *Router) hear(peer int, data []byte) {
	facts := r.news.Receive(r.now, peer, data)
	if n := r.news.TakeMalformedReport(r.now); n > 0 {
		r.log(strconv.Itoa(n) + " messages of other routers could not be read")
	}
	for _, f := range facts {
		h := r.hosts[f.Host]
		if f.Position > h.pos {
			h.pos, h.posAt = f.Position, r.now
			h.heard, h.quietFrom = max(h.heard, f.Position), max(h.quietFrom, f.Position)
			if h.cond == down && f.Position > h.fellAt { // no host moves on while it is down
				r.alive(h)
			}
		}
		if f.Role != gossip.Unknown {
			r.learnRole(h, Role(f.Role), f.Position)
		}
		if f.Failing {
			h.errs += smooth * (1 - h.errs)
		} else if f.LatencyShare > 0 {
			h.errs -= smooth * h.errs
			r.judge(h, f.LatencyShare)
		}
		r.dispatch(h.group)
	}
}
