package storecli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/app"
	"cloverrock/internal/config"
	"cloverrock/internal/fleet"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/store/transport"
	"cloverrock/internal/warmstart"
)

const (
	gatewayDocument = "gateway"
	joinRetry       = 2 * time.Second
	statusTTL       = 15 * time.Second // what a dead instance said of itself goes after this
)

// openOrJoin opens an instance's directory. An empty one has no vote, whatever its name was: it joins first.
func openOrJoin(ctx context.Context, set *settings.Store, conf node.Config, token string, log zerolog.Logger) (*node.Node, error) {
	n, err := node.Open(conf)
	for errors.Is(err, disk.ErrEmpty) && len(set.Join) > 0 {
		log.Info().Strs("ask", set.Join).Msg("store: the data directory is empty; this instance joins as a learner")
		if _, err = join(ctx, set, token); err != nil {
			var no *client.Error
			if errors.As(err, &no) && no.Code == frame.CodeRefused {
				return nil, err
			}
			log.Warn().Err(err).Msg("store: nobody lets this instance join yet")
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(joinRetry):
			}
			err = disk.ErrEmpty
			continue
		}
		n, err = node.Open(conf)
	}
	return n, err
}

// join asks the others to take this instance in under a new id, and then makes its directory.
func join(ctx context.Context, set *settings.Store, token string) (uint64, error) {
	conf, err := set.Node()
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(set.Data); err == nil {
		dir, err := disk.OpenDir(set.Data)
		if err != nil {
			return 0, err
		}
		was, err := disk.LoadIdentity(dir)
		dir.Close()
		if err != nil {
			return 0, err
		}
		if was != nil {
			return 0, fmt.Errorf("%s belongs to instance %s already", set.Data, was.Name)
		}
	}
	id, err := randomID()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var cluster uint64
	for _, at := range set.Join { // whose cluster it is says the first that answers
		c, w, dial := transport.Dial(ctx, at, conf.TLS, frame.Hello{}, "")
		if err = dial; err == nil {
			cluster = w.Cluster
			c.Close()
			break
		}
	}
	if err != nil {
		return 0, fmt.Errorf("join: %w: %w", client.ErrUnavailable, err)
	}
	c := client.New(client.Config{Endpoints: set.Join, TLS: conf.TLS})
	defer c.Close()
	if _, err := c.Call(ctx, &frame.Request{Op: frame.OpJoin, Node: id, Address: set.Address(), Token: token}, false); err != nil {
		return 0, err
	}
	return id, create(set.Data, disk.Identity{Cluster: cluster, Node: id, Name: set.Name}, 0, nil)
}

// daemon is the gateway's part in the store. The gateway starts, serves and ends without waiting for it; it hears of
// what the store tells by posted events.
type daemon struct {
	set     *settings.Settings
	getenv  func(string) string
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	opened  chan struct{} // closed when the local copy is there, or will not come
	node    atomic.Pointer[node.Node]
	gateway app.Gateway

	keeper *warmstart.Keeper // nil: what is learned is not kept

	mu      sync.Mutex
	running documents.Running
	changed chan struct{} // it has something new to say
	latest  []byte        // the document that runs or was last tried
}

// Open implements app.Extension.
func (Extension) Open(path string, getenv func(string) string, log zerolog.Logger) (app.Component, error) {
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	var part app.Component = nothing{getenv}
	if set.Store != nil {
		part = startDaemon(set, getenv, log)
	}
	if set.Fleet != nil {
		part = fleet.Wrap(part, set.Fleet, func() (*settings.Settings, error) { return settings.Load(path) }, log)
	}
	return part, nil
}

// nothing is a file that turns nothing on.
type nothing struct{ getenv func(string) string }

func (nothing) OverlayConfig(c *config.Config) *config.Config { return c }
func (nothing) Attach(app.Gateway)                            {}
func (n nothing) ReloadConfig() (*config.Config, error)       { return config.Reload(n.getenv) }
func (nothing) Close()                                        {}

// startDaemon opens the store beside the gateway.
func startDaemon(set *settings.Settings, getenv func(string) string, log zerolog.Logger) *daemon {
	d := &daemon{set: set, getenv: getenv, log: log, opened: make(chan struct{}), changed: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if l := set.Learned; l != nil {
		d.keeper = warmstart.New(warmstart.Config{Name: set.Store.Name, Every: l.WriteMS * 1000, Believe: l.BelieveMS * 1000})
	}
	// With two threads the p99 of requests went from 10.7 to 19.6 ms under a busy store: the goroutine that owns them
	// waited for a thread. With eight it stayed.
	runtime.GOMAXPROCS(max(2, min(8, runtime.NumCPU())))
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer close(d.opened)
		conf, err := set.Store.Node()
		if err == nil {
			conf.Log = log
			var n *node.Node
			if n, err = openOrJoin(d.ctx, set.Store, conf, getenv("CLOVERROCK_TOKEN"), log); err == nil {
				d.node.Store(n)
				log.Info().Str("listen", n.Address()).Msg("store: open")
				return
			}
		}
		if d.ctx.Err() == nil {
			log.Error().Err(err).Msg("store: it does not start; the gateway serves without it")
		}
	}()
	select {
	case <-d.opened:
	case <-time.After(set.Store.StartWait()):
		log.Warn().Msg("store: the local copy is not there yet; the gateway starts without it")
	}
	return d
}

