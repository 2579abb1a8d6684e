// Package balance decides for a router before groups of one primary and its replicas: where a request goes,
// when it waits, when it goes again and when it is given up. Its interface is in api.go.
//
// A write goes to the member last seen as primary; a miss or a failed connection walks down the group's list;
// after a round of misses it is held, unsent, until an answer, report or probe names a primary. Reads take
// the less busy of two random replicas whose known log position suffices. The rest keeps that rule good when
// hosts die, hang, lag or start cold (docs/design.md). The same events always give the same actions.
package balance

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"

	"cloverrock/internal/gossip"
	"cloverrock/internal/random"
)

const (
	upkeepEvery  = 20e3 // upkeep runs so often, or every tick: fine against aims, coarse enough to be cheap
	findEvery    = 5    // upkeeps between probes while a group has no known primary; reports are no fresher
	backoffLimit = 32   // a dead host is probed ever less often, up to so many times the pace
	firstLimit   = 4.0  // in-flight attempts granted to a host of which nothing is known
	together     = 5.5  // all routers' limits come to so much at the least: less leaves cores of a host idle
	lowShare     = 0.28 // a host whose answers take less of their aim than this may be given more at once
	openWeight   = 16.0 // how much more often a host is drawn that we have a connection to
	spareShare   = 0.3  // above this a part of reads is kept from a host, all of them at 1
	seldom       = 1.0  // with fewer requests for each host and second it goes by all hosts together as well
	highShare    = 0.4  // above this it is given less; between the two its limit rests
	cut          = 0.8  // what a cut leaves of the limit: several routers cut at once, so gently
	maxMisfits   = 8    // reads that find no host before the others of a group are left for later
	smooth       = 0.1  // weight of a new answer in means: some ten answers decide
	smoothShare  = 0.15 // the same for what answers take of their aim: queues grow within a few
	keepIdle     = 30e6 // idle connections are closed after this, or sooner where hosts' tables are full
	keepGrow     = 20   // part by which that time grows again a second
	rateKeep     = 0.9  // of the rate of requests is kept a second: ten seconds even out chance
	retryEarn    = 0.1  // repeats of what may have run, for each first attempt: they cannot feed an overload
	retryBurst   = 20.0 // what a calm time saves up for a crash
	probeEarn    = 2.0  // probes for positions and of dead hosts, for each first attempt
	probeBurst   = 10.0 // enough for a look at every member of a few groups
	heavy        = 2.0  // a read of so many times the usual work needs all of it in a cold host's budget
	failing      = 0.25 // a host with this share of errors gets a read only if the other one drawn has it
	errsKeep     = 0.8  // of that share is kept a second, so that it is tried again
	tokenAge     = 10e6 // session commits are kept for this long at least, then folded into one floor
)

// condition is what we think of a host's ability to answer.
type condition uint8

const (
	up      condition = iota
	doubted           // silent for too long; a probe is to decide
	down              // a probe failed, too
)

// host is what we know of one host.
type host struct {
	id    string
	zone  int
	group *group
	phase EndpointState
	bound bool // told that it drains or is gone: nothing new goes there

	out              []*request // own attempts out
	quietFrom, heard int64      // since when attempts are out with no answer; last sign of life
	lat, dev         float64    // latency of answers and its mean deviation
	share            float64    // latency as a share of the aim
	errs             float64    // share of its answers that were errors
	limit            float64    // own attempts allowed out at once
	cutAt            int64
	rest, restUntil  int64 // it turned attempts away or broke off: it is left alone for so long

	cond             condition
	open             bool // it has connections of ours
	refusals         int  // new connections that it refused in a row
	died             bool // it went on refusing or breaking connections: it starts cold when it is back
	probing, again   bool // again: a probe that broke off was asked once more
	probedAt         int64
	retryAt, backoff int64
	findAt, fellAt   int64 // no search asks it before; when it was last found not to serve
	role             Role
	roleAt           int64 // as of when the role is known
	been             bool  // seen as primary, and no answer has since denied it
	walked           int   // round of the walk that tried it last
	pos, posAt       int64 // applied at least up to pos, as heard at posAt
	cold             bool
	born, coldAt     int64
	credit           float64 // attempts that a cold host may be sent
	earned           int64
}

// group is what we know of a primary and its replicas, and the requests held for them.
type group struct {
	id      int64
	members []*host // the list, sorted by id
	primary *host   // the member that writes go to; nil while they are held
	sure    bool    // an answer or report has named it; otherwise it is the walk's next try
	round   int
	lostAt  int64
	wait    []*request // held requests, in the order in which they will go
	lat     float64    // latency of answers
}

