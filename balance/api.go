package balance

// This file is the interface of the module: what an embedding router tells it and what it answers.
// All times are microseconds on one clock that only advances; log positions are times on that clock.

// Repeat says what may happen when a request is run more than once.
type Repeat uint8

const (
	Safe   Repeat = iota // may be repeated freely
	Keyed                // repeats are dropped within a scope and a window
	Unsafe               // must never run twice
)

// Scope says where the repeats of a keyed request are dropped.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Need says how recent the data behind an answer must be.
type Need uint8

const (
	Loose    Need = iota // any member will do
	Recent               // no older than the class's staleness bound when sent
	OwnWrite             // all that the session has written
	Latest               // all that was written before the request arrived
	Update               // a write: the primary alone takes it
)

// Class is one class of request.
type Class struct {
	Aim        int64   // answers within this earn the full worth
	AimStretch float64 // the aim grows by this multiple of the request's own work
	Deadline   int64
	Worth      float64
	LateWorth  float64 // share of the worth that a late answer still earns
	Repeat     Repeat
	Scope      Scope
	Window     int64 // for Keyed: how long repeats are dropped
	Need       Need
	Bound      int64 // for Recent
}

// Settings describe one deployment; they are given once, at the start.
type Settings struct {
	Zone    int
	Classes []Class
	Tick    int64 // least time between two batches of events

	Subscribe     bool // the list is told only when asked for
	Probes        bool
	Cancel        bool
	MaxRetryAfter int64
	MaxAttempts   int
	DialTimeout   int64

	HostsCheck bool // hosts turn away a read for which they lag
	Carried    bool // session reads carry the age of the session's last write
	CrossPrice float64

	DrainAlone   bool // only a host seen draining is bound; gone is no proof
	ColdFrom     float64
	ColdFor      int64
	FallMultiple float64
	FallFor      int64

	Gateways int     // routers of the tier, this one included; 0 or 1: there is nobody to tell anything
	Ordinal  int     // number of this one among them, from 0; -1: not known, and nothing is told
	TellEarn float64 // bytes to other routers, counted for each of them, that a request pays for
}

// View is what a fleet has agreed on. It is asked while a decision is taken, so it answers at once, and nothing that it
// says loosens a rule: it only takes hosts out of a choice that has others.
type View interface {
	Share(zone int) float64 // part of reads that a zone's replicas may get, from 0 to 1
}

// Phase is what the list says of a host.
type Phase uint8

const (
	Gone Phase = iota
	Ready
	Draining
)

// Entry is one host as the list shows it.
type Entry struct {
	Host    string
	Zone    int
	Group   int64
	Kind    int
	Phase   Phase
	Primary bool
	Weight  float64
	Born    int64 // when it last started; 0 if long ago
}

// Result is how an attempt or a probe ended.
type Result uint8

const (
	Served Result = iota
	Errored
	Full
	TimedOut
	Refused
	Reset
	Cancelled
	Skipped
	Missed
)

// ProvesUnrun reports whether the result proves that the attempt never ran.
func (r Result) ProvesUnrun() bool {
	return r == Full || r == Refused || r == Skipped || r == Missed
}

// Answered reports whether the host itself gave the result.
func (r Result) Answered() bool {
	return r == Served || r == Errored || r == Full || r == Missed
}

// Role is the part a host plays in its group.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Report is a host's own account of itself, somewhat dated.
type Report struct {
	HasPosition, HasRole bool

	Position int64
	Primary  bool
}

// EventKind names what happened.
type EventKind uint8

const (
	ListEvent    EventKind = iota // Entries, Full, Failed
	RequestEvent                  // Request, Class, Group, Key, SinceWrite, Until
	OutcomeEvent                  // Request, Attempt, Host, Result, Over, Took, Role, Position, Report
	GoneEvent                     // the client left: Request
	TimerEvent                    // Token
	ProbedEvent                   // Host, Result, Took, Report
	PeerEvent                     // Peer, Data: what another router told
)

// Event is one thing the router saw; Kind says which fields count.
type Event struct {
	Kind EventKind

	Entries []Entry
	Full    bool // the entries are the whole list; hosts not in it are gone
	Failed  bool // asking for the list failed

	Request    int64
	Class      int
	Group      int64
	Key        int64
	HasKey     bool
	SinceWrite int64 // age of the session's last write; 0 if it has none, negative if it lies ahead of the clock
	Until      int64 // when the client gives up
	Hint       int64 // work expected; 0 if not told

	Attempt  int
	Host     string
	Result   Result
	Over     bool
	Took     int64
	Role     Role
	Position int64 // 0 if not told
	Report   Report

	Token int64
	Peer  int
	Data  []byte
}

// ActionKind names what the router is to do.
type ActionKind uint8

const (
	SendAction      ActionKind = iota // Request, Host, Timeout (0: until the client gives up)
	CancelAction                      // Request, Attempt
	RefuseAction                      // Request, RetryAfter
	FailAction                        // Request
	TimerAction                       // At, Token
	ProbeAction                       // Host
	CloseAction                       // Host: close idle connections
	TellAction                        // Peer (-1: all), Data
	LogAction                         // Text
	SubscribeAction                   // follow the list's changes
	FetchAction                       // ask for the whole list once
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
