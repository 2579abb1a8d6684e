package balance

// hostState is the state of one host. Its embedded parts are defined in the files that use them.
type hostState struct {
	id    string
	zone  int // UnknownZone if no list has named it
	group *groupState

	hostListing
	hostHealth
	hostConnections
	hostRole
	hostLoad
	hostSlowStart

	position           int64 // the host has applied its log at least up to here; never decreases
	positionReceivedAt int64 // when position was received
}

// groupState is the state of a group of hosts, and the queue of its requests.
type groupState struct {
	id      int64
	members []*hostState // sorted by id
	groupPrimary

	queue   []*pendingRequest // in the order of dispatch
	latency movingAverage     // of successful answers of all members, µs
}

// pendingRequest is a request without a final answer, or one whose last attempt has not ended yet.
type pendingRequest struct {
	id         int64
	class      *Class
	classIndex int
	group      *groupState
	sessionKey int64 // of its session, if hasSession

	objectiveAt     int64 // an answer by then meets the latency objective
	halfTimeAt      int64 // when half of the time to the deadline has passed
	deadline        int64
	carriedPosition int64   // log position of the session's last write, if the request carries it
	lateness        int     // order in the queue: above 0 if the objective can no longer be met
	shedRank        float64 // 0 to 1: of two reads the one with the higher rank is shed first

	attemptsSent      int
	attempt           int        // number of the attempt in flight
	host              *hostState // where the attempt is in flight; nil while the request waits
	lastHost          *hostState // where the last failed attempt was
	sentAt            int64
	overdueHalves     int   // halves of its latency objective that the attempt has taken while in flight
	positionWaitUntil int64 // until when the read waits for health checks to report positions

	execution *possibleExecution // the first attempt that may have been executed; nil if none

	hasSession  bool
	dialed      bool // the attempt in flight needed a new connection
	reachedHost bool // a host has received the request
	shed        bool // load shedding withheld it from a host that had capacity
	finished    bool // it needs no further action; only its last attempt is still pending
}

// isWrite reports whether only the primary accepts the request.
func (req *pendingRequest) isWrite() bool { return req.class.Consistency == Write }

// possibleExecution is an attempt that may have been executed.
type possibleExecution struct {
	sentAt int64
	zone   int // of its host
}

// mayHaveExecuted reports whether an earlier attempt may have been executed.
func (req *pendingRequest) mayHaveExecuted() bool { return req.execution != nil }

// recordPossibleExecution records that the latest attempt, which was sent to a host, may have been executed.
// Only the first such attempt of a request counts.
func (req *pendingRequest) recordPossibleExecution(host *hostState) {
	if req.execution == nil {
		req.execution = &possibleExecution{req.sentAt, host.zone}
	}
}