// request is one that we owe a final answer, or whose last attempt is still out.
type request struct {
	id, key               int64
	kind, late, ranZone   int
	class                 *Class
	group                 *group
	aimAt, until, halfAt  int64   // halfAt: half of its time has passed
	luck                  float64 // 0 to 1: of two reads the one with less is sent on
	need                  int64   // OwnWrite: position that shows the session's writes
	attempts, try, judged int     // judged: halves of its aim that its attempt took while it is out
	at, last              *host   // where its attempt is out; where it failed last
	sentAt, askUntil      int64   // when it was sent; until when it waits for a position asked for
	ranAt                 int64   // sending of the first attempt that may have run; 0 if none
	hasKey, done, dials   bool    // dials: its attempt needed a new connection
	met, spared           bool    // a host has had it; one was spared it
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set       Settings
	now       int64
	rand      random.Source
	started   bool
	hosts     map[string]*host
	order     []*host  // all hosts, sorted by id
	groups    []*group // sorted by id
	reqs      map[int64]*request
	cost      []float64 // time that an attempt of each class takes, on the mean
	usual     float64   // the same of all requests
	longShare float64   // part of all work that is long reads that bear any age
	acts      []Action

	keep            int64   // how long idle connections are kept
	least           float64 // limit of own attempts out that no cut goes below
	asked, perHost  float64 // requests in this second, and for each host and second of late
	ratedAt         int64
	retries, probes float64 // budgets
	probeRTT        float64 // mean time of a probe
	askAt, askWait  int64
	tokens          [2]map[int64]int64 // commits of sessions, by age
	turnedAt, floor int64
	news            *gossip.State // what routers tell one another
	view            ZoneShares    // what they have agreed on; nil: nothing
}

// New returns a router for the given settings; the seed feeds its own random numbers.
func New(set Settings, seed uint64) (*Router, error) {
	if set.TickInterval <= 0 || set.MaxAttempts < 1 {
		return nil, errors.New("balance: Tick must be positive, and MaxAttempts at least 1")
	}
	set.Classes = append([]Class(nil), set.Classes...)
	r := &Router{
		set: set, rand: random.Source(seed), hosts: map[string]*host{},
		reqs: map[int64]*request{}, tokens: [2]map[int64]int64{{}, {}},
		retries: retryBurst, probes: probeBurst, keep: keepIdle, probeRTT: float64(set.TickInterval),
		least: min(max(1, together/float64(cmp.Or(set.Gateways, 6))), firstLimit), // 6: one each of many
	}
	tell := gossip.Config{Gateways: set.Gateways, Ordinal: set.Ordinal, BytesPerRequest: set.GossipBytesPerRequest}
	for _, c := range set.Classes {
		if c.Consistency == BoundedStaleness {
			tell.FreshnessWindow = max(tell.FreshnessWindow, c.MaxStaleness)
		}
		r.cost = append(r.cost, float64(c.LatencyObjective))
		r.usual += float64(c.LatencyObjective) / float64(len(set.Classes))
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return nil, errors.New("balance: a class needs a positive Aim and Deadline")
		}
	}
	r.news = gossip.New(tell, seed)
	return r, nil
}

// Handle takes one event and appends the actions that follow from it.
func (r *Router) Handle(now int64, ev Event, acts []Action) []Action {
	r.now, r.acts = now, acts
	if !r.started {
		r.started, r.turnedAt, r.ratedAt = true, now, now
		if r.set.MustSubscribe {
			r.act(Action{Kind: SubscribeAction})
		}
		r.act(Action{Kind: TimerAction, At: now + r.period()})
	}
	switch ev.Kind {
	case EndpointsEvent:
		r.takeList(&ev)
	case RequestEvent:
		r.request(&ev)
	case OutcomeEvent:
		r.outcome(&ev)
	case ClientDisconnectedEvent:
		if q := r.reqs[ev.Request]; q != nil {
			if q.at != nil && r.set.Cancellation { // nobody waits for this work any more
				r.act(Action{Kind: CancelAction, Request: q.id, Attempt: q.try})
			}
			r.close(q)
		}
	case TimerEvent:
		r.upkeep()
		r.act(Action{Kind: TimerAction, At: now + r.period()})
	case HealthCheckEvent:
		r.probed(&ev)
	case GossipEvent:
		r.hear(ev.Peer, ev.Data)
	}
	r.tellAll()
	return r.acts
}

func (r *Router) act(a Action)  { r.acts = append(r.acts, a) }
func (r *Router) period() int64 { return max(upkeepEvery, r.set.TickInterval) }
func (r *Router) pace() int64   { return findEvery * r.period() }
func (r *Router) log(s string)  { r.act(Action{Kind: LogAction, Text: s}) }

// apart is a random time about as long as a router alone would wait. Many who wait for the same do so for
// longer: the first to see it tells the others, and no two ask in step.
func (r *Router) apart(wait int64) int64 {
	if r.set.Gateways < 2 {
		return wait
	}
	return int64((0.5 + r.chance()) * math.Sqrt(float64(r.set.Gateways)) * float64(wait))
}

// chance returns a number from 0 on and below 1.
func (r *Router) chance() float64 { return float64(r.rand.Below(1<<30)) / (1 << 30) }

// mix moves a running mean towards a new value; the first value is the mean.
func mix(mean *float64, value, weight float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += weight * (value - *mean)
}

