// Package gateway tracks the requests in flight between clients and database hosts. It reports every event to the
// decision module (package balance) and carries out the actions that the module returns. It implements no protocol and
// makes no decisions of its own. Frontends, backends, discovery and other gateways are behind small interfaces, so that
// the same decisions apply to any further protocol.
package gateway

import (
	"github.com/rs/zerolog"

	"cloverrock/balance"
)

// HealthCheckClass is passed to observers in place of a request class when the outcome is that of a health check.
const HealthCheckClass = -1

// Counts holds the counters of a gateway since its start.
type Counts struct {
	Requests, Rejected, Failed                  int
	Outcomes                                    [balance.NotPrimary + 1]int // of attempts, by result
	Retries                                     int                         // attempts of a request after its first
	HealthChecks, HealthChecksFailed            int
	GossipSent, GossipBytesSent, GossipReceived int // messages to and from other gateways
}

// Gateway tracks the requests in flight. It is not safe for concurrent use: all of its methods must be called on the
// goroutine of the event loop.
type Gateway struct {
	router    *balance.Router
	clock     Clock
	hosts     Hosts
	endpoints Endpoints
	peers     Peers
	log       zerolog.Logger

	counts         Counts
	lastRequest    int64                     // id of the latest request
	requests       map[int64]*pendingRequest // by id
	endpointsKnown bool                      // an endpoint list has been received
	observers      []func(host string, class int, outcome Outcome)

	events   []balance.Event  // not handled yet, in the order in which they occurred
	actions  []balance.Action // of the event that is being handled; the slice is reused
	handling bool             // an event is being handled
}

// pendingRequest is a request that has no final answer yet or whose attempt is still in flight.
type pendingRequest struct {
	Request
	attempts        int  // attempts started so far
	attemptInFlight bool // at most one attempt is in flight
	finished        bool // the final answer was sent, or the client has disconnected
}

// New returns a gateway around a router. Connect must be called before the first event.
func New(router *balance.Router, clock Clock, log zerolog.Logger) *Gateway {
	return &Gateway{router: router, clock: clock, log: log, requests: map[int64]*pendingRequest{}}
}

// Connect sets the receivers of the router's actions.
func (g *Gateway) Connect(hosts Hosts, endpoints Endpoints, peers Peers) {
	g.hosts = hosts
	g.endpoints = endpoints
	g.peers = peers
}

// Ready reports whether an endpoint list is known.
func (g *Gateway) Ready() bool { return g.endpointsKnown }

// InFlight returns the number of requests that have no final answer yet.
func (g *Gateway) InFlight() int {
	n := 0
	for _, req := range g.requests {
		if !req.finished {
			n++
		}
	}
	return n
}

// Counts returns the counters since the start.
func (g *Gateway) Counts() Counts { return g.counts }

// ObserveOutcomes registers a function that is called with the host, class and outcome of each attempt and health
// check. It is called on the event loop and must not block.
func (g *Gateway) ObserveOutcomes(observer func(host string, class int, outcome Outcome)) {
	g.observers = append(g.observers, observer)
}

func (g *Gateway) notifyObservers(host string, class int, outcome Outcome) {
	for _, observer := range g.observers {
		observer(host, class, outcome)
	}
}

// SetZoneShares passes the zone shares that the gateways have agreed on to the router.
func (g *Gateway) SetZoneShares(shares balance.ZoneShares) { g.router.SetZoneShares(shares) }

// Snapshot returns the state of the router, with which Restore can start another router.
func (g *Gateway) Snapshot() balance.Snapshot { return g.router.Snapshot() }

// Restore loads the state of another router and carries out the resulting actions.
func (g *Gateway) Restore(snapshot balance.Snapshot) {
	for _, action := range g.router.Restore(g.clock.Now(), snapshot, nil) {
		g.execute(&action)
	}
}
