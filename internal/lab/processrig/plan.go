// Package processrig plays many real processes of the gateway before stand-in hosts, with faults in them and between them, and
// measures from outside how their load falls on the hosts.
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

// The faults. A stop is by SIGSTOP, and ends by SIGCONT; a kill ends by a new start.
const (
	Stop    Fault = "stop"
	Kill    Fault = "kill"
	Restart Fault = "restart" // SIGTERM, SIGKILL where the program goes on for longer than it may, and a new start
	Cut     Fault = "cut"     // nothing comes from the gateway, or nothing to it, or both
	Late    Fault = "late"    // what comes to the gateway takes longer
	Lossy   Fault = "lossy"   // one datagram in five to the gateway is lost, one in twenty comes twice
	Join    Fault = "join"    // the gateway's list shows the last host of each group, which was not in it
)

// Event is one fault.
type Event struct {
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
	Gate  int   `json:"gateway"`
	Fault Fault `json:"fault"`
	From  bool  `json:"from,omitempty"` // a cut of what the gateway sends
	To    bool  `json:"to,omitempty"`   // and of what goes to it
	Delay int64 `json:"delay_ms,omitempty"`
}

// Plans are the names that MakePlan takes.
var Plans = []string{"none", "stall", "late", "cut", "loss", "kill", "roll", "restart", "join"}

// MakePlan returns the faults of a run by name. The same arguments give the same events.
func MakePlan(name string, seed uint64, gateways int, run time.Duration) ([]Event, error) {
	r := rand.New(rand.NewPCG(seed, 23))
	order := r.Perm(gateways)
	from, span := run.Milliseconds()/4, run.Milliseconds()/2 // faults lie in the middle half
	third := order[:max(gateways/3, 1)]
	var events []Event
	switch name {
	case "none":
	case "stall": // a third stands still together for 3 s, or as long as fits
		for _, g := range third {
			events = append(events, Event{AtMS: from, ForMS: min(3000, span), Gate: g, Fault: Stop})
		}
	case "late": // half hears the others a second late
		for _, g := range order[:max(gateways/2, 1)] {
			events = append(events, Event{AtMS: from, ForMS: span, Gate: g, Fault: Late, Delay: 1000})
		}
	case "cut": // each way by itself, or both
		for _, g := range third {
			way := r.IntN(3)
			events = append(events, Event{AtMS: from + r.Int64N(span/4+1), ForMS: span/4 + r.Int64N(span/2+1), Gate: g, Fault: Cut, From: way != 1, To: way != 0})
		}
	case "loss":
		for _, g := range order {
			events = append(events, Event{AtMS: from, ForMS: span, Gate: g, Fault: Lossy})
		}
	case "kill": // at once
		for _, g := range third {
			events = append(events, Event{AtMS: from, ForMS: 200 + r.Int64N(800), Gate: g, Fault: Kill})
		}
	case "roll": // half, one after the other
		half := order[:max(gateways/2, 1)]
		for i, g := range half {
			events = append(events, Event{AtMS: from + span*int64(i)/int64(len(half)), ForMS: 100 + r.Int64N(200), Gate: g, Fault: Kill})
		}
	case "restart": // all, a tenth at a time; the front sends new connections for so long after the signal
		for i, g := range order {
			tenth := int64(i * 10 / len(order))
			events = append(events, Event{AtMS: from + span*tenth/10, ForMS: 200 + r.Int64N(200), Gate: g, Fault: Restart})
		}
	case "join": // everybody hears of the new hosts, each in its own time
		for _, g := range order {
			events = append(events, Event{AtMS: from + r.Int64N(span/4+1), ForMS: 1, Gate: g, Fault: Join})
		}
	default:
		return nil, fmt.Errorf("plan %q is none of %v", name, Plans)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Gate, b.Gate)) })
	return events, nil
}

// Hash names a plan: two runs with one hash had the same faults.
func Hash(events []Event) (string, error) {
	b, err := json.Marshal(events)
	if err != nil {
		return "", fmt.Errorf("plan: %w", err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8]), nil
}
