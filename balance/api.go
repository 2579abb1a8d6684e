package balance

// This file is the interface of the module: what an embedding router tells it and what it answers.
// All times are microseconds on one clock that only advances; log positions are times on that clock.

// RetrySafety says what may happen when a request is run more than once.
type RetrySafety uint8

const (
	Idempotent     RetrySafety = iota // may be repeated freely
	IdempotencyKey                    // repeats are dropped within a scope and a window
	NonIdempotent                     // must never run twice
)

// DeduplicationScope says where the repeats of a keyed request are dropped.
type DeduplicationScope uint8

const (
	ScopeGlobal DeduplicationScope = iota
	ScopeZone
	ScopeGroup
)

// Consistency says how recent the data behind an answer must be.
type Consistency uint8

const (
	Eventual         Consistency = iota // any member will do
	BoundedStaleness                    // no older than the class's staleness bound when sent
	ReadYourWrites                      // all that the session has written
	Linearizable                        // all that was written before the request arrived
	Write                               // a write: the primary alone takes it
)

// Class is one class of request.
type Class struct {
	LatencyObjective    int64   // answers within this earn the full worth
	ObjectivePerWork    float64 // the aim grows by this multiple of the request's own work
	Deadline            int64
	PriorityWeight      float64
	LatePriorityWeight  float64 // share of the worth that a late answer still earns
	RetrySafety         RetrySafety
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64 // for Keyed: how long repeats are dropped
	Consistency         Consistency
	MaxStaleness        int64 // for Recent
}

// Settings describe one deployment; they are given once, at the start.
type Settings struct {
	Zone         int
	Classes      []Class
	TickInterval int64 // least time between two batches of events

	MustSubscribe bool // the list is told only when asked for
	HealthChecks  bool
	Cancellation  bool
	MaxRetryAfter int64
	MaxAttempts   int
	DialTimeout   int64

	HostsCheckStaleness     bool // hosts turn away a read for which they lag
	RequestsCarrySessionAge bool // session reads carry the age of the session's last write
	CrossZoneCost           float64

	OnlyDrainingExcludes    bool // only a host seen draining is bound; gone is no proof
	SlowStartInitialShare   float64
	SlowStartDuration       int64
	SlowStartOverloadFactor float64
	SlowStartOverloadWindow int64

	Gateways              int     // routers of the tier, this one included; 0 or 1: there is nobody to tell anything
	Ordinal               int     // number of this one among them, from 0; -1: not known, and nothing is told
	GossipBytesPerRequest float64 // bytes to other routers, counted for each of them, that a request pays for
}

// ZoneShares is what a fleet has agreed on. It is asked while a decision is taken, so it answers at once, and nothing that it
// says loosens a rule: it only takes hosts out of a choice that has others.
type ZoneShares interface {
	ReadShare(zone int) float64 // part of reads that a zone's replicas may get, from 0 to 1
}

// EndpointState is what the list says of a host.
type EndpointState uint8

const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one host as the list shows it.
type Endpoint struct {
	Host      string
	Zone      int
	Group     int64
	Kind      int
	State     EndpointState
	Primary   bool
	Weight    float64
	StartedAt int64 // when it last started; 0 if long ago
}

// Result is how an attempt or a probe ended.
type Result uint8

const (
	Succeeded Result = iota
	Failed
	Overloaded
	TimedOut
	ConnectionRefused
	ConnectionReset
	Canceled
	NotSent
	NotPrimary
)

// ProvesNotExecuted reports whether the result proves that the attempt never ran.
func (r Result) ProvesNotExecuted() bool {
	return r == Overloaded || r == ConnectionRefused || r == NotSent || r == NotPrimary
}

// Answered reports whether the host itself gave the result.
func (r Result) Answered() bool {
	return r == Succeeded || r == Failed || r == Overloaded || r == NotPrimary
}

// Role is the part a host plays in its group.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// HostReport is a host's own account of itself, somewhat dated.
type HostReport struct {
	HasPosition, HasRole bool

	Position int64
	Primary  bool
}

// EventKind names what happened.
type EventKind uint8

const (
	EndpointsEvent          EventKind = iota // Entries, Full, Failed
	RequestEvent                             // Request, Class, Group, Key, SinceWrite, Until
	OutcomeEvent                             // Request, Attempt, Host, Result, Over, Took, Role, Position, Report
	ClientDisconnectedEvent                  // the client left: Request
	TimerEvent                               // Token
	HealthCheckEvent                         // Host, Result, Took, Report
	GossipEvent                              // Peer, Data: what another router told
)

// Event is one thing the router saw; Kind says which fields count.
type Event struct {
	Kind EventKind

	Endpoints  []Endpoint
	Complete   bool // the entries are the whole list; hosts not in it are gone
	PollFailed bool // asking for the list failed

	Request         int64
	Class           int
	Group           int64
	Key             int64
	HasKey          bool
	SessionWriteAge int64 // age of the session's last write; 0 if it has none, negative if it lies ahead of the clock
	Deadline        int64 // when the client gives up
	WorkHint        int64 // work expected; 0 if not told

	Attempt  int
	Host     string
	Result   Result
	Finished bool
	Latency  int64
	Role     Role
	Position int64 // 0 if not told
	Report   HostReport

	Token int64
	Peer  int
	Data  []byte
}

// ActionKind names what the router is to do.
type ActionKind uint8

const (
	SendAction          ActionKind = iota // Request, Host, Timeout (0: until the client gives up)
	CancelAction                          // Request, Attempt
	RejectAction                          // Request, RetryAfter
	FailAction                            // Request
	TimerAction                           // At, Token
	HealthCheckAction                     // Host
	CloseIdleAction                       // Host: close idle connections
	GossipAction                          // Peer (-1: all), Data
	LogAction                             // Text
	SubscribeAction                       // follow the list's changes
	PollEndpointsAction                   // ask for the whole list once
)

// Action is one thing for the router to do; Kind says which fields count.
type Action struct {
	Kind       ActionKind
	Request    int64
	Host       string
	Timeout    int64
	RetryAfter int64
	Attempt    int
	At         int64
	Token      int64
	Peer       int
	Data       []byte
	Text       string
}
