package zonefailover_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
	"cloverrock/internal/golden"
	"cloverrock/internal/zonefailover"
)

// This file compares the decisions of the package with recorded ones: it makes a fixed sequence of random calls and
// compares a hash of all results with the one in testdata/decisions.txt. A change that must not alter decisions leaves
// the hashes as they are. One that does alter them runs the test with -update and states why.

const goldenFile = "decisions.txt"

const second = int64(1e6)

var (
	kindVotes   crdt.Kind = 1
	kindDecided crdt.Kind = 2
)

// gateway is one gateway with its evidence collector and its zone failover state.
type gateway struct {
	name     string
	state    *crdt.State
	evidence *zonefailover.EvidenceCollector
	zones    *zonefailover.State
}

// fleet is a set of gateways that use zones which fail and recover.
type fleet struct {
	random       *rand.Rand
	now          int64
	conf         zonefailover.Config
	gateways     []*gateway
	failing      []float64 // fraction of the attempts that fail, by zone
	latencyShare []float64 // response time as a share of the latency objective, by zone
	results      *golden.Hash
}

func newFleet(conf zonefailover.Config, seed uint64) *fleet {
	f := &fleet{
		random:       rand.New(rand.NewPCG(2027, seed)),
		now:          1_700_000_000 * second,
		conf:         conf,
		results:      golden.NewHash(),
		failing:      make([]float64, len(conf.Zones)),
		latencyShare: make([]float64, len(conf.Zones)),
	}
	kinds := map[crdt.Kind]crdt.KindConfig{
		kindVotes:   {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 64},
		kindDecided: {Name: "decided", Rule: crdt.HighestEpoch, TTL: 60 * second, MaxValueSize: 80},
	}
	for i := range 9 {
		conf.OwnZone = i%(len(conf.Zones)+1) - 1
		name := "n" + strconv.Itoa(i)
		state := crdt.New(crdt.Config{Self: name, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: kinds})
		participant := agreement.New(agreement.Config{
			Self:          name,
			VoteKind:      kindVotes,
			DecisionKind:  kindDecided,
			EffectDelay:   second,
			ProposerDelay: second / 5,
			VoteTTL:       30 * second,
			DecisionTTL:   60 * second,
			RequireQuorum: true,
		}, state)
		collector := zonefailover.NewEvidenceCollector(zonefailover.EvidenceConfig{
			Zones:            len(conf.Zones),
			Window:           3 * second,
			MinHosts:         3,
			MinFailingGroups: 2,
			FailingShare:     0.6,
		})
		f.gateways = append(f.gateways, &gateway{name, state, collector, zonefailover.New(conf, participant)})
	}
	return f
}

func (f *fleet) chance(probability float64) bool { return f.random.Float64() < probability }

// observe adds observations of attempts and health checks at a gateway.
func (f *fleet) observe(g *gateway) {
	for range 30 {
		zone := f.random.IntN(len(f.conf.Zones))
		host := f.random.IntN(8)
		observation := zonefailover.Observation{
			Host:        "host" + strconv.Itoa(zone*8+host),
			Zone:        zone,
			Group:       int64(host % 4),
			Failed:      f.chance(f.failing[zone]),
			HealthCheck: f.chance(0.2),
			At:          f.now - int64(f.random.IntN(int(second/5))),
		}
		if f.chance(0.9) {
			observation.LatencyShare = f.latencyShare[zone] * (0.5 + f.random.Float64())
		}
		if f.chance(0.01) {
			observation.Zone += f.random.IntN(5) - 2
		}
		g.evidence.Observe(observation)
	}
}

// broadcast hashes an entry that is to be sent, and merges it into the state of most other gateways.
func (f *fleet) broadcast(from *gateway, entry crdt.Entry) {
	f.results.Numbers(int64(entry.Kind), int64(entry.Sequence), entry.Timestamp)
	f.results.Text(entry.Name)
	f.results.Text(entry.Origin)
	f.results.Text(string(entry.Value))
	for _, other := range f.gateways {
		if other != from && f.chance(0.9) {
			other.state.Merge(f.now, entry)
		}
	}
}

// vote lets a gateway vote, and hashes its views.
func (f *fleet) vote(g *gateway) {
	views := g.evidence.Assess(f.now, g.zones.OwnZone())
	for _, view := range views {
		f.results.Numbers(int64(view.Health), int64(view.LatencyShare), int64(view.RequestRate))
	}
	entry, ok := g.zones.Vote(f.now, views)
	if f.results.Bool(ok); ok {
		f.broadcast(g, entry)
	}
}

