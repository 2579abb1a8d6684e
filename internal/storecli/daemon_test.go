package storecli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/app"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	gatewaypkg "cloverrock/internal/gateway"
	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/warmstart"
)

const limit = 30 * time.Second

// gateway is a gateway as the daemon sees it.
type gateway struct {
	mu       sync.Mutex
	facts    balance.Snapshot
	list     discovery.EndpointList
	believed chan balance.Snapshot
	reloads  chan *config.Config
}

func (g *gateway) Reload(c *config.Config, err error) ([]string, bool) {
	if err != nil {
		c = nil
	}
	g.reloads <- c
	if c != nil && c.MemoryMB != 192 {
		return []string{"limits"}, true
	}
	return nil, true
}

func (g *gateway) Snapshot() (balance.Snapshot, discovery.EndpointList, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.facts, g.list.Clone(), true
}

func (g *gateway) ObserveOutcomes(func(string, int, gatewaypkg.Outcome)) {}
func (g *gateway) SetZoneShares(balance.ZoneShares)                      {}

func (g *gateway) Restore(f balance.Snapshot, l *discovery.EndpointList) {
	g.mu.Lock()
	if l != nil {
		g.list = *l
	}
	g.mu.Unlock()
	g.believed <- f
}

func newGateway() *gateway {
	return &gateway{believed: make(chan balance.Snapshot, 4), reloads: make(chan *config.Config, 16)}
}

