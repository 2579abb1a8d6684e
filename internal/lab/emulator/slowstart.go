package emulator

import (
	"math"
	"sync"
	"time"
)

// slowStart is the time after a host's start, in which its capacity grows from a share of it to the whole. A host that
// gets more requests within the window than the factor allows hangs from then on.
type slowStart struct {
	startedAt, warmAt time.Time
	initialShare      float64
	capacity          float64 // requests a second of a warm host
	overloadFactor    float64
	window            time.Duration

	mu       sync.Mutex
	arrivals []time.Time // within the window
}

// BeginSlowStart has the host begin its slow start now.
func (h *Host) BeginSlowStart(
	duration time.Duration, initialShare, capacity, overloadFactor float64, window time.Duration,
) {
	now := time.Now()
	h.slowStart.Store(&slowStart{
		startedAt: now, warmAt: now.Add(duration), initialShare: initialShare, capacity: capacity,
		overloadFactor: overloadFactor, window: window,
	})
}

// OverloadedInSlowStart reports whether the host was overloaded in its slow start.
func (h *Host) OverloadedInSlowStart() bool { return h.overloadedInSlowStart.Load() }

// admitInSlowStart notes a request and returns the share of its capacity that the host has now.
func (h *Host) admitInSlowStart() float64 {
	start := h.slowStart.Load()
	now := time.Now()
	if start == nil || now.After(start.warmAt) {
		return 1
	}
	share := start.share(now)
	if start.overloaded(now, share) {
		h.overloadedInSlowStart.Store(true)
		h.hanging.Store(true)
	}
	return share
}

func (s *slowStart) share(now time.Time) float64 {
	elapsed := float64(now.Sub(s.startedAt)) / float64(s.warmAt.Sub(s.startedAt))
	return s.initialShare + (1-s.initialShare)*elapsed
}

// overloaded adds an arrival and reports whether those within the window exceed the allowed number by more than chance.
func (s *slowStart) overloaded(now time.Time, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > s.window {
		s.arrivals = s.arrivals[1:]
	}
	allowed := s.overloadFactor * share * s.capacity * s.window.Seconds()
	return float64(len(s.arrivals)) > allowed+2*math.Sqrt(allowed)+2
}
