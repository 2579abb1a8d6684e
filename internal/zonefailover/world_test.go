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

// gateway is one gateway: the pure cores, without a process round them.
type gateway struct {
	name         string
	zone         int
	state        *crdt.State
	agreement    *agreement.Participant
	zones        *State
	queue        []broadcast
	stopped      bool
	partition    int // of a fleet that is cut: only those of one side hear each other
	skew         int64
	firstActedAt map[uint64]int64 // when it first acted on an epoch of zone 0
	bytes        int
	rounds       uint64
}

// broadcast is an entry on its way to others, and how often it is still to be sent.
type broadcast struct {
	data      []byte
	remaining int // times
}

type packet struct {
	from, to int
	data     []byte
}

// simulation is many of them on one clock, with messages that take time and get lost, as memberlist would spread them: each
// entry a few times to members drawn at random, and now and then a round with one of them.
type simulation struct {
	t            *testing.T
	rand         *rand.Rand
	now          int64
	gateways     []*gateway
	packets      map[int64][]packet // by the step in which they come
	loss         float64
	view         func(n *gateway, zone int) ZoneView
	takesForDead func(n, o *gateway) bool // n takes o for dead, beside those that are stopped or on another side
	afterTick    func()
}

func testConfig() Config {
	return Config{Zones: []string{"a", "b", "c"}, MaxEvacuated: 1, RequiredShare: 0.6, MinViews: 3, MaxLatencyShare: 0.6, RecoverySteps: []byte{2, 5, 10, 20, 40, 70, FullShare},
		StepDuration: 2 * second, EvacuationTime: 4 * second, MaxEvacuationTime: 120 * second, BackoffReset: 300 * second, PacedRecovery: true, CheckCapacity: true}
}

func newSimulation(t *testing.T, n int, change func(*Config, *agreement.Config)) *simulation {
	w := &simulation{t: t, rand: rand.New(rand.NewPCG(1, uint64(n))), now: beginning, packets: map[int64][]packet{}}
	w.view = func(*gateway, int) ZoneView { return ZoneView{Health: Healthy, LatencyShare: 20, RequestRate: 100} }
	w.takesForDead = func(*gateway, *gateway) bool { return false }
	for i := range n {
		conf := testConfig()
		conf.OwnZone = i % len(conf.Zones)
		agree := agreement.Config{Self: fmt.Sprint("n", i), VoteKind: voteKind, DecisionKind: decisionKind, EffectDelay: 800 * ms, ProposerDelay: 200 * ms, VoteTTL: 30 * second,
			DecisionTTL: 60 * second, RequireQuorum: true}
		if change != nil {
			change(&conf, &agree)
		}
		state := crdt.New(crdt.Config{Self: agree.Self, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
			voteKind: {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 64}, decisionKind: {Name: "decided", Rule: crdt.HighestEpoch, TTL: agree.DecisionTTL, MaxValueSize: 80}}})
		council := agreement.New(agree, state)
		w.gateways = append(w.gateways, &gateway{name: agree.Self, zone: conf.OwnZone, state: state, agreement: council, zones: New(conf, council), firstActedAt: map[uint64]int64{}})
	}
	return w
}

func (w *simulation) members(n *gateway) agreement.Members {
	all := agreement.Members{}
	for _, o := range w.gateways {
		all[o.name] = o == n || !o.stopped && o.partition == n.partition && !w.takesForDead(n, o)
	}
	return all
}

func (w *simulation) broadcast(n *gateway, entries ...crdt.Entry) {
	for _, e := range entries {
		b, err := crdt.Encode(&crdt.Message{Entries: []crdt.Entry{e}})
		if err != nil {
			w.t.Fatal(err)
		}
		n.queue = slices.Insert(n.queue, 0, broadcast{b, int(4 * math.Ceil(math.Log10(float64(len(w.gateways)+1))))})
	}
}

