package fleet

import (
	"errors"
	"testing"
	"time"
)

// A full ring loses its oldest and counts it; whoever puts never waits.
func TestRingLosesItsOldest(t *testing.T) {
	r := newRing[int](3)
	for i := range 5 {
		r.put(i)
	}
	for want := 2; want < 5; want++ {
		if got := <-r.c; got != want {
			t.Errorf("%d, want %d", got, want)
		}
	}
	if r.lost.Load() != 2 {
		t.Errorf("%d are counted as lost", r.lost.Load())
	}
}

// A zone that is not in the view, since the list named it later, is used in full.
func TestViewOfUnknownZone(t *testing.T) {
	v := &view{}
	v.shares.Store(&[]byte{0, 40})
	for zone, want := range []float64{0, 0.4, 1} {
		if got := v.ReadShare(zone); got != want {
			t.Errorf("zone %d: %v", zone, got)
		}
	}
}

// Each error says what an operator can do.
func TestErrorsHaveRemedies(t *testing.T) {
	for _, err := range []error{&ZonesError{1}, &PinError{"x", []string{"a", "b"}}} {
		var r interface{ Remedy() string }
		if !errors.As(err, &r) || r.Remedy() == "" || err.Error() == "" {
			t.Errorf("%v has no remedy", err)
		}
	}
}

// What it costs the gateway's own goroutine to say how an attempt ended.
func BenchmarkObserve(b *testing.B) {
	r := newRing[end](ends)
	b.ReportAllocs()
	for b.Loop() {
		r.put(end{host: "s-1", at: time.Now()})
	}
}
