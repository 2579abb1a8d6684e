package discovery

import "cloverrock/internal/random"

// Backoff decides when a gateway asks discovery. Alone it may ask at once and again soon. Where the list has to be asked
// for, all gateways meet one service that takes their calls in turn: calls that come faster than it works wait until they
// fail, and the work on them is lost, so that nobody is served any more. Then each waits for a random part of the time
// that all of them need, and longer after each failure. It does no I/O and reads no clock; times are microseconds.
type Backoff struct {
	first, least, most, next int64
	brief, answer            int64
	rand                     random.Source
}

const (
	minRetry = 5e4
	maxRetry = 5e5
	// brief is how long an answer may take to begin: at first, and doubled after each that did not, up to patient.
	brief   = 4e5
	patient = 2e6
	// inTime is the longest mean wait after which the next call still begins within toldWithin of the time at which discovery
	// could be reached again, whatever the call before was doing then: that one may be waited for yet, and the wait that
	// follows is up to half as long again.
	inTime = (toldWithin - patient - brief) * 2 / 3
	// call is what one gateway's call may take of discovery's time: a guess on the safe side. Measured where it was
	// overbooked: of 80 calls at once it answered 32 in 2 s, and then none of some 20 a second.
	call = 6e4
)

// NewBackoff returns the times for one of a number of gateways. shared tells that all ask one service; where an agent of
// each gateway's own holds the list, they need not spare it.
func NewBackoff(gateways int, shared bool, seed uint64) *Backoff {
	r := &Backoff{least: minRetry, most: maxRetry, brief: brief, rand: random.Source(seed)}
	if shared && gateways > 1 {
		all := int64(gateways) * call
		r.first, r.least, r.most = all, max(minRetry, all/4), max(maxRetry, 2*all)
		r.brief = min(max(brief, all), patient) // calls are taken in turn
		if all <= toldWithin {                  // they all fit into it; more of them can't be told in time, and would be told nothing
			r.first, r.least, r.most = min(r.first, toldWithin/2), min(r.least, inTime), min(r.most, inTime)
		}
	}
	r.RecordSuccess()
	return r
}

// BeforeFirstCall is how long to wait before the first call: none without a list to go on with.
func (r *Backoff) BeforeFirstCall(known bool) int64 {
	if !known || r.first == 0 {
		return 0
	}
	return r.rand.Below(r.first)
}

// ResponseTimeout is how long the answer to the next call may take to begin.
func (r *Backoff) ResponseTimeout() int64 { return r.answer }

// AfterWatchEnded is how long to wait after a watch that had told a list and then ended: mostly that one connection's fault, and
// what discovery tells from now on counts as told within toldWithin.
func (r *Backoff) AfterWatchEnded() int64 { return r.rand.Below(min(r.least, maxRetry)) }

// AfterFailure is how long to wait after a call that told nothing.
func (r *Backoff) AfterFailure() int64 {
	wait := r.next/2 + r.rand.Below(r.next)
	r.next, r.answer = min(2*r.next, r.most), min(2*r.answer, patient)
	return wait
}

// RecordSuccess notes that discovery has answered.
func (r *Backoff) RecordSuccess() { r.next, r.answer = r.least, r.brief }