// Close implements app.Part.
func (d *daemon) Close() {
	d.cancel()
	if n := d.node.Load(); n != nil {
		_ = n.Close()
	}
	d.wg.Wait()
}

// local runs f on the local copy, however old, if there is one.
func (d *daemon) local(f func(*machine.Machine)) bool {
	n := d.node.Load()
	if n == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.set.Store.StartWait()+time.Second)
	defer cancel()
	_, err := n.Read(ctx, true, f)
	return err == nil
}

// OverlayConfig implements app.Part: it puts the local copy of the document over the configuration. One that cannot be applied changes nothing.
func (d *daemon) OverlayConfig(conf *config.Config) *config.Config {
	var rev *documents.Revision
	if !d.local(func(m *machine.Machine) { rev, _ = documents.At(m, gatewayDocument, 0) }) || rev == nil {
		return conf
	}
	over, err := config.LoadUnder(d.getenv, rev.Body)
	d.note(rev, nil, err)
	if err != nil {
		d.log.Error().Err(err).Int64("revision", rev.Number).Msg("store: the document gateway is not applied")
		return conf
	}
	d.log.Info().Int64("revision", rev.Number).Msg("store: the document gateway is applied")
	return over
}

// note keeps what this instance says of the document.
func (d *daemon) note(rev *documents.Revision, restart []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.running
	r.Instance, r.Document, r.Revision, r.AtMS, r.Version, r.Detail = d.set.Store.Name, gatewayDocument, rev.Number, time.Now().UnixMilli(), app.Version(), ""
	switch {
	case err != nil:
		r.State, r.Detail = "failed", err.Error()
	case len(restart) > 0:
		r.State, r.Detail = "restart", fmt.Sprintf("these keys need a restart: %v", restart)
	default:
		r.State, r.Applied = "applied", rev.Number
	}
	d.latest = rev.Body
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *daemon) said() (documents.Running, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.latest
}

// Attach implements app.Part: it begins to follow the store for a gateway.
func (d *daemon) Attach(g app.Gateway) {
	d.gateway = g
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		select {
		case <-d.opened:
		case <-d.ctx.Done():
			return
		}
		n := d.node.Load()
		if n == nil {
			return
		}
		if d.keeper != nil {
			d.believe(n)
			d.wg.Add(1)
			go func() { defer d.wg.Done(); d.keep(n) }()
		}
		d.wg.Add(2)
		go func() { defer d.wg.Done(); d.follow(n) }()
		go func() { defer d.wg.Done(); d.report(n) }()
	}()
}

// follow applies each new revision of the document.
func (d *daemon) follow(n *node.Node) {
	apply := func() {
		var rev *documents.Revision
		if _, err := n.Read(d.ctx, true, func(m *machine.Machine) { rev, _ = documents.At(m, gatewayDocument, 0) }); err != nil || rev == nil {
			return
		}
		if was, _ := d.said(); was.Revision == rev.Number {
			return
		}
		conf, err := config.LoadUnder(d.getenv, rev.Body)
		if restart, ok := d.gateway.Reload(conf, err); ok {
			d.note(rev, restart, err)
		}
	}
	apply()
	_ = n.Watch(d.ctx, documents.NS, "head/"+gatewayDocument, 0, func([]machine.Event, int64, bool) error { apply(); return nil })
}

// report tells under a lease what this instance runs. It tries again while the store cannot take it.
func (d *daemon) report(n *node.Node) {
	var lease uint64
	var told documents.Running
	for {
		now, _ := d.said()
		ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
		if lease != 0 {
			res, err := n.Propose(ctx, &machine.Command{Kind: machine.KeepAliveKind, Lease: lease})
			if err == nil && res.Code == machine.NoLease {
				lease, told = 0, documents.Running{}
			}
		}
		if lease == 0 {
			if res, err := n.Propose(ctx, &machine.Command{Kind: machine.GrantLeaseKind, Amount: statusTTL.Milliseconds()}); err == nil && res.Code == machine.OK {
				lease = res.ID
			}
		}
		if lease != 0 && now != told && now.Document != "" {
			if b, err := json.Marshal(&now); err == nil {
				res, err := n.Propose(ctx, &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{{Kind: machine.Put, NS: documents.StatusNS,
					Key: documents.RunningKey(now.Instance, now.Document), Value: b, Lease: lease}}})
				if err == nil && res.Code == machine.OK {
					told = now
				}
			}
		}
		cancel()
		wait := statusTTL / 4
		if now != told {
			wait = time.Second
		}
		select {
		case <-d.ctx.Done():
			return
		case <-n.Ended():
			return
		case <-d.changed:
		case <-time.After(wait):
		}
	}
}

// ReloadConfig implements app.Part: the configuration for a reload by signal, with the document over it.
func (d *daemon) ReloadConfig() (*config.Config, error) {
	if _, doc := d.said(); doc != nil {
		return config.LoadUnder(d.getenv, doc)
	}
	return config.Reload(d.getenv)
}
