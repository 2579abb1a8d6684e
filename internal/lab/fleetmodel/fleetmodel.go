// Package vast plays many gateways before many hosts in one process: the decision modules are the real ones, hosts are
// queues, and clients ask again as clients do. It shows in seconds what routers that are harmless alone do together. The
// same options give the same result.
package fleetmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cloverrock/balance"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
	// zero is the clock at the start: far enough from 0 for positions to lie behind it.
	zero = 1000 * sec
)

// Options describe a day.
type Options struct {
	Gateways, Groups, Members int
	Seconds                   int
	Seed                      uint64
	Rate                      float64 // requests a second, all together, on the mean
	Wave                      float64 // part by which the rate swings, in ten seconds
	Work                      float64 // milliseconds of the dearest class, on the mean
	TellEarn                  float64
	// Outage takes a part of the hosts away for a while; they come back cold.
	OutageAt, OutageFor int
	OutagePart          float64
	// Release kills and starts this part of the gateways at a time.
	ReleaseAt   int
	ReleasePart float64
}

// Result is what came of the day.
type Result struct {
	Asked, InTime, Late      float64 // worth
	Refused, Failed          int
	Attempts, TimedOut, Full int
	Probes, Dials, Told      int
	TellBytes                float64
	Seconds                  []Second
	Overloads                int // hosts that were sent more than the rule on cold hosts allows
	Requests                 int
	// CV1s is the coefficient of variation of what replicas of a group got in a second, on the mean from the third second
	// on; FairCV1s is what draws at random of as many would have had.
	CV1s, FairCV1s float64
}

// Second is one second of it.
type Second struct {
	Asked, InTime                                 float64
	Tries, Served, TimedOut, Refused, Full, Probe int
	Deepest                                       int // the most that one host held
}

// Score is the share of the worth that was answered in time, less what probes, connections and messages cost.
func (r *Result) Score(o *Options) float64 {
	n := float64(max(r.Requests, 1))
	return r.InTime/r.Asked - 0.08*float64(r.Probes)/n - 0.08*float64(r.Dials)/n - 0.012*r.TellBytes/256/n
}

type class struct {
	need          balance.Consistency
	share, worth  float64
	work          float64 // part of Options.Work
	aim, deadline int64
}

func classes(work float64) []class {
	unit := int64(work / 85 * float64(ms))
	return []class{
		{balance.BoundedStaleness, 0.58, 1, 1, 300 * unit, 750 * unit},
		{balance.ReadYourWrites, 0.32, 1, 0.6, 200 * unit, 800 * unit},
		{balance.Write, 0.10, 3, 1, 500 * unit, 3000 * unit},
	}
}

type host struct {
	id      string
	group   int
	index   int
	up      bool
	speed   float64
	coldAt  int64
	jobs    []*attempt // in work: they share its cores
	queue   []*attempt // waiting for a slot
	at      int64      // until when the work and the log are reckoned
	applied int64
	next    int64       // serial number of the next completion
	conns   map[int]int // idle connections by gateway
	got     int         // attempts in this second
}

type attempt struct {
	gateway, epoch int
	request        int64
	number         int
	host           *host
	work           float64 // left, in milliseconds of a core
	sent           int64
	over           bool // its outcome was told
	write          bool
}

type request struct {
	class, group int
	gateway      int
	began        int64
	giveUp       int64 // of all tries
	tries        int
	after        int64 // the position that it must see
	done         bool
	at           *attempt
	attempts     int
	until        int64
}

type gateway struct {
	router *balance.Router
	epoch  int
	up     bool
}

