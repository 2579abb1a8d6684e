// Package processrig runs many real gateway processes in front of emulated hosts, and injects faults into the processes
// and into the network between them. It measures at the hosts how evenly the gateways spread their load, and at the
// clients whether requests are lost.
package processrig

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a fault of a gateway, or of the datagrams between gateways.
type Fault string

// The faults.
const (
	Stop    Fault = "stop"    // SIGSTOP at the beginning, SIGCONT at the end
	Kill    Fault = "kill"    // SIGKILL at the beginning, a new process at the end
	Restart Fault = "restart" // SIGTERM, SIGKILL if the shutdown takes too long, and a new process
	Cut     Fault = "cut"     // datagrams from the gateway, or to it, or both, are dropped
	Late    Fault = "late"    // datagrams to the gateway are delayed
	Lossy   Fault = "lossy"   // of the datagrams to the gateway, 1 in 5 is dropped and 1 in 20 of the others duplicated
	Join    Fault = "join"    // the last host of each group, missing before, is added to the gateway's endpoint list
)

// Event is one fault of one gateway. Its time is relative to the start of the run.
type Event struct {
	AtMS    int64 `json:"at_ms"`
	ForMS   int64 `json:"for_ms"`
	Gateway int   `json:"gateway"`
	Fault   Fault `json:"fault"`
	CutFrom bool  `json:"from,omitempty"`     // for Cut: datagrams from the gateway are dropped
	CutTo   bool  `json:"to,omitempty"`       // for Cut: datagrams to the gateway are dropped
	Delay   int64 `json:"delay_ms,omitempty"` // for Late
}

// Plans lists the plan names that MakePlan accepts.
var Plans = []string{"none", "stall", "late", "cut", "loss", "kill", "roll", "restart", "join"}

// planRandomStream separates a plan's random numbers from those of other users of the same seed.
const planRandomStream = 23

// planner creates the events of a plan. Faults begin in the middle half of the run. Times are in milliseconds.
type planner struct {
	random   *rand.Rand
	order    []int // all gateways, in random order
	start    int64 // earliest beginning of a fault
	duration int64 // length of the part of the run in which there are faults
}

// MakePlan returns the events of the plan with the given name, sorted by time. The same arguments give the same events.
// For an unknown name the error is an *OptionError.
func MakePlan(name string, seed uint64, gateways int, run time.Duration) ([]Event, error) {
	random := rand.New(rand.NewPCG(seed, planRandomStream))
	p := &planner{
		random: random, order: random.Perm(gateways),
		start: run.Milliseconds() / 4, duration: run.Milliseconds() / 2,
	}
	makers := map[string]func() []Event{
		"none": func() []Event { return nil }, "stall": p.stall, "late": p.late, "cut": p.cut, "loss": p.loss,
		"kill": p.kill, "roll": p.roll, "restart": p.restart, "join": p.join,
	}
	makeEvents, known := makers[name]
	if !known {
		return nil, &OptionError{"plan", fmt.Sprintf("%q is unknown; expected one of %v", name, Plans)}
	}
	events := makeEvents()
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Gateway, b.Gateway))
	})
	return events, nil
}

// randomFraction returns one gateway in n, chosen at random, and at least one.
func (p *planner) randomFraction(n int) []int { return p.order[:max(len(p.order)/n, 1)] }

// stall stops a third of the gateways at the same time, for 3 s or the length of the faults if that is shorter.
func (p *planner) stall() []Event {
	var events []Event
	for _, gateway := range p.randomFraction(3) {
		events = append(events, Event{AtMS: p.start, ForMS: min(3000, p.duration), Gateway: gateway, Fault: Stop})
	}
	return events
}

// late delays the datagrams to half of the gateways by one second.
func (p *planner) late() []Event {
	var events []Event
	for _, gateway := range p.randomFraction(2) {
		events = append(events, Event{AtMS: p.start, ForMS: p.duration, Gateway: gateway, Fault: Late, Delay: 1000})
	}
	return events
}

// cut drops the datagrams from a third of the gateways, or to them, or both.
func (p *planner) cut() []Event {
	const fromOnly, toOnly, directions = 0, 1, 3
	var events []Event
	for _, gateway := range p.randomFraction(3) {
		direction := p.random.IntN(directions)
		events = append(events, Event{
			AtMS: p.start + p.random.Int64N(p.duration/4+1), ForMS: p.duration/4 + p.random.Int64N(p.duration/2+1),
			Gateway: gateway, Fault: Cut, CutFrom: direction != toOnly, CutTo: direction != fromOnly,
		})
	}
	return events
}

// loss drops and duplicates some of the datagrams to every gateway.
func (p *planner) loss() []Event {
	var events []Event
	for _, gateway := range p.order {
		events = append(events, Event{AtMS: p.start, ForMS: p.duration, Gateway: gateway, Fault: Lossy})
	}
	return events
}

// kill kills a third of the gateways at the same time.
func (p *planner) kill() []Event {
	var events []Event
	for _, gateway := range p.randomFraction(3) {
		events = append(events, Event{
			AtMS: p.start, ForMS: 200 + p.random.Int64N(800), Gateway: gateway, Fault: Kill,
		})
	}
	return events
}

// roll kills half of the gateways, one after the other.
func (p *planner) roll() []Event {
	var events []Event
	half := p.randomFraction(2)
	for i, gateway := range half {
		events = append(events, Event{
			AtMS: p.start + p.duration*int64(i)/int64(len(half)), ForMS: 100 + p.random.Int64N(200),
			Gateway: gateway, Fault: Kill,
		})
	}
	return events
}

// restart restarts all gateways gracefully, a tenth of them at a time. ForMS is how long after the signal the load
// balancer in front of a gateway still sends new connections to it.
func (p *planner) restart() []Event {
	var events []Event
	for i, gateway := range p.order {
		tenth := int64(i * 10 / len(p.order))
		events = append(events, Event{
			AtMS: p.start + p.duration*tenth/10, ForMS: 200 + p.random.Int64N(200), Gateway: gateway, Fault: Restart,
		})
	}
	return events
}

// join adds hosts to the endpoint lists of all gateways, at a different time for each gateway.
func (p *planner) join() []Event {
	var events []Event
	for _, gateway := range p.order {
		events = append(events, Event{
			AtMS: p.start + p.random.Int64N(p.duration/4+1), ForMS: 1, Gateway: gateway, Fault: Join,
		})
	}
	return events
}

// Hash returns a hash of the events: two runs with the same hash had the same faults.
func Hash(events []Event) (string, error) {
	b, err := json.Marshal(events)
	if err != nil {
		return "", fmt.Errorf("plan: %w", err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8]), nil
}
