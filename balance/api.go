package balance

// This file is the interface between the router and the program that embeds it. Units are
// listed in the package comment.

// RetrySafety describes what happens if a request is executed more than once.
type RetrySafety uint8

// The kinds of retry safety.
const (
	Idempotent     RetrySafety = iota // executing it again changes nothing
	IdempotencyKey                    // repeats with its key are dropped, within a scope and a window
	NonIdempotent                     // it must not be executed twice
)

// DeduplicationScope describes which hosts drop the repeats of a request with an idempotency key.
type DeduplicationScope uint8

// The scopes of deduplication.
const (
	ScopeGlobal DeduplicationScope = iota // all hosts
	ScopeZone                             // the hosts in the zone of the first execution
	ScopeGroup                            // the hosts of the request's group
)

// Consistency describes how recent the data behind an answer must be.
type Consistency uint8

// The levels of consistency.
const (
	Eventual         Consistency = iota // of any age
	BoundedStaleness                    // no older than Class.MaxStaleness when the request is sent
	ReadYourWrites                      // contains all that its session has written
	Linearizable                        // contains all that was written before the request arrived
	Write                               // not a read: only the primary accepts it
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective    int64   // µs within which an answer has its full priority weight
	ObjectivePerWork    float64 // the objective grows by this multiple of Event.WorkHint
	Deadline            int64   // µs after which clients of the class give up
	PriorityWeight      float64 // value of an answer, relative to other classes
	LatePriorityWeight  float64 // part of PriorityWeight that an answer after the objective still has
	RetrySafety         RetrySafety
	DeduplicationScope  DeduplicationScope // with IdempotencyKey
	DeduplicationWindow int64              // with IdempotencyKey: µs for which repeats are dropped
	Consistency         Consistency
	MaxStaleness        int64 // with BoundedStaleness, µs
}

// Settings describe one deployment. They do not change during the life of a router.
type Settings struct {
	Zone         int     // zone of this gateway
	Classes      []Class // Event.Class is an index into it
	TickInterval int64   // shortest time between two batches of events, µs

	MustSubscribe bool  // the endpoint list comes only after a SubscribeAction
	HealthChecks  bool  // hosts answer health checks
	Cancellation  bool  // attempts can be cancelled
	MaxRetryAfter int64 // upper limit of Action.RetryAfter, µs
	MaxAttempts   int   // attempts of one request, the first one included
	DialTimeout   int64 // µs

	HostsCheckStaleness     bool    // hosts reject reads for which they lag too far behind
	RequestsCarrySessionAge bool    // Event.SessionWriteAge is set; otherwise the router remembers commits
	CrossZoneCost           float64 // above 0: of equally busy hosts, the one in this zone is preferred

	OnlyDrainingExcludes    bool    // a host that left the list without draining may still serve
	SlowStartInitialShare   float64 // part of its capacity that a host has when it starts
	SlowStartDuration       int64   // µs until a host that started has all of its capacity
	SlowStartOverloadFactor float64 // multiple of its current capacity that overloads a starting host
	SlowStartOverloadWindow int64   // µs over which that load is counted

	Gateways              int     // gateways of the fleet, this one included; 0 or 1: no gossip
	Ordinal               int     // index of this gateway in the fleet, from 0; -1: unknown, no gossip
	GossipBytesPerRequest float64 // gossip bytes allowed for each request, counted once per receiver
}

// ZoneShares gives the part of their reads that zones may still get, as the fleet has agreed. Router calls it
// on the goroutine that calls Handle, so it must not block. A share below 1 takes effect only in groups that
// have a healthy replica in a zone whose share is 1.
type ZoneShares interface {
	// ReadShare returns the part of reads, from 0 to 1, that the replicas of a zone may get. It is 1 for
	// UnknownZone.
	ReadShare(zone int) float64
}

// EndpointState is the state of a host in the endpoint list.
type EndpointState uint8

// The states of a host in the endpoint list.
const (
	Removed  EndpointState = iota // no longer listed
	Ready                         // serving
	Draining                      // gets no new requests
)

// UnknownZone is the zone of an endpoint whose zone is not known. It is equal to no zone, itself included.
const UnknownZone = -1

// Endpoint is one host in the endpoint list.
type Endpoint struct {
	Host      string // id of the host
	Zone      int    // UnknownZone: as an earlier list said
	Group     int64
	Kind      int // not used by decisions
	State     EndpointState
	Primary   bool    // the host is, or was, the primary of its group
	Weight    float64 // not used by decisions
	StartedAt int64   // when it last started; 0 if long ago
}

