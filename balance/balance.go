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
	minMaintenanceInterval  = 20e3 // upkeep runs so often, or every tick: fine against aims, coarse enough to be cheap
	searchIntervalFactor    = 5    // upkeeps between probes while a group has no known primary; reports are no fresher
	maxBackoffFactor        = 32   // a dead host is probed ever less often, up to so many times the pace
	initialConcurrencyLimit = 4.0  // in-flight attempts granted to a host of which nothing is known
	minFleetConcurrency     = 5.5  // all routers' limits come to so much at the least: less leaves cores of a host idle
	limitGrowShare          = 0.28 // a host whose answers take less of their aim than this may be given more at once
	connectedWeight         = 16.0 // how much more often a host is drawn that we have a connection to
	shedStartShare          = 0.3  // above this a part of reads is kept from a host, all of them at 1
	sparseRequestRate       = 1.0  // with fewer requests for each host and second it goes by all hosts together as well
	limitCutShare           = 0.4  // above this it is given less; between the two its limit rests
	limitCutFactor          = 0.8  // what a cut leaves of the limit: several routers cut at once, so gently
	maxUnplacedReads        = 8    // reads that find no host before the others of a group are left for later
	ewmaWeight              = 0.1  // weight of a new answer in means: some ten answers decide
	latencyShareWeight      = 0.15 // the same for what answers take of their aim: queues grow within a few
	maxIdleTimeout          = 30e6 // idle connections are closed after this, or sooner where hosts' tables are full
	idleTimeoutGrowth       = 20   // part by which that time grows again a second
	requestRateRetention    = 0.9  // of the rate of requests is kept a second: ten seconds even out chance
	retryTokensPerRequest   = 0.1  // repeats of what may have run, for each first attempt: they cannot feed an overload
	maxRetryTokens          = 20.0 // what a calm time saves up for a crash
	checkTokensPerRequest   = 2.0  // probes for positions and of dead hosts, for each first attempt
	maxCheckTokens          = 10.0 // enough for a look at every member of a few groups
	longCostFactor          = 2.0  // a read of so many times the usual work needs all of it in a cold host's budget
	failingErrorShare       = 0.25 // a host with this share of errors gets a read only if the other one drawn has it
	errorShareRetention     = 0.8  // of that share is kept a second, so that it is tried again
	commitRetention         = 10e6 // session commits are kept for this long at least, then folded into one floor
)

// health is what we think of a host's ability to answer.
type health uint8

const (
	healthy   health = iota
	suspect          // silent for too long; a probe is to decide
	unhealthy        // a probe failed, too
)

// hostState is what we know of one host.
type hostState struct {
	id       string
	zone     int
	group    *groupState
	state    EndpointState
	excluded bool // told that it drains or is gone: nothing new goes there

	inFlight                  []*pendingRequest // own attempts out
	silentSince, lastHeardAt  int64             // since when attempts are out with no answer; last sign of life
	latency, latencyDeviation float64           // latency of answers and its mean deviation
	latencyShare              float64           // latency as a share of the aim
	errorShare                float64           // share of its answers that were errors
	concurrencyLimit          float64           // own attempts allowed out at once
	limitCutAt                int64
	pauseLength, pausedUntil  int64 // it turned attempts away or broke off: it is left alone for so long

	health                    health
	connected                 bool // it has connections of ours
	refusedDials              int  // new connections that it refused in a row
	crashed                   bool // it went on refusing or breaking connections: it starts cold when it is back
	checkPending, rechecked   bool // again: a probe that broke off was asked once more
	checkedAt                 int64
	nextTryAt, backoff        int64
	nextSearchAt, unhealthyAt int64 // no search asks it before; when it was last found not to serve
	role                      Role
	roleAsOf                  int64 // as of when the role is known
	wasPrimary                bool  // seen as primary, and no answer has since denied it
	triedInRound              int   // round of the walk that tried it last
	position, positionHeardAt int64 // applied at least up to pos, as heard at posAt
	warmingUp                 bool
	startedAt, slowStartAt    int64
	slowStartTokens           float64 // attempts that a cold host may be sent
	slowStartRefilledAt       int64
}

// groupState is what we know of a primary and its replicas, and the requests held for them.
type groupState struct {
	id             int64
	members        []*hostState // the list, sorted by id
	primary        *hostState   // the member that writes go to; nil while they are held
	confirmed      bool         // an answer or report has named it; otherwise it is the walk's next try
	round          int
	searchingSince int64
	queue          []*pendingRequest // held requests, in the order in which they will go
	latency        float64           // latency of answers
}

// pendingRequest is one that we owe a final answer, or whose last attempt is still out.
type pendingRequest struct {
	id, key                              int64
	classIndex, lateness, executedZone   int
	class                                *Class
	group                                *groupState
	objectiveAt, deadline, halfTimeAt    int64      // halfAt: half of its time has passed
	shedRank                             float64    // 0 to 1: of two reads the one with less is sent on
	minPosition                          int64      // OwnWrite: position that shows the session's writes
	attemptsSent, attempt, overdueHalves int        // judged: halves of its aim that its attempt took while it is out
	host, lastHost                       *hostState // where its attempt is out; where it failed last
	sentAt, positionWaitUntil            int64      // when it was sent; until when it waits for a position asked for
	executedAt                           int64      // sending of the first attempt that may have run; 0 if none
	hasKey, finished, dialed             bool       // dials: its attempt needed a new connection
	reachedHost, shed                    bool       // a host has had it; one was spared it
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	settings      Settings
	now           int64
	rand          random.Source
	started       bool
	hosts         map[string]*hostState
	hostsByID     []*hostState  // all hosts, sorted by id
	groups        []*groupState // sorted by id
	requests      map[int64]*pendingRequest
	classCost     []float64 // time that an attempt of each class takes, on the mean
	meanCost      float64   // the same of all requests
	longReadShare float64   // part of all work that is long reads that bear any age
	actions       []Action

	idleTimeout                      int64   // how long idle connections are kept
	minConcurrencyLimit              float64 // limit of own attempts out that no cut goes below
	requestCount, requestRatePerHost float64 // requests in this second, and for each host and second of late
	rateMeasuredAt                   int64
	retryTokens, checkTokens         float64 // budgets
	healthCheckRTT                   float64 // mean time of a probe
	subscribeAt, subscribeBackoff    int64
	sessionCommits                   [2]map[int64]int64 // commits of sessions, by age
	commitsRotatedAt, sessionFloor   int64
	gossip                           *gossip.State // what routers tell one another
	zoneShares                       ZoneShares    // what they have agreed on; nil: nothing
}

