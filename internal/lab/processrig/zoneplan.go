package processrig

import (
	"context"
	"fmt"
	"time"

	"cloverrock/internal/lab/emulator"
)

// Zoned describes a run with zones: each host and gateway is in a zone, and the gateways decide together which zones to
// use.
type Zoned struct {
	Zones   int
	Alone   bool     // each gateway decides for itself
	StepMS  int      // of the return to a zone
	Break   string   // "quorum", "pace", "capacity": the rule that the gateways skip; empty: none
	Outages []Outage // of zones; set by the plan
	// SilentHosts is the number of hosts of the first group that stop answering instead of a zone; set by the plan.
	SilentHosts int
	// SecondAddresses gives every second gateway other addresses of the hosts; only at those the hosts stop answering. Set
	// by the plan.
	SecondAddresses bool
}

// Outage is a zone's: its hosts take requests and answer none, and come back in slow start.
type Outage struct {
	Zone  int   `json:"zone"`
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
}

// ZonePlans are the names of the plans for runs with zones.
var ZonePlans = []string{
	"none", "host", "group", "lost", "loss", "flap", "two", "stall", "split", "cutoff", "partial", "full",
}

const (
	// warmingTime is how long the slow start of a host that came back takes.
	warmingTime = 4 * time.Second

	slowStartShare  = 0.25
	overloadFactor  = 4
	overloadWindow  = 1500 * time.Millisecond
	secondOutageMS  = 3000
	returnMiddleMS  = 9000 // from the end of an outage to the middle of the return
	stallMS         = 5000
	cutBeforeMS     = 500 // from the beginning of a cut to the outage
	stallBeforeMS   = 200 // from the beginning of a stall to the outage
	stalledOneOf    = 3   // one gateway in three of each zone is stalled
	outageStartPart = 6   // an outage begins after a sixth of the run
	outagePart      = 5   // and takes a fifth of it
	splitPart       = 2   // or half of it in a split: long enough for each half to consider the other down
)

// planZones sets the outages, the faults of gateways and the cuts between gateways by the plan's name.
func (r *rig) planZones() error {
	zoned := r.Zoned
	from := r.For.Milliseconds() / outageStartPart
	duration := r.For.Milliseconds() / outagePart
	if r.Plan == "split" {
		duration = r.For.Milliseconds() / splitPart
	}
	lost := Outage{0, from, duration}
	r.cut = func(time.Duration, int, int) bool { return false }
	switch r.Plan {
	case "none":
	case "host":
		zoned.SilentHosts = 1
	case "group":
		zoned.SilentHosts = r.Members - 1
	case "partial":
		zoned.SecondAddresses = true
	case "lost", "loss": // with "loss", one datagram in five between gateways is lost as well
		zoned.Outages = []Outage{lost}
	case "full":
		zoned.Outages = []Outage{lost}
		r.Use = nearCapacity
	case "flap": // the zone fails again in the middle of the return
		zoned.Outages = []Outage{lost, {0, from + duration + returnMiddleMS, secondOutageMS}}
	case "two":
		zoned.Outages = []Outage{lost, {1, from, duration}}
	case "stall":
		zoned.Outages = []Outage{lost}
		r.events = stallAcross(from, r.Gateways, zoned.Zones)
	case "split": // the two halves of the gateways are cut off from each other
		zoned.Outages = []Outage{lost}
		r.cut = cutBetween(lost, func(gateway int) bool { return gateway%2 == 0 })
	case "cutoff": // the gateways of the zone are cut off with it
		zoned.Outages = []Outage{lost}
		r.cut = cutBetween(lost, func(gateway int) bool { return gateway%zoned.Zones == 0 })
	default:
		return &OptionError{"plan", fmt.Sprintf("%q is none of %v", r.Plan, ZonePlans)}
	}
	return nil
}

// stallAcross stops a third of the gateways, of each zone alike, across the moment at which the zone is left.
func stallAcross(from int64, gateways, zones int) []Event {
	var events []Event
	for gateway := range gateways {
		if gateway/zones%stalledOneOf == 1 {
			events = append(events, Event{AtMS: from - stallBeforeMS, ForMS: stallMS, Gateway: gateway, Fault: Stop})
		}
	}
	return events
}

// cutBetween cuts the gateways of a side off from the others during an outage.
func cutBetween(outage Outage, side func(gateway int) bool) cutFunc {
	return func(at time.Duration, from, to int) bool {
		begun := at.Milliseconds() >= outage.AtMS-cutBeforeMS
		ended := at.Milliseconds() >= outage.AtMS+outage.ForMS
		return begun && !ended && side(from) != side(to)
	}
}

// hostOutages returns the outages that the hosts play: those of zones, or the one of single hosts or addresses.
func (r *rig) hostOutages() []Outage {
	if r.Zoned.SilentHosts > 0 || r.Zoned.SecondAddresses {
		return []Outage{{0, r.For.Milliseconds() / outageStartPart, r.For.Milliseconds() / outagePart}}
	}
	return r.Zoned.Outages
}

// playOutage has hosts stop answering, at all addresses or at the second ones, and recover.
func (r *rig) playOutage(ctx context.Context, outage Outage) {
	if !r.sleepUntil(ctx, outage.AtMS) {
		return
	}
	duration := time.Duration(outage.ForMS) * time.Millisecond
	affected := r.affectedHosts(outage)
	if r.Zoned.SecondAddresses {
		for _, host := range affected {
			host.SilenceSecond(true)
		}
		sleep(ctx, duration)
		for _, host := range affected {
			host.SilenceSecond(false)
		}
		return
	}
	for _, host := range affected {
		host.SetHanging(true)
	}
	sleep(ctx, duration)
	capacity := float64(coresPerHost) / workTime.Seconds()
	for _, host := range affected {
		host.BeginSlowStart(emulator.SlowStart{
			Duration: warmingTime, InitialShare: slowStartShare, Capacity: capacity,
			OverloadFactor: overloadFactor, Window: overloadWindow,
		})
		host.SetHanging(false)
	}
}

func (r *rig) affectedHosts(outage Outage) []*emulator.Host {
	var affected []*emulator.Host
	for i, host := range r.hosts {
		inZone := r.Zoned.SilentHosts == 0 && i%r.Zoned.Zones == outage.Zone
		single := i > 0 && i <= r.Zoned.SilentHosts
		if inZone || single {
			affected = append(affected, host)
		}
	}
	return affected
}