// Result describes how an attempt or a health check ended.
type Result uint8

// The results of attempts and health checks.
const (
	Succeeded         Result = iota
	Failed                   // the host answered with an error
	Overloaded               // the host rejected it for lack of capacity
	TimedOut                 // no answer in time
	ConnectionRefused        // no connection could be opened
	ConnectionReset          // the connection broke
	Canceled                 // this gateway ended the attempt
	NotSent                  // this gateway did not send the attempt
	NotPrimary               // the host rejected a write since it is not the primary
)

// ProvesNotExecuted reports whether the result proves that the attempt was not executed.
func (r Result) ProvesNotExecuted() bool {
	return r == Overloaded || r == ConnectionRefused || r == NotSent || r == NotPrimary
}

// Answered reports whether the result was sent by the host itself.
func (r Result) Answered() bool {
	return r == Succeeded || r == Failed || r == Overloaded || r == NotPrimary
}

// Role is the role of a host in its group.
type Role uint8

// The roles of hosts.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// HostReport is the state that a host reports of itself. It may be outdated by the time it arrives.
type HostReport struct {
	HasPosition bool // Position is given
	HasRole     bool // Primary is given

	Position int64 // the host has applied its log up to here
	Primary  bool  // the host is the primary of its group
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events, with the fields of Event that they use.
const (
	EndpointsEvent          EventKind = iota // Endpoints and Complete; or only PollFailed
	RequestEvent                             // fields Request to WorkHint: a new request
	OutcomeEvent                             // Request, and fields Attempt to Report: an attempt has ended
	ClientDisconnectedEvent                  // Request: its client has disconnected
	TimerEvent                               // the time of a TimerAction has come
	HealthCheckEvent                         // Host, Result, Latency, Report
	GossipEvent                              // Peer, Data: a message of another gateway
	ShutdownEvent                            // Deadline: the program shuts down, all answers are due by then
)

// Event is one input of the router. Kind determines which of the other fields are used.
type Event struct {
	Kind EventKind

	Endpoints  []Endpoint
	Complete   bool // Endpoints is the complete list: hosts that it lacks are removed
	PollFailed bool // the list could not be fetched

	Request         int64 // id of the request, unique among those that have no final answer yet
	Class           int   // index into Settings.Classes
	Group           int64
	SessionKey      int64 // of the session, if HasSession
	HasSession      bool
	SessionWriteAge int64 // age of the session's last write; 0: none; negative if it is ahead of the clock
	Deadline        int64 // when the client gives up; with ShutdownEvent, when all answers are due
	WorkHint        int64 // expected work, µs; 0 if unknown

	Attempt  int // number of the attempt among those of its request, from 0
	Host     string
	Result   Result
	Finished bool  // the client has been answered; the request needs no further action
	Latency  int64 // of the attempt or health check, µs
	Role     Role  // of the host, from its answer
	Position int64 // log position in the answer; for a write, of its commit; 0 if unknown
	Report   HostReport

	Token int64 // not used by decisions
	Peer  int   // ordinal of the gateway that sent Data
	Data  []byte
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions, with the fields of Action that they use.
const (
	SendAction          ActionKind = iota // Request, Host: send it there; Timeout
	CancelAction                          // Request, Attempt: end the attempt
	RejectAction                          // Request, RetryAfter: final answer, it is safe to try again
	FailAction                            // Request: final answer, the request may have been executed
	TimerAction                           // At, Token: pass a TimerEvent then
	HealthCheckAction                     // Host: check it
	CloseIdleAction                       // Host: close its idle connections
	GossipAction                          // Peer (-1: all), Data: send it to other gateways
	LogAction                             // Log: write a log line
	SubscribeAction                       // follow the changes of the endpoint list
	PollEndpointsAction                   // fetch the complete endpoint list once; not used by Router
)

// Action is one instruction to the embedding program. Kind determines which of the other fields are used.
type Action struct {
	Kind       ActionKind
	Request    int64
	Host       string
	Timeout    int64 // µs; 0: until the request's deadline
	RetryAfter int64 // µs that the client should wait before it tries again
	Attempt    int
	At         int64
	Token      int64
	Peer       int // ordinal of a gateway; -1: all
	Data       []byte
	Log        *LogEntry
}
