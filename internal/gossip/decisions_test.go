package gossip_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"cloverrock/internal/golden"
	"cloverrock/internal/gossip"
)

// This file compares the decisions of the package with recorded ones. It makes a fixed sequence of random calls and
// compares a hash of all results with the one in testdata/decisions.txt. A change that must not alter decisions must
// leave the hashes as they are. For a change that alters them on purpose, run the test with -update and state the
// reason.

const goldenFile = "decisions.txt"

// gateway is one gateway and the messages that are in transit to it.
type gateway struct {
	ordinal int
	state   *gossip.State
	inbox   []datagram
}

type datagram struct {
	from int
	data []byte
}

// fleet is a set of gateways that have the same hosts.
type fleet struct {
	random   *rand.Rand
	now      int64
	hosts    []string
	gateways []*gateway
	answers  *golden.Hash
	sent     []datagram
}

func newFleet(conf gossip.Config, seed uint64, ordinals []int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(2025, seed)), now: 1_700_000_000_000_000, answers: golden.NewHash()}
	for i := range 40 {
		f.hosts = append(f.hosts, "host"+strconv.Itoa(i))
	}
	f.hosts[4], f.hosts[8] = "host249", "host561" // two hosts of one group with the same short hash
	for _, ordinal := range ordinals {
		conf.Ordinal = ordinal
		g := &gateway{ordinal: ordinal, state: gossip.New(conf, seed+uint64(ordinal))}
		for i := range f.hosts {
			g.state.AddHost(f.hosts[i], int64(i%4))
		}
		f.gateways = append(f.gateways, g)
	}
	return f
}

func (f *fleet) chance(part float64) bool { return f.random.Float64() < part }

// sendPending hashes the pending messages of a gateway and sends them to the others; some are lost or misdirected.
func (f *fleet) sendPending(g *gateway) {
	messages := g.state.PendingMessages(f.now)
	f.answers.Numbers(int64(g.ordinal), int64(len(messages)))
	for _, message := range messages {
		f.answers.Numbers(int64(message.To))
		f.answers.Text(string(message.Data))
		f.sent = append(f.sent, datagram{g.ordinal, message.Data})
		for _, other := range f.gateways {
			if other != g && (message.To == gossip.Broadcast || message.To == other.ordinal || f.chance(0.02)) && f.chance(0.9) {
				other.inbox = append(other.inbox, datagram{g.ordinal, slices.Clone(message.Data)})
			}
		}
	}
}

func (f *fleet) deliver(g *gateway) {
	if f.chance(0.03) && len(f.sent) > 0 { // an old message, from a random sender
		old := f.sent[f.random.IntN(len(f.sent))]
		g.inbox = append(g.inbox, datagram{f.random.IntN(330) - 10, slices.Clone(old.data)})
	}
	if f.chance(0.01) { // a truncated message
		g.inbox = append(g.inbox, datagram{0, []byte{3}})
	}
	for _, l := range g.inbox {
		if f.chance(0.05) {
			l.data[f.random.IntN(len(l.data))] ^= byte(1 + f.random.IntN(255))
		}
		if f.chance(0.02) {
			l.data = l.data[:f.random.IntN(len(l.data))]
		}
		f.receive(g, l)
		if f.chance(0.1) && len(l.data) > 11 { // the same sending time, with other contents in the first report
			l.data[11] ^= 3
			f.receive(g, l)
		}
	}
	g.inbox = nil
}

// receive hashes the facts that a gateway accepts from a message; its clock may be behind the sender's.
func (f *fleet) receive(g *gateway, l datagram) {
	now := f.now
	if f.chance(0.2) {
		now -= 40e3 + int64(f.random.IntN(20e3))
	}
	facts := g.state.Receive(now, l.from, l.data)
	f.answers.Numbers(int64(len(facts)))
	for _, fact := range facts {
		f.answers.Text(fact.Host)
		f.answers.Numbers(fact.Position, int64(fact.Role))
		f.answers.Float(fact.LatencyShare)
		f.answers.Bool(fact.Failing)
	}
}

