package processrig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"cloverrock/internal/lab/emulator"
)

// ZoneResult describes how the gateways left a failed zone and returned to it. Times are in milliseconds after the
// beginning of the first outage.
type ZoneResult struct {
	FirstLeftMS      int64 `json:"first"`    // when the first gateway left the zone
	P99LeftMS        int64 `json:"p99"`      // when 99 % of the gateways that left the zone had left it
	LastLeftMS       int64 `json:"last"`     // when the last gateway left the zone
	DepartedGateways int   `json:"gateways"` // number of gateways that left the zone
	// Steps are the shares of the zone, in hundredths, as the first gateway changed them: from leaving the zone to the
	// full return.
	Steps          []int   `json:"steps"`
	ReturnedMS     int64   `json:"return_ms"`        // when the last gateway used the full share again
	InTime         float64 `json:"in_time"`          // fraction of weight that was earned since the outage began
	ReadsWhileLeft int     `json:"reads_while_left"` // at the zone's replicas while no gateway used the zone
	LastEpoch      int     `json:"epochs"`           // highest epoch of a decision in force
	// MaxLateMS is the longest delay from the time at which a gateway was to leave the zone until it left it.
	MaxLateMS int64 `json:"late_at_most_ms"`
	// KeptShare is the highest share of the zone, in hundredths, that remained in use when a gateway left the zone.
	KeptShare          int `json:"kept"`
	SlowStartOverloads int `json:"cold_falls"` // hosts that were overloaded in slow start
	// FalseLeaves counts departures from zones that did not fail, and departures without a majority of the gateways.
	FalseLeaves         int     `json:"false_leaves"`
	FleetBytesPerSecond float64 `json:"fleet_bytes_per_gateway_s"` // of messages of joint decisions, per gateway and second

	leftAt []int64 // when each gateway left the zone; sorted by summarizeLeaving
}

// inForceLine is the line that a gateway logs when other zone shares come into force.
type inForceLine struct {
	Gateway string `json:"gateway"`
	Time    int64  `json:"time"` // Unix milliseconds
	Message string `json:"message"`
	Shares  []int  `json:"shares"` // by zone, in hundredths
	Epoch   int    `json:"epoch"`
	LateMS  int64  `json:"late_ms"` // time since the shares were to be in force
}

const (
	inForceMessage = "fleet: zone shares in force"
	fullShare      = 100
	firstGateway   = "n0"
	lateReadsMS    = 1000 // after the last gateway has left a zone: reads that were sent earlier may still arrive
)

// evaluateZones evaluates the gateways' log lines, the requests at the hosts and the clients' samples.
func (r *rig) evaluateZones(samples []emulator.Sample) (*ZoneResult, error) {
	lines, err := readInForceLines(r.logFile(0))
	if err != nil {
		return nil, err
	}
	result := &ZoneResult{
		FleetBytesPerSecond: float64(r.fleetRelay.bytes.Load()) / float64(len(r.gateways)) / r.Duration.Seconds(),
	}
	for _, host := range r.hosts {
		if host.OverloadedInSlowStart() {
			result.SlowStartOverloads++
		}
	}
	for _, ofGateway := range lines {
		r.evaluateGateway(result, ofGateway)
	}
	result.summarizeLeaving()
	if len(r.Zoned.Outages) > 0 {
		result.InTime = r.inTimeSince(r.Zoned.Outages[0], samples)
		result.ReadsWhileLeft = r.readsWhileLeft(result, r.Zoned.Outages[0])
	}
	return result, nil
}

// readInForceLines returns the lines of a log file about shares in force, by gateway and in the order of the file.
func readInForceLines(path string) (map[string][]inForceLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines := map[string][]inForceLine{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line inForceLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && strings.HasPrefix(line.Message, inForceMessage) {
			lines[line.Gateway] = append(lines[line.Gateway], line)
		}
	}
	return lines, scanner.Err()
}

// evaluateGateway adds the log lines of one gateway to the result.
func (r *rig) evaluateGateway(result *ZoneResult, lines []inForceLine) {
	left := false
	lastShare := -1
	for _, line := range lines {
		result.LastEpoch = max(result.LastEpoch, line.Epoch)
		result.FalseLeaves += r.falseLeaves(line)
		if len(r.Zoned.Outages) == 0 {
			continue
		}
		outage := r.Zoned.Outages[0]
		at := line.Time - r.start.UnixMilli() - outage.AtMS
		if r.Plan == "split" && at < outage.ForMS-cutBeforeMS {
			result.FalseLeaves++ // neither half has a majority
		}
		share := line.Shares[outage.Zone]
		if share < fullShare && !left {
			left = true
			result.KeptShare = max(result.KeptShare, share)
			result.leftAt = append(result.leftAt, at)
			result.MaxLateMS = max(result.MaxLateMS, line.LateMS)
		}
		if left && share != lastShare {
			result.addStep(line.Gateway, share, at)
			lastShare = share
		}
	}
}

