// Package node runs one instance of the store: a goroutine that owns its core, the directory, the connections to
// the others, and the calls of clients. Nobody on the path of a request waits for it.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

// Config of a node.
type Config struct {
	Name, Data, Listen, Advertise string
	TLS                           *tls.Config
	Routes                        map[string]string // by name: where to dial a peer instead of its own address
	Tick                          time.Duration
	ElectionTicks                 int
	SnapshotEntries               uint64
	SnapshotRate                  int // bytes a second that snapshots may take on their way to others
	Log                           zerolog.Logger
	LostSyncs                     bool // rehearsals only
	Validate                      Validator
}

// Validator checks a document before it is committed, against the schema that the store has for it, if it has one.
type Validator func(name string, body, schema []byte) error

// ErrStopped says that the instance has ended, or never began.
var ErrStopped = errors.New("store: this instance is stopped")

// maxCommand bounds what a client may propose at once.
const maxCommand = 1 << 20

// Node is a running instance.
type Node struct {
	conf   Config
	log    zerolog.Logger
	dir    *disk.Dir
	store  *disk.Store
	core   *core.Core
	net    *transport.Transport
	ln     net.Listener
	inbox  chan core.Envelope
	posts  chan func()
	stop   chan struct{}
	ended  chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	waits   map[uint64]func(core.Answer)
	token   uint64
	stalled *core.Work // found no room on the disk
	stallAt time.Time
	failed  atomic.Pointer[error]
	view    atomic.Pointer[View]
	watches *watches
	seen    uint64 // version of the members that the transport knows
	conns   atomic.Int64
	saves   sync.WaitGroup
}

// View is what other goroutines may know without asking.
type View struct {
	Cluster uint64
	ID      uint64
	Name    string
	Members map[uint64]core.Member
	Removed func(uint64) bool
	Leader  uint64
}

// Open opens the directory and starts the instance. A directory without an identity gives disk.ErrEmpty, a damaged
// one a *disk.CorruptError.
func Open(conf Config) (*Node, error) {
	if conf.Tick == 0 {
		conf.Tick = 50 * time.Millisecond
	}
	if conf.SnapshotRate == 0 {
		conf.SnapshotRate = 16 << 20
	}
	dir, err := disk.OpenDir(conf.Data)
	if err != nil {
		return nil, err
	}
	store, got, err := disk.Open(dir, disk.Options{NoSync: conf.LostSyncs})
	if err != nil {
		dir.Close()
		return nil, err
	}
	n := &Node{conf: conf, log: conf.Log.With().Str("store", conf.Name).Logger(), dir: dir, store: store, inbox: make(chan core.Envelope, 4096), posts: make(chan func(), 4096),
		stop: make(chan struct{}), ended: make(chan struct{}), waits: map[uint64]func(core.Answer){}, watches: newWatches()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	fail := func(err error) (*Node, error) {
		n.cancel()
		store.Close()
		dir.Close()
		return nil, err
	}
	if got.Loaded.Cut > 0 {
		n.log.Warn().Int64("bytes", got.Loaded.Cut).Msg("store: the log had a torn end; it was cut")
	}
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return fail(fmt.Errorf("store: start: %w", err))
	}
	n.core, err = core.New(core.Config{ID: store.Identity.Node, Nonce: binary.LittleEndian.Uint64(nonce[:]), TickMS: conf.Tick.Milliseconds(),
		ElectionTicks: conf.ElectionTicks, SnapshotInterval: conf.SnapshotEntries, RetainedEntries: conf.SnapshotEntries / 4, TimeoutTicks: max(1, int(3*time.Second/conf.Tick)),
		SnapshotBytesPerTick: max(64<<10, int(int64(conf.SnapshotRate)*int64(conf.Tick)/int64(time.Second))), Logger: raftLog{n.log}},
		core.InitialState{Snapshot: got.Snapshot, SnapshotName: got.Name, Log: got.Loaded})
	if err != nil {
		return fail(err)
	}
	if n.ln, err = net.Listen("tcp", conf.Listen); err != nil {
		return fail(fmt.Errorf("store: listen: %w", err))
	}
	if conf.Advertise == "" {
		n.conf.Advertise = n.ln.Addr().String()
	}
	n.net = transport.New(transport.Config{TLS: conf.TLS, Routes: conf.Routes, Log: n.log.Sample(&zerolog.BurstSampler{Burst: 5, Period: 10 * time.Second}),
		Hello:   frame.Hello{Peer: true, Cluster: store.Identity.Cluster, ID: store.Identity.Node, Address: n.conf.Advertise},
		Refused: n.fail})
	n.publish()
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.accept()
	}()
	go n.run()
	return n, nil
}

