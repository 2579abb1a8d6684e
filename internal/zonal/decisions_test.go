package zonal_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"hash"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"cloverrock/internal/accord"
	"cloverrock/internal/replica"
	"cloverrock/internal/zonal"
)

// This file holds the decisions of the package as they are: a storm of calls, always the same one, is played, and a hash of
// all that is answered is compared with the one in testdata/decisions.txt. A change that is to leave all decisions alone
// leaves the hashes alone. One that means to change decisions runs the test with -update and says why.

const goldenFile = "testdata/decisions.txt"

var update = flag.Bool("update", false, "write the hashes of decisions anew")

// answers hashes what a module answers: by values alone, so that the names of things may change. The texts of log lines
// are left out, since they may be worded anew.
type answers struct{ sum hash.Hash }

func newAnswers() *answers { return &answers{sha256.New()} }

func (a *answers) numbers(values ...int64) {
	for _, value := range values {
		a.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
	}
}

func (a *answers) text(value string) {
	a.numbers(int64(len(value)))
	a.sum.Write([]byte(value))
}

func (a *answers) truth(value bool) {
	if value {
		a.numbers(1)
	} else {
		a.numbers(0)
	}
}

// compare holds the hashes of all storms, one line "name hash" each, against the golden file, or writes that.
func compare(t *testing.T, lines []string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	golden, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%d storms were played, %s has %d", len(lines), goldenFile, len(want))
	}
	for i := range lines {
		if lines[i] != want[i] {
			t.Errorf("decisions changed:\n got %s\nwant %s", lines[i], want[i])
		}
	}
}

const second = int64(1e6)

var (
	kindVotes   replica.Kind = 1
	kindDecided replica.Kind = 2
)

// gateway is one of the storm's, with what it sees of the zones and what it holds of them.
type gateway struct {
	name  string
	state *replica.State
	sight *zonal.Sight
	zones *zonal.State
}

// fleet is some gateways before zones that fail and come back.
type fleet struct {
	random   *rand.Rand
	now      int64
	conf     zonal.Config
	gateways []*gateway
	failing  []float64 // part of the ends that fail, by zone
	busy     []float64 // of their aim, what answers take, by zone
	answers  *answers
}

func newFleet(conf zonal.Config, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(2027, seed)), now: 1_700_000_000 * second, conf: conf, answers: newAnswers(),
		failing: make([]float64, len(conf.Zones)), busy: make([]float64, len(conf.Zones))}
	forms := map[replica.Kind]replica.Form{kindVotes: {Name: "votes", Rule: replica.Newest, Keep: 60 * second, Most: 64},
		kindDecided: {Name: "decided", Rule: replica.Decided, Keep: 60 * second, Most: 80}}
	for i := range 9 {
		conf.Own = i%(len(conf.Zones)+1) - 1
		name := "n" + strconv.Itoa(i)
		state := replica.New(replica.Config{Self: name, Incarnation: 1, Ahead: 5 * second, Forms: forms})
		council := accord.New(accord.Config{Self: name, Votes: kindVotes, Decided: kindDecided, Delay: second, Turn: second / 5,
			Fresh: 30 * second, Hold: 60 * second, Majority: true}, state)
		sight := zonal.NewSight(zonal.SightConfig{Zones: len(conf.Zones), Window: 3 * second, Least: 3, Groups: 2, Part: 0.6})
		f.gateways = append(f.gateways, &gateway{name, state, sight, zonal.New(conf, council)})
	}
	return f
}

func (f *fleet) odds(part float64) bool { return f.random.Float64() < part }

// see has a gateway see some ends of attempts and probes.
func (f *fleet) see(g *gateway) {
	for range 30 {
		zone, host := f.random.IntN(len(f.conf.Zones)), f.random.IntN(8)
		end := zonal.End{Host: "host" + strconv.Itoa(zone*8+host), Zone: zone, Group: int64(host % 4), Failed: f.odds(f.failing[zone]),
			Probe: f.odds(0.2), At: f.now - int64(f.random.IntN(int(second/5)))}
		if f.odds(0.9) {
			end.Used = f.busy[zone] * (0.5 + f.random.Float64())
		}
		if f.odds(0.01) {
			end.Zone += f.random.IntN(5) - 2
		}
		g.sight.See(end)
	}
}

// told writes down an entry that is to be told, and has most others hear it.
func (f *fleet) told(from *gateway, entry replica.Entry) {
	f.answers.numbers(int64(entry.Kind), int64(entry.Sequence), entry.Stamp)
	f.answers.text(entry.Name)
	f.answers.text(entry.Origin)
	f.answers.text(string(entry.Value))
	for _, other := range f.gateways {
		if other != from && f.odds(0.9) {
			other.state.Merge(f.now, entry)
		}
	}
}