// New returns a router for the given settings; the seed feeds its own random numbers.
func New(settings Settings, seed uint64) (*Router, error) {
	if settings.TickInterval <= 0 || settings.MaxAttempts < 1 {
		return nil, errors.New("balance: Tick must be positive, and MaxAttempts at least 1")
	}
	settings.Classes = append([]Class(nil), settings.Classes...)
	r := &Router{
		settings: settings, rand: random.Source(seed), hosts: map[string]*hostState{},
		requests: map[int64]*pendingRequest{}, sessionCommits: [2]map[int64]int64{{}, {}},
		retryTokens: maxRetryTokens, checkTokens: maxCheckTokens, idleTimeout: maxIdleTimeout, healthCheckRTT: float64(settings.TickInterval),
		minConcurrencyLimit: min(max(1, minFleetConcurrency/float64(cmp.Or(settings.Gateways, 6))), initialConcurrencyLimit), // 6: one each of many
	}
	tell := gossip.Config{Gateways: settings.Gateways, Ordinal: settings.Ordinal, BytesPerRequest: settings.GossipBytesPerRequest}
	for _, c := range settings.Classes {
		if c.Consistency == BoundedStaleness {
			tell.FreshnessWindow = max(tell.FreshnessWindow, c.MaxStaleness)
		}
		r.classCost = append(r.classCost, float64(c.LatencyObjective))
		r.meanCost += float64(c.LatencyObjective) / float64(len(settings.Classes))
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return nil, errors.New("balance: a class needs a positive Aim and Deadline")
		}
	}
	r.gossip = gossip.New(tell, seed)
	return r, nil
}