// Identity tells who this instance is.
func (n *Node) Identity() disk.Identity { return n.store.Identity }

// Address is where the instance listens.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Ended is closed when the instance has ended, by Close or by a failure.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// Err is the failure that ended the instance, if one did.
func (n *Node) Err() error {
	if p := n.failed.Load(); p != nil {
		return *p
	}
	return nil
}

// fail ends the instance. What it holds stays readable to its own process; it takes no more part.
func (n *Node) fail(err error) {
	if n.failed.CompareAndSwap(nil, &err) {
		n.log.Error().Err(err).Msg("store: this instance stops")
	}
	n.once.Do(func() { close(n.stop) })
}

// Close hands leadership over, saves a snapshot of what was applied, and ends.
func (n *Node) Close() error {
	done := make(chan struct{})
	if n.post(func() { n.leave(done) }) {
		select {
		case <-done:
		case <-n.ended:
		case <-time.After(2 * time.Second):
		}
	}
	n.once.Do(func() { close(n.stop) })
	<-n.ended
	return n.Err()
}

// leave hands over if this instance leads, and tells when another does.
func (n *Node) leave(done chan struct{}) {
	if _, led := n.core.TransferLeadership(); !led {
		close(done)
		return
	}
	var look func()
	look = func() {
		if !n.core.IsLeader() {
			close(done)
			return
		}
		time.AfterFunc(n.conf.Tick, func() { n.post(look) })
	}
	look()
}

// post has a function run by the owner, unless the instance has ended.
func (n *Node) post(f func()) bool {
	select {
	case <-n.stop:
		return false
	case n.posts <- f:
		return true
	}
}

// run is the owner. What raft takes for impossible is a panic there; it ends this instance and not the program.
func (n *Node) run() {
	defer close(n.ended)
	defer n.end()
	defer func() {
		if p := recover(); p != nil {
			n.fail(fmt.Errorf("store: what cannot be: %v", p))
		}
	}()
	tick := time.NewTicker(n.conf.Tick) // monotonic: a clock that is set does not reach it
	defer tick.Stop()
	if err := n.drive(); err != nil { // what the log has for committed is there before anybody reads
		n.fail(err)
	}
	for {
		select {
		case <-n.stop:
			return
		case <-tick.C:
			if n.stalled == nil {
				n.core.Tick()
			}
		case e := <-n.inbox:
			n.step(e)
		case f := <-n.posts:
			f()
		}
		for more := 512; more > 0; more-- { // what has come meanwhile goes with the same sync
			select {
			case e := <-n.inbox:
				n.step(e)
				continue
			case f := <-n.posts:
				f()
				continue
			default:
			}
			break
		}
		if err := n.drive(); err != nil {
			n.fail(err)
		}
	}
}

func (n *Node) step(e core.Envelope) {
	if n.stalled == nil {
		n.core.Step(e)
	}
}

func (n *Node) end() {
	n.cancel()
	n.ln.Close()
	n.net.Close()
	for token, f := range n.waits {
		delete(n.waits, token)
		f(core.Answer{Err: fmt.Errorf("%w: %w", core.ErrOutcomeUnknown, ErrStopped)})
	}
	n.watches.close()
	n.saves.Wait()
	n.wg.Wait()
	n.store.Close()
	n.dir.Close()
}