type event struct {
	at, seq int64
	call    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type day struct {
	o        Options
	r        *rand.Rand
	now, seq int64
	events   events
	classes  []class
	hosts    []*host
	byID     map[string]*host
	primary  []*host // by group
	commits  []int64 // last commit by group
	gates    []*gateway
	live     map[int64]*request
	next     int64
	evened   int
	res      Result
}

func (d *day) later(after int64, f func()) {
	d.seq++
	heap.Push(&d.events, event{d.now + after, d.seq, f})
}

func (d *day) second() *Second {
	i := min(int((d.now-zero)/sec), len(d.res.Seconds)-1)
	return &d.res.Seconds[i]
}

// Run plays a day.
func Run(o Options) (*Result, error) {
	d := &day{o: o, r: rand.New(rand.NewPCG(o.Seed, 7)), now: zero, classes: classes(o.Work), byID: map[string]*host{}, live: map[int64]*request{}}
	d.res.Seconds = make([]Second, o.Seconds+1)
	d.commits = make([]int64, o.Groups)
	for g := range o.Groups {
		for m := range o.Members {
			h := &host{id: fmt.Sprintf("s-%02d%02d", g, m), group: g, index: m, up: true, conns: map[int]int{},
				speed: 0.95 * (1 + 0.12*d.r.NormFloat64()), coldAt: -sec * 1000, at: zero, applied: zero - 20*ms}
			d.hosts = append(d.hosts, h)
			d.byID[h.id] = h
		}
		d.primary = append(d.primary, d.hosts[g*o.Members])
	}
	for i := range o.Gateways {
		d.gates = append(d.gates, &gateway{})
		if err := d.start(i); err != nil {
			return nil, err
		}
	}
	d.later(0, d.arrive)
	d.later(sec, d.even)
	if o.OutagePart > 0 {
		d.later(int64(o.OutageAt)*sec, d.outage)
	}
	if o.ReleasePart > 0 {
		d.later(int64(o.ReleaseAt)*sec, d.release)
	}
	end := zero + int64(o.Seconds)*sec
	for len(d.events) > 0 && d.events[0].at <= end {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.call()
	}
	d.res.CV1s, d.res.FairCV1s = d.res.CV1s/float64(max(d.evened, 1)), d.res.FairCV1s/float64(max(d.evened, 1))
	return &d.res, nil
}

// even reckons, each second, how evenly the replicas of each group were used.
func (d *day) even() {
	for g := range d.o.Groups {
		var ns []float64
		sum := 0.0
		for _, h := range d.hosts[g*d.o.Members : (g+1)*d.o.Members] {
			if h != d.primary[g] && h.up {
				ns = append(ns, float64(h.got))
				sum += float64(h.got)
			}
			h.got = 0
		}
		if n := float64(len(ns)); n > 1 && sum > 0 && d.now > zero+2*sec {
			mean, square := sum/n, 0.0
			for _, x := range ns {
				square += (x - mean) * (x - mean)
			}
			d.res.CV1s += math.Sqrt(square/n) / mean
			d.res.FairCV1s += math.Sqrt((1 - 1/n) / mean)
			d.evened++
		}
	}
	d.later(sec, d.even)
}

func (d *day) settings(i int) balance.Settings {
	set := balance.Settings{TickInterval: ms, HealthChecks: true, Cancellation: true, MaxRetryAfter: sec, MaxAttempts: 10, DialTimeout: 250 * ms,
		RequestsCarrySessionAge: true, SlowStartInitialShare: 0.25, SlowStartDuration: 16 * sec, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 1500 * ms, Gateways: d.o.Gateways, Ordinal: i, GossipBytesPerRequest: d.o.TellEarn}
	for _, c := range d.classes {
		k := balance.Class{LatencyObjective: c.aim, Deadline: c.deadline, PriorityWeight: c.worth, Consistency: c.need, DeduplicationWindow: 5 * sec, MaxStaleness: 500 * ms}
		if c.need == balance.Write {
			k.RetrySafety, k.LatePriorityWeight = balance.NonIdempotent, 0.7
		}
		set.Classes = append(set.Classes, k)
	}
	return set
}

func (d *day) entries() []balance.Endpoint {
	var es []balance.Endpoint
	for _, h := range d.hosts {
		e := balance.Endpoint{Host: h.id, Group: int64(h.group), State: balance.Ready, Primary: d.primary[h.group] == h}
		if h.coldAt > zero {
			e.StartedAt = h.coldAt
		}
		es = append(es, e)
	}
	return es
}

func (d *day) start(i int) error {
	g := d.gates[i]
	r, err := balance.New(d.settings(i), d.o.Seed*1000+uint64(i)+uint64(g.epoch)*7919)
	if err != nil {
		return err
	}
	g.router, g.up = r, true
	g.epoch++
	d.tell(i, balance.Event{Kind: balance.EndpointsEvent, Complete: true, Endpoints: d.entries()})
	return nil
}

// rate swings like a wave over ten seconds.
func (d *day) rate() float64 {
	return d.o.Rate * (1 + d.o.Wave*math.Sin(2*math.Pi*float64(d.now-zero)/float64(10*sec)))
}

func (d *day) arrive() {
	d.later(int64(d.r.ExpFloat64()/d.rate()*float64(sec)), d.arrive)
	pick, c := d.r.Float64(), 0
	for c < len(d.classes)-1 && pick > d.classes[c].share {
		pick -= d.classes[c].share
		c++
	}
	q := &request{class: c, group: d.r.IntN(d.o.Groups), began: d.now, giveUp: d.now + d.classes[c].deadline}
	if g := d.r.IntN(d.o.Groups); g < q.group { // lower numbers are somewhat busier
		if d.r.Float64() < 0.12 {
			q.group = g
		}
	}
	if d.classes[c].need == balance.ReadYourWrites && d.r.Float64() < 0.62 {
		q.after = d.now - int64(d.r.ExpFloat64()*500*float64(ms)) - ms
	}
	d.res.Requests++
	d.res.Asked += d.classes[c].worth
	d.second().Asked += d.classes[c].worth
	d.try(q)
}

// try has the client ask a gateway.
func (d *day) try(q *request) {
	gw := d.r.IntN(len(d.gates))
	if !d.gates[gw].up {
		d.later(100*ms, func() { d.again(q, 0) })
		return
	}
	q.tries++
	d.second().Tries++
	d.next++
	id := d.next
	q.gateway, q.attempts, q.at = gw, 0, nil
	q.until = min(q.giveUp, d.now+int64((0.4+0.6*d.r.Float64())*float64(d.classes[q.class].deadline)))
	d.live[id] = q
	ev := balance.Event{Kind: balance.RequestEvent, Request: id, Class: q.class, Group: int64(q.group), Deadline: q.until}
	if q.after > 0 {
		ev.SessionWriteAge = max(d.now-q.after, 1)
	}
	epoch := d.gates[gw].epoch
	d.later(q.until-d.now, func() {
		if d.live[id] == q { // never answered, or its gateway is gone
			d.finish(id, q)
			if d.gates[gw].epoch == epoch && d.gates[gw].up {
				d.tell(gw, balance.Event{Kind: balance.ClientDisconnectedEvent, Request: id})
			}
			d.again(q, 0)
		}
	})
	d.tell(gw, ev)
}

func (d *day) finish(id int64, q *request) {
	delete(d.live, id)
}

// again is a client that was refused or got nothing.
func (d *day) again(q *request, after int64) {
	if q.tries >= 4 || q.done || d.classes[q.class].need == balance.Write && q.attempts > 0 {
		return
	}
	wait := 30 * ms
	if after > 0 && d.r.Float64() < 0.7 {
		wait = after
	}
	if d.now+wait < q.giveUp {
		d.later(wait, func() { d.try(q) })
	}
}

// capacity is the part of its work that the host can do now.
func (d *day) capacity(h *host) float64 {
	c := h.speed
	if age := d.now - h.coldAt; age < 16*sec {
		c *= 0.3 + 0.7*float64(age)/float64(16*sec)
	}
	return c
}

func (d *day) tell(i int, ev balance.Event) {
	g := d.gates[i]
	for _, a := range g.router.Handle(d.now, ev, nil) {
		d.act(i, g, a)
	}
}

func (d *day) act(i int, g *gateway, a balance.Action) {
	epoch := g.epoch
	alive := func() bool { return g.up && g.epoch == epoch }
	switch a.Kind {
	case balance.TimerAction:
		d.later(max(a.At-d.now, 1), func() {
			if alive() {
				d.tell(i, balance.Event{Kind: balance.TimerEvent, Token: a.Token})
			}
		})
	case balance.SendAction:
		if q := d.live[a.Request]; q != nil {
			d.send(i, epoch, a.Request, q, d.byID[a.Host])
		}
	case balance.HealthCheckAction:
		d.res.Probes++
		d.second().Probe++
		h := d.byID[a.Host]
		took, result := ms, balance.Succeeded
		if !h.up {
			took, result = 250*ms, balance.TimedOut
		}
		d.later(took, func() {
			if alive() {
				ev := balance.Event{Kind: balance.HealthCheckEvent, Host: h.id, Result: result, Latency: took}
				if result == balance.Succeeded {
					_, _, ev.Report = d.note(h)
				}
				d.tell(i, ev)
			}
		})
	case balance.CancelAction:
		if q := d.live[a.Request]; q != nil && q.at != nil {
			q.at.over = true
		}
	case balance.RejectAction, balance.FailAction:
		q := d.live[a.Request]
		if q == nil {
			return
		}
		d.finish(a.Request, q)
		if a.Kind == balance.FailAction {
			d.res.Failed++
			return
		}
		d.res.Refused++
		d.second().Refused++
		d.again(q, a.RetryAfter)
	case balance.GossipAction:
		d.res.Told++
		if a.Peer >= 0 {
			d.res.TellBytes += float64(len(a.Data))
			d.later(ms+int64(d.r.ExpFloat64()*10*float64(ms)), func() {
				if d.gates[a.Peer].up {
					d.tell(a.Peer, balance.Event{Kind: balance.GossipEvent, Peer: i, Data: a.Data})
				}
			})
			return
		}
		d.res.TellBytes += float64(len(a.Data) * (len(d.gates) - 1))
		d.later(ms+int64(d.r.ExpFloat64()*10*float64(ms)), func() {
			for to, o := range d.gates {
				if to != i && o.up {
					d.tell(to, balance.Event{Kind: balance.GossipEvent, Peer: i, Data: a.Data})
				}
			}
		})
	}
}

// The host: cores, requests in work at once, and the part of a core that the log takes in the long run.
const (
	cores = 4.0
	slots = 32
	room  = 100
	apply = 0.45
)

// advance reckons a host's work and log up to now. All in work share the cores, the thread that applies the log among
// them: a crowded replica falls behind, though it answers on.
func (d *day) advance(h *host) {
	dt := float64(d.now-h.at) / float64(ms)
	h.at = d.now
	if !h.up || dt <= 0 {
		return
	}
	for _, at := range h.jobs {
		at.work -= dt * d.pace(h)
	}
	if d.primary[h.group] == h {
		h.applied = d.now
		return
	}
	thread := min(1, cores/float64(len(h.jobs)+1)) / apply
	h.applied = min(d.now-10*ms, h.applied+int64(dt*thread*float64(ms)))
}

// pace is how fast each request in work goes on, as a part of a core.
func (d *day) pace(h *host) float64 {
	n := float64(len(h.jobs))
	if d.primary[h.group] != h {
		n += apply
	}
	over := max(0, n/cores-5) // holding too many makes it less efficient
	return d.capacity(h) * min(1, cores/max(n, 1)) / (1 + 0.2*over/5)
}

// note is what a host says of itself.
func (d *day) note(h *host) (balance.Role, int64, balance.HostReport) {
	d.advance(h)
	role, position := balance.Replica, h.applied
	if d.primary[h.group] == h {
		role, position = balance.Primary, d.now
	}
	return role, position, balance.HostReport{HasPosition: true, HasRole: true, Position: position, Primary: role == balance.Primary}
}

func (d *day) send(gw, epoch int, id int64, q *request, h *host) {
	c := d.classes[q.class]
	sigma := math.Sqrt(math.Log(2)) // a coefficient of variation of one
	at := &attempt{gateway: gw, epoch: epoch, request: id, number: q.attempts, host: h, sent: d.now, write: c.need == balance.Write,
		work: c.work * d.o.Work * math.Exp(sigma*d.r.NormFloat64()-sigma*sigma/2)}
	q.attempts++
	q.at = at
	d.res.Attempts++
	h.got++
	if h.conns[gw] > 0 {
		h.conns[gw]--
	} else {
		d.res.Dials++
		at.work += 6
	}
	until := q.until - d.now
	d.later(until, func() { d.end(at, balance.TimedOut) })
	if !h.up {
		return
	}
	if len(h.queue) >= room {
		d.later(ms, func() { d.end(at, balance.Overloaded) })
		return
	}
	d.advance(h)
	h.queue = append(h.queue, at)
	d.second().Deepest = max(d.second().Deepest, len(h.queue)+len(h.jobs))
	d.serve(h)
}

// serve fills the slots and has the next completion come.
func (d *day) serve(h *host) {
	for len(h.jobs) < slots && len(h.queue) > 0 {
		h.jobs = append(h.jobs, h.queue[0])
		h.queue = h.queue[1:]
	}
	if len(h.jobs) == 0 {
		return
	}
	least := h.jobs[0]
	for _, at := range h.jobs {
		if at.work < least.work {
			least = at
		}
	}
	h.next++
	n := h.next
	d.later(max(1, int64(least.work/d.pace(h)*float64(ms))), func() {
		if h.next != n || !h.up {
			return
		}
		d.advance(h)
		var done []*attempt
		h.jobs = slices.DeleteFunc(h.jobs, func(at *attempt) bool {
			if at.work <= 0.001 {
				done = append(done, at)
			}
			return at.work <= 0.001
		})
		for _, at := range done {
			if at.write && d.primary[h.group] != h {
				d.end(at, balance.NotPrimary)
			} else {
				d.end(at, balance.Succeeded)
			}
		}
		d.serve(h)
	})
}

func (d *day) end(at *attempt, result balance.Result) {
	if at.over {
		return
	}
	at.over = true
	if result == balance.Succeeded || result == balance.Overloaded {
		at.host.conns[at.gateway]++
	}
	q := d.live[at.request]
	switch result {
	case balance.TimedOut:
		d.res.TimedOut++
		d.second().TimedOut++
	case balance.Overloaded:
		d.res.Full++
		d.second().Full++
	case balance.Succeeded:
		d.second().Served++
		if q != nil && !q.done {
			q.done = true
			c := d.classes[q.class]
			if d.now-q.began <= c.aim {
				d.res.InTime += c.worth
				d.second().InTime += c.worth
			} else if at.write {
				d.res.Late += c.worth
				d.res.InTime += 0.7 * c.worth
				d.second().InTime += 0.7 * c.worth
			}
			d.finish(at.request, q)
		}
	}
	g := d.gates[at.gateway]
	if !g.up || g.epoch != at.epoch {
		return
	}
	ev := balance.Event{Kind: balance.OutcomeEvent, Request: at.request, Attempt: at.number, Host: at.host.id, Result: result,
		Finished: result == balance.Succeeded || q == nil, Latency: d.now - at.sent}
	if result.Answered() {
		ev.Role, ev.Position, ev.Report = d.note(at.host)
	}
	d.tell(at.gateway, ev)
}

// outage takes the first members of the groups away, primaries with them, and brings them back cold.
func (d *day) outage() {
	var lost []*host
	for _, h := range d.hosts {
		if d.r.Float64() < d.o.OutagePart {
			lost = append(lost, h)
			d.advance(h)
			h.up, h.queue, h.jobs = false, nil, nil
			clear(h.conns)
		}
	}
	d.later(3*sec, func() {
		for g, p := range d.primary {
			for _, h := range d.hosts {
				if !p.up && h.group == g && h.up {
					d.primary[g] = h
					break
				}
			}
		}
	})
	d.later(int64(d.o.OutageFor)*sec, func() {
		for _, h := range lost {
			h.up, h.coldAt, h.at = true, d.now, d.now
		}
	})
	d.later(int64(d.o.OutageFor)*sec+1500*ms, func() {
		for i, g := range d.gates {
			if g.up {
				d.tell(i, balance.Event{Kind: balance.EndpointsEvent, Complete: true, Endpoints: d.entries()})
			}
		}
	})
}

// release kills gateways and starts them again.
func (d *day) release() {
	for i, g := range d.gates {
		if d.r.Float64() < d.o.ReleasePart {
			g.up = false
			d.later(sec+int64(d.r.Float64()*float64(sec)), func() { _ = d.start(i) })
		}
	}
}
