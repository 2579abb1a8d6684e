// Package restartsoak restarts a real process of the gateway again and again while clients use their connections to it for as
// long as they are open, with signals in series and faults of hosts, discovery and the log. It checks that no request is
// lost or run twice, and that the process ends and returns in time.
package restartsoak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// randomStream separates the random numbers of plans from those of other users of the same seed.
const randomStream = 41

// Plan is what happens in one run. Times are milliseconds; those of signals and faults count from the first SIGTERM.
type Plan struct {
	Seed            uint64         `json:"seed"`
	LongestMS       int            `json:"longest_deadline_ms"` // of the class of writes
	HangPercent     int            `json:"hang_percent"`        // of queries, which get no answer
	Crowd           int            `json:"crowd"`               // idle connections that fill the descriptors
	StalledLog      bool           `json:"stalled_log"`         // nobody reads the log
	TerminatedStart int            `json:"terminated_start_ms"` // SIGTERM so long after an earlier start; 0: no such start
	FrontMS         int            `json:"front_ms"`            // new connections arrive for so long
	Signals         []PlannedEvent `json:"signals"`
	Faults          []PlannedEvent `json:"faults"`
}

// PlannedEvent is a signal or a fault.
type PlannedEvent struct {
	AtMS  int    `json:"at_ms"`
	What  string `json:"what"`
	Times int    `json:"times,omitempty"` // of a signal, without a pause
}

// Signals and faults.
const (
	signalHUP  = "HUP"
	signalTERM = "TERM"

	faultHostDies     = "a replica dies"
	faultHostHangs    = "a replica hangs"
	faultPrimaryMoves = "another host is the primary"
	faultPrimaryLost  = "no host is the primary"
	faultListChanges  = "a replica leaves the endpoint list"
)

var faults = [...]string{faultHostDies, faultHostHangs, faultPrimaryMoves, faultPrimaryLost, faultListChanges}

// signalNumbers maps the names of signals.
var signalNumbers = map[string]syscall.Signal{signalHUP: syscall.SIGHUP, signalTERM: syscall.SIGTERM}

// MakePlan returns the plan of a seed.
func MakePlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, randomStream))
	plan := Plan{
		Seed:        seed,
		LongestMS:   []int{800, 3000, 3000, 5000}[random.IntN(4)],
		HangPercent: random.IntN(8),
		FrontMS:     200 + random.IntN(200),
		StalledLog:  random.IntN(4) == 0,
	}
	if random.IntN(4) == 0 {
		plan.Crowd = 300
	}
	if random.IntN(4) == 0 {
		plan.TerminatedStart = 1 + random.IntN(60)
	}
	plan.Signals = makeSignals(random)
	for range random.IntN(3) {
		plan.Faults = append(plan.Faults, PlannedEvent{AtMS: random.IntN(2500) - 500, What: faults[random.IntN(len(faults))]})
	}
	return plan
}

// makeSignals returns a SIGTERM at 0 and others around it, in order of time.
func makeSignals(random *rand.Rand) []PlannedEvent {
	var signals []PlannedEvent
	if random.IntN(2) == 0 {
		signals = append(signals, PlannedEvent{AtMS: -random.IntN(300), What: signalHUP, Times: 1 + random.IntN(30)})
	}
	signals = append(signals, PlannedEvent{What: signalTERM, Times: 1 + random.IntN(2)})
	for at := random.IntN(300); at < 800; at += 1 + random.IntN(400) {
		what := []string{signalHUP, signalTERM}[random.IntN(2)]
		signals = append(signals, PlannedEvent{AtMS: at, What: what, Times: 1 + random.IntN(5)})
	}
	return signals
}

// Limits of the platform.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond // beyond the longest deadline
)

// killAfter is the time from SIGTERM to the earliest SIGKILL.
func (p *Plan) killAfter() time.Duration {
	return min(milliseconds(p.LongestMS), maxCountedDeadline) + killDelay
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