// drive does all the work that there is.
func (n *Node) drive() error {
	applied := n.core.Machine().Index()
	for {
		if n.core.NeedsSnapshotData() {
			b, _, err := disk.LoadSnapshot(n.dir)
			n.core.ProvideSnapshotData(b, err)
		}
		w := n.stalled
		if w != nil && time.Since(n.stallAt) < time.Second {
			break
		}
		if w == nil {
			if w = n.core.Next(); w == nil {
				break
			}
			n.net.Send(w.SendBeforeSave)
		}
		err := error(nil)
		if w.SnapshotData != nil {
			err = n.store.Install(w.SnapshotMeta, w.SnapshotData)
		}
		if err == nil {
			err = n.store.Log.Save(w.HardState, w.SnapshotMeta, w.Entries)
		}
		if errors.Is(err, disk.ErrFull) {
			// Nothing is acknowledged, no time passes and no heartbeat goes out: the others elect another leader, and
			// this instance tries again each second.
			if n.stalled == nil {
				n.log.Error().Err(err).Msg("store: the disk is full: this instance steps down until there is room")
			}
			n.stalled, n.stallAt = w, time.Now()
			break
		}
		if err != nil {
			return err
		}
		if n.stalled != nil {
			n.log.Info().Msg("store: the disk has room again")
			n.stalled = nil
		}
		n.net.Send(w.SendAfterSave)
		if err := n.core.Done(w); err != nil {
			return err
		}
	}
	for _, a := range n.core.Answers() {
		if f := n.waits[a.Token]; f != nil {
			delete(n.waits, a.Token)
			f(a)
		}
	}
	n.publish()
	if now := n.core.Machine().Index(); now != applied {
		n.watches.wake()
	}
	if s := n.core.DueSnapshot(false); s != nil {
		n.saves.Add(1)
		go func() {
			defer n.saves.Done()
			err := disk.SaveSnapshot(n.dir, s.Meta.GetIndex(), func(w io.Writer) error { return disk.EncodeSnapshot(w, s.Meta, s.Image.Write) })
			n.post(func() { n.saved(s, err) })
		}()
	}
	return nil
}

func (n *Node) saved(s *core.Snapshot, err error) {
	release := n.core.SnapshotSaved(s, err)
	if err != nil {
		n.log.Warn().Err(err).Msg("store: a snapshot could not be saved; the log is kept")
		return
	}
	if release > 0 {
		err = n.store.Log.Release(release)
	}
	if err == nil {
		err = disk.Tidy(n.dir, s.Meta.GetIndex())
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("store: old files stay")
	}
}

// publish lets the others know the members, when they have changed.
func (n *Node) publish() {
	leader := n.core.Leader()
	version := n.core.MembersVersion()
	if v := n.view.Load(); v != nil && n.seen == version {
		if v.Leader != leader {
			next := *v
			next.Leader = leader
			n.view.Store(&next)
			if leader == 0 {
				n.log.Warn().Msg("store: no leader is known: this instance tells what it has, and agrees to nothing")
			} else {
				n.log.Info().Str("leader", v.Members[leader].Name).Msg("store: a leader is known")
			}
		}
		return
	}
	n.seen = version
	removed := map[uint64]bool{}
	for _, id := range core.RemovedIDs(n.core.Machine()) {
		removed[id] = true
	}
	members := core.Members(n.core.Machine())
	n.view.Store(&View{n.store.Identity.Cluster, n.store.Identity.Node, n.conf.Name, members, func(id uint64) bool { return removed[id] }, leader})
	if len(members) == 0 {
		return // nothing was sent to this instance yet; it answers whoever introduces itself
	}
	var all []transport.Member
	for id, m := range members {
		all = append(all, transport.Member{ID: id, Name: m.Name, Address: m.Address})
	}
	n.net.Members(all)
	if me, in := members[n.store.Identity.Node]; in && (me.Address != n.conf.Advertise || me.Format != machine.Format) {
		time.AfterFunc(0, func() { n.post(n.present) }) // not from here: the owner may not wait for itself
	} else if removed[n.store.Identity.Node] {
		n.fail(transport.ErrRemoved)
	}
}

