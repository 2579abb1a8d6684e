// Package node runs one instance of the store: it connects a core.Core to a data directory, to the other instances and
// to clients. One goroutine, the owner, has exclusive use of the core and the log. Goroutines for connections pass it
// messages and functions through channels, and read the members and the leader from an immutable view. The gateway never
// waits for any of these goroutines while it serves a request.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/transport"
)

const (
	defaultTick             = 50 * time.Millisecond
	defaultSnapshotRate     = 16 << 20 // bytes a second
	minSnapshotBytesPerTick = 64 << 10 // bytes of snapshots that may be sent in each tick even at a low SnapshotRate
	proposalTimeout         = 3 * time.Second
	stepDownTimeout         = 2 * time.Second // for the transfer of leadership before the instance stops
	inboxSize               = 4096            // messages of other instances that the owner has not processed yet
	taskQueueSize           = 4096            // functions that the owner has not run yet
	logBurst                = 5               // log lines about connections that are written at most in each logPeriod
	logPeriod               = 10 * time.Second
)

// ErrStopped is the error of calls to an instance that has stopped.
var ErrStopped = errors.New("store: this instance is stopped")

// Validator checks a document before it is committed. schema is the latest schema document for it in the store, or nil
// if there is none.
type Validator func(name string, body, schema []byte) error

// Config of a node. Zero values of Tick and SnapshotRate get defaults.
type Config struct {
	Name            string // of the instance, as in its certificate and its member record
	Data            string // path of the data directory
	Listen          string // HOST:PORT
	Advertise       string // address at which the other instances reach this one; empty: the address that it listens on
	TLS             *tls.Config
	Routes          map[string]string // by the peer's name: the address to dial instead of the peer's own
	Tick            time.Duration
	ElectionTicks   int    // ticks without a leader before an election; 0: the default of package core
	SnapshotEntries uint64 // entries between snapshots; 0: the default of package core
	SnapshotRate    int    // bytes a second for sending snapshots to other instances
	Log             zerolog.Logger
	NoSync          bool // do not sync the log; only for fault-injection tests
	Validate        Validator
}

func (c *Config) setDefaults() {
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.SnapshotRate == 0 {
		c.SnapshotRate = defaultSnapshotRate
	}
}

func (c *Config) core(id, nonce uint64, log zerolog.Logger) core.Config {
	bytesPerTick := int(int64(c.SnapshotRate) * int64(c.Tick) / int64(time.Second))
	return core.Config{
		ID:                   id,
		Nonce:                nonce,
		TickMS:               c.Tick.Milliseconds(),
		ElectionTicks:        c.ElectionTicks,
		SnapshotInterval:     c.SnapshotEntries,
		RetainedEntries:      c.SnapshotEntries / 4,
		TimeoutTicks:         max(1, int(proposalTimeout/c.Tick)),
		SnapshotBytesPerTick: max(minSnapshotBytesPerTick, bytesPerTick),
		Logger:               raftLog{log},
	}
}

// Node is a running instance.
type Node struct {
	conf      Config
	log       zerolog.Logger
	dir       *disk.Dir
	store     *disk.Store
	core      *core.Core // used by the owner only
	transport *transport.Transport
	listener  net.Listener

	inbox    chan peerMessage
	tasks    chan func()   // run by the owner
	stop     chan struct{} // closed to make the instance stop
	stopOnce sync.Once
	ended    chan struct{} // closed when the instance has stopped
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup // of the listener and the connections

	callbacks        map[uint64]func(core.Answer) // of proposals and reads in progress, by token
	lastToken        uint64
	stalledWork      *core.Work // work that could not be saved because the disk is full; nil: none
	stalledAt        time.Time
	publishedVersion uint64 // version of the members in the view
	snapshotWriters  sync.WaitGroup

	failure     atomic.Pointer[error]
	view        atomic.Pointer[clusterView]
	watchers    *broadcast
	connections atomic.Int64
	clients     atomic.Int64 // of these, connections of clients
}

