// Package gateway keeps the live requests. It tells the decision module what happens and carries out what the
// module answers; it knows no protocol and decides nothing. Clients and hosts are behind small interfaces, so
// that another protocol enters through the same decisions and the same rules.
package gateway

import (
	"github.com/rs/zerolog"

	"cloverrock/balance"
)

// Body is what a host is sent for a request. What it holds is between the frontend and the backend.
type Body any

// Client is told the one final answer of its request. It may not call back before it returns.
type Client interface {
	Serve(value []byte) // the answer as a host gave it
	Reject(after int64) // nothing ran, or may run again: come back after so many microseconds; 0: any time
	Fail()              // it may have run
	Disconnected() bool // nobody waits for the answer any more, whether or not the gateway was told
}

// Request is a request as a frontend read it. Times are microseconds on the loop's clock.
type Request struct {
	Class       int
	Group       int64
	Key         int64
	HasKey      bool
	Write       bool
	MinPosition int64 // position that it must see; 0 if none
	Deadline    int64 // when the client gives up
	Body        Body
	Client      Client
}

// Attempt is one sending of a request to a host.
type Attempt struct {
	Request  int64
	Number   int
	Host     string
	Write    bool
	Deadline int64 // when to stop waiting
	Body     Body
	// Aged tells, just before the first byte is written, that the rules no longer allow the sending: the
	// decision was taken before a connection was there.
	Expired func() bool
}

// Outcome is how an attempt or a probe ended.
type Outcome struct {
	Result   balance.Result
	Latency  int64
	Role     balance.Role
	Position int64
	Report   balance.HostReport
	Value    []byte // what a served request is answered with
}

// Hosts carries attempts to hosts. Each Send and Probe is followed by exactly one outcome, told to the gateway
// after the call has returned.
type Hosts interface {
	Send(a Attempt)
	Cancel(request int64, number int)
	CheckHealth(host string)
	CloseIdle(host string)
}

// Endpoints asks discovery.
type Endpoints interface {
	Subscribe()
	Poll()
}

// Peers sends to other gateways; peer -1 is all of them.
type Peers interface {
	Send(peer int, data []byte)
}

// Clock gives the time and calls back at one.
type Clock interface {
	Now() int64
	CallAt(at int64, f func())
}

// Counts is what a gateway has done since its start.
type Counts struct {
	Requests, Rejected, Failed                  int
	Outcomes                                    [balance.NotPrimary + 1]int // of attempts, by result
	Retries                                     int                         // attempts of requests that had one before
	HealthChecks, HealthChecksFailed            int
	GossipSent, GossipBytesSent, GossipReceived int // messages to and from other gateways
}

// Gateway owns the live requests. All of it belongs to one goroutine.
type Gateway struct {
	router *balance.Router
	clock  Clock
	hosts  Hosts
	list   Endpoints
	peers  Peers
	log    zerolog.Logger

	counts  Counts
	last    int64 // id of the last request
	live    map[int64]*live
	known   bool // a list has been told
	events  []balance.Event
	acts    []balance.Action
	running bool

	watch []func(host string, class int, o Outcome)
}

// live is a request that is owed an answer, or whose attempt is still out.
type live struct {
	Request
	attempts int
	out      bool // an attempt is out
	over     bool // the final answer was given, or the client is gone
}

// New returns a gateway round a router. Connect must follow before the first event.
func New(router *balance.Router, clock Clock, log zerolog.Logger) *Gateway {
	return &Gateway{router: router, clock: clock, log: log, live: map[int64]*live{}}
}

// Connect gives the gateway what its router's actions go to.
func (g *Gateway) Connect(hosts Hosts, list Endpoints, peers Peers) {
	g.hosts, g.list, g.peers = hosts, list, peers
}

// Ready tells whether a list of hosts is known.
func (g *Gateway) Ready() bool { return g.known }

// InFlight is the number of requests whose final answer is still to come.
func (g *Gateway) InFlight() int {
	n := 0
	for _, q := range g.live {
		if !q.over {
			n++
		}
	}
	return n
}

// Counts tells what was done so far.
func (g *Gateway) Counts() Counts { return g.counts }

// Accept takes a request and returns its id.
func (g *Gateway) Accept(q Request) int64 {
	g.last++
	g.counts.Requests++
	g.live[g.last] = &live{Request: q}
	ev := balance.Event{
		Kind: balance.RequestEvent, Request: g.last, Class: q.Class, Group: q.Group,
		Key: q.Key, HasKey: q.HasKey, Deadline: q.Deadline,
	}
	if q.MinPosition > 0 {
		// A commit is rounded up, so it may lie a little ahead of the clock: the age is negative then. An age
		// of 0 means that there is none.
		if ev.SessionWriteAge = g.clock.Now() - q.MinPosition; ev.SessionWriteAge == 0 {
			ev.SessionWriteAge = 1
		}
	}
	g.tell(ev)
	return g.last
}

// ClientDisconnected tells that the client of a request has left.
func (g *Gateway) ClientDisconnected(id int64) {
	if q := g.live[id]; q != nil && !q.over {
		g.finish(id, q)
		g.tell(balance.Event{Kind: balance.ClientDisconnectedEvent, Request: id})
	}
}

// left looks at the client itself, just before the first byte of an attempt: word that it has gone may lie behind much else.
func (g *Gateway) left(id int64) bool {
	q := g.live[id]
	if q != nil && !q.over && q.Client.Disconnected() {
		g.ClientDisconnected(id)
	}
	return q == nil || q.over
}

