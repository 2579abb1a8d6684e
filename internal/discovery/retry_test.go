package discovery

import (
	"slices"
	"testing"
)

// service answers calls in turn, a fixed number a second. One that has waited for 2 s has failed, but is worked on all
// the same when its turn comes.
type service struct {
	perCall, free int64
	calls         []asking
}

// asking is a gateway without the list, and when it calls.
type asking struct {
	at    int64
	retry *Backoff
}

// serve has all of them ask until they have the list, and returns when the last has it.
func (s *service) serve(t *testing.T) (last int64) {
	t.Helper()
	all := s.calls
	for calls, gateways := 0, len(all); len(all) > 0; calls++ {
		if calls > 20*gateways {
			t.Fatalf("%d gateways: %d still have no list after %d calls", gateways, len(all), calls)
		}
		slices.SortFunc(all, func(a, b asking) int { return int(a.at - b.at) })
		a := &all[0]
		s.free = max(s.free, a.at) + s.perCall
		if s.free-a.at <= 2e6 {
			last, all = max(last, s.free), all[1:]
			continue
		}
		a.at += 2e6 + a.retry.AfterFailure()
	}
	return last
}

// Of 80 gateways that start at once all have the list soon, though discovery can answer 17 calls a second. Asking again at
// fixed times from 50 ms to 1 s, few would ever get it: the calls that have failed take all of its time.
func TestManyGatewaysGetTheList(t *testing.T) {
	for _, gateways := range []int{1, 2, 80, 300} {
		s := &service{perCall: call}
		for i := range gateways {
			r := NewBackoff(gateways, true, uint64(i)+1)
			s.calls = append(s.calls, asking{r.BeforeFirstCall(true), r})
		}
		if last, most := s.serve(t), 3*int64(gateways)*call+1e6; last > most {
			t.Errorf("%d gateways: the last has the list after %d ms, want %d at most", gateways, last/1000, most/1000)
		}
	}
}

// A gateway that is alone, has an agent of its own or no list at all does not wait for others.
func TestNobodyWaitsWithoutNeed(t *testing.T) {
	for what, w := range map[string]int64{
		"alone": NewBackoff(1, true, 1).BeforeFirstCall(true), "with an agent": NewBackoff(80, false, 1).BeforeFirstCall(true),
		"without a list": NewBackoff(80, true, 1).BeforeFirstCall(false),
	} {
		if w != 0 {
			t.Errorf("%s: waits %d us", what, w)
		}
	}
	r := NewBackoff(80, false, 1)
	for range 10 {
		if w := r.AfterFailure(); w > maxRetry*3/2 {
			t.Errorf("waits %d us after a failure", w)
		}
	}
	r.RecordSuccess()
	if w := r.AfterFailure(); w > minRetry*3/2 {
		t.Errorf("waits %d us after the first failure since it was told", w)
	}
}

// A change counts as told 6 s after discovery had it and could be reached. While the calls of all fit into that time, each
// begins its next call early enough, whatever it was waiting for when discovery came back; and with discovery back after an
// outage, all have the list by then.
func TestClockIsKept(t *testing.T) {
	for _, gateways := range []int{1, 2, 20, 50, 100} {
		for _, shared := range []bool{true, false} {
			r := NewBackoff(gateways, shared, 1)
			for n := range 200 {
				if w := r.ResponseTimeout() + r.AfterFailure(); w > toldWithin-brief {
					t.Fatalf("%d gateways, failure %d: the next call begins after %d ms", gateways, n, w/1000)
				}
			}
			if w := r.BeforeFirstCall(true); w > toldWithin/2 {
				t.Errorf("%d gateways: the first call begins after %d ms", gateways, w/1000)
			}
		}
	}
	for _, gateways := range []int{1, 2, 20, 50, 80} {
		for outage := int64(0); outage <= 20e6; outage += 5e5 {
			s := &service{perCall: call}
			for i := range gateways {
				r := NewBackoff(gateways, true, uint64(i)+1)
				at := r.BeforeFirstCall(true)
				for at < outage { // nobody answers
					at += r.ResponseTimeout()
					at += r.AfterFailure()
				}
				s.calls = append(s.calls, asking{at, r})
			}
			if last := s.serve(t); last > outage+toldWithin {
				t.Errorf("%d gateways, an outage of %d ms: the last has the list %d ms after it", gateways, outage/1000, (last-outage)/1000)
			}
		}
	}
}
