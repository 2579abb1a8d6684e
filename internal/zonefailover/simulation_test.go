package zonefailover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
)

const (
	ms           = int64(1000)
	second       = 1000 * ms
	voteKind     = crdt.Kind(1)
	decisionKind = crdt.Kind(2)
	tickInterval = 100 * ms
	beginning    = 1000 * second
)

// gateway holds the decision modules of one gateway.
type gateway struct {
	name           string
	zone           int
	state          *crdt.State
	agreement      *agreement.Participant
	zones          *State
	queue          []broadcast
	stopped        bool
	partition      int              // only gateways with the same number receive messages from each other
	firstAppliedAt map[uint64]int64 // time of the first tick with an epoch in effect, by epoch
	bytes          int              // sent in total
	rounds         uint64
}

// broadcast is an encoded entry, and the number of times that it is still to be sent.
type broadcast struct {
	data      []byte
	remaining int
}

type packet struct {
	from, to int
	data     []byte
}

// simulation is a fleet on one simulated clock, with delayed and lost messages. Entries are broadcast as by memberlist:
// each is sent a few times to random members, and there are periodic anti-entropy rounds with a random member.
type simulation struct {
	t         *testing.T
	rand      *rand.Rand
	now       int64
	gateways  []*gateway
	packets   map[int64][]packet // by time of arrival
	loss      float64
	view      func(gw *gateway, zone int) ZoneView
	afterTick func()
}

func testConfig() Config {
	return Config{
		Zones:             []string{"a", "b", "c"},
		MaxEvacuated:      1,
		RequiredShare:     0.6,
		MinViews:          3,
		MaxLatencyShare:   0.6,
		RecoverySteps:     []byte{2, 5, 10, 20, 40, 70, FullShare},
		StepDuration:      2 * second,
		EvacuationTime:    4 * second,
		MaxEvacuationTime: 120 * second,
		BackoffReset:      300 * second,
		PacedRecovery:     true,
		CheckCapacity:     true,
	}
}

func healthyView() ZoneView { return ZoneView{Health: Healthy, LatencyShare: 20, RequestRate: 100} }

func newSimulation(t *testing.T, n int, change func(*Config, *agreement.Config)) *simulation {
	t.Helper()
	sim := &simulation{t: t, rand: rand.New(rand.NewPCG(1, uint64(n))), now: beginning, packets: map[int64][]packet{}}
	sim.view = func(*gateway, int) ZoneView { return healthyView() }
	for i := range n {
		conf := testConfig()
		conf.OwnZone = i % len(conf.Zones)
		agreementConfig := agreement.Config{
			Self:          fmt.Sprint("n", i),
			VoteKind:      voteKind,
			DecisionKind:  decisionKind,
			EffectDelay:   800 * ms,
			ProposerDelay: 200 * ms,
			VoteTTL:       30 * second,
			DecisionTTL:   60 * second,
			RequireQuorum: true,
		}
		if change != nil {
			change(&conf, &agreementConfig)
		}
		state := crdt.New(crdt.Config{Self: agreementConfig.Self, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
			voteKind:     {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 64},
			decisionKind: {Name: "decided", Rule: crdt.HighestEpoch, TTL: agreementConfig.DecisionTTL, MaxValueSize: 80},
		}})
		participant := agreement.New(agreementConfig, state)
		sim.gateways = append(sim.gateways, &gateway{
			name:           agreementConfig.Self,
			zone:           conf.OwnZone,
			state:          state,
			agreement:      participant,
			zones:          New(conf, participant),
			firstAppliedAt: map[uint64]int64{},
		})
	}
	return sim
}

func (sim *simulation) members(gw *gateway) agreement.Members {
	all := agreement.Members{}
	for _, other := range sim.gateways {
		all[other.name] = other == gw || !other.stopped && other.partition == gw.partition
	}
	return all
}

func (sim *simulation) broadcast(gw *gateway, entries ...crdt.Entry) {
	for _, e := range entries {
		b, err := crdt.Encode(&crdt.Message{Entries: []crdt.Entry{e}})
		if err != nil {
			sim.t.Fatal(err)
		}
		gw.queue = slices.Insert(gw.queue, 0, broadcast{b, int(4 * math.Ceil(math.Log10(float64(len(sim.gateways)+1))))})
	}
}

