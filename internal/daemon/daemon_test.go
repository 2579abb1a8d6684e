package daemon

import (
	"context"
	"encoding/json"
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
	"cloverrock/internal/settings"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/storecmd/storetest"
	"cloverrock/internal/warmstart"
)

// testTimeout ends a test that hangs. The result of a test does not depend on how long anything takes.
const testTimeout = 30 * time.Second

// gateway is a fake app.Gateway that records the daemon's calls.
type gateway struct {
	mu       sync.Mutex
	snapshot balance.Snapshot
	list     discovery.EndpointList
	restored chan balance.Snapshot
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
	return g.snapshot, g.list.Clone(), true
}

func (g *gateway) ObserveOutcomes(func(string, int, gatewaypkg.Outcome)) {}
func (g *gateway) SetZoneShares(balance.ZoneShares)                      {}

func (g *gateway) Restore(f balance.Snapshot, l *discovery.EndpointList) {
	g.mu.Lock()
	if l != nil {
		g.list = *l
	}
	g.mu.Unlock()
	g.restored <- f
}

func newGateway() *gateway {
	return &gateway{restored: make(chan balance.Snapshot, 4), reloads: make(chan *config.Config, 16)}
}

// fixture is a store whose instance runs beside a gateway.
type fixture struct{ *storetest.Fixture }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{storetest.New(t, Extension{})}
}

func (f *fixture) start(g *gateway) *daemon {
	f.T.Helper()
	wait := int(testTimeout.Milliseconds())
	set, err := settings.Load(f.Path("store", "a.json"))
	if err != nil {
		f.T.Fatal(err)
	}
	set.WarmStart = &settings.WarmStart{WriteIntervalMS: 50, MaxAgeMS: 60000}
	set.Store.StartWaitMS = &wait
	set.Store.TickMS = 10
	d := start(set, f.Getenv, zerolog.New(zerolog.NewTestWriter(f.T)).Level(zerolog.ErrorLevel+1))
	d.Attach(g)
	return d
}

func next[T any](t *testing.T, ch chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no event within the time limit")
		panic("")
	}
}

// awaitStatus waits until the gateway's report on a revision is in the store.
func (f *fixture) awaitStatus(revision int64) documents.Running {
	f.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		var status struct{ Running []documents.Running }
		if err := json.Unmarshal([]byte(f.Run(0, "store status --output json")), &status); err != nil {
			f.T.Fatal(err)
		}
		for _, running := range status.Running {
			if running.Revision == revision {
				return running
			}
		}
		if ctx.Err() != nil {
			f.T.Fatalf("revision %d was not reported in time: %+v", revision, status)
		}
	}
}

// expectStatus waits for the report on a revision and checks it. The reported detail must contain the given one.
func (f *fixture) expectStatus(revision int64, state string, applied int64, detail string) {
	f.T.Helper()
	status := f.awaitStatus(revision)
	if status.State != state || status.Applied != applied || status.Instance != "a" || !strings.Contains(status.Detail, detail) {
		f.T.Errorf("revision %d is reported as %+v, want %s, applied %d, %q", revision, status, state, applied, detail)
	}
}

// expectReload waits for the gateway's next reload and checks the discovery address of its configuration.
func expectReload(t *testing.T, g *gateway, address string) *config.Config {
	t.Helper()
	conf := next(t, g.reloads)
	if conf == nil || conf.Discovery != address {
		t.Fatalf("reload with %+v, want discovery at %s", conf, address)
	}
	return conf
}

