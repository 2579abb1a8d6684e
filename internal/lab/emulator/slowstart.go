package emulator

import (
	"math"
	"sync"
	"time"
)

// SlowStart describes the period after a host's start in which its capacity grows linearly to its full value. A host that
// receives more than OverloadFactor times its current capacity within a Window is overloaded and hangs from then on.
type SlowStart struct {
	Duration       time.Duration
	InitialShare   float64 // fraction of the capacity at the start
	Capacity       float64 // full capacity, in requests per second
	OverloadFactor float64
	Window         time.Duration
}

// slowStart is a slow start in progress.
type slowStart struct {
	SlowStart
	startedAt, endsAt time.Time

	mu       sync.Mutex
	arrivals []time.Time // times of the requests within the window
}

// BeginSlowStart begins a slow start of the host at the current time.
func (h *Host) BeginSlowStart(s SlowStart) {
	now := time.Now()
	h.slowStart.Store(&slowStart{SlowStart: s, startedAt: now, endsAt: now.Add(s.Duration)})
}

// OverloadedInSlowStart reports whether the host was overloaded during its slow start.
func (h *Host) OverloadedInSlowStart() bool { return h.overloadedInSlowStart.Load() }

// admitInSlowStart records a request and returns the current capacity as a fraction of the full one.
func (h *Host) admitInSlowStart() float64 {
	start := h.slowStart.Load()
	now := time.Now()
	if start == nil || now.After(start.endsAt) {
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
	elapsed := float64(now.Sub(s.startedAt)) / float64(s.endsAt.Sub(s.startedAt))
	return s.InitialShare + (1-s.InitialShare)*elapsed
}

// overloaded records a request and reports whether the number of requests within the window is too high: above the allowed
// number by more than two standard deviations of a Poisson process.
func (s *slowStart) overloaded(now time.Time, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > s.Window {
		s.arrivals = s.arrivals[1:]
	}
	allowed := s.OverloadFactor * share * s.Capacity * s.Window.Seconds()
	return float64(len(s.arrivals)) > allowed+2*math.Sqrt(allowed)+2
}