// falseLeaves counts the zones whose share is reduced by a line although they do not fail in this run.
func (r *rig) falseLeaves(line inForceLine) int {
	count := 0
	for zone, share := range line.Shares {
		fails := slices.ContainsFunc(r.Zoned.Outages, func(outage Outage) bool { return outage.Zone == zone })
		if share < fullShare && !fails {
			count++
		}
	}
	return count
}

func (z *ZoneResult) addStep(gateway string, share int, at int64) {
	if gateway == firstGateway {
		z.Steps = append(z.Steps, share)
	}
	if share == fullShare {
		z.ReturnedMS = max(z.ReturnedMS, at)
	}
}

func (z *ZoneResult) summarizeLeaving() {
	slices.Sort(z.leftAt)
	z.DepartedGateways = len(z.leftAt)
	if z.DepartedGateways == 0 {
		return
	}
	z.FirstLeftMS = z.leftAt[0]
	z.P99LeftMS = z.leftAt[int(math.Ceil(float64(z.DepartedGateways)*0.99))-1]
	z.LastLeftMS = z.leftAt[z.DepartedGateways-1]
}

// inTimeSince returns the fraction of the requests' weight that was earned from the outage to the end of the run.
func (r *rig) inTimeSince(outage Outage, samples []emulator.Sample) float64 {
	var earned, possible float64
	for _, sample := range samples {
		if sample.At.Sub(r.start).Milliseconds() > outage.AtMS {
			earned += sample.EarnedWeight()
			possible += sample.Weight()
		}
	}
	return earned / max(possible, 1)
}

// readsWhileLeft counts the requests that arrive at the zone's replicas from lateReadsMS after the last gateway has left
// the zone to the end of the outage.
func (r *rig) readsWhileLeft(result *ZoneResult, outage Outage) int {
	if result.DepartedGateways == 0 {
		return 0
	}
	reads := 0
	for i, log := range r.logs {
		if i%r.Zoned.Zones != outage.Zone || r.isPrimary(i) {
			continue
		}
		for _, arrived := range log.arrivals {
			at := arrived.at.Milliseconds() - outage.AtMS
			if at > result.LastLeftMS+lateReadsMS && at < outage.ForMS {
				reads++
			}
		}
	}
	return reads
}

// FaultFarApart is the name of the only check whose outcome depends on the speed of the machine.
const FaultFarApart = "gateways left the zone far apart"

// maxDepartureSpreadMS is the maximum time between FirstLeftMS and P99LeftMS.
const maxDepartureSpreadMS = 500

// failedPlanChecks returns the names of the checks that a run with the plan failed, sorted.
func (z *ZoneResult) failedPlanChecks(plan string, gateways int) []string {
	// Plan "split" is not listed because after the cut the gateways may find that the outage is over.
	leaves := !slices.Contains([]string{"none", "host", "group", "partial", "split"}, plan)
	leavesTogether := slices.Contains([]string{"lost", "flap", "two"}, plan)
	returned := len(z.Steps) > 0 && z.Steps[len(z.Steps)-1] == fullShare
	steps := fmt.Sprint(z.Steps)
	return failedChecks(map[string]bool{
		"hosts were overloaded in slow start":                    z.SlowStartOverloads > 0,
		"zones were left that did not fail, or without a quorum": z.FalseLeaves > 0,
		"not all gateways left the zone":                         leaves && z.DepartedGateways < gateways,
		FaultFarApart:                                            leavesTogether && z.P99LeftMS-z.FirstLeftMS > maxDepartureSpreadMS,
		"reads were sent to a zone that was left":                z.KeptShare == 0 && z.ReadsWhileLeft > gateways,
		"left completely without enough capacity elsewhere":      plan == "full" && z.KeptShare == 0,
		"the zone was not returned to":                           leaves && plan != "flap" && !returned,
		"the return did not follow its steps":                    plan == "lost" && steps != "[0 2 5 10 20 40 70 100]",
	})
}