// Open opens the directory and starts the instance. The error wraps disk.ErrEmpty if the directory has no identity, and
// is a *disk.CorruptError if its data is damaged.
func Open(conf Config) (*Node, error) {
	conf.setDefaults()
	dir, err := disk.OpenDir(conf.Data)
	if err != nil {
		return nil, err
	}
	store, opened, err := disk.Open(dir, disk.Options{NoSync: conf.NoSync})
	if err != nil {
		return nil, errors.Join(err, dir.Close())
	}
	n := &Node{
		conf:      conf,
		log:       conf.Log.With().Str("store", conf.Name).Logger(),
		dir:       dir,
		store:     store,
		inbox:     make(chan peerMessage, inboxSize),
		tasks:     make(chan func(), taskQueueSize),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
		callbacks: map[uint64]func(core.Answer){},
		watchers:  newBroadcast(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.start(opened); err != nil {
		n.cancel()
		return nil, errors.Join(err, store.Close(), dir.Close())
	}
	return n, nil
}

// start starts the core, the listener and the goroutines. After an error no goroutine runs.
func (n *Node) start(opened *disk.Opened) error {
	if opened.Loaded.TornBytes > 0 {
		n.log.Warn().Int64("bytes", opened.Loaded.TornBytes).Msg("store: torn log end truncated")
	}
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return fmt.Errorf("store: start: %w", err)
	}
	identity := n.store.Identity
	conf := n.conf.core(identity.Node, binary.LittleEndian.Uint64(nonce[:]), n.log)
	initial := core.InitialState{Snapshot: opened.Snapshot, SnapshotName: opened.SnapshotName, Log: opened.Loaded}
	var err error
	if n.core, err = core.New(conf, initial); err != nil {
		return err
	}
	if n.listener, err = net.Listen("tcp", n.conf.Listen); err != nil {
		return fmt.Errorf("store: listen: %w", err)
	}
	if n.conf.Advertise == "" {
		n.conf.Advertise = n.listener.Addr().String()
	}
	hello := frame.Hello{Peer: true, Cluster: identity.Cluster, ID: identity.Node, Address: n.conf.Advertise}
	n.transport = transport.New(transport.Config{
		TLS:       n.conf.TLS,
		Routes:    n.conf.Routes,
		Log:       n.connectionLog(),
		Hello:     hello,
		OnRemoved: n.fail,
	})
	n.publish()
	n.wg.Go(n.accept)
	go n.run()
	return nil
}

// connectionLog returns a rate-limited logger for events that any remote host can cause.
func (n *Node) connectionLog() zerolog.Logger {
	return n.log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
}

// Identity returns the cluster, id and name of the instance.
func (n *Node) Identity() disk.Identity { return n.store.Identity }

// Address returns the HOST:PORT on which the instance listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Ended returns a channel that is closed when the instance has stopped, by Close or by a failure.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// Err returns the failure that stopped the instance; nil if there was none.
func (n *Node) Err() error {
	if err := n.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// fail stops the instance because of an error. Only the first one is kept.
func (n *Node) fail(err error) {
	if n.failure.CompareAndSwap(nil, &err) {
		n.log.Error().Err(err).Msg("store: instance failed, stopping")
	}
	n.signalStop()
}

func (n *Node) signalStop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Close transfers leadership, for which it waits at most stepDownTimeout, and stops the instance. It returns the failure that
// had stopped the instance before, if there was one.
func (n *Node) Close() error {
	done := make(chan struct{})
	if n.post(func() { n.stepDown(done) }) {
		select {
		case <-done:
		case <-n.ended:
		case <-time.After(stepDownTimeout):
		}
	}
	n.signalStop()
	<-n.ended
	return n.Err()
}

// stepDown transfers leadership if this instance is the leader, and closes done once it is not the leader.
func (n *Node) stepDown(done chan struct{}) {
	if _, transferring := n.core.TransferLeadership(); !transferring {
		close(done)
		return
	}
	n.awaitStepDown(done)
}

// awaitStepDown closes done once this instance is not the leader. It checks once a tick.
func (n *Node) awaitStepDown(done chan struct{}) {
	if !n.core.IsLeader() {
		close(done)
		return
	}
	time.AfterFunc(n.conf.Tick, func() { n.post(func() { n.awaitStepDown(done) }) })
}
