package discovery

import (
	"slices"
	"testing"
)

// callTimeout is the time in microseconds after which a call in these tests fails for want of an answer.
const callTimeout = 2e6

// overloadedService answers calls one after the other. It also spends its time on calls that have timed out.
type overloadedService struct {
	costPerCall, busyUntil int64
	callers                []caller
}

// caller is a gateway without a list, and the time of its next call.
type caller struct {
	callsAt int64
	backoff *Backoff
}

// serve lets all gateways call until each has the list. It returns the time at which the last one receives it.
func (s *overloadedService) serve(t *testing.T) (last int64) {
	t.Helper()
	waiting := s.callers
	for calls, gateways := 0, len(waiting); len(waiting) > 0; calls++ {
		if calls > 20*gateways {
			t.Fatalf("%d gateways: %d of them have no list after %d calls", gateways, len(waiting), calls)
		}
		slices.SortFunc(waiting, func(a, b caller) int { return int(a.callsAt - b.callsAt) })
		next := &waiting[0]
		s.busyUntil = max(s.busyUntil, next.callsAt) + s.costPerCall
		if s.busyUntil-next.callsAt <= callTimeout {
			last = max(last, s.busyUntil)
			waiting = waiting[1:]
			continue
		}
		next.callsAt += callTimeout + next.backoff.AfterFailure()
	}
	return last
}

// If 80 gateways start at the same time, all of them soon have the list, although the service can answer only 17 calls
// a second. With retries at fixed intervals from 50 ms to 1 s few would ever receive it, since calls that have timed
// out take up all of the service's time.
func TestAllGatewaysOfAFleetGetTheList(t *testing.T) {
	for _, gateways := range []int{1, 2, 80, 300} {
		s := &overloadedService{costPerCall: callCost}
		for i := range gateways {
			backoff := NewBackoff(gateways, true, uint64(i)+1)
			s.callers = append(s.callers, caller{backoff.BeforeFirstCall(true), backoff})
		}
		limit := 3*int64(gateways)*callCost + 1e6
		if last := s.serve(t); last > limit {
			t.Errorf("%d gateways: the last one has the list after %d ms, want at most %d ms", gateways, last/1000, limit/1000)
		}
	}
}

// A gateway that is alone, has an agent of its own, or has no list makes its first call immediately. One with an agent
// of its own also retries after a short wait.
func TestWaitsAreShortUnlessGatewaysShareTheService(t *testing.T) {
	for name, wait := range map[string]int64{
		"alone":          NewBackoff(1, true, 1).BeforeFirstCall(true),
		"with an agent":  NewBackoff(80, false, 1).BeforeFirstCall(true),
		"without a list": NewBackoff(80, true, 1).BeforeFirstCall(false),
	} {
		if wait != 0 {
			t.Errorf("%s: waits %d us before the first call, want 0", name, wait)
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

// While the service can answer a call of every gateway within updateDeadline, each gateway begins its next call early
// enough, whether it was waiting for an answer or for a retry when the service came back.
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

// After an outage of the service, all gateways have the list within updateDeadline.
func TestAllGatewaysGetTheListInTimeAfterAnOutage(t *testing.T) {
	for _, gateways := range []int{1, 2, 20, 50, 80} {
		for outage := int64(0); outage <= 20e6; outage += 5e5 {
			s := &overloadedService{costPerCall: callCost}
			for i := range gateways {
				backoff := NewBackoff(gateways, true, uint64(i)+1)
				callsAt := backoff.BeforeFirstCall(true)
				for callsAt < outage { // calls during the outage fail
					callsAt += backoff.ResponseTimeout()
					callsAt += backoff.AfterFailure()
				}
				s.callers = append(s.callers, caller{callsAt, backoff})
			}
			if last := s.serve(t); last > outage+updateDeadline {
				t.Errorf("%d gateways, outage of %d ms: the last gateway has the list %d ms after the outage",
					gateways, outage/1000, (last-outage)/1000)
			}
		}
	}
}
