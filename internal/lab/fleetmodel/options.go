package fleetmodel

import "cloverrock/balance"

// Options describe a day, as the package calls one run of the model.
type Options struct {
	Gateways, Groups, Members int // Members is the number of hosts in each group
	Seconds                   int
	Seed                      uint64
	Rate                      float64 // mean requests per second, all together
	RateSwing                 float64 // amplitude of the rate's sine wave of ten seconds, as a part of Rate
	Work                      float64 // mean work of the most expensive class, in milliseconds of a core
	GossipBytesPerRequest     float64
	// The outage crashes a random part of the hosts. They return in slow start. Times are in seconds.
	OutageAt, OutageFor int
	OutagePart          float64
	// The release kills and restarts a random part of the gateways, once. ReleaseAt is in seconds.
	ReleaseAt   int
	ReleasePart float64
}

// Result is the outcome of a day. It is printed as JSON; tags keep the names that readers of the output use.
type Result struct {
	Asked, InTime, Late      float64 // priority weight
	Rejected                 int     `json:"Refused"`
	Failed                   int
	Attempts, TimedOut, Full int
	HealthChecks             int `json:"Probes"`
	Dials                    int
	GossipMessages           int     `json:"Told"`
	GossipBytes              float64 `json:"TellBytes"`
	Seconds                  []Second
	Overloads                int // not measured; kept for programs that read the output
	Requests                 int
	// CV1s is the mean coefficient of variation of the attempts that the replicas of a group got in a second, from the
	// third second on. FairCV1s is its expected value if each attempt went to a random replica.
	CV1s, FairCV1s float64
}

// Second is one second of a day.
type Second struct {
	Asked, InTime           float64 // priority weight
	Tries, Served, TimedOut int
	Rejected                int `json:"Refused"`
	Full                    int
	HealthChecks            int `json:"Probe"`
	Deepest                 int // the largest number of attempts queued and running at one host
}

// Penalties in the score for the side effects of a request: a health check, a new connection, and a unit of gossip.
const (
	healthCheckPenalty = 0.08
	connectionPenalty  = 0.08
	gossipPenalty      = 0.012 // for each gossipUnit
	gossipUnit         = 256   // bytes
)

// Score returns the share of the weight that was answered in time, less the penalties for each request.
func (r *Result) Score() float64 {
	n := float64(max(r.Requests, 1))
	return r.InTime/r.Asked - healthCheckPenalty*float64(r.HealthChecks)/n - connectionPenalty*float64(r.Dials)/n -
		gossipPenalty*r.GossipBytes/gossipUnit/n
}

// lateWriteWeight is the part of its weight that a late write still earns.
const lateWriteWeight = 0.7

type requestClass struct {
	consistency         balance.Consistency
	share, weight       float64 // share of all requests
	work                float64 // part of Options.Work
	objective, deadline int64
}

// referenceWork is the work, in milliseconds of a core, for which the times in classes are milliseconds.
const referenceWork = 85

// classes returns bounded reads, session reads and writes. Their objectives and deadlines are proportional to the work.
func classes(work float64) []requestClass {
	unit := int64(work / referenceWork * float64(millisecond))
	return []requestClass{
		{balance.BoundedStaleness, 0.58, 1, 1, 300 * unit, 750 * unit},
		{balance.ReadYourWrites, 0.32, 1, 0.6, 200 * unit, 800 * unit},
		{balance.Write, 0.10, 3, 1, 500 * unit, 3000 * unit},
	}
}
