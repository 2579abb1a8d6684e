package processrig

import (
	"fmt"
	"slices"
	"time"
)

// Options of a run.
type Options struct {
	Program  string // path of the gateway's program
	Gateways int
	Hosts    int // in groups of Members
	Members  int
	For      time.Duration
	Seed     uint64
	Plan     string                           // of faults
	Use      float64                          // load as a part of the hosts' capacity
	Policy   string                           // one of the Policy constants
	Break    string                           // one of the Break constants
	Zoned    *Zoned                           // nil: one zone
	Log      func(format string, args ...any) // nil: nothing is logged
}

// Policies.
const (
	PolicyNormal = ""       // the program as it is
	PolicyRandom = "random" // gateways send no gossip
	PolicyBefore = "before" // Program is another version, which the result records
)

// Deliberate defects of a run, to show that the checks find them.
const (
	BreakNothing     = ""
	BreakBlindHerd   = "blind-herd"   // all gateways use the host reported as least loaded
	BreakSubsetFixed = "subset-fixed" // all gateways have the same part of the hosts in their lists
	BreakAbrupt      = "abrupt"       // a planned restart allows no graceful shutdown
)

// OptionError reports an option with an invalid value.
type OptionError struct{ Name, Problem string }

func (e *OptionError) Error() string { return e.Name + ": " + e.Problem }

const (
	workTime     = 40 * time.Millisecond // of a request at a host, on the mean
	replicaLag   = 15 * time.Millisecond
	coresPerHost = 2
	settlingTime = 3 * time.Second // from the first request on, until connections are open and hosts have reported
	// answerSlack is how long after its deadline an answer is still awaited; it earns nothing. A request without an answer
	// by then is lost.
	answerSlack = 500 * time.Millisecond
	// nearCapacity is the use of plan "full", at which the other zones cannot bear the load of one that is left.
	nearCapacity = 0.8
)

func (o *Options) check() error {
	enough := o.Gateways >= 1 && o.Members >= 2 && o.Hosts >= o.Members && o.For >= 2*settlingTime && o.Use > 0
	if !enough {
		problem := fmt.Sprintf("a run wants a gateway, groups of two hosts, %v and some load", 2*settlingTime)
		return &OptionError{"options", problem}
	}
	if !slices.Contains([]string{BreakNothing, BreakBlindHerd, BreakSubsetFixed, BreakAbrupt}, o.Break) {
		return &OptionError{"break", fmt.Sprintf("%q: there are blind-herd, subset-fixed and abrupt", o.Break)}
	}
	if !slices.Contains([]string{PolicyNormal, PolicyRandom, PolicyBefore}, o.Policy) {
		return &OptionError{"policy", fmt.Sprintf("%q: there are random and before", o.Policy)}
	}
	return nil
}
