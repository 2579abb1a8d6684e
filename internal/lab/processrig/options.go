package processrig

import (
	"fmt"
	"slices"
	"time"
)

// Options of a run.
type Options struct {
	Program  string
	Gateways int
	Hosts    int // in groups of Members
	Members  int
	For      time.Duration
	Seed     uint64
	Plan     string  // of faults
	Use      float64 // part of the hosts' capacity that is asked for
	Policy   string  // one of the Policy constants
	Break    string  // one of the Break constants
	Zoned    *Zoned  // nil: one zone
	Log      func(format string, args ...any)
}

// Policies.
const (
	PolicyNormal = ""       // the program as it is
	PolicyRandom = "random" // gateways tell one another nothing
	PolicyBefore = "before" // Program is another version, and the result says so
)

// What a run takes away or spoils, so that it can be seen that the checks find it.
const (
	BreakNothing     = ""
	BreakBlindHerd   = "blind-herd"   // all gateways go to the host that was told to be least loaded
	BreakSubsetFixed = "subset-fixed" // all gateways know the same part of the hosts
	BreakAbrupt      = "abrupt"       // a planned restart gives no time to end
)

// OptionError is an option that has no valid value.
type OptionError struct{ Name, Problem string }

func (e *OptionError) Error() string { return e.Name + ": " + e.Problem }

const (
	workTime     = 40 * time.Millisecond // of a request at a host, on the mean
	replicaLag   = 15 * time.Millisecond
	coresPerHost = 2
	settlingTime = 3 * time.Second // from the first request on: connections open, and reports get known
	// answerSlack is how long after its deadline an answer earns nothing. A request with a later one, or none, is lost.
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