// takeList applies the list. A host told to drain, or gone, gets nothing from that moment on: the grace of
// the drain rule is slack, not a plan. A new start makes a host cold.
func (r *Router) takeList(ev *Event) {
	if ev.PollFailed {
		r.askWait = min(max(2*r.askWait, 20*r.period()), 200*r.period())
		r.askAt = r.now + r.askWait/2 + r.rand.Below(r.askWait)
		return
	}
	r.askWait, r.askAt = 0, 0
	seen := map[string]bool{}
	for _, e := range ev.Endpoints {
		seen[e.Host] = true
		h := r.hosts[e.Host]
		if h == nil && e.State == Removed {
			continue
		} else if h == nil {
			h = r.addHost(&e)
		}
		h.zone, h.phase = e.Zone, e.State
		if born := min(e.StartedAt, r.now); born > h.born { // a start in the future is no reason to wait for it
			h.born, h.died = born, false
			if r.now-born < r.set.SlowStartDuration {
				r.chill(h, born)
			}
		}
		r.bind(h)
	}
	if ev.Complete {
		for _, h := range r.order {
			if !seen[h.id] && h.phase != Removed {
				h.phase = Removed
				r.bind(h)
			}
		}
	}
	for _, g := range r.groups {
		if g.primary == nil && g.round == 0 {
			g.round = 1
			r.walk(g, nil)
		}
		r.dispatch(g)
	}
}

func (r *Router) addHost(e *Endpoint) *host {
	i, known := r.findGroup(e.Group)
	if !known {
		r.groups = slices.Insert(r.groups, i, &group{id: e.Group})
	}
	g := r.groups[i]
	h := &host{id: e.Host, group: g, limit: firstLimit}
	r.hosts[h.id] = h
	r.news.AddHost(h.id, e.Group)
	byID := func(a, b *host) int { return strings.Compare(a.id, b.id) }
	i, _ = slices.BinarySearchFunc(r.order, h, byID)
	r.order = slices.Insert(r.order, i, h)
	i, _ = slices.BinarySearchFunc(g.members, h, byID)
	g.members = slices.Insert(g.members, i, h)
	if e.Primary && g.primary == nil && g.round == 0 { // the list marks only what is or has been primary
		h.been, g.primary, g.round, h.walked = true, h, 1, 1
	}
	return h
}

func (r *Router) findGroup(id int64) (int, bool) {
	return slices.BinarySearchFunc(r.groups, id, func(g *group, k int64) int { return cmp.Compare(g.id, k) })
}

// bind notes whether the drain rule forbids the host. Where only draining binds, gone is no proof.
func (r *Router) bind(h *host) {
	h.bound = h.phase == Draining || h.phase == Removed && (!r.set.OnlyDrainingExcludes || h.bound)
	if h.bound && h.group.primary == h {
		r.lose(h.group, "is withdrawn")
	}
}

// chill marks a start: the host can do only a part of its work. The first credit is drawn from none to one:
// with a whole one each, hundreds of routers would push it over at once.
func (r *Router) chill(h *host, at int64) {
	h.cold, h.coldAt, h.credit, h.earned = true, at, r.chance(), r.now
	h.limit, h.share = 1, 0
}

// ramp is the least share of its capacity that the host has by now.
func (r *Router) ramp(h *host) float64 {
	age := r.now - h.coldAt
	if !h.cold || age >= r.set.SlowStartDuration || r.set.SlowStartDuration <= 0 {
		h.cold = false
		return 1
	}
	return r.set.SlowStartInitialShare + (1-r.set.SlowStartInitialShare)*float64(age)/float64(r.set.SlowStartDuration)
}

// room tells whether the host may be sent the request: it is well, within its limits of attempts out, our own
// and that of all, while cold within the budget that all routers together must keep, and not to be spared.
func (r *Router) room(q *request, h *host) bool {
	if h.bound || r.now < h.restUntil || float64(len(h.out)) >= h.limit || r.news.AtCapacity(r.now, h.id) {
		return false
	}
	if h.cond != up && (h.cond != down || len(h.out) > 0 || r.now+h.backoff/2 < h.retryAt ||
		r.set.HealthChecks && h.backoff < backoffLimit*r.pace()) { // its probes may fail alone
		return false
	}
	if ramp := r.ramp(h); h.cold {
		// Our part of what all requests ask of a host; chance keeps half the multiple.
		rate := r.perHost * ramp * r.set.SlowStartOverloadFactor / 2
		most := max(1, rate*float64(r.set.SlowStartOverloadWindow)/4e6)
		h.credit = min(most, h.credit+rate*float64(r.now-h.earned)/1e6)
		h.earned = r.now
		if h.credit < 1 || r.price(q) > heavy && q.class.Consistency != Write && h.credit < r.price(q) {
			return false
		}
	}
	// Of many routers each has too few out for its limit to bind, so each leaves out a part of its reads.
	share := h.share
	if r.perHost < seldom {
		share = max(share, r.news.OverloadRatio())
	}
	spare := q.class.Consistency != Write && q.luck*(1-spareShare) > 1-share
	q.spared = q.spared || spare
	return !spare
}

// price is what a request takes of a cold host's budget: one, or more where its class takes longer than most.
func (r *Router) price(q *request) float64 { return max(1, r.cost[q.kind]/r.usual) }
func (r *Router) long(q *request) bool     { return q.class.Consistency == Eventual && r.price(q) > heavy }