// decide lets a gateway decide, and hashes its log and its shares.
func (f *fleet) decide(g *gateway) {
	members := agreement.Members{}
	for _, other := range f.gateways {
		members[other.name] = other == g || f.chance(0.95)
	}
	for _, entry := range g.zones.Decide(f.now, members) {
		f.broadcast(g, entry)
	}
	for _, line := range g.zones.TakeLog() {
		f.results.Text(line.Zone)
		f.results.Numbers(int64(line.Epoch), int64(line.Share), int64(line.NextStepIn))
		f.results.Bool(line.Message != "")
	}
	shares, epoch := g.zones.InEffect(f.now)
	f.results.Text(string(shares))
	f.results.Numbers(int64(epoch), g.zones.InEffectFor(f.now))
	for zone := range f.conf.Zones {
		f.results.Numbers(int64(g.zones.Share(f.now, zone)))
	}
	g.state.Expire(f.now)
}

// changeZones lets zones fail or recover, and changes their response times.
func (f *fleet) changeZones() {
	for zone := range f.failing {
		f.failing[zone] = 0.02
		f.latencyShare[zone] = 0.05 + f.random.Float64()*0.9
	}
	if f.chance(0.7) {
		f.failing[f.random.IntN(len(f.failing))] = 0.5 + f.random.Float64()
	}
	if f.chance(0.1) { // a second zone
		f.failing[f.random.IntN(len(f.failing))] = 1
	}
	if f.chance(0.1) {
		g := f.gateways[f.random.IntN(len(f.gateways))]
		g.zones.SetOverride(f.random.IntN(len(f.failing)), zonefailover.Override(f.random.IntN(3)))
	}
	if f.chance(0.1) { // a vote and a decision with another number of zones
		g := f.gateways[0]
		f.broadcast(g, g.state.Put(f.now, kindVotes, "zones", []byte{1, 9}))
		_, epoch := g.zones.InEffect(f.now)
		f.broadcast(g, g.state.PutEpoch(f.now, kindDecided, "zones", epoch+1, []byte{1, 100, 0, 0, 0, 0, 0, 0, 0, 0, 100, 'x'}))
	}
}

// runRandomCalls runs random calls at all gateways for 450 rounds and returns the hash of their results.
func runRandomCalls(conf zonefailover.Config, seed uint64) string {
	f := newFleet(conf, seed)
	for round := range 450 {
		f.now += second/4 + int64(f.random.IntN(int(second/2)))
		if round%25 == 10 {
			f.changeZones()
			f.now += int64(f.random.IntN(int(5 * second))) // a time without observations
		}
		for _, g := range f.gateways {
			f.now += int64(f.random.IntN(1000))
			if f.chance(0.95) {
				f.observe(g)
			}
			f.vote(g)
			f.decide(g)
		}
	}
	return f.results.String()
}

// The views, votes and shares of gateways are as recorded in the golden file.
func TestDecisionsStayTheSame(t *testing.T) {
	base := zonefailover.Config{
		Zones:             []string{"a", "b", "c"},
		MaxEvacuated:      1,
		RequiredShare:     0.6,
		MinViews:          3,
		MaxLatencyShare:   0.6,
		RecoverySteps:     []byte{2, 5, 10, 20, 40, 70, zonefailover.FullShare},
		StepDuration:      2 * second,
		EvacuationTime:    4 * second,
		MaxEvacuationTime: 20 * second,
		BackoffReset:      10 * second,
		PacedRecovery:     true,
		CheckCapacity:     true,
	}
	unpaced := base
	unpaced.PacedRecovery = false
	unlimited := base
	unlimited.CheckCapacity = false
	unlimited.MaxEvacuated = 2
	unlimited.Zones = []string{"a", "b", "c", "d"}
	single := base
	single.Zones = []string{"a"}
	short := base
	short.RecoverySteps = []byte{5, 50}
	short.RequiredShare = 0.5
	short.MinViews = 1
	short.StepDuration = 8 * second
	var lines []string
	for i, s := range []struct {
		name string
		conf zonefailover.Config
	}{{"base", base}, {"unpaced", unpaced}, {"boundless", unlimited}, {"single", single}, {"short", short}} {
		lines = append(lines, s.name+" "+runRandomCalls(s.conf, uint64(i)))
	}
	golden.CheckLines(t, goldenFile, lines)
}
