package fleet

import (
	"testing"
	"time"
)

// A full ring drops its oldest elements and counts them; push never blocks.
func TestFullRingDropsItsOldestAndCountsIt(t *testing.T) {
	r := newRing[int](3)
	for i := range 5 {
		r.push(i)
	}
	for want := 2; want < 5; want++ {
		if got := <-r.ch; got != want {
			t.Errorf("received element %d, want %d", got, want)
		}
	}
	if r.dropped.Load() != 2 {
		t.Errorf("%d elements are counted as dropped, want 2", r.dropped.Load())
	}
}

// The cost of recording one outcome for the gateway's own goroutine.
func BenchmarkPushOutcome(b *testing.B) {
	r := newRing[outcome](outcomeRingSize)
	b.ReportAllocs()
	for b.Loop() {
		r.push(outcome{host: "s-1", at: time.Now()})
	}
}
