package processrig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cloverrock/internal/lab/emulator"
)

// Zoned is what a run with zones adds: hosts and gateways lie in zones, and the gateways decide together which they use.
type Zoned struct {
	Zones  int
	Alone  bool     // the gateways decide each for itself
	StepMS int      // of a return
	Break  string   // "quorum", "pace", "capacity": what the gateways are to do without
	Bad    []Outage // when zones fail
	Hosts  int      // so many hosts of the first group fall silent, and no zone does
	Doors  bool     // every second gateway has another way to the hosts, and only that falls silent
}

// Outage is a zone's: its hosts take what comes and say nothing, and come back cold.
type Outage struct {
	Zone  int   `json:"zone"`
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
}

// ZonePlans are the names that ZonePlan takes.
var ZonePlans = []string{"none", "host", "group", "lost", "loss", "flap", "two", "stall", "split", "cutoff", "partial", "full"}

// coldFor is how long a host that came back takes to be warm.
const coldFor = 4 * time.Second

// ZonePlan returns the outages of a run by name, what happens to gateways, and who hears whom.
func ZonePlan(name string, gateways, zones int, run time.Duration) (bad []Outage, events []Event, cut func(at time.Duration, from, to int) bool, err error) {
	from, long := run.Milliseconds()/6, run.Milliseconds()/5
	if name == "split" { // long enough for each half to take the other for dead
		long = run.Milliseconds() / 2
	}
	within := func(at time.Duration) bool { return at.Milliseconds() >= from-500 && at.Milliseconds() < from+long }
	cut = func(time.Duration, int, int) bool { return false }
	lost := Outage{0, from, long}
	switch name {
	case "none", "host", "group", "partial":
	case "lost", "loss", "full": // of the second, one datagram in five between gateways is lost as well; of the third, the others bear four fifths
		bad = []Outage{lost}
	case "flap": // and again in the middle of the return
		bad = []Outage{lost, {0, from + long + 9000, 3000}}
	case "two":
		bad = []Outage{lost, {1, from, long}}
	case "stall": // a third of the gateways stands still across the moment of leaving
		bad = []Outage{lost}
		for i := range gateways {
			if i/zones%3 == 1 { // of each zone alike
				events = append(events, Event{AtMS: from - 200, ForMS: 5000, Gate: i, Fault: Stop})
			}
		}
	case "split": // neither half hears the other
		bad = []Outage{lost}
		cut = func(at time.Duration, a, b int) bool { return within(at) && a%2 != b%2 }
	case "cutoff": // the gateways of the zone are cut off with it
		bad = []Outage{lost}
		cut = func(at time.Duration, a, b int) bool { return within(at) && (a%zones == 0) != (b%zones == 0) }
	default:
		err = fmt.Errorf("plan %q is none of %v", name, ZonePlans)
	}
	return bad, events, cut, err
}

// Left is what the gateways did about a zone.
type Left struct {
	FirstMS   int64   `json:"first"` // after the outage began
	P99MS     int64   `json:"p99"`
	LastMS    int64   `json:"last"`
	Gateways  int     `json:"gateways"` // that left it
	Steps     []int   `json:"steps"`    // of the return, as the first gateway took them
	ReturnMS  int64   `json:"return_ms"`
	InTime    float64 `json:"in_time"` // of the requests from the outage to the end
	Reads     int     `json:"reads_while_left"`
	Agreed    int     `json:"epochs"`
	LateAtMS  int64   `json:"late_at_most_ms"`
	Kept      int     `json:"kept"` // the share that was kept when it was left
	ColdFalls int     `json:"cold_falls"`
	False     int     `json:"false_leaves"` // of zones that did not fail, or by gateways that see less than half of the others
	Bytes     float64 `json:"fleet_bytes_per_gateway_s"`
}

// inForce is a gateway's line.
type inForce struct {
	Gateway string `json:"gateway"`
	Time    int64  `json:"time"`
	Message string `json:"message"`
	Shares  []int  `json:"shares"`
	Epoch   int    `json:"epoch"`
	Late    int64  `json:"late_ms"`
}