// alive notes a sign of life. A host that was dead is cold now, even if the list has not said so yet.
func (r *Router) alive(h *host) {
	h.heard, h.quietFrom, h.backoff, h.again = r.now, r.now, 0, false
	if h.refusals > 1 { // alive, so its table of connections is full; one alone may be a bad link's
		h.refusals, r.keep = 0, max(r.keep/2, r.period())
	}
	if h.died { // and so not up
		r.chill(h, r.now)
	}
	h.cond, h.died = up, false
}

// doubt stops sends to a host until a probe decides: a lossy link is no death, and the dead come back cold.
func (r *Router) doubt(h *host) {
	if !r.set.HealthChecks {
		r.fell(h, true)
	} else if h.cond == up {
		h.cond = doubted
		r.probe(h, 0)
	}
}

// fell notes that the host does not serve; writes walk on.
func (r *Router) fell(h *host, died bool) {
	h.died, h.again = h.died || died, false
	h.backoff = min(max(2*h.backoff, r.pace()), backoffLimit*r.pace())
	h.retryAt = r.now + r.apart(h.backoff)
	if h.cond != down {
		r.log("host " + h.id + " is down")
	}
	h.cond, h.fellAt = down, r.now
	if h.group.primary == h {
		r.lose(h.group, "does not answer")
	}
}

// suspect looks for silence: attempts out and no answer for clearly longer than the host's answers take, the
// sooner the more are out. A probe decides, so slow hosts are not taken for dead ones.
func (r *Router) suspect(h *host) {
	for _, q := range h.out { // not to answer says as much as a late answer does, and sooner
		if late := float64(q.judged+1) / 2; late <= 1 && r.now-q.sentAt > int64(late*float64(q.class.LatencyObjective)) {
			q.judged++
			r.weigh(h, late)
		}
	}
	patience := max(h.lat, (h.lat+4*h.dev)/float64(max(min(len(h.out), 4), 1)), float64(r.period())) +
		float64(r.news.MaxReportDelay(h.id)) // what others hear of it counts, and comes so much later
	if h.cond == up && len(h.out) > 0 && h.lat != 0 && float64(r.now-h.quietFrom) > patience {
		r.doubt(h)
	}
}

// measure learns how long the host takes and how much it may be given at once: the limit grows while answers
// take little of their aim, and is cut when they take much of it. An attempt that ran out of time counts
// as one that took all of its aim: else a host would be judged by its quick answers alone, and never spared.
func (r *Router) measure(h *host, q *request, took int64, served bool) {
	h.rest /= 2
	t := float64(took)
	share := t / float64(q.class.LatencyObjective)
	if !served {
		share = max(share, 1)
	} else {
		mix(&h.lat, t, smooth)
		mix(&h.dev, max(t-h.lat, h.lat-t, h.lat/4), smooth)
		mix(&r.cost[q.kind], t, smooth*smooth)
		mix(&h.group.lat, t, smooth)
	}
	r.weigh(h, share)
}

// judge takes how much of its aim an answer took, ours or one that another router tells of.
func (r *Router) judge(h *host, share float64) {
	h.share += smoothShare * (min(share, 1) - h.share)
	switch {
	case h.share > highShare && r.now-h.cutAt > int64(h.lat):
		h.limit, h.cutAt = max(r.least, h.limit*cut), r.now
	case h.share < lowShare && float64(len(h.out)+1) >= h.limit:
		h.limit += 1 / h.limit
	}
}

// learnReport takes a host's own account. It is as old as the position in it at the most, so evidence of
// role is dated by that: a late report never overturns a newer answer.
func (r *Router) learnReport(h *host, rep *HostReport) {
	at, role := r.now-int64(r.probeRTT), Replica
	if rep.HasPosition {
		h.pos, h.posAt = max(h.pos, rep.Position), r.now // a position never goes back
		at = min(at, rep.Position)
	}
	if rep.Primary {
		role = Primary
	}
	if rep.HasRole {
		r.learnRole(h, role, at)
	}
	if rep.HasRole && rep.HasPosition {
		r.tell(h, rep.Position, role)
	}
}

// learnRole weighs evidence of role: the later wins, also between two hosts that both claim to be primary.
func (r *Router) learnRole(h *host, role Role, at int64) {
	if at < h.roleAt {
		return
	}
	h.role, h.roleAt = role, at
	g := h.group
	h.been = h.been || role == Primary
	if role == Replica && g.primary == h {
		r.lose(g, "is a replica")
	}
	if role == Replica || h.bound || g.sure && (g.primary == h || at < g.primary.roleAt) {
		return
	}
	r.log("group " + strconv.FormatInt(g.id, 10) + ": primary " + h.id)
	g.primary, g.sure = h, true
	g.round++
	r.dispatch(g)
}

// lose drops the primary and walks on down the list.
func (r *Router) lose(g *group, why string) {
	h := g.primary
	if g.sure {
		g.lostAt = r.now
		r.log("group " + strconv.FormatInt(g.id, 10) + ": primary " + h.id + " " + why)
	}
	g.sure = false
	h.walked = g.round
	r.walk(g, h)
	r.find(g)
}

