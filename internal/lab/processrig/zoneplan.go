package processrig

import (
	"context"
	"fmt"
	"time"

	"cloverrock/internal/lab/emulator"
)

// Zoned describes a run with zones. Each host and each gateway is in a zone. The gateways decide together which zones
// to use, unless Alone is set.
type Zoned struct {
	Zones       int
	DecideAlone bool     // each gateway decides for itself
	StepMS      int      // time between two steps of the return to a zone
	SkippedRule string   // rule that the gateways skip: "quorum", "pace" or "capacity"; empty: none
	Outages     []Outage // of zones; set by the plan
	// HangingHosts is the number of replicas of the first group that stop answering, instead of the hosts of a zone;
	// set by the plan.
	HangingHosts int
	// SecondAddresses gives the gateways with odd numbers a second address of each host. During the outage the hosts
	// stop answering at the second addresses only. Set by the plan.
	SecondAddresses bool
}

// Outage is an outage of a zone: its hosts receive requests but do not answer them. Afterwards they are in slow start.
type Outage struct {
	Zone  int   `json:"zone"`
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
}

// ZonePlans lists the plan names for runs with zones.
var ZonePlans = []string{
	"none", "host", "group", "lost", "loss", "flap", "two", "stall", "split", "cutoff", "partial", "full",
}

const (
	// slowStartTime is the duration of the slow start of a host after an outage.
	slowStartTime = 4 * time.Second

	slowStartInitialShare = 0.25
	overloadFactor        = 4
	overloadWindow        = 1500 * time.Millisecond
	secondOutageMS        = 3000
	returnMiddleMS        = 9000 // from the end of an outage to the middle of the return
	stallMS               = 5000
	cutBeforeMS           = 500 // from the beginning of a cut to the outage
	stallBeforeMS         = 200 // from the beginning of a stall to the outage
	stalledOneIn          = 3   // one gateway in three of each zone is stopped
	outageStartDivisor    = 6   // an outage begins after a sixth of the run
	outageDivisor         = 5   // an outage lasts a fifth of the run,
	splitOutageDivisor    = 2   // or half of it in plan "split", so that each half of the gateways considers the other down
)

// planZones sets the outages, the faults of gateways and the cuts between gateways for the plan.
func (r *rig) planZones() error {
	zoned := r.Zoned
	from := r.Duration.Milliseconds() / outageStartDivisor
	duration := r.Duration.Milliseconds() / outageDivisor
	if r.Plan == "split" {
		duration = r.Duration.Milliseconds() / splitOutageDivisor
	}
	zoneOutage := Outage{0, from, duration}
	r.isCut = func(time.Duration, int, int) bool { return false }
	switch r.Plan {
	case "none":
	case "host":
		zoned.HangingHosts = 1
	case "group":
		zoned.HangingHosts = r.Members - 1
	case "partial":
		zoned.SecondAddresses = true
	case "lost", "loss": // with "loss", one datagram in five between gateways is lost as well
		zoned.Outages = []Outage{zoneOutage}
	case "full":
		zoned.Outages = []Outage{zoneOutage}
		r.Utilization = nearCapacityUse
	case "flap": // the zone fails again in the middle of the return to it
		zoned.Outages = []Outage{zoneOutage, {0, from + duration + returnMiddleMS, secondOutageMS}}
	case "two":
		zoned.Outages = []Outage{zoneOutage, {1, from, duration}}
	case "stall":
		zoned.Outages = []Outage{zoneOutage}
		r.events = stallsDuringDeparture(from, r.Gateways, zoned.Zones)
	case "split": // the two halves of the gateways are cut off from each other
		zoned.Outages = []Outage{zoneOutage}
		r.isCut = cutBetween(zoneOutage, func(gateway int) bool { return gateway%2 == 0 })
	case "cutoff": // the gateways of the failed zone are cut off from the others
		zoned.Outages = []Outage{zoneOutage}
		r.isCut = cutBetween(zoneOutage, func(gateway int) bool { return gateway%zoned.Zones == 0 })
	default:
		return &OptionError{"plan", fmt.Sprintf("%q is unknown; expected one of %v", r.Plan, ZonePlans)}
	}
	return nil
}

// stallsDuringDeparture stops a third of the gateways of each zone, from before the outage until after the others have
// left the zone.
func stallsDuringDeparture(from int64, gateways, zones int) []Event {
	var events []Event
	for gateway := range gateways {
		if gateway/zones%stalledOneIn == 1 {
			events = append(events, Event{AtMS: from - stallBeforeMS, ForMS: stallMS, Gateway: gateway, Fault: Stop})
		}
	}
	return events
}

// cutBetween cuts the gateways of one side off from the others, from cutBeforeMS before the outage until its end.
func cutBetween(outage Outage, side func(gateway int) bool) cutFunc {
	return func(at time.Duration, from, to int) bool {
		hasBegun := at.Milliseconds() >= outage.AtMS-cutBeforeMS
		hasEnded := at.Milliseconds() >= outage.AtMS+outage.ForMS
		return hasBegun && !hasEnded && side(from) != side(to)
	}
}

// plannedOutages returns the outages of hosts: those of zones, or the single one of some hosts or of the second
// addresses.
func (r *rig) plannedOutages() []Outage {
	if r.Zoned.HangingHosts > 0 || r.Zoned.SecondAddresses {
		return []Outage{{0, r.Duration.Milliseconds() / outageStartDivisor, r.Duration.Milliseconds() / outageDivisor}}
	}
	return r.Zoned.Outages
}

// simulateOutage makes the affected hosts stop answering, at all their addresses or only at the second ones, and makes
// them answer again after the outage.
func (r *rig) simulateOutage(ctx context.Context, outage Outage) {
	if !r.sleepUntil(ctx, outage.AtMS) {
		return
	}
	duration := time.Duration(outage.ForMS) * time.Millisecond
	affected := r.affectedHosts(outage)
	if r.Zoned.SecondAddresses {
		for _, host := range affected {
			host.SetSecondAddressSilent(true)
		}
		sleep(ctx, duration)
		for _, host := range affected {
			host.SetSecondAddressSilent(false)
		}
		return
	}
	for _, host := range affected {
		host.SetHanging(true)
	}
	sleep(ctx, duration)
	capacity := float64(coresPerHost) / meanServiceTime.Seconds()
	for _, host := range affected {
		host.BeginSlowStart(emulator.SlowStart{
			Duration: slowStartTime, InitialShare: slowStartInitialShare, Capacity: capacity,
			OverloadFactor: overloadFactor, Window: overloadWindow,
		})
		host.SetHanging(false)
	}
}

func (r *rig) affectedHosts(outage Outage) []*emulator.Host {
	var affected []*emulator.Host
	for i, host := range r.hosts {
		inZone := r.Zoned.HangingHosts == 0 && i%r.Zoned.Zones == outage.Zone
		single := i > 0 && i <= r.Zoned.HangingHosts
		if inZone || single {
			affected = append(affected, host)
		}
	}
	return affected
}
