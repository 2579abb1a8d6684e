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
	ms        = int64(1000)
	second    = 1000 * ms
	votes     = crdt.Kind(1)
	decided   = crdt.Kind(2)
	tick      = 100 * ms
	beginning = 1000 * second
)

// node is one gateway: the pure cores, without a process round them.
type node struct {
	name    string
	zone    int
	state   *crdt.State
	council *agreement.Participant
	zonal   *State
	queue   []push
	stopped bool
	side    int // of a fleet that is cut: only those of one side hear each other
	skew    int64
	left    map[uint64]int64 // when it first acted on an epoch of zone 0
	bytes   int
	rounds  uint64
}

// push is an entry on its way to others, and how often it is still to be sent.
type push struct {
	data []byte
	more int // times
}

type packet struct {
	from, to int
	data     []byte
}

// world is many of them on one clock, with messages that take time and get lost, as memberlist would spread them: each
// entry a few times to members drawn at random, and now and then a round with one of them.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	now     int64
	nodes   []*node
	packets map[int64][]packet // by the step in which they come
	loss    float64
	sees    func(n *node, zone int) View
	dead    func(n, o *node) bool // n takes o for dead, beside those that are stopped or on another side
	after   func()
}

func testConfig() Config {
	return Config{Zones: []string{"a", "b", "c"}, AtOnce: 1, Bad: 0.6, Views: 3, Bear: 0.6, Steps: []byte{2, 5, 10, 20, 40, 70, Whole},
		Step: 2 * second, Away: 4 * second, AwayMax: 120 * second, Calm: 300 * second, Pace: true, Capacity: true}
}

func newWorld(t *testing.T, n int, change func(*Config, *agreement.Config)) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(1, uint64(n))), now: beginning, packets: map[int64][]packet{}}
	w.sees = func(*node, int) View { return View{Verdict: Good, Used: 20, Load: 100} }
	w.dead = func(*node, *node) bool { return false }
	for i := range n {
		conf := testConfig()
		conf.Own = i % len(conf.Zones)
		agree := agreement.Config{Self: fmt.Sprint("n", i), VoteKind: votes, DecisionKind: decided, EffectDelay: 800 * ms, ProposerDelay: 200 * ms, VoteTTL: 30 * second,
			DecisionTTL: 60 * second, RequireQuorum: true}
		if change != nil {
			change(&conf, &agree)
		}
		state := crdt.New(crdt.Config{Self: agree.Self, Incarnation: 1, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
			votes: {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 64}, decided: {Name: "decided", Rule: crdt.HighestEpoch, TTL: agree.DecisionTTL, MaxValueSize: 80}}})
		council := agreement.New(agree, state)
		w.nodes = append(w.nodes, &node{name: agree.Self, zone: conf.Own, state: state, council: council, zonal: New(conf, council), left: map[uint64]int64{}})
	}
	return w
}

func (w *world) members(n *node) agreement.Members {
	all := agreement.Members{}
	for _, o := range w.nodes {
		all[o.name] = o == n || !o.stopped && o.side == n.side && !w.dead(n, o)
	}
	return all
}

func (w *world) tell(n *node, entries ...crdt.Entry) {
	for _, e := range entries {
		b, err := crdt.Encode(&crdt.Message{Entries: []crdt.Entry{e}})
		if err != nil {
			w.t.Fatal(err)
		}
		n.queue = slices.Insert(n.queue, 0, push{b, int(4 * math.Ceil(math.Log10(float64(len(w.nodes)+1))))})
	}
}

func (w *world) send(from, to int, data []byte) {
	n, o := w.nodes[from], w.nodes[to]
	n.bytes += len(data)
	if n.side != o.side || w.rand.Float64() < w.loss {
		return
	}
	at := w.now + 20*ms + w.rand.Int64N(2)*20*ms
	w.packets[at] = append(w.packets[at], packet{from, to, data})
}

func (w *world) take(p packet) {
	n := w.nodes[p.to]
	if n.stopped {
		return
	}
	m, err := crdt.Decode(w.nodes[p.from].name, p.data)
	if err != nil {
		w.t.Fatal(err)
	}
	answers, changed := n.state.Receive(w.now+n.skew, m)
	n.council.Apply(w.now+n.skew, changed)
	if m.Round == 0 {
		w.tell(n, changed...)
	}
	for _, a := range answers {
		if b, err := crdt.Encode(a); err == nil {
			w.send(p.to, p.from, b)
		}
	}
}

func (w *world) run(d int64) {
	for end := w.now + d; w.now < end; w.now += tick / 5 {
		arrived := w.packets[w.now]
		delete(w.packets, w.now)
		for _, p := range arrived {
			w.take(p)
		}
		if w.now%tick != 0 {
			continue
		}
		for i, n := range w.nodes {
			if n.stopped {
				continue
			}
			now := w.now + n.skew
			if (w.now/tick+int64(i))%5 == 0 {
				var views []View
				for z := range 3 {
					views = append(views, w.sees(n, z))
				}
				if e, ok := n.zonal.Vote(now, views); ok {
					w.tell(n, e)
				}
				w.tell(n, n.zonal.Decide(now, w.members(n))...)
				n.state.Expire(now)
			}
			if _, epoch := n.council.InEffect(now, topic, n.zonal.whole); n.left[epoch] == 0 {
				n.left[epoch] = w.now
			}
			w.gossip(i, n)
		}
		if w.after != nil {
			w.after()
		}
	}
}

// gossip sends a packet of what is to be told to three members, and every 2.5 s begins a round with one.
func (w *world) gossip(i int, n *node) {
	other := func() int { return (i + 1 + w.rand.IntN(len(w.nodes)-1)) % len(w.nodes) }
	for range 3 {
		to, size := other(), 0
		for k := range n.queue {
			if size+len(n.queue[k].data) > 1400 {
				break
			}
			size += len(n.queue[k].data)
			w.send(i, to, n.queue[k].data)
			n.queue[k].more--
		}
	}
	n.queue = slices.DeleteFunc(n.queue, func(p push) bool { return p.more <= 0 })
	slices.SortStableFunc(n.queue, func(a, b push) int { return b.more - a.more }) // what was sent least goes first
	if (w.now/tick+int64(i))%25 == 0 {
		n.rounds++
		if b, err := crdt.Encode(n.state.StartRound(n.rounds)); err == nil {
			w.send(i, other(), b)
		}
	}
}

// share is that of zone a at each node, sorted.
func (w *world) share() (all []byte) {
	for _, n := range w.nodes {
		all = append(all, n.zonal.Share(w.now+n.skew, 0))
	}
	slices.Sort(all)
	return all
}

func (w *world) want(what string, share byte) {
	w.t.Helper()
	if all := w.share(); all[0] != share || all[len(all)-1] != share {
		w.t.Fatalf("%s: shares from %d to %d, want %d at all", what, all[0], all[len(all)-1], share)
	}
}

// fails has nodes see zone a as bad.
func (w *world) fails(who func(i int) bool) {
	w.sees = func(n *node, z int) View {
		v := View{Verdict: Good, Used: 20, Load: 100}
		if z == 0 && who(slices.Index(w.nodes, n)) {
			v.Verdict = Bad
		}
		return v
	}
}

func all(int) bool  { return true }
func none(int) bool { return false }
