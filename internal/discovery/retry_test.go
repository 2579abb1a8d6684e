package discovery

import (
	"slices"
	"testing"
)

// service answers calls in turn, a fixed number a second. One that has waited for 2 s has failed, but is worked on all
// the same when its turn comes.
type service struct {
	perCall, free int64
}

func (s *service) call(now int64) (at int64, ok bool) {
	s.free = max(s.free, now) + s.perCall
	if s.free-now > 2e6 {
		return now + 2e6, false
	}
	return s.free, true
}

// Of 80 gateways that start at once all have the list soon, though discovery can answer 17 calls a second. Asking again at
// fixed times from 50 ms to 1 s, few would ever get it: the calls that have failed take all of its time.
func TestManyGatewaysGetTheList(t *testing.T) {
	for _, gateways := range []int{1, 2, 80, 300} {
		s := &service{perCall: call}
		type asking struct {
			at    int64
			retry *Retry
		}
		var all []asking
		for i := range gateways {
			r := NewRetry(gateways, true, uint64(i)+1)
			all = append(all, asking{r.First(true), r})
		}
		last := int64(0)
		for calls := 0; len(all) > 0; calls++ {
			if calls > 20*gateways {
				t.Fatalf("%d gateways: %d still have no list after %d calls", gateways, len(all), calls)
			}
			slices.SortFunc(all, func(a, b asking) int { return int(a.at - b.at) })
			a := &all[0]
			at, ok := s.call(a.at)
			if last = max(last, at); ok {
				all = all[1:]
				continue
			}
			a.at = at + a.retry.Failed()
		}
		if most := 3*int64(gateways)*call + 1e6; last > most {
			t.Errorf("%d gateways: the last has the list after %d ms, want %d at most", gateways, last/1000, most/1000)
		}
	}
}

// A gateway that is alone, has an agent of its own or no list at all does not wait for others.
func TestNobodyWaitsWithoutNeed(t *testing.T) {
	for what, w := range map[string]int64{
		"alone": NewRetry(1, true, 1).First(true), "with an agent": NewRetry(80, false, 1).First(true),
		"without a list": NewRetry(80, true, 1).First(false),
	} {
		if w != 0 {
			t.Errorf("%s: waits %d us", what, w)
		}
	}
	r := NewRetry(80, false, 1)
	for range 10 {
		if w := r.Failed(); w > maxRetry*3/2 {
			t.Errorf("waits %d us after a failure", w)
		}
	}
	r.Told()
	if w := r.Failed(); w > minRetry*3/2 {
		t.Errorf("waits %d us after the first failure since it was told", w)
	}
}