// present notes this instance's own address and form where the state has others.
func (n *Node) present() {
	me, in := core.Members(n.core.Machine())[n.store.Identity.Node]
	if !in || me.Address == n.conf.Advertise && me.Format == machine.Format {
		return
	}
	op, err := core.MemberOp(n.store.Identity.Node, core.Member{Name: n.conf.Name, Address: n.conf.Advertise, Format: machine.Format})
	if err != nil {
		return
	}
	n.propose(&machine.Command{Kind: machine.TxnKind, Then: []machine.Op{op}}, func(a core.Answer) {
		if a.Err != nil {
			time.AfterFunc(20*n.conf.Tick, func() { n.post(n.present) })
		}
	})
}

func (n *Node) propose(c *machine.Command, done func(core.Answer)) {
	if n.stalled != nil {
		done(core.Answer{Err: fmt.Errorf("%w: the disk here is full", core.ErrNoLeader)})
		return
	}
	n.token++
	n.waits[n.token] = done
	n.core.Propose(n.token, c)
}

// Propose has a command applied. The context only ends the waiting: the command may still be applied.
func (n *Node) Propose(ctx context.Context, c *machine.Command) (machine.Result, error) {
	answers := make(chan core.Answer, 1)
	if !n.post(func() { n.propose(c, func(a core.Answer) { answers <- a }) }) {
		return machine.Result{}, ErrStopped
	}
	select {
	case a := <-answers:
		return a.Result, a.Err
	case <-ctx.Done():
		return machine.Result{}, fmt.Errorf("%w: %w", core.ErrOutcomeUnknown, ctx.Err())
	case <-n.ended:
		return machine.Result{}, ErrStopped
	}
}

// Read runs f on the state: the latest, or with stale set what is here, and tells how far that may be behind; a
// negative age is not known. f may not keep the machine.
func (n *Node) Read(ctx context.Context, stale bool, f func(*machine.Machine)) (time.Duration, error) {
	type end struct {
		age time.Duration
		err error
	}
	ends := make(chan end, 1)
	look := func() {
		age := time.Duration(-1)
		if ticks, known := n.core.Staleness(); known {
			age = time.Duration(ticks) * n.conf.Tick
		}
		if !stale {
			age = 0
		}
		f(n.core.Machine())
		ends <- end{age, nil}
	}
	posted := n.post(func() {
		if stale {
			look()
			return
		}
		if n.stalled != nil {
			ends <- end{0, core.ErrNoLeader}
			return
		}
		n.token++
		n.waits[n.token] = func(a core.Answer) {
			if a.Err != nil {
				ends <- end{0, a.Err}
				return
			}
			look()
		}
		n.core.Read(n.token)
	})
	if !posted {
		return 0, ErrStopped
	}
	select {
	case e := <-ends:
		return e.age, e.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.ended:
		return 0, ErrStopped
	}
}

// Status is the instance's account of itself.
type Status struct {
	core.Status
	Name     string                 `json:"name"`
	Cluster  string                 `json:"cluster"`
	Members  map[string]core.Member `json:"members"`
	AgeMS    int64                  `json:"age_ms"` // how far behind the others its state may be; -1: not known
	DiskFull bool                   `json:"disk_full,omitempty"`
	Segments int                    `json:"log_segments"`
	Clients  int64                  `json:"clients"`
}

// Status returns it.
func (n *Node) Status(ctx context.Context) (Status, error) {
	got := make(chan Status, 1)
	if !n.post(func() { got <- n.status() }) {
		return Status{}, ErrStopped
	}
	select {
	case s := <-got:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-n.ended:
		return Status{}, ErrStopped
	}
}

func (n *Node) status() Status {
	s := Status{Status: n.core.Status(), Name: n.conf.Name, Cluster: fmt.Sprintf("%016x", n.store.Identity.Cluster), Members: map[string]core.Member{},
		AgeMS: -1, DiskFull: n.stalled != nil, Segments: n.store.Log.Segments(), Clients: n.conns.Load()}
	if s.StalenessTicks >= 0 {
		s.AgeMS = s.StalenessTicks * n.conf.Tick.Milliseconds()
	}
	for id, m := range core.Members(n.core.Machine()) {
		s.Members[core.MemberKey(id)] = m
	}
	return s
}