// AttemptFinished takes the outcome of an attempt. The first that is served goes to the client.
func (g *Gateway) AttemptFinished(a Attempt, o Outcome) {
	q := g.live[a.Request]
	if q == nil {
		return
	}
	q.out = false
	g.counts.Outcomes[o.Result]++
	for _, f := range g.watch {
		f(a.Host, q.Class, o)
	}
	if o.Result == balance.Succeeded && !q.over {
		q.Client.Serve(o.Value)
		g.finish(a.Request, q)
	}
	over := q.over
	if over {
		delete(g.live, a.Request)
	}
	g.tell(balance.Event{
		Kind: balance.OutcomeEvent, Request: a.Request, Attempt: a.Number, Host: a.Host, Result: o.Result, Finished: over,
		Latency: o.Latency, Role: o.Role, Position: o.Position, Report: o.Report,
	})
}

// HealthCheckFinished takes the outcome of a probe.
func (g *Gateway) HealthCheckFinished(host string, o Outcome) {
	if !o.Result.Answered() {
		g.counts.HealthChecksFailed++
	}
	for _, f := range g.watch {
		f(host, HealthCheckClass, o)
	}
	g.tell(balance.Event{Kind: balance.HealthCheckEvent, Host: host, Result: o.Result, Latency: o.Latency, Report: o.Report})
}

// EndpointsUpdated takes a list of hosts, or the changes of one.
func (g *Gateway) EndpointsUpdated(entries []balance.Endpoint, full bool) {
	g.known = true
	g.tell(balance.Event{Kind: balance.EndpointsEvent, Endpoints: entries, Complete: full})
}

// EndpointsPollFailed tells that asking for the list failed.
func (g *Gateway) EndpointsPollFailed() {
	g.tell(balance.Event{Kind: balance.EndpointsEvent, PollFailed: true})
}

// GossipReceived takes a message from another gateway.
func (g *Gateway) GossipReceived(peer int, data []byte) {
	g.counts.GossipReceived++
	g.tell(balance.Event{Kind: balance.GossipEvent, Peer: peer, Data: data})
}

// HealthCheckClass stands for a probe where a request's class is told.
const HealthCheckClass = -1

// ObserveOutcomes has f told each attempt's and probe's host, class and end. It may not wait.
func (g *Gateway) ObserveOutcomes(f func(host string, class int, o Outcome)) {
	g.watch = append(g.watch, f)
}

// SetZoneShares has the module go by what a fleet agrees on.
func (g *Gateway) SetZoneShares(v balance.ZoneShares) { g.router.SetZoneShares(v) }

// Snapshot is what the module knows and a fresh one would need.
func (g *Gateway) Snapshot() balance.Snapshot { return g.router.Snapshot() }

// Restore gives the module facts that another has learned.
func (g *Gateway) Restore(f balance.Snapshot) {
	for _, a := range g.router.Restore(g.clock.Now(), f, nil) {
		g.act(&a)
	}
}

// tell hands events to the module one at a time, each in a round of its own: what an action brings about at
// once waits until the actions of its round are done.
func (g *Gateway) tell(ev balance.Event) {
	g.events = append(g.events, ev)
	if g.running {
		return
	}
	g.running = true
	for len(g.events) > 0 {
		ev := g.events[0]
		g.events = g.events[1:]
		g.acts = g.router.Handle(g.clock.Now(), ev, g.acts[:0])
		for i := range g.acts {
			g.act(&g.acts[i])
		}
	}
	g.events = nil
	g.running = false
}

func (g *Gateway) act(a *balance.Action) {
	q := g.live[a.Request]
	switch a.Kind {
	case balance.SendAction:
		if q == nil || q.over || q.out { // the rules bind the module; this keeps a fault of it from doing harm
			g.log.Error().Int64("request", a.Request).Str("host", a.Host).Msg("send for a request that is closed or out")
			return
		}
		id, until := a.Request, q.Deadline
		if a.Timeout != 0 {
			until = min(until, g.clock.Now()+a.Timeout)
		}
		at := Attempt{
			Request: id, Number: q.attempts, Host: a.Host, Write: q.Write, Deadline: until, Body: q.Body,
			Expired: func() bool { return g.left(id) || !g.router.AttemptStillValid(g.clock.Now(), id) },
		}
		if q.attempts++; q.attempts > 1 {
			g.counts.Retries++
		}
		q.out = true
		g.hosts.Send(at)
	case balance.CancelAction:
		g.hosts.Cancel(a.Request, a.Attempt)
	case balance.RejectAction:
		if q != nil && !q.over {
			g.counts.Rejected++
			q.Client.Reject(a.RetryAfter)
			g.finish(a.Request, q)
		}
	case balance.FailAction:
		if q != nil && !q.over {
			g.counts.Failed++
			q.Client.Fail()
			g.finish(a.Request, q)
		}
	case balance.TimerAction:
		token := a.Token
		g.clock.CallAt(a.At, func() { g.tell(balance.Event{Kind: balance.TimerEvent, Token: token}) })
	case balance.HealthCheckAction:
		g.counts.HealthChecks++
		g.hosts.CheckHealth(a.Host)
	case balance.CloseIdleAction:
		g.hosts.CloseIdle(a.Host)
	case balance.GossipAction:
		g.counts.GossipSent++
		g.counts.GossipBytesSent += len(a.Data)
		g.peers.Send(a.Peer, a.Data)
	case balance.LogAction:
		g.log.Info().Msg(a.Text)
	case balance.SubscribeAction:
		g.list.Subscribe()
	case balance.PollEndpointsAction:
		g.list.Poll()
	}
}

// finish closes a request; it is forgotten once its attempt has come back.
func (g *Gateway) finish(id int64, q *live) {
	q.over = true
	q.Client, q.Body = nil, nil
	if !q.out {
		delete(g.live, id)
	}
}
