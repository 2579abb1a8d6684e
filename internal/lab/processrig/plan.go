// Package processrig plays many real processes of the gateway in front of emulated hosts, with faults in them and between
// them, and measures from outside how their load falls on the hosts and whether they lose requests.
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

// Fault is what happens to a gateway, or to the datagrams on the way between gateways.
type Fault string

// The faults.
const (
	Stop    Fault = "stop"    // SIGSTOP, and SIGCONT at its end
	Kill    Fault = "kill"    // SIGKILL, and a new start at its end
	Restart Fault = "restart" // SIGTERM, SIGKILL if the shutdown takes too long, and a new start
	Cut     Fault = "cut"     // no datagram comes from the gateway, or none to it, or both
	Late    Fault = "late"    // datagrams to the gateway take longer
	Lossy   Fault = "lossy"   // one datagram in five to the gateway is lost, one in twenty comes twice
	Join    Fault = "join"    // the gateway's endpoint list shows the last host of each group, which was not in it
)

// Event is one fault.
type Event struct {
	AtMS    int64 `json:"at_ms"`
	ForMS   int64 `json:"for_ms"`
	Gateway int   `json:"gateway"`
	Fault   Fault `json:"fault"`
	From    bool  `json:"from,omitempty"` // a cut of what the gateway sends
	To      bool  `json:"to,omitempty"`   // and of what goes to it
	Delay   int64 `json:"delay_ms,omitempty"`
}

// Plans are the names that MakePlan takes.
var Plans = []string{"none", "stall", "late", "cut", "loss", "kill", "roll", "restart", "join"}

// randomStream separates a plan's random numbers from those of other users of the same seed.
const randomStream = 23

// planner makes the events of a plan. Faults lie in the middle half of the run; times are milliseconds.
type planner struct {
	random *rand.Rand
	order  []int // all gateways, at random
	from   int64
	span   int64
}

// MakePlan returns the faults of a run by name. The same arguments give the same events.
func MakePlan(name string, seed uint64, gateways int, run time.Duration) ([]Event, error) {
	random := rand.New(rand.NewPCG(seed, randomStream))
	p := &planner{
		random: random, order: random.Perm(gateways),
		from: run.Milliseconds() / 4, span: run.Milliseconds() / 2,
	}
	makers := map[string]func() []Event{
		"none": func() []Event { return nil }, "stall": p.stall, "late": p.late, "cut": p.cut, "loss": p.loss,
		"kill": p.kill, "roll": p.roll, "restart": p.restart, "join": p.join,
	}
	makeEvents, known := makers[name]
	if !known {
		return nil, &OptionError{"plan", fmt.Sprintf("%q is none of %v", name, Plans)}
	}
	events := makeEvents()
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Gateway, b.Gateway))
	})
	return events, nil
}

// part returns one of so many parts of the gateways, at least one of them.
func (p *planner) part(of int) []int { return p.order[:max(len(p.order)/of, 1)] }

// stall stops a third of the gateways together for 3 s, or as long as fits.
func (p *planner) stall() []Event {
	var events []Event
	for _, gateway := range p.part(3) {
		events = append(events, Event{AtMS: p.from, ForMS: min(3000, p.span), Gateway: gateway, Fault: Stop})
	}
	return events
}

// late has half of the gateways hear the others a second late.
func (p *planner) late() []Event {
	var events []Event
	for _, gateway := range p.part(2) {
		events = append(events, Event{AtMS: p.from, ForMS: p.span, Gateway: gateway, Fault: Late, Delay: 1000})
	}
	return events
}

// cut cuts a third of the gateways off, each way by itself or both.
func (p *planner) cut() []Event {
	const fromOnly, toOnly, ways = 0, 1, 3
	var events []Event
	for _, gateway := range p.part(3) {
		way := p.random.IntN(ways)
		events = append(events, Event{
			AtMS: p.from + p.random.Int64N(p.span/4+1), ForMS: p.span/4 + p.random.Int64N(p.span/2+1),
			Gateway: gateway, Fault: Cut, From: way != toOnly, To: way != fromOnly,
		})
	}
	return events
}

// loss loses datagrams of all gateways.
func (p *planner) loss() []Event {
	var events []Event
	for _, gateway := range p.order {
		events = append(events, Event{AtMS: p.from, ForMS: p.span, Gateway: gateway, Fault: Lossy})
	}
	return events
}

// kill kills a third of the gateways at once.
func (p *planner) kill() []Event {
	var events []Event
	for _, gateway := range p.part(3) {
		events = append(events, Event{
			AtMS: p.from, ForMS: 200 + p.random.Int64N(800), Gateway: gateway, Fault: Kill,
		})
	}
	return events
}

// roll kills half of the gateways, one after the other.
func (p *planner) roll() []Event {
	var events []Event
	half := p.part(2)
	for i, gateway := range half {
		events = append(events, Event{
			AtMS: p.from + p.span*int64(i)/int64(len(half)), ForMS: 100 + p.random.Int64N(200),
			Gateway: gateway, Fault: Kill,
		})
	}
	return events
}

// restart ends all gateways in order, a tenth at a time. The front sends new connections for ForMS after the signal.
func (p *planner) restart() []Event {
	var events []Event
	for i, gateway := range p.order {
		tenth := int64(i * 10 / len(p.order))
		events = append(events, Event{
			AtMS: p.from + p.span*tenth/10, ForMS: 200 + p.random.Int64N(200), Gateway: gateway, Fault: Restart,
		})
	}
	return events
}

// join shows new hosts to all gateways, to each at a time of its own.
func (p *planner) join() []Event {
	var events []Event
	for _, gateway := range p.order {
		events = append(events, Event{
			AtMS: p.from + p.random.Int64N(p.span/4+1), ForMS: 1, Gateway: gateway, Fault: Join,
		})
	}
	return events
}

// Hash identifies a plan: two runs with the same hash had the same faults.
func Hash(events []Event) (string, error) {
	b, err := json.Marshal(events)
	if err != nil {
		return "", fmt.Errorf("plan: %w", err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8]), nil
}
