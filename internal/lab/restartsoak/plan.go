// Package restartsoak restarts a real gateway process under load. Its clients keep each connection for as long as it stays
// open, while the process receives series of signals and faults are injected into hosts, discovery and the log. The package
// checks that no request is lost or executed twice, that the process exits in time, and that the next one is ready in time.
package restartsoak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// randomStream separates the random numbers of plans from those of other users of the same seed.
const randomStream = 41

// Plan describes the signals and faults of one run. Times are in milliseconds; those of signals and faults are relative to
// the first SIGTERM.
type Plan struct {
	Seed              uint64         `json:"seed"`
	LongestDeadlineMS int            `json:"longest_deadline_ms"` // deadline of the class of writes
	HangPercent       int            `json:"hang_percent"`        // percentage of queries that the hosts never answer
	IdleConnections   int            `json:"crowd"`               // idle connections that use up the gateway's descriptors
	StalledLog        bool           `json:"stalled_log"`         // the log is a full pipe that is never read
	TerminatedStartMS int            `json:"terminated_start_ms"` // an extra process gets SIGTERM at this age; 0: none
	StopConnectingMS  int            `json:"front_ms"`            // clients open new connections until this time
	Signals           []PlannedEvent `json:"signals"`
	Faults            []PlannedEvent `json:"faults"`
}

// PlannedEvent is a signal or a fault at a given time.
type PlannedEvent struct {
	AtMS  int    `json:"at_ms"`
	What  string `json:"what"`
	Count int    `json:"times,omitempty"` // how often a signal is sent, without a pause
}

// Signals and faults that a plan can contain.
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

// signalNumbers maps the names of signals to their numbers.
var signalNumbers = map[string]syscall.Signal{signalHUP: syscall.SIGHUP, signalTERM: syscall.SIGTERM}

// MakePlan returns the plan that a seed determines.
func MakePlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, randomStream))
	plan := Plan{
		Seed:              seed,
		LongestDeadlineMS: []int{800, 3000, 3000, 5000}[random.IntN(4)],
		HangPercent:       random.IntN(8),
		StopConnectingMS:  200 + random.IntN(200),
		StalledLog:        random.IntN(4) == 0,
	}
	if random.IntN(4) == 0 {
		plan.IdleConnections = 300
	}
	if random.IntN(4) == 0 {
		plan.TerminatedStartMS = 1 + random.IntN(60)
	}
	plan.Signals = makeSignals(random)
	for range random.IntN(3) {
		plan.Faults = append(plan.Faults, PlannedEvent{AtMS: random.IntN(2500) - 500, What: faults[random.IntN(len(faults))]})
	}
	return plan
}

// makeSignals returns a SIGTERM at time 0 and further signals around it, ordered by time.
func makeSignals(random *rand.Rand) []PlannedEvent {
	var signals []PlannedEvent
	if random.IntN(2) == 0 {
		signals = append(signals, PlannedEvent{AtMS: -random.IntN(300), What: signalHUP, Count: 1 + random.IntN(30)})
	}
	signals = append(signals, PlannedEvent{What: signalTERM, Count: 1 + random.IntN(2)})
	for at := random.IntN(300); at < 800; at += 1 + random.IntN(400) {
		what := []string{signalHUP, signalTERM}[random.IntN(2)]
		signals = append(signals, PlannedEvent{AtMS: at, What: what, Count: 1 + random.IntN(5)})
	}
	return signals
}

// The platform sends SIGKILL once the longest deadline, counted up to maxCountedDeadline, and killDelay have passed.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond // added to the longest deadline
)

// killAfter returns the time from SIGTERM to the earliest possible SIGKILL by the platform.
func (p *Plan) killAfter() time.Duration {
	return min(milliseconds(p.LongestDeadlineMS), maxCountedDeadline) + killDelay
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
