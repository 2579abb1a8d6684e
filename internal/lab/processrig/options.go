package processrig

import (
	"fmt"
	"slices"
	"time"
)

// Options describes a run.
type Options struct {
	Program     string // path of the gateway's program
	Gateways    int
	Hosts       int // in groups of Members; a remainder is not started
	Members     int // hosts of a group, including its primary
	Duration    time.Duration
	Seed        uint64
	Plan        string                           // name of a fault plan, from Plans, or from ZonePlans if Zoned is set
	Utilization float64                          // load as a fraction of the capacity of all hosts
	Policy      string                           // one of the Policy constants
	Defect      string                           // one of the Break constants
	Zoned       *Zoned                           // nil: one zone
	Log         func(format string, args ...any) // nil: nothing is logged
}

// Values of Options.Policy.
const (
	PolicyNormal       = ""       // the program as it is
	PolicyRandom       = "random" // gateways send no gossip
	PolicyOtherVersion = "before" // Program is another version, which the result records
)

// Values of Options.Defect: deliberate defects, which show that the checks of a run detect them.
const (
	BreakNone        = ""
	BreakBlindHerd   = "blind-herd"   // gossip reports all replicas but one as overloaded, so all gateways use that one
	BreakSubsetFixed = "subset-fixed" // the endpoint lists of all gateways lack the same hosts
	BreakAbrupt      = "abrupt"       // planned restarts use SIGKILL instead of a graceful shutdown
)

// OptionError reports an option with an invalid value.
type OptionError struct{ Name, Problem string }

func (e *OptionError) Error() string { return e.Name + ": " + e.Problem }

const (
	meanServiceTime = 40 * time.Millisecond // mean time that a host works on a request
	replicaLag      = 15 * time.Millisecond
	coresPerHost    = 2
	settlingTime    = 3 * time.Second // after the first request, until connections are open and hosts have reported
	// answerSlack is how long after its deadline an answer is still awaited. Such an answer earns no weight. A request
	// that has no answer by then is lost.
	answerSlack = 500 * time.Millisecond
	// nearCapacityUse is Options.Utilization in plan "full": too much for the remaining zones to serve without the failed zone.
	nearCapacityUse = 0.8
)

func (o *Options) check() error {
	valid := o.Gateways >= 1 && o.Members >= 2 && o.Hosts >= o.Members && o.Duration >= 2*settlingTime && o.Utilization > 0
	if !valid {
		problem := fmt.Sprintf("expected at least 1 gateway, 1 group of 2 hosts, %v and a load above 0", 2*settlingTime)
		return &OptionError{"options", problem}
	}
	if !slices.Contains([]string{BreakNone, BreakBlindHerd, BreakSubsetFixed, BreakAbrupt}, o.Defect) {
		return &OptionError{"break", fmt.Sprintf("%q is unknown; expected blind-herd, subset-fixed or abrupt", o.Defect)}
	}
	if !slices.Contains([]string{PolicyNormal, PolicyRandom, PolicyOtherVersion}, o.Policy) {
		return &OptionError{"policy", fmt.Sprintf("%q is unknown; expected random or before", o.Policy)}
	}
	return nil
}
