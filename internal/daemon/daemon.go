package daemon

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/warmstart"
)

const (
	minThreads = 2
	// maxThreads bounds GOMAXPROCS, which is the number of cores up to this bound: with fewer threads than cores, requests
	// wait for threads that the store's goroutines occupy; see docs/store.md.
	maxThreads = 8
)

// daemon runs a store instance beside a gateway. It implements app.Component.
type daemon struct {
	set     *settings.Settings
	getenv  func(string) string
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	opened  chan struct{}             // closed when opening the instance has succeeded or failed
	node    atomic.Pointer[node.Node] // nil until the instance is open
	gateway app.Gateway
	cache   *warmstart.Cache // nil if warm start is off

	mu       sync.Mutex
	status   documents.Running // report on the last revision of the gateway document that was evaluated
	document []byte            // body of the last revision that was evaluated; nil if there is none
	changed  chan struct{}     // holds a value while a changed status waits to be reported
}

// start opens the store instance in the background, and waits for it at most Store.StartWait. It also sets GOMAXPROCS
// for the process.
func start(set *settings.Settings, getenv func(string) string, log zerolog.Logger) *daemon {
	d := &daemon{set: set, getenv: getenv, log: log, opened: make(chan struct{}), changed: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if learned := set.WarmStart; learned != nil {
		d.cache = warmstart.New(warmstart.Config{
			Name:        set.Store.Name,
			MinInterval: learned.WriteIntervalMS * 1000,
			MaxAge:      learned.MaxAgeMS * 1000,
		})
	}
	runtime.GOMAXPROCS(max(minThreads, min(maxThreads, runtime.NumCPU())))
	d.wg.Go(func() {
		defer close(d.opened)
		if err := d.open(); err != nil && d.ctx.Err() == nil {
			log.Error().Err(err).Msg("store: start failed, gateway serves without it")
		}
	})
	select {
	case <-d.opened:
	case <-time.After(set.Store.StartWait()):
		log.Warn().Msg("store: instance not open within the start wait, gateway starts without it")
	}
	return d
}

// open opens the instance, or joins the store if the data directory is empty.
func (d *daemon) open() error {
	conf, err := d.set.Store.NodeConfig()
	if err != nil {
		return err
	}
	conf.Log = d.log
	n, err := node.OpenOrJoin(d.ctx, conf, node.JoinOptions{
		Addresses: d.set.Store.Join, Token: d.getenv("CLOVERROCK_TOKEN"), Config: d.set.Store.NodeConfig,
	})
	if err != nil {
		return err
	}
	d.node.Store(n)
	d.log.Info().Str("listen", n.Address()).Msg("store: open")
	return nil
}

// Close implements app.Component.
func (d *daemon) Close() {
	d.cancel()
	if n := d.node.Load(); n != nil {
		_ = n.Close() // the node has logged its failure
	}
	d.wg.Wait()
}

// readLocal calls inspect with the local state, even if that is out of date. It reports false if the state cannot be read.
func (d *daemon) readLocal(inspect func(*machine.Machine)) bool {
	n := d.node.Load()
	if n == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.set.Store.StartWait()+time.Second)
	defer cancel()
	_, err := n.Read(ctx, true, inspect)
	return err == nil
}

// Attach implements app.Component. Once the instance is open, it restores the gateway's state, applies documents to the
// gateway and reports its status.
func (d *daemon) Attach(gateway app.Gateway) {
	d.gateway = gateway
	d.wg.Go(func() {
		select {
		case <-d.opened:
		case <-d.ctx.Done():
			return
		}
		n := d.node.Load()
		if n == nil {
			return
		}
		if d.cache != nil {
			d.restoreGateway(n)
			d.wg.Go(func() { d.keepState(n) })
		}
		d.wg.Go(func() { d.followDocument(n) })
		d.wg.Go(func() { d.reportStatus(n) })
	})
}