// walk moves to the next member that this round has not tried, past those that lately showed themselves
// replicas. With the round done, there is no primary and writes are held.
func (r *Router) walk(g *group, from *host) {
	start := slices.Index(g.members, from) + 1
	g.primary = nil
	for i := range g.members {
		m := g.members[(start+i)%len(g.members)]
		fresh := m.role == Replica && r.now-m.roleAt < 4*r.pace()
		if m != from && m.walked != g.round && !m.bound && m.cond == up && !fresh {
			m.walked, g.primary = g.round, m
			return
		}
	}
}

// find looks for a primary that nobody has named while requests wait for it: by probes, ever slower the
// longer it takes, or where there are none by another round. Where no primary was ever sure, time counts from
// the first request that waits: from 0, the second probe would be due after an eighth of all time.
func (r *Router) find(g *group) {
	if g.lostAt == 0 && len(g.wait) > 0 {
		g.lostAt = r.now
	}
	for _, m := range g.members {
		if len(g.wait) > 0 && r.now >= m.findAt && (m.cond == up || r.now >= m.retryAt) {
			m.findAt = r.now + r.apart(max(r.pace(), (r.now-g.lostAt)/8))
			r.probe(m, 0)
		}
	}
	if !r.set.HealthChecks && g.primary == nil && r.now-g.lostAt >= backoffLimit*r.pace()/4 {
		g.lostAt = r.now
		g.round++
		r.walk(g, nil)
	}
}

func (r *Router) request(ev *Event) {
	// A group that no list has named has no host to wait for, and anyone may ask for any number of such.
	i, known := r.findGroup(ev.Group)
	if !known || ev.Class < 0 || ev.Class >= len(r.set.Classes) {
		r.act(Action{Kind: RejectAction, Request: ev.Request, RetryAfter: r.set.MaxRetryAfter})
		return
	}
	c := &r.set.Classes[ev.Class]
	q := &request{id: ev.Request, class: c, kind: ev.Class, group: r.groups[i],
		key: ev.Key, hasKey: ev.HasKey, until: ev.Deadline, halfAt: r.now + (ev.Deadline-r.now)/2}
	q.aimAt = min(r.now+c.LatencyObjective+int64(c.ObjectivePerWork*float64(ev.WorkHint)), q.until)
	if c.Consistency == ReadYourWrites && !r.set.RequestsCarrySessionAge {
		q.need = max(r.floor, r.tokens[0][ev.Key], r.tokens[1][ev.Key]) // one floor covers those forgotten
	} else if c.Consistency == ReadYourWrites && ev.SessionWriteAge != 0 {
		q.need = r.now - ev.SessionWriteAge
	}
	r.retries = min(retryBurst, r.retries+retryEarn)
	r.probes = min(probeBurst, r.probes+probeEarn)
	r.asked++
	mix(&r.usual, r.cost[q.kind], smooth*smooth/5) // no faster than perHost
	if r.longShare *= 1 - smooth*smooth; r.long(q) {
		r.longShare += smooth * smooth * r.price(q)
	}
	q.luck = r.chance()
	r.reqs[q.id] = q
	r.hold(q)
	r.dispatch(q.group)
	for _, m := range q.group.members {
		if m.cond != up && r.now >= m.retryAt { // whoever sends little asks little
			r.probe(m, 1)
		}
	}
}

// hold puts a request among those that wait: late ones last, dearest first, then newest first; with more
// asked than can be served, oldest first would send each with too little time left, and serve none.
func (r *Router) hold(q *request) {
	if r.over(q) {
		r.giveUp(q)
		return
	}
	q.late = r.late(q)
	i, _ := slices.BinarySearchFunc(q.group.wait, q, r.before)
	q.group.wait = slices.Insert(q.group.wait, i, q)
}

func (r *Router) before(a, b *request) int {
	return cmp.Or(cmp.Compare(a.late, b.late),
		cmp.Compare(b.class.PriorityWeight/r.cost[b.kind], a.class.PriorityWeight/r.cost[a.kind]), // for the time taken
		cmp.Compare(b.aimAt, a.aimAt))
}

// dispatch sends what can be sent of the requests that wait.
func (r *Router) dispatch(g *group) {
	noWrite, misfits := false, 0
	g.wait = slices.DeleteFunc(g.wait, func(q *request) bool {
		write := q.class.Consistency == Write
		if q.done || write && noWrite || !write && misfits > maxMisfits {
			return q.done
		}
		h := r.choose(q)
		if h != nil {
			r.send(q, h)
		} else if write {
			noWrite = true
		} else {
			misfits++
		}
		return h != nil
	})
}

func (r *Router) choose(q *request) *host {
	if q.class.Consistency != Write {
		return r.reader(q)
	}
	h := q.group.primary
	if h == nil || !r.room(q, h) || q.ranAt != 0 && q.class.DeduplicationScope == ScopeZone && h.zone != q.ranZone {
		return nil
	}
	return h
}

