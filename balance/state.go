package balance

// hostState is what the router knows of one host. The parts are defined beside the concern that owns them.
type hostState struct {
	id    string
	zone  int
	group *groupState

	hostListing
	hostHealth
	hostConnections
	hostRole
	hostLoad
	hostSlowStart

	position        int64 // the host has applied its log up to here, at least; never goes back
	positionHeardAt int64 // when that was heard
}

// groupState is what the router knows of a primary and its replicas, and the requests that wait for them.
type groupState struct {
	id      int64
	members []*hostState // sorted by id
	groupPrimary

	queue   []*pendingRequest // in the order of dispatch
	latency movingAverage     // of successful answers of all members, µs
}

// pendingRequest is a request that is owed a final answer, or whose last attempt has not come back yet.
type pendingRequest struct {
	id         int64
	class      *Class
	classIndex int
	group      *groupState
	sessionKey int64 // of its session, if hasKey

	objectiveAt int64 // an answer by then meets the latency objective
	halfTimeAt  int64 // half of the time to the deadline has passed
	deadline    int64
	minPosition int64   // ReadYourWrites: a position that shows the session's writes
	lateness    int     // order in the queue: above 0 if the objective can no longer be met
	shedRank    float64 // 0 to 1: of two reads the one with the higher rank is shed first

	attemptsSent      int
	attempt           int        // number of the attempt in flight
	host              *hostState // where the attempt is in flight; nil while the request waits
	lastHost          *hostState // where the last failed attempt was
	sentAt            int64
	overdueHalves     int // halves of its latency objective that the attempt has taken while in flight
	positionWaitUntil int64

	executedAt   int64 // when the first attempt that may have been executed was sent; 0 if none
	executedZone int   // zone of the host of that attempt

	hasKey      bool
	dialed      bool // the attempt in flight needed a new connection
	reachedHost bool // a host has received the request
	shed        bool // a host with capacity was withheld to shed load
	finished    bool // the final answer is given; only the last attempt is still awaited
}

// isWrite reports whether the primary alone may take the request.
func (req *pendingRequest) isWrite() bool { return req.class.Consistency == Write }

// mayHaveExecuted reports whether an earlier attempt may have been executed.
func (req *pendingRequest) mayHaveExecuted() bool { return req.executedAt != 0 }