// record records an answer of a host at a gateway.
func (f *fleet) record(g *gateway, i int) {
	role := gossip.Replica
	if i < 4 {
		role = gossip.Primary
	}
	if f.chance(0.03) {
		role = gossip.Role(f.random.IntN(3))
	}
	age := int64(f.random.IntN(200e3))
	if f.chance(0.05) {
		age = int64(f.random.IntN(80e6)) - 5e6
	}
	g.state.Record(gossip.HostFact{Host: f.hosts[i], Position: f.now - age, Role: role})
}

// recordAnswers hashes the results of a gateway's queries.
func (f *fleet) recordAnswers(g *gateway, i int) {
	inFlight, starting := g.state.Load(f.now, f.hosts[i])
	f.answers.Float(inFlight)
	f.answers.Float(starting)
	f.answers.Float(g.state.OverloadRatio())
	f.answers.Bool(g.state.AtCapacity(f.now, f.hosts[i]))
	f.answers.Numbers(
		g.state.MaxReportDelay(f.hosts[i]),
		int64(g.state.MalformedMessages()),
		int64(g.state.TakeMalformedReport(f.now)),
	)
	for _, host := range g.state.HostsToCheck(f.now) {
		f.answers.Text(host)
	}
}

func (f *fleet) step(overloaded bool) {
	f.now += int64(f.random.IntN(4e3))
	g := f.gateways[f.random.IntN(len(f.gateways))]
	i := min(f.random.IntN(len(f.hosts)), f.random.IntN(len(f.hosts)))
	switch f.random.IntN(10) {
	case 0, 1:
		f.record(g, i)
	case 2, 3:
		share := f.random.Float64() * 0.5
		if overloaded {
			share *= 3
		}
		g.state.RecordLatencyShare(f.hosts[i], share, overloaded && f.chance(0.4))
	case 4, 5:
		n := f.random.IntN(6)
		if overloaded {
			n = f.random.IntN(60)
		}
		g.state.SetInFlight(f.hosts[i], n)
	case 6, 7:
		f.sendPending(g)
	case 8:
		f.deliver(g)
	default:
		f.recordAnswers(g, i)
	}
	if f.chance(0.002) {
		g.state.RemoveHost(f.hosts[i])
	} else if f.chance(0.01) {
		g.state.AddHost(f.hosts[i], int64(i%4))
	}
	if f.chance(0.0005) {
		f.now += int64(f.random.IntN(6e6))
		g.state.RemoveHost("nobody")
	}
}

func scenarioHash(conf gossip.Config, seed uint64, ordinals []int) string {
	f := newFleet(conf, seed, ordinals)
	for i := range 20000 {
		f.step(i/2000%3 == 1)
	}
	return f.answers.String()
}

// Compares what gateways send, accept and answer in random scenarios with the golden file.
func TestDecisionsStayTheSame(t *testing.T) {
	var sparseOrdinals []int
	for ordinal := range 10 {
		sparseOrdinals = append(sparseOrdinals, ordinal*30)
	}
	scenarios := []struct {
		name     string
		conf     gossip.Config
		ordinals []int
	}{
		{"alone", gossip.Config{Gateways: 1, BytesPerRequest: 30, FreshnessWindow: 300e3}, []int{0}},
		{"few", gossip.Config{Gateways: 3, BytesPerRequest: 30, FreshnessWindow: 300e3}, []int{0, 1, 2}},
		{"dear", gossip.Config{Gateways: 3, BytesPerRequest: 0.1, FreshnessWindow: 2e6}, []int{0, 1, 2}},
		{"many", gossip.Config{Gateways: 300, BytesPerRequest: 30, FreshnessWindow: 500e3}, sparseOrdinals},
	}
	var lines []string
	for i, s := range scenarios {
		lines = append(lines, s.name+" "+scenarioHash(s.conf, uint64(i), s.ordinals))
	}
	golden.CheckLines(t, goldenFile, lines)
}