func (r *Router) send(q *request, h *host) {
	q.dials, h.open = !h.open, true
	if len(h.out) == 0 {
		h.quietFrom = r.now
	}
	q.try, q.at, q.sentAt, q.judged = q.attempts, h, r.now, 0
	q.attempts++
	h.out = append(h.out, q)
	r.news.SetInFlight(h.id, len(h.out))
	if h.cold {
		h.credit -= r.price(q)
	}
	r.act(Action{Kind: SendAction, Request: q.id, Host: h.id})
}

// AttemptStillValid tells whether the attempt that is out for a request may still be written. A decision ages while a
// connection opens: the host may have been withdrawn since, or what was known of its position grown too old.
// One that no longer fits is to end as Skipped, which brings a new decision.
func (r *Router) AttemptStillValid(now int64, id int64) bool {
	q := r.reqs[id]
	if q == nil || q.done || q.at == nil || q.at.bound || now >= q.until || r.lapsed(q, now) {
		return false
	}
	return q.class.Consistency != BoundedStaleness || r.set.HostsCheckStaleness || q.at.been || q.at.pos >= now-q.class.MaxStaleness
}

// reader picks among the replicas whose known position suffices the less busy of two drawn at random; near
// ties stay in the zone where crossing has a price. Without one it draws, where hosts check reads, among all
// that by their lag of late should be fresh enough, or else asks, and takes the primary last.
func (r *Router) reader(q *request) *host {
	g, need := q.group, int64(0)
	switch q.class.Consistency {
	case BoundedStaleness:
		need = r.now - q.class.MaxStaleness
	case ReadYourWrites:
		need = q.need
	case Linearizable:
		return r.primaryFor(q)
	}
	// Long reads that bear any age go to as few replicas as their part of all work asks for, the same for all
	// routers: one may keep its host from applying the log, and spread over all they leave none fresh.
	long, few := r.long(q), max(1, int(r.longShare*float64(len(g.members)-2)))
	var a, b *host
	ka, kb, known, busy := 0.0, 0.0, false, false
	for _, m := range g.members {
		if m == g.primary && g.sure || m == q.last && len(g.members) > 2 || r.view != nil && r.left(q, m) {
			continue
		}
		suffices := m.pos >= need
		if room := r.room(q, m); long && m.cond == up && !m.bound && !m.cold && m.errs <= failing {
			if few--; room {
				return m
			} else if few == 0 {
				return nil
			}
			continue
		} else if !room {
			busy = busy || suffices && m.cond == up // to ask others would tell nothing of it
			continue
		}
		if !suffices && (known || !r.set.HostsCheckStaleness || q.attempts > 2 || r.now-(m.posAt-m.pos) < need &&
			r.now-m.posAt < max(2*r.pace(), m.posAt-m.pos)) {
			continue
		}
		if suffices && !known {
			known, a, b = true, nil, nil
		}
		// The least of exponential times is a draw by weight. A cold host weighs as much as it can do. One
		// with an open connection weighs more: new ones cost hosts work, and those of all routers very much.
		weight := r.ramp(m)
		if m.open {
			weight *= openWeight
		}
		k := -math.Log(1-r.chance()) / weight
		if a == nil || k < ka {
			a, b, ka, kb = m, a, k, ka
		} else if b == nil || k < kb {
			b, kb = m, k
		}
	}
	if b != nil && r.lessBusy(b, a) {
		return b
	} else if a != nil {
		return a
	}
	// What a session has just written is at the primary; a bounded read asks whether a replica has caught up.
	p := r.primaryFor(q)
	if (p == nil || q.class.Consistency == BoundedStaleness) && !busy && need > 0 && !r.set.HostsCheckStaleness && r.ask(q) {
		return nil
	}
	return p
}

// left tells whether a read keeps from a host in a zone that the fleet has left, where its group has another.
func (r *Router) left(q *request, h *host) bool {
	elsewhere := func(m *host) bool {
		return m != h.group.primary && m.cond == up && !m.bound && r.view.ReadShare(m.zone) == 1
	}
	return math.Mod(q.luck*1024, 1) >= r.view.ReadShare(h.zone) && slices.ContainsFunc(h.group.members, elsewhere)
}

// ask probes two replicas at random for a read that finds none known to suffice, and lets it wait for what
// they say. Where traffic is thin, what is known is old at every request; probing ahead of need costs more.
func (r *Router) ask(q *request) bool {
	if r.now >= q.askUntil+3*r.pace() {
		q.askUntil = r.now
		g, asked := q.group, 0
		for i, start := 0, int(r.rand.Below(int64(len(g.members)))); i < len(g.members) && asked < 2; i++ {
			m := g.members[(start+i)%len(g.members)]
			if m.cond == up && m != g.primary &&
				(m.probing || r.now-m.probedAt < r.pace() || r.probe(m, 1)) {
				if asked++; m.probing {
					q.askUntil = r.now + int64(2*r.probeRTT) + r.period()
				}
			}
		}
	}
	return r.now < q.askUntil && slices.ContainsFunc(q.group.members, func(m *host) bool { return m.probing })
}

