package gossip_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"cloverrock/internal/golden"
	"cloverrock/internal/gossip"
)

// This file holds the decisions of the package as they are: a storm of calls, always the same one, is played, and a
// hash of all that is answered is compared with the one in testdata/decisions.txt. A change that is to leave all
// decisions alone leaves the hashes alone. One that means to change decisions runs the test with -update and says why.

const goldenFile = "decisions.txt"

// gateway is one of the storm's, with what others have told it and not yet reached it.
type gateway struct {
	ordinal int
	state   *gossip.State
	inbox   []letter
}

type letter struct {
	from int
	data []byte
}

// fleet is some gateways that hear the same hosts.
type fleet struct {
	random   *rand.Rand
	now      int64
	hosts    []string
	gateways []*gateway
	answers  *golden.Hash
	sent     []letter
}

func newFleet(conf gossip.Config, seed uint64, ordinals []int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(2025, seed)), now: 1_700_000_000_000_000, answers: golden.NewHash()}
	for i := range 40 {
		f.hosts = append(f.hosts, "host"+strconv.Itoa(i))
	}
	f.hosts[4], f.hosts[8] = "host249", "host561" // two of one group that digests can't tell apart
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

func (f *fleet) odds(part float64) bool { return f.random.Float64() < part }

// due writes down what a gateway tells, and puts it on its way to the others; some is lost, repeated or garbled.
func (f *fleet) due(g *gateway) {
	messages := g.state.PendingMessages(f.now)
	f.answers.Numbers(int64(g.ordinal), int64(len(messages)))
	for _, message := range messages {
		f.answers.Numbers(int64(message.To))
		f.answers.Text(string(message.Data))
		f.sent = append(f.sent, letter{g.ordinal, message.Data})
		for _, other := range f.gateways {
			if other != g && (message.To == gossip.Broadcast || message.To == other.ordinal || f.odds(0.02)) && f.odds(0.9) {
				other.inbox = append(other.inbox, letter{g.ordinal, slices.Clone(message.Data)})
			}
		}
	}
}

func (f *fleet) hear(g *gateway) {
	if f.odds(0.03) && len(f.sent) > 0 { // an old one, from whomever
		old := f.sent[f.random.IntN(len(f.sent))]
		g.inbox = append(g.inbox, letter{f.random.IntN(330) - 10, slices.Clone(old.data)})
	}
	if f.odds(0.01) { // nothing that can be read
		g.inbox = append(g.inbox, letter{0, []byte{3}})
	}
	for _, l := range g.inbox {
		if f.odds(0.05) {
			l.data[f.random.IntN(len(l.data))] ^= byte(1 + f.random.IntN(255))
		}
		if f.odds(0.02) {
			l.data = l.data[:f.random.IntN(len(l.data))]
		}
		f.take(g, l)
		if f.odds(0.1) && len(l.data) > 11 { // as of the same moment, with something else in the first report
			l.data[11] ^= 3
			f.take(g, l)
		}
	}
	g.inbox = nil
}

// take writes down what a gateway believes of a message; its clock may be behind the sender's.
func (f *fleet) take(g *gateway, l letter) {
	now := f.now
	if f.odds(0.2) {
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

// learn has a gateway hear from a host itself.
func (f *fleet) learn(g *gateway, i int) {
	role := gossip.Replica
	if i < 4 {
		role = gossip.Primary
	}
	if f.odds(0.03) {
		role = gossip.Role(f.random.IntN(3))
	}
	age := int64(f.random.IntN(200e3))
	if f.odds(0.05) {
		age = int64(f.random.IntN(80e6)) - 5e6
	}
	g.state.Record(gossip.HostFact{Host: f.hosts[i], Position: f.now - age, Role: role})
}

// ask writes down what a gateway says when asked.
func (f *fleet) ask(g *gateway, i int) {
	out, coming := g.state.Load(f.now, f.hosts[i])
	f.answers.Float(out)
	f.answers.Float(coming)
	f.answers.Float(g.state.OverloadRatio())
	f.answers.Bool(g.state.AtCapacity(f.now, f.hosts[i]))
	f.answers.Numbers(g.state.MaxReportDelay(f.hosts[i]), int64(g.state.MalformedMessages()), int64(g.state.TakeMalformedReport(f.now)))
	for _, host := range g.state.HostsToCheck(f.now) {
		f.answers.Text(host)
	}
}

func (f *fleet) step(trouble bool) {
	f.now += int64(f.random.IntN(4e3))
	g := f.gateways[f.random.IntN(len(f.gateways))]
	i := min(f.random.IntN(len(f.hosts)), f.random.IntN(len(f.hosts)))
	switch f.random.IntN(10) {
	case 0, 1:
		f.learn(g, i)
	case 2, 3:
		share := f.random.Float64() * 0.5
		if trouble {
			share *= 3
		}
		g.state.RecordLatencyShare(f.hosts[i], share, trouble && f.odds(0.4))
	case 4, 5:
		n := f.random.IntN(6)
		if trouble {
			n = f.random.IntN(60)
		}
		g.state.SetInFlight(f.hosts[i], n)
	case 6, 7:
		f.due(g)
	case 8:
		f.hear(g)
	default:
		f.ask(g, i)
	}
	if f.odds(0.002) {
		g.state.RemoveHost(f.hosts[i])
	} else if f.odds(0.01) {
		g.state.AddHost(f.hosts[i], int64(i%4))
	}
	if f.odds(0.0005) {
		f.now += int64(f.random.IntN(6e6))
		g.state.RemoveHost("nobody")
	}
}

func storm(conf gossip.Config, seed uint64, ordinals []int) string {
	f := newFleet(conf, seed, ordinals)
	for i := range 20000 {
		f.step(i/2000%3 == 1)
	}
	return f.answers.String()
}

// What gateways tell, believe and answer stays as it was when the golden file was written.
func TestDecisionsStayTheSame(t *testing.T) {
	var everyOne []int
	for ordinal := range 10 {
		everyOne = append(everyOne, ordinal*30)
	}
	storms := []struct {
		name     string
		conf     gossip.Config
		ordinals []int
	}{
		{"alone", gossip.Config{Gateways: 1, BytesPerRequest: 30, FreshnessWindow: 300e3}, []int{0}},
		{"few", gossip.Config{Gateways: 3, BytesPerRequest: 30, FreshnessWindow: 300e3}, []int{0, 1, 2}},
		{"dear", gossip.Config{Gateways: 3, BytesPerRequest: 0.1, FreshnessWindow: 2e6}, []int{0, 1, 2}},
		{"many", gossip.Config{Gateways: 300, BytesPerRequest: 30, FreshnessWindow: 500e3}, everyOne},
	}
	var lines []string
	for i, s := range storms {
		lines = append(lines, s.name+" "+storm(s.conf, uint64(i), s.ordinals))
	}
	golden.CheckLines(t, goldenFile, lines)
}
