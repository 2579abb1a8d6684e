package balance

import (
	"strconv"

	"cloverrock/internal/gossip"
)

// This file passes on to other routers what hosts have told this one, and takes in what they pass on. What is worth
// telling, and to whom, is decided in internal/gossip; a fact that others heard counts as one that this router heard.

// busyShare is the part of their aim that answers of a group take from which on loads are told.
const busyShare = 0.33

// tell notes what a host itself has told, for the other routers.
func (r *Router) tell(h *host, position int64, role Role) {
	r.news.Learn(r.now, gossip.Fact{Host: h.id, Position: position, Role: gossip.Role(role)})
}

// tellOut notes how many attempts are out at a host, to be told where its group is so busy that it matters who holds them.
func (r *Router) tellOut(h *host) {
	share := 0.0
	for _, m := range h.group.members {
		share += m.share
	}
	r.news.Out(r.now, h.id, len(h.out), share > busyShare*float64(len(h.group.members)))
}

// tellAll sends what is due to the others.
func (r *Router) tellAll() {
	for _, m := range [][]byte{r.news.Due(r.now), r.news.DueLoad(r.now)} {
		if m != nil {
			r.act(Action{Kind: TellAction, Peer: -1, Data: m})
		}
	}
}

// hear takes what another router tells. A role is as old as the position that came with it.
func (r *Router) hear(peer int, data []byte) {
	facts := r.news.Hear(r.now, peer, data)
	if n := r.news.Complaint(r.now); n > 0 {
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
		} else if f.Share > 0 {
			h.errs -= smooth * h.errs
			r.judge(h, f.Share)
		}
		r.dispatch(h.group)
	}
}
