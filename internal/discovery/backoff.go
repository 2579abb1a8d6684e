package discovery

import "cloverrock/internal/random"

// Backoff decides when a gateway calls the discovery service and how long it waits for the answer. A gateway that is
// alone, or has a discovery agent of its own, calls at once and retries after a short wait.
//
// Where many gateways share one service, the service handles their calls one after the other. Calls that arrive faster
// than it can answer time out, and the work spent on them is lost, until no gateway gets an answer. Each gateway
// therefore waits for a random part of the time that one call of every gateway takes, and longer after each failure.
//
// Backoff does no I/O and reads no clock. All times are microseconds. It is not safe for concurrent use.
type Backoff struct {
	firstCallWindow  int64 // the first call is made at a random time within it; 0: immediately
	minWait, maxWait int64
	nextWait         int64 // mean wait after the next failure
	initialTimeout   int64
	responseTimeout  int64 // of the next call
	rand             random.Source
}

// Times in microseconds.
const (
	// minRetryWait and maxRetryWait limit the mean wait of a gateway that does not share the service.
	minRetryWait = 5e4
	maxRetryWait = 5e5
	// minResponseTimeout is the shortest limit of the time until an answer begins. The limit doubles after each failure,
	// up to maxResponseTimeout.
	minResponseTimeout = 4e5
	maxResponseTimeout = 2e6
	// maxMeanWait limits the mean wait so that the next call begins within updateDeadline after the service becomes
	// reachable again, and minResponseTimeout is left for its answer. At that moment the previous call may just have
	// begun to wait for its answer, and a wait may be longer than its mean by half.
	maxMeanWait = (updateDeadline - maxResponseTimeout - minResponseTimeout) * 2 / 3
	// callCost is a conservative estimate of the service's time for one call.
	callCost = 6e4
)

// NewBackoff returns the backoff of one gateway in a fleet of the given number of gateways. shared is true if all of
// them call one service, and false if each calls an agent of its own. The seed determines the random parts of the
// waits; it should differ between gateways.
func NewBackoff(gateways int, shared bool, seed uint64) *Backoff {
	b := &Backoff{
		minWait:        minRetryWait,
		maxWait:        maxRetryWait,
		initialTimeout: minResponseTimeout,
		rand:           random.Source(seed),
	}
	if shared && gateways > 1 {
		b.spreadCalls(int64(gateways) * callCost)
	}
	b.RecordSuccess()
	return b
}

// spreadCalls adapts the times to a service that needs the time allCalls to answer one call of each gateway.
func (b *Backoff) spreadCalls(allCalls int64) {
	b.firstCallWindow = allCalls
	b.minWait = max(minRetryWait, allCalls/4)
	b.maxWait = max(maxRetryWait, 2*allCalls)
	b.initialTimeout = min(max(minResponseTimeout, allCalls), maxResponseTimeout)
	if allCalls > updateDeadline {
		return // too many gateways to update all in time; shorter waits would only overload the service
	}
	b.firstCallWindow = min(b.firstCallWindow, updateDeadline/2)
	b.minWait = min(b.minWait, maxMeanWait)
	b.maxWait = min(b.maxWait, maxMeanWait)
}

// BeforeFirstCall returns the wait before the first call. It is 0 for a gateway that has no list to use meanwhile.
func (b *Backoff) BeforeFirstCall(hasList bool) int64 {
	if !hasList || b.firstCallWindow == 0 {
		return 0
	}
	return b.rand.Below(b.firstCallWindow)
}

// ResponseTimeout returns the time within which the answer to the next call must begin.
func (b *Backoff) ResponseTimeout() int64 { return b.responseTimeout }

// AfterWatchEnded returns the wait after the end of a watch that had received a sign of life. The wait is short: usually
// only that one connection has failed, and changes from now on must arrive within updateDeadline.
func (b *Backoff) AfterWatchEnded() int64 { return b.rand.Below(min(b.minWait, maxRetryWait)) }

// AfterFailure returns the wait after a call that received no sign of life, and lengthens the next wait and timeout.
func (b *Backoff) AfterFailure() int64 {
	wait := b.nextWait/2 + b.rand.Below(b.nextWait)
	b.nextWait = min(2*b.nextWait, b.maxWait)
	b.responseTimeout = min(2*b.responseTimeout, maxResponseTimeout)
	return wait
}

// RecordSuccess records that the service has answered: waits and timeouts return to their initial values.
func (b *Backoff) RecordSuccess() {
	b.nextWait = b.minWait
	b.responseTimeout = b.initialTimeout
}
