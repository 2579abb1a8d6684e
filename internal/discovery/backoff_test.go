package discovery

import (
	"slices"
	"testing"
)

// callTimeout (µs) is how long a call of these tests waits for its answer.
const callTimeout = 2e6

// overloadedService answers calls in turn. A call that has timed out is worked on all the same when its turn comes.
type overloadedService struct {
	costPerCall, freeAt int64
	callers             []caller
}

// caller is a gateway without the list, and when it calls next.
type caller struct {
	callsAt int64
	backoff *Backoff
}

// serve has all of them call until they have the list, and returns when the last has it.
func (s *overloadedService) serve(t *testing.T) (last int64) {
	t.Helper()
	waiting := s.callers
	for calls, gateways := 0, len(waiting); len(waiting) > 0; calls++ {
		if calls > 20*gateways {
			t.Fatalf("%d gateways: %d still have no list after %d calls", gateways, len(waiting), calls)
		}
		slices.SortFunc(waiting, func(a, b caller) int { return int(a.callsAt - b.callsAt) })
		next := &waiting[0]
		s.freeAt = max(s.freeAt, next.callsAt) + s.costPerCall
		if s.freeAt-next.callsAt <= callTimeout {
			last = max(last, s.freeAt)
			waiting = waiting[1:]
			continue
		}
		next.callsAt += callTimeout + next.backoff.AfterFailure()
	}
	return last
}

// Of 80 gateways that start at once all have the list soon, though the service can answer 17 calls a second. With retries
// at fixed times from 50 ms to 1 s few would ever get it: the calls that have failed take all of its time.
func TestAllGatewaysOfAFleetGetTheList(t *testing.T) {
	for _, gateways := range []int{1, 2, 80, 300} {
		s := &overloadedService{costPerCall: callCost}
		for i := range gateways {
			backoff := NewBackoff(gateways, true, uint64(i)+1)
			s.callers = append(s.callers, caller{backoff.BeforeFirstCall(true), backoff})
		}
		limit := 3*int64(gateways)*callCost + 1e6
		if last := s.serve(t); last > limit {
			t.Errorf("%d gateways: the last has the list after %d ms, want %d at most", gateways, last/1000, limit/1000)
		}
	}
}

// A gateway that is alone, has an agent of its own or no list at all makes its first call at once, and one with an agent
// of its own retries after a short wait.
func TestWaitsAreShortUnlessGatewaysShareTheService(t *testing.T) {
	for name, wait := range map[string]int64{
		"alone":          NewBackoff(1, true, 1).BeforeFirstCall(true),
		"with an agent":  NewBackoff(80, false, 1).BeforeFirstCall(true),
		"without a list": NewBackoff(80, true, 1).BeforeFirstCall(false),
	} {
		if wait != 0 {
			t.Errorf("%s: waits %d us", name, wait)
		}
	}
	backoff := NewBackoff(80, false, 1)
	for range 10 {
		if wait := backoff.AfterFailure(); wait > maxRetryWait*3/2 {
			t.Errorf("waits %d us after a failure", wait)
		}
	}
	backoff.RecordSuccess()
	if wait := backoff.AfterFailure(); wait > minRetryWait*3/2 {
		t.Errorf("waits %d us after the first failure since a success", wait)
	}
}

// While the calls of all gateways fit into updateDeadline, each begins its next call early enough, whatever it was waiting
// for when the service came back.
func TestNextCallBeginsWithinTheUpdateDeadline(t *testing.T) {
	for _, gateways := range []int{1, 2, 20, 50, 100} {
		for _, shared := range []bool{true, false} {
			backoff := NewBackoff(gateways, shared, 1)
			for n := range 200 {
				if wait := backoff.ResponseTimeout() + backoff.AfterFailure(); wait > updateDeadline-minResponseTimeout {
					t.Fatalf("%d gateways, failure %d: the next call begins after %d ms", gateways, n, wait/1000)
				}
			}
			if wait := backoff.BeforeFirstCall(true); wait > updateDeadline/2 {
				t.Errorf("%d gateways: the first call begins after %d ms", gateways, wait/1000)
			}
		}
	}
}

// With the service back after an outage, all gateways have the list within updateDeadline.
func TestAllGatewaysGetTheListInTimeAfterAnOutage(t *testing.T) {
	for _, gateways := range []int{1, 2, 20, 50, 80} {
		for outage := int64(0); outage <= 20e6; outage += 5e5 {
			s := &overloadedService{costPerCall: callCost}
			for i := range gateways {
				backoff := NewBackoff(gateways, true, uint64(i)+1)
				callsAt := backoff.BeforeFirstCall(true)
				for callsAt < outage { // no call is answered
					callsAt += backoff.ResponseTimeout()
					callsAt += backoff.AfterFailure()
				}
				s.callers = append(s.callers, caller{callsAt, backoff})
			}
			if last := s.serve(t); last > outage+updateDeadline {
				t.Errorf("%d gateways, an outage of %d ms: the last has the list %d ms after it",
					gateways, outage/1000, (last-outage)/1000)
			}
		}
	}
}