// Handle takes one event and appends the actions that follow from it.
func (r *Router) Handle(now int64, ev Event, actions []Action) []Action {
	r.now, r.actions = now, actions
	if !r.started {
		r.started, r.commitsRotatedAt, r.rateMeasuredAt = true, now, now
		if r.settings.MustSubscribe {
			r.emit(Action{Kind: SubscribeAction})
		}
		r.emit(Action{Kind: TimerAction, At: now + r.maintenanceInterval()})
	}
	switch ev.Kind {
	case EndpointsEvent:
		r.handleEndpoints(&ev)
	case RequestEvent:
		r.handleRequest(&ev)
	case OutcomeEvent:
		r.handleOutcome(&ev)
	case ClientDisconnectedEvent:
		if req := r.requests[ev.Request]; req != nil {
			if req.host != nil && r.settings.Cancellation { // nobody waits for this work any more
				r.emit(Action{Kind: CancelAction, Request: req.id, Attempt: req.attempt})
			}
			r.finish(req)
		}
	case TimerEvent:
		r.runMaintenance()
		r.emit(Action{Kind: TimerAction, At: now + r.maintenanceInterval()})
	case HealthCheckEvent:
		r.handleHealthCheck(&ev)
	case GossipEvent:
		r.handleGossip(ev.Peer, ev.Data)
	}
	r.sendGossip()
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
func (r *Router) maintenanceInterval() int64 {
	return max(minMaintenanceInterval, r.settings.TickInterval)
}
func (r *Router) searchInterval() int64 { return searchIntervalFactor * r.maintenanceInterval() }
func (r *Router) log(s string)          { r.emit(Action{Kind: LogAction, Text: s}) }

// spreadOverFleet is a random time about as long as a router alone would wait. Many who wait for the same do so for
// longer: the first to see it tells the others, and no two ask in step.
func (r *Router) spreadOverFleet(wait int64) int64 {
	if r.settings.Gateways < 2 {
		return wait
	}
	return int64((0.5 + r.randomFraction()) * math.Sqrt(float64(r.settings.Gateways)) * float64(wait))
}

// randomFraction returns a number from 0 on and below 1.
func (r *Router) randomFraction() float64 { return float64(r.rand.Below(1<<30)) / (1 << 30) }

// updateEWMA moves a running mean towards a new value; the first value is the mean.
func updateEWMA(mean *float64, value, weight float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += weight * (value - *mean)
}

// handleEndpoints applies the list. A host told to drain, or gone, gets nothing from that moment on: the grace of
// the drain rule is slack, not a plan. A new start makes a host cold.
func (r *Router) handleEndpoints(ev *Event) {
	if ev.PollFailed {
		r.subscribeBackoff = min(max(2*r.subscribeBackoff, 20*r.maintenanceInterval()), 200*r.maintenanceInterval())
		r.subscribeAt = r.now + r.subscribeBackoff/2 + r.rand.Below(r.subscribeBackoff)
		return
	}
	r.subscribeBackoff, r.subscribeAt = 0, 0
	seen := map[string]bool{}
	for _, e := range ev.Endpoints {
		seen[e.Host] = true
		host := r.hosts[e.Host]
		if host == nil && e.State == Removed {
			continue
		} else if host == nil {
			host = r.addHost(&e)
		}
		host.zone, host.state = e.Zone, e.State
		if born := min(e.StartedAt, r.now); born > host.startedAt { // a start in the future is no reason to wait for it
			host.startedAt, host.crashed = born, false
			if r.now-born < r.settings.SlowStartDuration {
				r.beginSlowStart(host, born)
			}
		}
		r.updateExclusion(host)
	}
	if ev.Complete {
		for _, host := range r.hostsByID {
			if !seen[host.id] && host.state != Removed {
				host.state = Removed
				r.updateExclusion(host)
			}
		}
	}
	for _, group := range r.groups {
		if group.primary == nil && group.round == 0 {
			group.round = 1
			r.tryNextMember(group, nil)
		}
		r.dispatch(group)
	}
}

func (r *Router) addHost(e *Endpoint) *hostState {
	i, known := r.findGroup(e.Group)
	if !known {
		r.groups = slices.Insert(r.groups, i, &groupState{id: e.Group})
	}
	group := r.groups[i]
	host := &hostState{id: e.Host, group: group, concurrencyLimit: initialConcurrencyLimit}
	r.hosts[host.id] = host
	r.gossip.AddHost(host.id, e.Group)
	byID := func(a, b *hostState) int { return strings.Compare(a.id, b.id) }
	i, _ = slices.BinarySearchFunc(r.hostsByID, host, byID)
	r.hostsByID = slices.Insert(r.hostsByID, i, host)
	i, _ = slices.BinarySearchFunc(group.members, host, byID)
	group.members = slices.Insert(group.members, i, host)
	if e.Primary && group.primary == nil && group.round == 0 { // the list marks only what is or has been primary
		host.wasPrimary, group.primary, group.round, host.triedInRound = true, host, 1, 1
	}
	return host
}

func (r *Router) findGroup(id int64) (int, bool) {
	return slices.BinarySearchFunc(r.groups, id, func(group *groupState, k int64) int { return cmp.Compare(group.id, k) })
}

// updateExclusion notes whether the drain rule forbids the host. Where only draining binds, gone is no proof.
func (r *Router) updateExclusion(host *hostState) {
	host.excluded = host.state == Draining || host.state == Removed && (!r.settings.OnlyDrainingExcludes || host.excluded)
	if host.excluded && host.group.primary == host {
		r.demotePrimary(host.group, "is withdrawn")
	}
}

// beginSlowStart marks a start: the host can do only a part of its work. The first credit is drawn from none to one:
// with a whole one each, hundreds of routers would push it over at once.
func (r *Router) beginSlowStart(host *hostState, at int64) {
	host.warmingUp, host.slowStartAt, host.slowStartTokens, host.slowStartRefilledAt = true, at, r.randomFraction(), r.now
	host.concurrencyLimit, host.latencyShare = 1, 0
}

// slowStartShare is the least share of its capacity that the host has by now.
func (r *Router) slowStartShare(host *hostState) float64 {
	age := r.now - host.slowStartAt
	if !host.warmingUp || age >= r.settings.SlowStartDuration || r.settings.SlowStartDuration <= 0 {
		host.warmingUp = false
		return 1
	}
	return r.settings.SlowStartInitialShare + (1-r.settings.SlowStartInitialShare)*float64(age)/float64(r.settings.SlowStartDuration)
}

// admits tells whether the host may be sent the request: it is well, within its limits of attempts out, our own
// and that of all, while cold within the budget that all routers together must keep, and not to be spared.
func (r *Router) admits(req *pendingRequest, host *hostState) bool {
	if host.excluded || r.now < host.pausedUntil || float64(len(host.inFlight)) >= host.concurrencyLimit || r.gossip.AtCapacity(r.now, host.id) {
		return false
	}
	if host.health != healthy && (host.health != unhealthy || len(host.inFlight) > 0 || r.now+host.backoff/2 < host.nextTryAt ||
		r.settings.HealthChecks && host.backoff < maxBackoffFactor*r.searchInterval()) { // its probes may fail alone
		return false
	}
	if ramp := r.slowStartShare(host); host.warmingUp {
		// Our part of what all requests ask of a host; chance keeps half the multiple.
		rate := r.requestRatePerHost * ramp * r.settings.SlowStartOverloadFactor / 2
		most := max(1, rate*float64(r.settings.SlowStartOverloadWindow)/4e6)
		host.slowStartTokens = min(most, host.slowStartTokens+rate*float64(r.now-host.slowStartRefilledAt)/1e6)
		host.slowStartRefilledAt = r.now
		if host.slowStartTokens < 1 || r.costFactor(req) > longCostFactor && req.class.Consistency != Write && host.slowStartTokens < r.costFactor(req) {
			return false
		}
	}
	// Of many routers each has too few out for its limit to bind, so each leaves out a part of its reads.
	share := host.latencyShare
	if r.requestRatePerHost < sparseRequestRate {
		share = max(share, r.gossip.OverloadRatio())
	}
	spare := req.class.Consistency != Write && req.shedRank*(1-shedStartShare) > 1-share
	req.shed = req.shed || spare
	return !spare
}

// costFactor is what a request takes of a cold host's budget: one, or more where its class takes longer than most.
func (r *Router) costFactor(req *pendingRequest) float64 {
	return max(1, r.classCost[req.classIndex]/r.meanCost)
}
func (r *Router) isLongRead(req *pendingRequest) bool {
	return req.class.Consistency == Eventual && r.costFactor(req) > longCostFactor
}

// markHealthy notes a sign of life. A host that was dead is cold now, even if the list has not said so yet.
func (r *Router) markHealthy(host *hostState) {
	host.lastHeardAt, host.silentSince, host.backoff, host.rechecked = r.now, r.now, 0, false
	if host.refusedDials > 1 { // alive, so its table of connections is full; one alone may be a bad link's
		host.refusedDials, r.idleTimeout = 0, max(r.idleTimeout/2, r.maintenanceInterval())
	}
	if host.crashed { // and so not up
		r.beginSlowStart(host, r.now)
	}
	host.health, host.crashed = healthy, false
}

// markSuspect stops sends to a host until a probe decides: a lossy link is no death, and the dead come back cold.
func (r *Router) markSuspect(host *hostState) {
	if !r.settings.HealthChecks {
		r.markUnhealthy(host, true)
	} else if host.health == healthy {
		host.health = suspect
		r.startHealthCheck(host, 0)
	}
}

// markUnhealthy notes that the host does not serve; writes walk on.
func (r *Router) markUnhealthy(host *hostState, died bool) {
	host.crashed, host.rechecked = host.crashed || died, false
	host.backoff = min(max(2*host.backoff, r.searchInterval()), maxBackoffFactor*r.searchInterval())
	host.nextTryAt = r.now + r.spreadOverFleet(host.backoff)
	if host.health != unhealthy {
		r.log("host " + host.id + " is down")
	}
	host.health, host.unhealthyAt = unhealthy, r.now
	if host.group.primary == host {
		r.demotePrimary(host.group, "does not answer")
	}
}

// detectSilence looks for silence: attempts out and no answer for clearly longer than the host's answers take, the
// sooner the more are out. A probe decides, so slow hosts are not taken for dead ones.
func (r *Router) detectSilence(host *hostState) {
	for _, req := range host.inFlight { // not to answer says as much as a late answer does, and sooner
		if late := float64(req.overdueHalves+1) / 2; late <= 1 && r.now-req.sentAt > int64(late*float64(req.class.LatencyObjective)) {
			req.overdueHalves++
			r.recordLatencyShare(host, late)
		}
	}
	patience := max(host.latency, (host.latency+4*host.latencyDeviation)/float64(max(min(len(host.inFlight), 4), 1)), float64(r.maintenanceInterval())) +
		float64(r.gossip.MaxReportDelay(host.id)) // what others hear of it counts, and comes so much later
	if host.health == healthy && len(host.inFlight) > 0 && host.latency != 0 && float64(r.now-host.silentSince) > patience {
		r.markSuspect(host)
	}
}

// recordLatency learns how long the host takes and how much it may be given at once: the limit grows while answers
// take little of their aim, and is cut when they take much of it. An attempt that ran out of time counts
// as one that took all of its aim: else a host would be judged by its quick answers alone, and never spared.
func (r *Router) recordLatency(host *hostState, req *pendingRequest, took int64, served bool) {
	host.pauseLength /= 2
	t := float64(took)
	share := t / float64(req.class.LatencyObjective)
	if !served {
		share = max(share, 1)
	} else {
		updateEWMA(&host.latency, t, ewmaWeight)
		updateEWMA(&host.latencyDeviation, max(t-host.latency, host.latency-t, host.latency/4), ewmaWeight)
		updateEWMA(&r.classCost[req.classIndex], t, ewmaWeight*ewmaWeight)
		updateEWMA(&host.group.latency, t, ewmaWeight)
	}
	r.recordLatencyShare(host, share)
}

// adjustLimit takes how much of its aim an answer took, ours or one that another router tells of.
func (r *Router) adjustLimit(host *hostState, share float64) {
	host.latencyShare += latencyShareWeight * (min(share, 1) - host.latencyShare)
	switch {
	case host.latencyShare > limitCutShare && r.now-host.limitCutAt > int64(host.latency):
		host.concurrencyLimit, host.limitCutAt = max(r.minConcurrencyLimit, host.concurrencyLimit*limitCutFactor), r.now
	case host.latencyShare < limitGrowShare && float64(len(host.inFlight)+1) >= host.concurrencyLimit:
		host.concurrencyLimit += 1 / host.concurrencyLimit
	}
}

// recordReport takes a host's own account. It is as old as the position in it at the most, so evidence of
// role is dated by that: a late report never overturns a newer answer.
func (r *Router) recordReport(host *hostState, rep *HostReport) {
	at, role := r.now-int64(r.healthCheckRTT), Replica
	if rep.HasPosition {
		host.position, host.positionHeardAt = max(host.position, rep.Position), r.now // a position never goes back
		at = min(at, rep.Position)
	}
	if rep.Primary {
		role = Primary
	}
	if rep.HasRole {
		r.recordRole(host, role, at)
	}
	if rep.HasRole && rep.HasPosition {
		r.publishFact(host, rep.Position, role)
	}
}

// recordRole weighs evidence of role: the later wins, also between two hosts that both claim to be primary.
func (r *Router) recordRole(host *hostState, role Role, at int64) {
	if at < host.roleAsOf {
		return
	}
	host.role, host.roleAsOf = role, at
	group := host.group
	host.wasPrimary = host.wasPrimary || role == Primary
	if role == Replica && group.primary == host {
		r.demotePrimary(group, "is a replica")
	}
	if role == Replica || host.excluded || group.confirmed && (group.primary == host || at < group.primary.roleAsOf) {
		return
	}
	r.log("group " + strconv.FormatInt(group.id, 10) + ": primary " + host.id)
	group.primary, group.confirmed = host, true
	group.round++
	r.dispatch(group)
}

// demotePrimary drops the primary and walks on down the list.
func (r *Router) demotePrimary(group *groupState, why string) {
	host := group.primary
	if group.confirmed {
		group.searchingSince = r.now
		r.log("group " + strconv.FormatInt(group.id, 10) + ": primary " + host.id + " " + why)
	}
	group.confirmed = false
	host.triedInRound = group.round
	r.tryNextMember(group, host)
	r.searchPrimary(group)
}

// tryNextMember moves to the next member that this round has not tried, past those that lately showed themselves
// replicas. With the round done, there is no primary and writes are held.
func (r *Router) tryNextMember(group *groupState, from *hostState) {
	start := slices.Index(group.members, from) + 1
	group.primary = nil
	for i := range group.members {
		m := group.members[(start+i)%len(group.members)]
		fresh := m.role == Replica && r.now-m.roleAsOf < 4*r.searchInterval()
		if m != from && m.triedInRound != group.round && !m.excluded && m.health == healthy && !fresh {
			m.triedInRound, group.primary = group.round, m
			return
		}
	}
}

// searchPrimary looks for a primary that nobody has named while requests wait for it: by probes, ever slower the
// longer it takes, or where there are none by another round. Where no primary was ever sure, time counts from
// the first request that waits: from 0, the second probe would be due after an eighth of all time.
func (r *Router) searchPrimary(group *groupState) {
	if group.searchingSince == 0 && len(group.queue) > 0 {
		group.searchingSince = r.now
	}
	for _, m := range group.members {
		if len(group.queue) > 0 && r.now >= m.nextSearchAt && (m.health == healthy || r.now >= m.nextTryAt) {
			m.nextSearchAt = r.now + r.spreadOverFleet(max(r.searchInterval(), (r.now-group.searchingSince)/8))
			r.startHealthCheck(m, 0)
		}
	}
	if !r.settings.HealthChecks && group.primary == nil && r.now-group.searchingSince >= maxBackoffFactor*r.searchInterval()/4 {
		group.searchingSince = r.now
		group.round++
		r.tryNextMember(group, nil)
	}
}

func (r *Router) handleRequest(ev *Event) {
	// A group that no list has named has no host to wait for, and anyone may ask for any number of such.
	i, known := r.findGroup(ev.Group)
	if !known || ev.Class < 0 || ev.Class >= len(r.settings.Classes) {
		r.emit(Action{Kind: RejectAction, Request: ev.Request, RetryAfter: r.settings.MaxRetryAfter})
		return
	}
	c := &r.settings.Classes[ev.Class]
	req := &pendingRequest{id: ev.Request, class: c, classIndex: ev.Class, group: r.groups[i],
		key: ev.Key, hasKey: ev.HasKey, deadline: ev.Deadline, halfTimeAt: r.now + (ev.Deadline-r.now)/2}
	req.objectiveAt = min(r.now+c.LatencyObjective+int64(c.ObjectivePerWork*float64(ev.WorkHint)), req.deadline)
	if c.Consistency == ReadYourWrites && !r.settings.RequestsCarrySessionAge {
		req.minPosition = max(r.sessionFloor, r.sessionCommits[0][ev.Key], r.sessionCommits[1][ev.Key]) // one floor covers those forgotten
	} else if c.Consistency == ReadYourWrites && ev.SessionWriteAge != 0 {
		req.minPosition = r.now - ev.SessionWriteAge
	}
	r.retryTokens = min(maxRetryTokens, r.retryTokens+retryTokensPerRequest)
	r.checkTokens = min(maxCheckTokens, r.checkTokens+checkTokensPerRequest)
	r.requestCount++
	updateEWMA(&r.meanCost, r.classCost[req.classIndex], ewmaWeight*ewmaWeight/5) // no faster than perHost
	if r.longReadShare *= 1 - ewmaWeight*ewmaWeight; r.isLongRead(req) {
		r.longReadShare += ewmaWeight * ewmaWeight * r.costFactor(req)
	}
	req.shedRank = r.randomFraction()
	r.requests[req.id] = req
	r.enqueue(req)
	r.dispatch(req.group)
	for _, m := range req.group.members {
		if m.health != healthy && r.now >= m.nextTryAt { // whoever sends little asks little
			r.startHealthCheck(m, 1)
		}
	}
}

// enqueue puts a request among those that wait: late ones last, dearest first, then newest first; with more
// asked than can be served, oldest first would send each with too little time left, and serve none.
func (r *Router) enqueue(req *pendingRequest) {
	if r.expired(req) {
		r.giveUp(req)
		return
	}
	req.lateness = r.lateness(req)
	i, _ := slices.BinarySearchFunc(req.group.queue, req, r.compareQueued)
	req.group.queue = slices.Insert(req.group.queue, i, req)
}

func (r *Router) compareQueued(a, b *pendingRequest) int {
	return cmp.Or(cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(b.class.PriorityWeight/r.classCost[b.classIndex], a.class.PriorityWeight/r.classCost[a.classIndex]), // for the time taken
		cmp.Compare(b.objectiveAt, a.objectiveAt))
}

// dispatch sends what can be sent of the requests that wait.
func (r *Router) dispatch(group *groupState) {
	noWrite, misfits := false, 0
	group.queue = slices.DeleteFunc(group.queue, func(req *pendingRequest) bool {
		write := req.class.Consistency == Write
		if req.finished || write && noWrite || !write && misfits > maxUnplacedReads {
			return req.finished
		}
		host := r.chooseHost(req)
		if host != nil {
			r.send(req, host)
		} else if write {
			noWrite = true
		} else {
			misfits++
		}
		return host != nil
	})
}

func (r *Router) chooseHost(req *pendingRequest) *hostState {
	if req.class.Consistency != Write {
		return r.chooseReplica(req)
	}
	host := req.group.primary
	if host == nil || !r.admits(req, host) || req.executedAt != 0 && req.class.DeduplicationScope == ScopeZone && host.zone != req.executedZone {
		return nil
	}
	return host
}

func (r *Router) send(req *pendingRequest, host *hostState) {
	req.dialed, host.connected = !host.connected, true
	if len(host.inFlight) == 0 {
		host.silentSince = r.now
	}
	req.attempt, req.host, req.sentAt, req.overdueHalves = req.attemptsSent, host, r.now, 0
	req.attemptsSent++
	host.inFlight = append(host.inFlight, req)
	r.gossip.SetInFlight(host.id, len(host.inFlight))
	if host.warmingUp {
		host.slowStartTokens -= r.costFactor(req)
	}
	r.emit(Action{Kind: SendAction, Request: req.id, Host: host.id})
}

// AttemptStillValid tells whether the attempt that is out for a request may still be written. A decision ages while a
// connection opens: the host may have been withdrawn since, or what was known of its position grown too old.
// One that no longer fits is to end as Skipped, which brings a new decision.
func (r *Router) AttemptStillValid(now int64, id int64) bool {
	req := r.requests[id]
	if req == nil || req.finished || req.host == nil || req.host.excluded || now >= req.deadline || r.deduplicationLapsed(req, now) {
		return false
	}
	return req.class.Consistency != BoundedStaleness || r.settings.HostsCheckStaleness || req.host.wasPrimary || req.host.position >= now-req.class.MaxStaleness
}

// chooseReplica picks among the replicas whose known position suffices the less busy of two drawn at random; near
// ties stay in the zone where crossing has a price. Without one it draws, where hosts check reads, among all
// that by their lag of late should be fresh enough, or else asks, and takes the primary last.
func (r *Router) chooseReplica(req *pendingRequest) *hostState {
	group, need := req.group, int64(0)
	switch req.class.Consistency {
	case BoundedStaleness:
		need = r.now - req.class.MaxStaleness
	case ReadYourWrites:
		need = req.minPosition
	case Linearizable:
		return r.primaryForRead(req)
	}
	// Long reads that bear any age go to as few replicas as their part of all work asks for, the same for all
	// routers: one may keep its host from applying the log, and spread over all they leave none fresh.
	long, few := r.isLongRead(req), max(1, int(r.longReadShare*float64(len(group.members)-2)))
	var a, b *hostState
	ka, kb, known, busy := 0.0, 0.0, false, false
	for _, m := range group.members {
		if m == group.primary && group.confirmed || m == req.lastHost && len(group.members) > 2 || r.zoneShares != nil && r.avoidsZone(req, m) {
			continue
		}
		suffices := m.position >= need
		if room := r.admits(req, m); long && m.health == healthy && !m.excluded && !m.warmingUp && m.errorShare <= failingErrorShare {
			if few--; room {
				return m
			} else if few == 0 {
				return nil
			}
			continue
		} else if !room {
			busy = busy || suffices && m.health == healthy // to ask others would tell nothing of it
			continue
		}
		if !suffices && (known || !r.settings.HostsCheckStaleness || req.attemptsSent > 2 || r.now-(m.positionHeardAt-m.position) < need &&
			r.now-m.positionHeardAt < max(2*r.searchInterval(), m.positionHeardAt-m.position)) {
			continue
		}
		if suffices && !known {
			known, a, b = true, nil, nil
		}
		// The least of exponential times is a draw by weight. A cold host weighs as much as it can do. One
		// with an open connection weighs more: new ones cost hosts work, and those of all routers very much.
		weight := r.slowStartShare(m)
		if m.connected {
			weight *= connectedWeight
		}
		k := -math.Log(1-r.randomFraction()) / weight
		if a == nil || k < ka {
			a, b, ka, kb = m, a, k, ka
		} else if b == nil || k < kb {
			b, kb = m, k
		}
	}
	if b != nil && r.preferred(b, a) {
		return b
	} else if a != nil {
		return a
	}
	// What a session has just written is at the primary; a bounded read asks whether a replica has caught up.
	p := r.primaryForRead(req)
	if (p == nil || req.class.Consistency == BoundedStaleness) && !busy && need > 0 && !r.settings.HostsCheckStaleness && r.checkPositions(req) {
		return nil
	}
	return p
}

// avoidsZone tells whether a read keeps from a host in a zone that the fleet has left, where its group has another.
func (r *Router) avoidsZone(req *pendingRequest, host *hostState) bool {
	elsewhere := func(m *hostState) bool {
		return m != host.group.primary && m.health == healthy && !m.excluded && r.zoneShares.ReadShare(m.zone) == 1
	}
	return math.Mod(req.shedRank*1024, 1) >= r.zoneShares.ReadShare(host.zone) && slices.ContainsFunc(host.group.members, elsewhere)
}

// checkPositions probes two replicas at random for a read that finds none known to suffice, and lets it wait for what
// they say. Where traffic is thin, what is known is old at every request; probing ahead of need costs more.
func (r *Router) checkPositions(req *pendingRequest) bool {
	if r.now >= req.positionWaitUntil+3*r.searchInterval() {
		req.positionWaitUntil = r.now
		group, asked := req.group, 0
		for i, start := 0, int(r.rand.Below(int64(len(group.members)))); i < len(group.members) && asked < 2; i++ {
			m := group.members[(start+i)%len(group.members)]
			if m.health == healthy && m != group.primary &&
				(m.checkPending || r.now-m.checkedAt < r.searchInterval() || r.startHealthCheck(m, 1)) {
				if asked++; m.checkPending {
					req.positionWaitUntil = r.now + int64(2*r.healthCheckRTT) + r.maintenanceInterval()
				}
			}
		}
	}
	return r.now < req.positionWaitUntil && slices.ContainsFunc(req.group.members, func(m *hostState) bool { return m.checkPending })
}

// preferred compares two hosts. One that mostly fails is quick at it, and would draw the traffic of all.
func (r *Router) preferred(a, b *hostState) bool {
	if (a.errorShare > failingErrorShare) != (b.errorShare > failingErrorShare) {
		return a.errorShare <= failingErrorShare
	}
	if r.settings.CrossZoneCost > 0 && (a.zone == r.settings.Zone) != (b.zone == r.settings.Zone) && len(a.inFlight) == len(b.inFlight) {
		return a.zone == r.settings.Zone
	}
	outA, coming := r.gossip.Load(r.now, a.id)
	outB, _ := r.gossip.Load(r.now, b.id)
	more := float64(len(b.inFlight)-len(a.inFlight)) + outB - outA
	// All routers see this difference, so each moves a part of its reads: together, of what comes meanwhile,
	// as many as even it out. A new connection must be worth all of that.
	if b.connected && !a.connected {
		more -= coming / 2
	}
	return more+coming/2 > coming*r.randomFraction()
}

// primaryForRead gives a read to the primary if it was seen as one; one that is only guessed may hold anything.
func (r *Router) primaryForRead(req *pendingRequest) *hostState {
	host := req.group.primary
	if host == nil || !host.wasPrimary || host.role == Replica || !r.admits(req, host) {
		return nil
	}
	return host
}

func (r *Router) handleOutcome(ev *Event) {
	host, req := r.hosts[ev.Host], r.requests[ev.Request]
	if host == nil {
		return
	}
	r.recordOutcome(host, req, ev)
	if req != nil && req.host != nil && req.attempt == ev.Attempt {
		req.host.inFlight = slices.DeleteFunc(req.host.inFlight, func(o *pendingRequest) bool { return o == req })
		r.gossip.SetInFlight(req.host.id, len(req.host.inFlight))
		req.host, req.lastHost = nil, req.host
	}
	if req != nil && (ev.Finished || req.finished) {
		r.finish(req)
	} else if req != nil && req.host == nil {
		r.handleFailedAttempt(req, ev)
	}
	r.dispatch(host.group)
}

// recordOutcome takes from an outcome what it tells of the host.
func (r *Router) recordOutcome(host *hostState, req *pendingRequest, ev *Event) {
	write := req != nil && req.class.Consistency == Write
	if ev.Position > 0 {
		host.position, host.positionHeardAt = max(host.position, ev.Position), r.now
	}
	r.recordReport(host, &ev.Report)
	if ev.Result.Answered() {
		r.markHealthy(host)
		role := ev.Role
		if write && ev.Result == NotPrimary {
			role = Replica
		}
		host.wasPrimary = host.wasPrimary && role != Replica
		if role != RoleUnknown {
			r.recordRole(host, role, r.now)
		}
		r.publishFact(host, ev.Position, role)
	}
	switch ev.Result {
	case Failed:
		host.errorShare += ewmaWeight * (1 - host.errorShare)
		r.gossip.RecordLatencyShare(host.id, 0, true)
	case Succeeded, TimedOut:
		if ev.Result == Succeeded {
			host.errorShare -= ewmaWeight * host.errorShare
		}
		if ev.Result == Succeeded && req != nil && req.dialed {
			host.refusedDials = 0
		}
		if req != nil {
			r.recordLatency(host, req, ev.Latency, ev.Result == Succeeded)
		}
		if write && req.hasKey && ev.Result == Succeeded && ev.Position > 0 && !r.settings.RequestsCarrySessionAge {
			r.sessionCommits[0][req.key] = max(r.sessionCommits[0][req.key], ev.Position)
		}
	case Overloaded, ConnectionRefused, ConnectionReset:
		if ev.Result == Overloaded {
			r.recordLatencyShare(host, 1)
		}
		// A full table refuses new connections at once and leaves open ones alone; bad links do neither.
		if ev.Result == ConnectionRefused && ev.Latency < r.settings.DialTimeout/2 && req != nil && req.dialed {
			host.refusedDials++
		} else if ev.Result != Overloaded {
			host.refusedDials, r.idleTimeout = 0, min(2*r.idleTimeout, maxIdleTimeout)
		}
		if ev.Result == Overloaded || host.refusedDials > 1 {
			host.pauseLength = min(max(2*host.pauseLength, r.maintenanceInterval()), r.searchInterval())
			host.pausedUntil = r.now + host.pauseLength/2 + r.rand.Below(host.pauseLength)
		}
		if ev.Result != Overloaded {
			host.connected = false
			r.markSuspect(host)
		}
	}
}

// handleFailedAttempt decides what follows an attempt that did not serve: another, an early refusal if safe, or a failure.
func (r *Router) handleFailedAttempt(req *pendingRequest, ev *Event) {
	unrun := ev.Result.ProvesNotExecuted()
	req.reachedHost = req.reachedHost || ev.Result != ConnectionRefused && ev.Result != NotSent
	if !unrun && req.executedAt == 0 {
		req.executedAt, req.executedZone = req.sentAt, req.lastHost.zone
	}
	if !unrun && (r.retryTokens < 1 || req.class.RetrySafety == NonIdempotent) || req.attemptsSent >= r.settings.MaxAttempts {
		r.giveUp(req)
		return
	}
	if !unrun {
		r.retryTokens--
	}
	r.enqueue(req)
}

// expired tells whether nothing more can come of a request that is not out: its client leaves before upkeep sees
// it again, maybe from the moment it came, or it is keyed and its repeat would no longer be dropped.
func (r *Router) expired(req *pendingRequest) bool {
	return r.now+2*r.maintenanceInterval() >= req.deadline || r.deduplicationLapsed(req, r.now)
}

// deduplicationLapsed tells whether a repeat of a keyed request, sent now, may be too late to be dropped by its key.
func (r *Router) deduplicationLapsed(req *pendingRequest, now int64) bool {
	return req.executedAt != 0 && req.class.RetrySafety == IdempotencyKey && now+r.maintenanceInterval() >= req.executedAt+req.class.DeduplicationWindow
}

// lateness is above 0 if the request, sent now, would miss its aim by the time that attempts in its group take.
func (r *Router) lateness(req *pendingRequest) int {
	return cmp.Compare(float64(r.now)+req.group.latency, float64(req.objectiveAt))
}

// giveUp gives the final answer at once. A refusal promises that trying again is harmless, so it needs
// proof that nothing ran, or a class that may be repeated.
func (r *Router) giveUp(req *pendingRequest) {
	if req.executedAt == 0 || req.class.RetrySafety == Idempotent || req.class.RetrySafety == IdempotencyKey && req.class.DeduplicationScope == ScopeGlobal {
		after := min(req.class.LatencyObjective/2, r.settings.MaxRetryAfter)
		if req.shed { // to come back at once would undo it
			after = r.settings.MaxRetryAfter - r.rand.Below(r.settings.MaxRetryAfter/8)
		}
		r.emit(Action{Kind: RejectAction, Request: req.id, RetryAfter: after})
	} else {
		r.emit(Action{Kind: FailAction, Request: req.id})
	}
	r.finish(req)
}

// finish forgets a finished request, but not before its last attempt has come back.
func (r *Router) finish(req *pendingRequest) {
	req.finished = true
	if req.host == nil {
		delete(r.requests, req.id)
	}
}

func (r *Router) runMaintenance() {
	if r.settings.MustSubscribe && r.subscribeAt != 0 && r.now >= r.subscribeAt {
		r.subscribeAt = 0
		r.emit(Action{Kind: SubscribeAction})
	}
	if r.now-r.commitsRotatedAt > commitRetention {
		for _, c := range r.sessionCommits[1] {
			r.sessionFloor = max(r.sessionFloor, c)
		}
		r.sessionCommits[1], r.sessionCommits[0], r.commitsRotatedAt = r.sessionCommits[0], map[int64]int64{}, r.now
	}
	for _, host := range r.hostsByID {
		r.detectSilence(host)
		if host.connected && len(host.inFlight) == 0 && r.now-host.lastHeardAt > r.idleTimeout {
			host.connected = false
			r.emit(Action{Kind: CloseIdleAction, Host: host.id})
		}
	}
	if since := r.now - r.rateMeasuredAt; since >= 1e6 {
		updateEWMA(&r.requestRatePerHost, r.requestCount*1e6/float64(since)/float64(max(len(r.hostsByID), 1)), 1-requestRateRetention)
		for _, host := range r.hostsByID {
			host.errorShare *= errorShareRetention
		}
		r.requestCount, r.rateMeasuredAt = 0, r.now
		r.idleTimeout = min(r.idleTimeout+r.idleTimeout/idleTimeoutGrowth, maxIdleTimeout)
	}
	r.checkForFleet()
	r.removeGoneHosts()
	for _, group := range r.groups {
		if !group.confirmed {
			r.searchPrimary(group)
		}
		r.expireQueue(group)
		r.dispatch(group)
	}
}

// expireQueue gives up what waits in vain, and moves behind the others what can only be late. A read that no host
// has had by half of its time is refused while its client has time to come back.
func (r *Router) expireQueue(group *groupState) {
	group.queue = slices.DeleteFunc(group.queue, func(req *pendingRequest) bool {
		req.lateness = r.lateness(req)
		vain := !req.reachedHost && req.class.Consistency != Write && r.now+r.maintenanceInterval() >= req.halfTimeAt
		if !req.finished && (vain || r.expired(req) || req.lateness > 0 && req.class.LatePriorityWeight == 0) {
			r.giveUp(req)
		}
		return req.finished
	})
	slices.SortStableFunc(group.queue, r.compareQueued)
}

// startHealthCheck asks a host about itself, at a price in the budget that requests earn, and tells whether it did.
func (r *Router) startHealthCheck(host *hostState, price float64) bool {
	waits := host.checkPending && r.now-host.checkedAt < maxBackoffFactor*r.searchInterval() // a result may be lost for good
	may := r.settings.HealthChecks && !waits && !host.excluded && (price == 0 || r.checkTokens >= price)
	if may {
		r.checkTokens -= price
		host.checkPending, host.checkedAt = true, r.now
		r.emit(Action{Kind: HealthCheckAction, Host: host.id})
	}
	return may
}

// handleHealthCheck takes a probe's result. One that fails while the host answers requests proves nothing, and one that
// is turned away is a sign of life: hundreds of routers that ask at once fill a host's table of probes.
func (r *Router) handleHealthCheck(ev *Event) {
	host := r.hosts[ev.Host]
	if host == nil {
		return
	}
	host.checkPending = false
	if !ev.Result.Answered() {
		// One connection that breaks is no death: who is dead breaks the next ones, too, and at once.
		broke := ev.Result == ConnectionRefused || ev.Result == ConnectionReset
		switch {
		case host.lastHeardAt >= host.checkedAt, ev.Result == NotSent: // it was not asked
		case broke && host.health == healthy:
			r.markSuspect(host)
		case broke && host.health == suspect && !host.rechecked:
			host.rechecked = r.startHealthCheck(host, 0)
		default:
			r.markUnhealthy(host, broke && host.health == unhealthy)
		}
		return
	}
	r.markHealthy(host)
	if ev.Result == Succeeded {
		updateEWMA(&r.healthCheckRTT, float64(ev.Latency), ewmaWeight)
	}
	r.recordReport(host, &ev.Report)
	r.dispatch(host.group)
}

// removeGoneHosts drops hosts that are gone and have nothing of ours out.
func (r *Router) removeGoneHosts() {
	r.hostsByID = slices.DeleteFunc(r.hostsByID, func(host *hostState) bool {
		if host.state != Removed || !host.excluded || len(host.inFlight) > 0 || host.checkPending {
			return false
		}
		delete(r.hosts, host.id)
		r.gossip.RemoveHost(host.id)
		host.group.members = slices.DeleteFunc(host.group.members, func(m *hostState) bool { return m == host })
		return true
	})
}