// rig is a store of one on this machine, with a gateway's configuration.
type rig struct {
	t      *testing.T
	dir    string
	getenv func(string) string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, dir: t.TempDir()}
	free, err := loopback.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	conf := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(conf, []byte(`{"name":"a","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"tickMs":5,
		"classes":[{"name":"x","aimMs":1,"deadlineMs":1,"repeat":"read_like"}],"extra":{"classRead":["loose"]},"limits":{"maxAttempts":1}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.getenv = func(k string) string {
		return map[string]string{"EDGE_CONFIG": conf, "EDGE_DISCOVERY": "127.0.0.1:3"}[k]
	}
	r.run(0, "store init --dir "+filepath.Join(r.dir, "store")+" --local --member a="+free[0])
	return r
}

// run carries out a command as the operator and returns what it printed.
func (r *rig) run(code int, line string) string {
	r.t.Helper()
	var out bytes.Buffer
	args := strings.Fields(line)
	if !strings.Contains(line, "init") {
		args = append(args, "--as", filepath.Join(r.dir, "store", "operator.json"))
	}
	if got := app.Main(args, r.getenv, &out, &out, Extension{}); got != code {
		r.t.Fatalf("%s: %d, %s", line, got, out.String())
	}
	return out.String()
}

func (r *rig) put(body string, code int) string {
	r.t.Helper()
	path := filepath.Join(r.dir, "doc.json")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return r.run(code, "store put gateway --file "+path)
}

func (r *rig) start(g *gateway) *daemon {
	r.t.Helper()
	wait := int(limit.Milliseconds())
	set, err := settings.Load(filepath.Join(r.dir, "store", "a.json"))
	if err != nil {
		r.t.Fatal(err)
	}
	set.Learned, set.Store.StartWaitMS, set.Store.TickMS = &settings.Learned{WriteMS: 50, BelieveMS: 60000}, &wait, 10
	d := startDaemon(set, r.getenv, zerolog.New(zerolog.NewTestWriter(r.t)).Level(zerolog.ErrorLevel+1))
	d.Attach(g)
	return d
}

func next[T any](t *testing.T, ch chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(limit):
		t.Fatal("nothing came")
		panic("")
	}
}

// running waits until the store says that the gateway has looked at a revision.
func (r *rig) running(d *daemon, revision int64) documents.Running {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		var st struct{ Running []documents.Running }
		if err := json.Unmarshal([]byte(r.run(0, "store status --output json")), &st); err != nil {
			r.t.Fatal(err)
		}
		for _, x := range st.Running {
			if x.Revision == revision {
				return x
			}
		}
		if ctx.Err() != nil {
			r.t.Fatalf("revision %d is not told: %+v", revision, st)
		}
	}
}

func TestDocumentReachesTheGateway(t *testing.T) {
	r := newRig(t)
	g := newGateway()
	d := r.start(g)
	defer func() { d.Close() }()
	r.put(`{"discovery":"127.0.0.1:7"}`, 0)
	if c := next(t, g.reloads); c == nil || c.Discovery != "127.0.0.1:7" {
		t.Errorf("%+v", c)
	}
	if x := r.running(d, 1); x.State != "applied" || x.Applied != 1 || x.Instance != "a" {
		t.Errorf("%+v", x)
	}
	if out := r.put(`{"discovery":"nowhere"}`, app.ExitRejected); !strings.Contains(out, "discovery") {
		t.Errorf("%s", out)
	}
	r.put(`{"limits":{"memory_mb":64},"instances":{"a":{"discovery":"127.0.0.1:8"},"b":{"discovery":"127.0.0.1:9"}}}`, 0)
	if c := next(t, g.reloads); c == nil || c.Discovery != "127.0.0.1:8" || c.MemoryMB != 64 {
		t.Errorf("%+v", c)
	}
	if x := r.running(d, 2); x.State != "restart" || x.Applied != 1 || !strings.Contains(x.Detail, "limits") {
		t.Errorf("%+v", x)
	}
	// Its form is good, and it means nothing here: this instance says so, and goes on with what it has.
	r.put(`{"settings":{"tickMs":5}}`, 0)
	if c := next(t, g.reloads); c != nil {
		t.Errorf("%+v", c)
	}
	if x := r.running(d, 3); x.State != "failed" || !strings.Contains(x.Detail, "settings.classes") {
		t.Errorf("%+v", x)
	}
	r.run(0, "store rollback gateway 2")
	if c := next(t, g.reloads); c == nil || c.Discovery != "127.0.0.1:8" {
		t.Errorf("%+v", c)
	}
	if c, err := d.ReloadConfig(); err != nil || c.Discovery != "127.0.0.1:8" {
		t.Errorf("on a signal: %+v, %v", c, err)
	}
	// A fresh gateway begins with the local copy.
	d.Close()
	d = r.start(newGateway())
	conf, err := config.Load(r.getenv)
	if err != nil {
		t.Fatal(err)
	}
	if c := d.OverlayConfig(conf); c.Discovery != "127.0.0.1:8" || c.MemoryMB != 64 {
		t.Errorf("at the start: %+v", c)
	}
}

func TestFreshGatewayBelievesWhatTheOneBeforeLearned(t *testing.T) {
	r := newRig(t)
	now := time.Now().UnixMicro()
	g := newGateway()
	g.facts = balance.Snapshot{Groups: []balance.GroupSnapshot{{Group: 1, Primary: "h1", ObservedAt: now}},
		Hosts: []balance.HostSnapshot{{Host: "h1", Group: 1, Position: now, PositionAt: now, Primary: true}, {Host: "h2", Group: 1, Position: now - 9, PositionAt: now, Down: true}}}
	g.list = discovery.EndpointList{Generation: 8, Complete: true, Endpoints: []balance.Endpoint{{Host: "h1", Group: 1, State: balance.Ready}}, Addresses: map[string]string{"h1": "127.0.0.1:9"}}
	d := r.start(g)
	next(t, g.believed)
	for !strings.Contains(r.run(0, "store key list "+warmstart.NS), "host/h2") { // until it is written
	}
	d.Close()
	fresh := newGateway()
	d = r.start(fresh)
	defer d.Close()
	f := next(t, fresh.believed)
	if len(f.Groups) != 1 || f.Groups[0].Primary != "h1" || len(f.Hosts) != 2 || !f.Hosts[1].Down || fresh.list.Generation != 8 || fresh.list.Addresses["h1"] != "127.0.0.1:9" {
		t.Errorf("%+v, %+v", f, fresh.list)
	}
}

// A store that does not start does not keep the gateway from serving.
func TestDamagedStoreLeavesTheGatewayAlone(t *testing.T) {
	r := newRig(t)
	data := filepath.Join(r.dir, "store", "a-data")
	for _, name := range []string{"identity.json", "snap-0000000000000001"} {
		b, err := os.ReadFile(filepath.Join(data, name))
		if err != nil {
			t.Fatal(err)
		}
		spoilt := append([]byte("x"), b...)
		if err := os.WriteFile(filepath.Join(data, name), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		d := r.start(newGateway())
		conf, err := config.Load(r.getenv)
		if err != nil {
			t.Fatal(err)
		}
		if c := d.OverlayConfig(conf); c != conf {
			t.Error("a damaged store has told something")
		}
		d.Close()
		if out := r.run(app.ExitDamaged, "store verify --data "+data); !strings.Contains(out, name) || !strings.Contains(out, "offset") {
			t.Errorf("%s", out)
		}
		if err := os.WriteFile(filepath.Join(data, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if out := r.run(0, fmt.Sprintf("store verify --data %s", data)); !strings.Contains(out, "good") {
		t.Errorf("%s", out)
	}
}

// After the loss of a majority a backup becomes a new store of one: the documents are there, the cluster is another,
// and the old members are no longer any.
func TestRestoreFoundsAnotherStore(t *testing.T) {
	r := newRig(t)
	g := newGateway()
	d := r.start(g)
	r.put(`{"discovery":"127.0.0.1:7"}`, 0)
	next(t, g.reloads)
	backup, settingsFile := filepath.Join(r.dir, "bak"), filepath.Join(r.dir, "store", "a.json")
	r.run(0, "store backup --file "+backup)
	before := r.run(0, "store status --output json")
	d.Close()
	out := r.run(app.ExitFailed, "store restore --settings "+settingsFile+" --file "+backup) // its directory is not empty
	if !strings.Contains(out, "belongs to instance a already") {
		t.Errorf("%s", out)
	}
	if err := os.Rename(filepath.Join(r.dir, "store", "a-data"), filepath.Join(r.dir, "lost")); err != nil {
		t.Fatal(err)
	}
	r.run(0, "store restore --settings "+settingsFile+" --file "+backup)
	d = r.start(newGateway())
	defer d.Close()
	var was, is struct {
		Instance struct {
			Cluster, Name string
			Members       map[string]any
		}
	}
	_ = json.Unmarshal([]byte(before), &was)
	if err := json.Unmarshal([]byte(r.run(0, "store status --output json")), &is); err != nil {
		t.Fatal(err)
	}
	if is.Instance.Cluster == was.Instance.Cluster || is.Instance.Cluster == "" || len(is.Instance.Members) != 1 {
		t.Errorf("%+v, and before %+v", is, was)
	}
	if out := r.run(0, "store get gateway --output json"); !strings.Contains(out, "127.0.0.1:7") || !strings.Contains(out, `"revision":1`) {
		t.Errorf("%s", out)
	}
	r.run(0, "store history gateway")
	spoilt, err := os.ReadFile(backup)
	if err != nil {
		t.Fatal(err)
	}
	spoilt[len(spoilt)/2] ^= 1
	if err := os.WriteFile(backup, spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	if out := r.run(app.ExitDamaged, "store verify --file "+backup); !strings.Contains(out, "offset") {
		t.Errorf("%s", out)
	}
}