// lessBusy compares two hosts. One that mostly fails is quick at it, and would draw the traffic of all.
func (r *Router) lessBusy(a, b *host) bool {
	if (a.errs > failing) != (b.errs > failing) {
		return a.errs <= failing
	}
	if r.set.CrossZoneCost > 0 && (a.zone == r.set.Zone) != (b.zone == r.set.Zone) && len(a.out) == len(b.out) {
		return a.zone == r.set.Zone
	}
	outA, coming := r.news.Load(r.now, a.id)
	outB, _ := r.news.Load(r.now, b.id)
	more := float64(len(b.out)-len(a.out)) + outB - outA
	// All routers see this difference, so each moves a part of its reads: together, of what comes meanwhile,
	// as many as even it out. A new connection must be worth all of that.
	if b.open && !a.open {
		more -= coming / 2
	}
	return more+coming/2 > coming*r.chance()
}

// primaryFor gives a read to the primary if it was seen as one; one that is only guessed may hold anything.
func (r *Router) primaryFor(q *request) *host {
	h := q.group.primary
	if h == nil || !h.been || h.role == Replica || !r.room(q, h) {
		return nil
	}
	return h
}

func (r *Router) outcome(ev *Event) {
	h, q := r.hosts[ev.Host], r.reqs[ev.Request]
	if h == nil {
		return
	}
	r.learn(h, q, ev)
	if q != nil && q.at != nil && q.try == ev.Attempt {
		q.at.out = slices.DeleteFunc(q.at.out, func(o *request) bool { return o == q })
		r.news.SetInFlight(q.at.id, len(q.at.out))
		q.at, q.last = nil, q.at
	}
	if q != nil && (ev.Finished || q.done) {
		r.close(q)
	} else if q != nil && q.at == nil {
		r.settle(q, ev)
	}
	r.dispatch(h.group)
}

// learn takes from an outcome what it tells of the host.
func (r *Router) learn(h *host, q *request, ev *Event) {
	write := q != nil && q.class.Consistency == Write
	if ev.Position > 0 {
		h.pos, h.posAt = max(h.pos, ev.Position), r.now
	}
	r.learnReport(h, &ev.Report)
	if ev.Result.Answered() {
		r.alive(h)
		role := ev.Role
		if write && ev.Result == NotPrimary {
			role = Replica
		}
		h.been = h.been && role != Replica
		if role != RoleUnknown {
			r.learnRole(h, role, r.now)
		}
		r.tell(h, ev.Position, role)
	}
	switch ev.Result {
	case Failed:
		h.errs += smooth * (1 - h.errs)
		r.news.RecordLatencyShare(h.id, 0, true)
	case Succeeded, TimedOut:
		if ev.Result == Succeeded {
			h.errs -= smooth * h.errs
		}
		if ev.Result == Succeeded && q != nil && q.dials {
			h.refusals = 0
		}
		if q != nil {
			r.measure(h, q, ev.Latency, ev.Result == Succeeded)
		}
		if write && q.hasKey && ev.Result == Succeeded && ev.Position > 0 && !r.set.RequestsCarrySessionAge {
			r.tokens[0][q.key] = max(r.tokens[0][q.key], ev.Position)
		}
	case Overloaded, ConnectionRefused, ConnectionReset:
		if ev.Result == Overloaded {
			r.weigh(h, 1)
		}
		// A full table refuses new connections at once and leaves open ones alone; bad links do neither.
		if ev.Result == ConnectionRefused && ev.Latency < r.set.DialTimeout/2 && q != nil && q.dials {
			h.refusals++
		} else if ev.Result != Overloaded {
			h.refusals, r.keep = 0, min(2*r.keep, keepIdle)
		}
		if ev.Result == Overloaded || h.refusals > 1 {
			h.rest = min(max(2*h.rest, r.period()), r.pace())
			h.restUntil = r.now + h.rest/2 + r.rand.Below(h.rest)
		}
		if ev.Result != Overloaded {
			h.open = false
			r.doubt(h)
		}
	}
}

// settle decides what follows an attempt that did not serve: another, an early refusal if safe, or a failure.
func (r *Router) settle(q *request, ev *Event) {
	unrun := ev.Result.ProvesNotExecuted()
	q.met = q.met || ev.Result != ConnectionRefused && ev.Result != NotSent
	if !unrun && q.ranAt == 0 {
		q.ranAt, q.ranZone = q.sentAt, q.last.zone
	}
	if !unrun && (r.retries < 1 || q.class.RetrySafety == NonIdempotent) || q.attempts >= r.set.MaxAttempts {
		r.giveUp(q)
		return
	}
	if !unrun {
		r.retries--
	}
	r.hold(q)
}

// over tells whether nothing more can come of a request that is not out: its client leaves before upkeep sees
// it again, maybe from the moment it came, or it is keyed and its repeat would no longer be dropped.
func (r *Router) over(q *request) bool {
	return r.now+2*r.period() >= q.until || r.lapsed(q, r.now)
}

// lapsed tells whether a repeat of a keyed request, sent now, may be too late to be dropped by its key.
func (r *Router) lapsed(q *request, now int64) bool {
	return q.ranAt != 0 && q.class.RetrySafety == IdempotencyKey && now+r.period() >= q.ranAt+q.class.DeduplicationWindow
}