func (w *simulation) send(from, to int, data []byte) {
	n, o := w.gateways[from], w.gateways[to]
	n.bytes += len(data)
	if n.partition != o.partition || w.rand.Float64() < w.loss {
		return
	}
	at := w.now + 20*ms + w.rand.Int64N(2)*20*ms
	w.packets[at] = append(w.packets[at], packet{from, to, data})
}

func (w *simulation) deliver(p packet) {
	n := w.gateways[p.to]
	if n.stopped {
		return
	}
	m, err := crdt.Decode(w.gateways[p.from].name, p.data)
	if err != nil {
		w.t.Fatal(err)
	}
	answers, changed := n.state.Receive(w.now+n.skew, m)
	n.agreement.Apply(w.now+n.skew, changed)
	if m.Round == 0 {
		w.broadcast(n, changed...)
	}
	for _, a := range answers {
		if b, err := crdt.Encode(a); err == nil {
			w.send(p.to, p.from, b)
		}
	}
}

func (w *simulation) run(d int64) {
	for end := w.now + d; w.now < end; w.now += tickInterval / 5 {
		arrived := w.packets[w.now]
		delete(w.packets, w.now)
		for _, p := range arrived {
			w.deliver(p)
		}
		if w.now%tickInterval != 0 {
			continue
		}
		for i, n := range w.gateways {
			if n.stopped {
				continue
			}
			now := w.now + n.skew
			if (w.now/tickInterval+int64(i))%5 == 0 {
				var views []ZoneView
				for z := range 3 {
					views = append(views, w.view(n, z))
				}
				if e, ok := n.zones.Vote(now, views); ok {
					w.broadcast(n, e)
				}
				w.broadcast(n, n.zones.Decide(now, w.members(n))...)
				n.state.Expire(now)
			}
			if _, epoch := n.agreement.InEffect(now, topic, n.zones.fullShares); n.firstActedAt[epoch] == 0 {
				n.firstActedAt[epoch] = w.now
			}
			w.gossip(i, n)
		}
		if w.afterTick != nil {
			w.afterTick()
		}
	}
}

// gossip sends a packet of what is to be told to three members, and every 2.5 s begins a round with one.
func (w *simulation) gossip(i int, n *gateway) {
	other := func() int { return (i + 1 + w.rand.IntN(len(w.gateways)-1)) % len(w.gateways) }
	for range 3 {
		to, size := other(), 0
		for k := range n.queue {
			if size+len(n.queue[k].data) > 1400 {
				break
			}
			size += len(n.queue[k].data)
			w.send(i, to, n.queue[k].data)
			n.queue[k].remaining--
		}
	}
	n.queue = slices.DeleteFunc(n.queue, func(p broadcast) bool { return p.remaining <= 0 })
	slices.SortStableFunc(n.queue, func(a, b broadcast) int { return b.remaining - a.remaining }) // what was sent least goes first
	if (w.now/tickInterval+int64(i))%25 == 0 {
		n.rounds++
		if b, err := crdt.Encode(n.state.StartRound(n.rounds)); err == nil {
			w.send(i, other(), b)
		}
	}
}

// shares is that of zone a at each node, sorted.
func (w *simulation) shares() (all []byte) {
	for _, n := range w.gateways {
		all = append(all, n.zones.Share(w.now+n.skew, 0))
	}
	slices.Sort(all)
	return all
}

func (w *simulation) requireShare(what string, share byte) {
	w.t.Helper()
	if all := w.shares(); all[0] != share || all[len(all)-1] != share {
		w.t.Fatalf("%s: shares from %d to %d, want %d at all", what, all[0], all[len(all)-1], share)
	}
}

// failZoneFor has nodes see zone a as bad.
func (w *simulation) failZoneFor(who func(i int) bool) {
	w.view = func(n *gateway, z int) ZoneView {
		v := ZoneView{Health: Healthy, LatencyShare: 20, RequestRate: 100}
		if z == 0 && who(slices.Index(w.gateways, n)) {
			v.Health = Unhealthy
		}
		return v
	}
}

func everybody(int) bool { return true }
func nobody(int) bool    { return false }