func (sim *simulation) send(from, to int, data []byte) {
	gw, other := sim.gateways[from], sim.gateways[to]
	gw.bytes += len(data)
	if gw.partition != other.partition || sim.rand.Float64() < sim.loss {
		return
	}
	at := sim.now + 20*ms + sim.rand.Int64N(2)*20*ms
	sim.packets[at] = append(sim.packets[at], packet{from, to, data})
}

func (sim *simulation) deliver(p packet) {
	gw := sim.gateways[p.to]
	if gw.stopped {
		return
	}
	m, err := crdt.Decode(sim.gateways[p.from].name, p.data)
	if err != nil {
		sim.t.Fatal(err)
	}
	answers, changed := gw.state.Receive(sim.now, m)
	gw.agreement.Apply(sim.now, changed)
	if m.Round == 0 {
		sim.broadcast(gw, changed...)
	}
	for _, a := range answers {
		if b, err := crdt.Encode(a); err == nil {
			sim.send(p.to, p.from, b)
		}
	}
}

func (sim *simulation) run(duration int64) {
	for end := sim.now + duration; sim.now < end; sim.now += tickInterval / 5 {
		arrived := sim.packets[sim.now]
		delete(sim.packets, sim.now)
		for _, p := range arrived {
			sim.deliver(p)
		}
		if sim.now%tickInterval != 0 {
			continue
		}
		for i, gw := range sim.gateways {
			if !gw.stopped {
				sim.tick(i, gw)
			}
		}
		if sim.afterTick != nil {
			sim.afterTick()
		}
	}
}

// tick runs one gateway, which decides on every fifth tick.
func (sim *simulation) tick(i int, gw *gateway) {
	now := sim.now
	if (sim.now/tickInterval+int64(i))%5 == 0 {
		var views []ZoneView
		for zone := range 3 {
			views = append(views, sim.view(gw, zone))
		}
		if e, ok := gw.zones.Vote(now, views); ok {
			sim.broadcast(gw, e)
		}
		sim.broadcast(gw, gw.zones.Decide(now, sim.members(gw))...)
		gw.state.Expire(now)
	}
	_, epoch := gw.agreement.InEffect(now, topic, gw.zones.fullShares)
	if gw.firstAppliedAt[epoch] == 0 {
		gw.firstAppliedAt[epoch] = sim.now
	}
	sim.gossip(i, gw)
}

// gossip sends queued entries to three members, and starts an anti-entropy round with one member every 2.5 s.
func (sim *simulation) gossip(i int, gw *gateway) {
	randomOther := func() int { return (i + 1 + sim.rand.IntN(len(sim.gateways)-1)) % len(sim.gateways) }
	for range 3 {
		to, size := randomOther(), 0
		for k := range gw.queue {
			if size+len(gw.queue[k].data) > 1400 {
				break
			}
			size += len(gw.queue[k].data)
			sim.send(i, to, gw.queue[k].data)
			gw.queue[k].remaining--
		}
	}
	gw.queue = slices.DeleteFunc(gw.queue, func(b broadcast) bool { return b.remaining <= 0 })
	slices.SortStableFunc(gw.queue, func(a, b broadcast) int { return b.remaining - a.remaining }) // entries sent the fewest times go first
	if (sim.now/tickInterval+int64(i))%25 == 0 {
		gw.rounds++
		if b, err := crdt.Encode(gw.state.StartRound(gw.rounds)); err == nil {
			sim.send(i, randomOther(), b)
		}
	}
}

// shares returns the shares of the first zone at all gateways, sorted.
func (sim *simulation) shares() (all []byte) {
	for _, gw := range sim.gateways {
		all = append(all, gw.zones.Share(sim.now, 0))
	}
	slices.Sort(all)
	return all
}

func (sim *simulation) requireShare(what string, share byte) {
	sim.t.Helper()
	if all := sim.shares(); all[0] != share || all[len(all)-1] != share {
		sim.t.Fatalf("%s: shares from %d to %d, want %d at all gateways", what, all[0], all[len(all)-1], share)
	}
}

// failZoneFor makes the selected gateways, given by index, find the first zone unhealthy.
func (sim *simulation) failZoneFor(who func(i int) bool) {
	sim.view = func(gw *gateway, z int) ZoneView {
		v := healthyView()
		if z == 0 && who(slices.Index(sim.gateways, gw)) {
			v.Health = Unhealthy
		}
		return v
	}
}

func allGateways(int) bool { return true }
func noGateway(int) bool   { return false }