// vote has a gateway say what it sees, and writes that down.
func (f *fleet) vote(g *gateway) {
	views := g.sight.Views(f.now, g.zones.Own())
	for _, view := range views {
		f.answers.numbers(int64(view.Verdict), int64(view.Used), int64(view.Load))
	}
	entry, ok := g.zones.Vote(f.now, views)
	if f.answers.truth(ok); ok {
		f.told(g, entry)
	}
}

// decide has a gateway decide, and writes down all that it then holds.
func (f *fleet) decide(g *gateway) {
	members := accord.Roll{}
	for _, other := range f.gateways {
		members[other.name] = other == g || f.odds(0.95)
	}
	for _, entry := range g.zones.Decide(f.now, members) {
		f.told(g, entry)
	}
	for _, line := range g.zones.Lines() {
		f.answers.text(line.Zone)
		f.answers.numbers(int64(line.Epoch), int64(line.Share), int64(line.Next))
		f.answers.truth(line.Text != "")
	}
	shares, epoch := g.zones.Epoch(f.now)
	f.answers.text(string(shares))
	f.answers.numbers(int64(epoch), g.zones.Late(f.now))
	for zone := range f.conf.Zones {
		f.answers.numbers(int64(g.zones.Share(f.now, zone)))
	}
	g.state.Upkeep(f.now)
}

// change has a zone fail or recover, and answers take more or less of their aim.
func (f *fleet) change() {
	for zone := range f.failing {
		f.failing[zone], f.busy[zone] = 0.02, 0.05+f.random.Float64()*0.9
	}
	if f.odds(0.7) {
		f.failing[f.random.IntN(len(f.failing))] = 0.5 + f.random.Float64()
	}
	if f.odds(0.1) { // and another
		f.failing[f.random.IntN(len(f.failing))] = 1
	}
	if f.odds(0.1) {
		g := f.gateways[f.random.IntN(len(f.gateways))]
		g.zones.Pin(f.random.IntN(len(f.failing)), zonal.Pin(f.random.IntN(3)))
	}
	if f.odds(0.1) { // a vote and a decision of who has other zones in mind
		g := f.gateways[0]
		f.told(g, g.state.Put(f.now, kindVotes, "zones", []byte{1, 9}))
		_, epoch := g.zones.Epoch(f.now)
		f.told(g, g.state.Decide(f.now, kindDecided, "zones", epoch+1, []byte{1, 100, 0, 0, 0, 0, 0, 0, 0, 0, 100, 'x'}))
	}
}

func storm(conf zonal.Config, seed uint64) string {
	f := newFleet(conf, seed)
	for round := range 450 {
		f.now += second/4 + int64(f.random.IntN(int(second/2)))
		if round%25 == 10 {
			f.change()
			f.now += int64(f.random.IntN(int(5 * second))) // nothing is seen for a while
		}
		for _, g := range f.gateways {
			f.now += int64(f.random.IntN(1000))
			if f.odds(0.95) {
				f.see(g)
			}
			f.vote(g)
			f.decide(g)
		}
	}
	return hex.EncodeToString(f.answers.sum.Sum(nil))
}

// What gateways see of zones, vote, and come to hold stays as it was when the golden file was written.
func TestDecisionsStayTheSame(t *testing.T) {
	base := zonal.Config{Zones: []string{"a", "b", "c"}, AtOnce: 1, Bad: 0.6, Views: 3, Bear: 0.6,
		Steps: []byte{2, 5, 10, 20, 40, 70, zonal.Whole}, Step: 2 * second, Away: 4 * second, AwayMax: 20 * second,
		Calm: 10 * second, Pace: true, Capacity: true}
	unpaced, boundless, single, short := base, base, base, base
	unpaced.Pace = false
	boundless.Capacity, boundless.AtOnce, boundless.Zones = false, 2, []string{"a", "b", "c", "d"}
	single.Zones = []string{"a"}
	short.Steps, short.Bad, short.Views, short.Step = []byte{5, 50}, 0.5, 1, 8*second
	var lines []string
	for i, s := range []struct {
		name string
		conf zonal.Config
	}{{"base", base}, {"unpaced", unpaced}, {"boundless", boundless}, {"single", single}, {"short", short}} {
		lines = append(lines, s.name+" "+storm(s.conf, uint64(i)))
	}
	compare(t, lines)
}