// settingsFile writes what turns the part on for a gateway.
func (t *stage) settingsFile(i int) (string, error) {
	z := map[string]any{"away_ms": 3000, "step_ms": t.Zoned.StepMS, "delay_ms": 500}
	if t.Zoned.Break != "" {
		z["without"] = []string{t.Zoned.Break}
	}
	var join []string
	for o := range min(3, len(t.gates)) {
		join = append(join, t.gates[o].fleet)
	}
	b, err := json.Marshal(map[string]any{"fleet": map[string]any{"listen": t.gates[i].fleet, "join": join, "relay": t.post.door(i), "zones": z}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(t.dir, fmt.Sprintf("%d-settings.json", i))
	return path, os.WriteFile(path, b, 0o600)
}

// outage has a zone's hosts fall silent, and come back cold.
func (t *stage) outage(o Outage, wait func(time.Duration) bool) {
	if !wait(time.Until(t.began.Add(time.Duration(o.AtMS) * time.Millisecond))) {
		return
	}
	each := func(f func(*emulator.Host)) {
		for i, h := range t.hosts {
			if t.Zoned.Hosts == 0 && i%t.Zoned.Zones == o.Zone || i > 0 && i <= t.Zoned.Hosts {
				f(h)
			}
		}
	}
	if t.Zoned.Doors {
		each(func(h *emulator.Host) { h.SilenceSecond(true) })
		wait(time.Duration(o.ForMS) * time.Millisecond)
		each(func(h *emulator.Host) { h.SilenceSecond(false) })
		return
	}
	each(func(h *emulator.Host) { h.SetHanging(true) })
	wait(time.Duration(o.ForMS) * time.Millisecond)
	each(func(h *emulator.Host) {
		h.StartCold(coldFor, 0.25, float64(cores)/work.Seconds(), 4, 1500*time.Millisecond)
		h.SetHanging(false)
	})
}

// judgeZones reads what the gateways did from their lines, and what came of it from the hosts and clients.
func (t *stage) judgeZones(samples []emulator.Sample) (*Left, error) {
	l := &Left{Bytes: float64(t.post.bytes.Load()) / float64(len(t.gates)) / t.For.Seconds()}
	for _, h := range t.hosts {
		if h.PushedOver() {
			l.ColdFalls++
		}
	}
	f, err := os.Open(filepath.Join(t.dir, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	lines := map[string][]inForce{}
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var line inForce
		if json.Unmarshal(sc.Bytes(), &line) == nil && strings.HasPrefix(line.Message, "in force") {
			lines[line.Gateway] = append(lines[line.Gateway], line)
		}
	}
	failed := map[int]bool{}
	for _, o := range t.Zoned.Bad {
		failed[o.Zone] = true
	}
	zero := t.began.UnixMilli()
	var at []int64
	for _, all := range lines {
		left, was := false, -1
		for _, line := range all {
			l.Agreed = max(l.Agreed, line.Epoch)
			for zone, share := range line.Shares {
				if share < 100 && !failed[zone] {
					l.False++
				}
			}
			if len(t.Zoned.Bad) == 0 {
				continue
			}
			o := t.Zoned.Bad[0]
			ms := line.Time - zero - o.AtMS
			if t.Plan == "split" && ms < o.ForMS-500 {
				l.False++ // neither half is more than half
			}
			if line.Shares[o.Zone] < 100 && !left {
				left = true
				l.Kept = max(l.Kept, line.Shares[o.Zone])
				at = append(at, ms)
				l.LateAtMS = max(l.LateAtMS, line.Late)
			}
			if share := line.Shares[o.Zone]; left && share != was {
				if line.Gateway == "n0" {
					l.Steps = append(l.Steps, share)
				}
				if was = share; share == 100 {
					l.ReturnMS = max(l.ReturnMS, ms)
				}
			}
		}
	}
	slices.Sort(at)
	if l.Gateways = len(at); len(at) > 0 {
		l.FirstMS, l.P99MS, l.LastMS = at[0], at[int(math.Ceil(float64(len(at))*0.99))-1], at[len(at)-1]
	}
	if len(t.Zoned.Bad) > 0 {
		o := t.Zoned.Bad[0]
		var earned, asked float64
		for _, s := range samples {
			if s.At.Sub(t.began).Milliseconds() > o.AtMS {
				earned, asked = earned+s.EarnedWeight(), asked+s.Weight()
			}
		}
		l.InTime = earned / max(asked, 1)
		for i, h := range t.logs {
			for _, a := range h.all {
				// From a second after the last has left to the end of the outage; what asks a primary is not counted.
				if ms := a.at.Milliseconds() - o.AtMS; i%t.Zoned.Zones == o.Zone && i%t.Members > 0 && len(at) > 0 && ms > l.LastMS+1000 && ms < o.ForMS {
					l.Reads++
				}
			}
		}
	}
	return l, nil
}

// FarApart is the one fault that depends on how fast the machine is.
const FarApart = "gateways left the zone far apart"

// faults names what must not be.
func (l *Left) faults(plan string, gateways int, alone bool) (faults []string) {
	if alone {
		return nil
	}
	leaves := plan != "none" && plan != "host" && plan != "group" && plan != "partial" && plan != "split" // healed, the halves may find that it is over
	returned := len(l.Steps) > 0 && l.Steps[len(l.Steps)-1] == 100
	steps := fmt.Sprint(l.Steps)
	for what, bad := range map[string]bool{
		"cold hosts were pushed over":                            l.ColdFalls > 0,
		"zones were left that did not fail, or without a quorum": l.False > 0,
		"not all gateways left the zone":                         leaves && l.Gateways < gateways,
		"gateways left the zone far apart":                       (plan == "lost" || plan == "flap" || plan == "two") && l.P99MS-l.FirstMS > 500,
		"reads went on to a zone that was left":                  l.Kept == 0 && l.Reads > gateways,
		"left whole, though the others do not bear it":           plan == "full" && l.Kept == 0,
		"the zone was not returned to":                           leaves && plan != "flap" && !returned,
		"the return was not by its steps":                        plan == "lost" && steps != "[0 2 5 10 20 40 70 100]",
	} {
		if bad {
			faults = append(faults, what)
		}
	}
	return faults
}