// late is above 0 if the request, sent now, would miss its aim by the time that attempts in its group take.
func (r *Router) late(q *request) int {
	return cmp.Compare(float64(r.now)+q.group.lat, float64(q.aimAt))
}

// giveUp gives the final answer at once. A refusal promises that trying again is harmless, so it needs
// proof that nothing ran, or a class that may be repeated.
func (r *Router) giveUp(q *request) {
	if q.ranAt == 0 || q.class.RetrySafety == Idempotent || q.class.RetrySafety == IdempotencyKey && q.class.DeduplicationScope == ScopeGlobal {
		after := min(q.class.LatencyObjective/2, r.set.MaxRetryAfter)
		if q.spared { // to come back at once would undo it
			after = r.set.MaxRetryAfter - r.rand.Below(r.set.MaxRetryAfter/8)
		}
		r.act(Action{Kind: RejectAction, Request: q.id, RetryAfter: after})
	} else {
		r.act(Action{Kind: FailAction, Request: q.id})
	}
	r.close(q)
}

// close forgets a finished request, but not before its last attempt has come back.
func (r *Router) close(q *request) {
	q.done = true
	if q.at == nil {
		delete(r.reqs, q.id)
	}
}

func (r *Router) upkeep() {
	if r.set.MustSubscribe && r.askAt != 0 && r.now >= r.askAt {
		r.askAt = 0
		r.act(Action{Kind: SubscribeAction})
	}
	if r.now-r.turnedAt > tokenAge {
		for _, c := range r.tokens[1] {
			r.floor = max(r.floor, c)
		}
		r.tokens[1], r.tokens[0], r.turnedAt = r.tokens[0], map[int64]int64{}, r.now
	}
	for _, h := range r.order {
		r.suspect(h)
		if h.open && len(h.out) == 0 && r.now-h.heard > r.keep {
			h.open = false
			r.act(Action{Kind: CloseIdleAction, Host: h.id})
		}
	}
	if since := r.now - r.ratedAt; since >= 1e6 {
		mix(&r.perHost, r.asked*1e6/float64(since)/float64(max(len(r.order), 1)), 1-rateKeep)
		for _, h := range r.order {
			h.errs *= errsKeep
		}
		r.asked, r.ratedAt = 0, r.now
		r.keep = min(r.keep+r.keep/keepGrow, keepIdle)
	}
	r.askAround()
	r.forget()
	for _, g := range r.groups {
		if !g.sure {
			r.find(g)
		}
		r.expire(g)
		r.dispatch(g)
	}
}

// expire gives up what waits in vain, and moves behind the others what can only be late. A read that no host
// has had by half of its time is refused while its client has time to come back.
func (r *Router) expire(g *group) {
	g.wait = slices.DeleteFunc(g.wait, func(q *request) bool {
		q.late = r.late(q)
		vain := !q.met && q.class.Consistency != Write && r.now+r.period() >= q.halfAt
		if !q.done && (vain || r.over(q) || q.late > 0 && q.class.LatePriorityWeight == 0) {
			r.giveUp(q)
		}
		return q.done
	})
	slices.SortStableFunc(g.wait, r.before)
}

// probe asks a host about itself, at a price in the budget that requests earn, and tells whether it did.
func (r *Router) probe(h *host, price float64) bool {
	waits := h.probing && r.now-h.probedAt < backoffLimit*r.pace() // a result may be lost for good
	may := r.set.HealthChecks && !waits && !h.bound && (price == 0 || r.probes >= price)
	if may {
		r.probes -= price
		h.probing, h.probedAt = true, r.now
		r.act(Action{Kind: HealthCheckAction, Host: h.id})
	}
	return may
}

// probed takes a probe's result. One that fails while the host answers requests proves nothing, and one that
// is turned away is a sign of life: hundreds of routers that ask at once fill a host's table of probes.
func (r *Router) probed(ev *Event) {
	h := r.hosts[ev.Host]
	if h == nil {
		return
	}
	h.probing = false
	if !ev.Result.Answered() {
		// One connection that breaks is no death: who is dead breaks the next ones, too, and at once.
		broke := ev.Result == ConnectionRefused || ev.Result == ConnectionReset
		switch {
		case h.heard >= h.probedAt, ev.Result == NotSent: // it was not asked
		case broke && h.cond == up:
			r.doubt(h)
		case broke && h.cond == doubted && !h.again:
			h.again = r.probe(h, 0)
		default:
			r.fell(h, broke && h.cond == down)
		}
		return
	}
	r.alive(h)
	if ev.Result == Succeeded {
		mix(&r.probeRTT, float64(ev.Latency), smooth)
	}
	r.learnReport(h, &ev.Report)
	r.dispatch(h.group)
}

// forget drops hosts that are gone and have nothing of ours out.
func (r *Router) forget() {
	r.order = slices.DeleteFunc(r.order, func(h *host) bool {
		if h.phase != Removed || !h.bound || len(h.out) > 0 || h.probing {
			return false
		}
		delete(r.hosts, h.id)
		r.news.RemoveHost(h.id)
		h.group.members = slices.DeleteFunc(h.group.members, func(m *host) bool { return m == h })
		return true
	})
}