func TestGatewayAppliesEachRevisionOfTheDocument(t *testing.T) {
	f := newFixture(t)
	g := newGateway()
	d := f.start(g)
	defer func() { d.Close() }()
	f.PutDocument(`{"discovery":"127.0.0.1:7"}`, 0)
	expectReload(t, g, "127.0.0.1:7")
	f.expectStatus(1, "applied", 1, "")
	if out := f.PutDocument(`{"discovery":"nowhere"}`, app.ExitRejected); !strings.Contains(out, "discovery") {
		t.Errorf("a document that is not valid by its schema: %s", out)
	}
	f.PutDocument(`{"limits":{"memory_mb":64},"instances":{"a":{"discovery":"127.0.0.1:8"},"b":{"discovery":"127.0.0.1:9"}}}`, 0)
	if c := expectReload(t, g, "127.0.0.1:8"); c.MemoryMB != 64 {
		t.Errorf("memory limit of %d MB, want 64", c.MemoryMB)
	}
	f.expectStatus(2, "restart", 1, "limits")
	// The document is valid by its schema but cannot be applied: the instance reports that and keeps its configuration.
	f.PutDocument(`{"settings":{"tickMs":5}}`, 0)
	if c := next(t, g.reloads); c != nil {
		t.Errorf("reload with %+v", c)
	}
	f.expectStatus(3, "failed", 1, "settings.classes")
	f.Run(0, "store rollback gateway 2")
	expectReload(t, g, "127.0.0.1:8")
	if c, err := d.ReloadConfig(); err != nil || c.Discovery != "127.0.0.1:8" {
		t.Errorf("configuration of a reload by signal: %+v, %v", c, err)
	}
	// A restarted gateway starts with the local copy of the document.
	d.Close()
	d = f.start(newGateway())
	conf, err := config.Load(f.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	if c := d.OverlayConfig(conf); c.Discovery != "127.0.0.1:8" || c.MemoryMB != 64 {
		t.Errorf("configuration at the start: %+v", c)
	}
}

func TestRestartedGatewayRestoresStoredRoutingState(t *testing.T) {
	f := newFixture(t)
	now := time.Now().UnixMicro()
	g := newGateway()
	g.snapshot = balance.Snapshot{
		Groups: []balance.GroupSnapshot{{Group: 1, Primary: "h1", ObservedAt: now}},
		Hosts: []balance.HostSnapshot{
			{Host: "h1", Group: 1, Position: now, PositionAt: now, Primary: true},
			{Host: "h2", Group: 1, Position: now - 9, PositionAt: now, Unhealthy: true},
		},
	}
	g.list = discovery.EndpointList{
		Generation: 8,
		Complete:   true,
		Endpoints:  []balance.Endpoint{{Host: "h1", Group: 1, State: balance.Ready}},
		Addresses:  map[string]string{"h1": "127.0.0.1:9"},
	}
	d := f.start(g)
	next(t, g.restored)
	for !strings.Contains(f.Run(0, "store key list "+warmstart.NS), "host/h2") { // until the state is written
	}
	d.Close()
	fresh := newGateway()
	d = f.start(fresh)
	defer d.Close()
	snapshot := next(t, fresh.restored)
	if len(snapshot.Groups) != 1 || snapshot.Groups[0].Primary != "h1" || len(snapshot.Hosts) != 2 || !snapshot.Hosts[1].Unhealthy {
		t.Errorf("restored snapshot: %+v", snapshot)
	}
	if fresh.list.Generation != 8 || fresh.list.Addresses["h1"] != "127.0.0.1:9" {
		t.Errorf("restored list: %+v", fresh.list)
	}
}

// A gateway starts without the store if the store's data is damaged.
func TestGatewayStartsWithDamagedStore(t *testing.T) {
	f := newFixture(t)
	data := f.Path("store", "a-data")
	for _, name := range []string{"identity.json", "snap-0000000000000001"} {
		b := f.Read(filepath.Join(data, name))
		f.Write(filepath.Join(data, name), append([]byte("x"), b...))
		d := f.start(newGateway())
		conf, err := config.Load(f.Getenv)
		if err != nil {
			t.Fatal(err)
		}
		if c := d.OverlayConfig(conf); c != conf {
			t.Error("a damaged store has changed the configuration")
		}
		d.Close()
		if out := f.Run(app.ExitDamaged, "store verify --data "+data); !strings.Contains(out, name) || !strings.Contains(out, "offset") {
			t.Errorf("%s", out)
		}
		f.Write(filepath.Join(data, name), b)
	}
	if out := f.Run(0, "store verify --data "+data); !strings.Contains(out, "good") {
		t.Errorf("%s", out)
	}
}

// After the loss of a majority, a backup is restored as a new cluster with one member. The new cluster has the documents,
// another cluster id, and none of the old members.
func TestRestoreCreatesNewClusterWithTheDocuments(t *testing.T) {
	f := newFixture(t)
	g := newGateway()
	d := f.start(g)
	f.PutDocument(`{"discovery":"127.0.0.1:7"}`, 0)
	next(t, g.reloads)
	backup, settingsFile := f.Path("bak"), f.Path("store", "a.json")
	f.Run(0, "store backup --file "+backup)
	before := f.Run(0, "store status --output json")
	d.Close()
	out := f.Run(app.ExitFailed, "store restore --settings "+settingsFile+" --file "+backup) // refused, because the data directory is not empty
	if !strings.Contains(out, "belongs to instance a already") {
		t.Errorf("%s", out)
	}
	if err := os.Rename(f.Path("store", "a-data"), f.Path("lost")); err != nil {
		t.Fatal(err)
	}
	f.Run(0, "store restore --settings "+settingsFile+" --file "+backup)
	d = f.start(newGateway())
	defer d.Close()
	var was, is struct {
		Instance struct {
			Cluster, Name string
			Members       map[string]any
		}
	}
	if err := json.Unmarshal([]byte(before), &was); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(f.Run(0, "store status --output json")), &is); err != nil {
		t.Fatal(err)
	}
	if is.Instance.Cluster == was.Instance.Cluster || is.Instance.Cluster == "" || len(is.Instance.Members) != 1 {
		t.Errorf("the restored cluster is %+v, the lost one was %+v", is, was)
	}
	if out := f.Run(0, "store get gateway --output json"); !strings.Contains(out, "127.0.0.1:7") || !strings.Contains(out, `"revision":1`) {
		t.Errorf("%s", out)
	}
	f.Run(0, "store history gateway")
	damaged := f.Read(backup)
	damaged[len(damaged)/2] ^= 1
	f.Write(backup, damaged)
	if out := f.Run(app.ExitDamaged, "store verify --file "+backup); !strings.Contains(out, "offset") {
		t.Errorf("%s", out)
	}
}
