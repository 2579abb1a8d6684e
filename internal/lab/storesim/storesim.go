package storesim

import (
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// Options of a run.
type Options struct {
	Seed      uint64
	Instances int
	Seconds   int  // of simulated time under faults
	LoseSyncs bool // syncs lie: the checks have to find it out
	Twice     bool // retries come as new commands: the checks have to find it out
	Trace     io.Writer
}

// Result of a run.
type Result struct {
	Steps, Acknowledged, Elections, Installs, Replaced, Crashes, Corrupt int
	Violations                                                           []string
	Hash                                                                 uint64
}

// link is what an index means.
type link struct{ term, chain uint64 }

const ms = int64(1000)

type happening struct {
	at, serial int64
	do         func()
}

type queue []*happening

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*happening)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// instance is one place in the cluster: a disk, and a process when it is up.
type instance struct {
	w       *world
	name    string
	id      uint64
	disk    *vdisk
	store   *disk.Store
	core    *core.Core
	life    int // counts starts, so that what an earlier life arranged is dropped
	speed   int64
	stuck   bool // the disk is full: nothing goes on
	stalled *core.Work
	joined  bool
	flipBy  int // flip a bit at the next start, below this offset
}

type world struct {
	Options
	rng        *rand.Rand
	now        int64
	serial     int64
	events     queue
	places     []*instance
	cut        map[[2]int]bool
	calm       bool // the end: no more faults
	res        Result
	leaders    map[uint64]uint64
	chains     map[uint64]link
	commits    map[uint64]uint64
	highest    uint64
	acked      map[string]int // key to writes acknowledged
	nextID     uint64
	nextNonce  uint64
	waits      map[uint64]func(core.Answer)
	token      uint64
	hash       *xxhash.Digest
	discarding raft.Logger
}

type nolog struct{}

func (nolog) Debug(...any)            {}
func (nolog) Debugf(string, ...any)   {}
func (nolog) Error(...any)            {}
func (nolog) Errorf(string, ...any)   {}
func (nolog) Info(...any)             {}
func (nolog) Infof(string, ...any)    {}
func (nolog) Warning(...any)          {}
func (nolog) Warningf(string, ...any) {}
func (nolog) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (nolog) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (nolog) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (nolog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (w *world) after(d int64, f func()) {
	w.serial++
	heap.Push(&w.events, &happening{w.now + d, w.serial, f})
}

func (w *world) say(format string, a ...any) {
	if w.Trace != nil {
		_, _ = fmt.Fprintf(w.Trace, "%9.3f ", float64(w.now)/1e6) // a trace for a reader; it decides nothing
		_, _ = fmt.Fprintf(w.Trace, format+"\n", a...)            // a trace for a reader; it decides nothing
	}
}

func (w *world) violated(format string, a ...any) {
	w.res.Violations = append(w.res.Violations, fmt.Sprintf("at %.3f s: ", float64(w.now)/1e6)+fmt.Sprintf(format, a...))
	w.say("VIOLATED "+format, a...)
}

func (w *world) note(kind byte, a, b uint64) {
	var buf [33]byte
	buf[0] = kind
	binary.LittleEndian.PutUint64(buf[1:], uint64(w.now))
	binary.LittleEndian.PutUint64(buf[9:], a)
	binary.LittleEndian.PutUint64(buf[17:], b)
	_, _ = w.hash.Write(buf[:25])
}

// Run plays one seed. Raft draws its election times from crypto/rand: the caller gives that a reader by the seed
// (Seeded) before, in a program that does nothing else.
func Run(o Options) Result {
	if o.Instances == 0 {
		o.Instances = 3
	}
	if o.Seconds == 0 {
		o.Seconds = 20
	}
	w := &world{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 77)), cut: map[[2]int]bool{}, leaders: map[uint64]uint64{},
		chains: map[uint64]link{}, commits: map[uint64]uint64{}, acked: map[string]int{}, nextID: 100, nextNonce: o.Seed << 20, waits: map[uint64]func(core.Answer){}, hash: xxhash.New(), discarding: nolog{}}
	w.found()
	for i := range w.places {
		w.start(i)
	}
	for n := range 3 {
		c := &caller{w: w, n: n}
		w.after(ms*int64(500+w.rng.IntN(500)), c.next)
	}
	w.faults()
	w.play(int64(o.Seconds) * 1e6)
	w.heal()
	w.play(w.now + 40e6)
	w.judge()
	w.res.Hash = w.hash.Sum64()
	return w.res
}

func (w *world) play(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.res.Violations) == 0 {
		h := heap.Pop(&w.events).(*happening)
		w.now = h.at
		w.res.Steps++
		w.do(h.do)
	}
	w.now = max(w.now, until)
}

// do takes a step. Raft panics where what it was told cannot be: that is a violation like the others.
func (w *world) do(f func()) {
	defer func() {
		if p := recover(); p != nil {
			w.violated("panic: %v", p)
		}
	}()
	f()
}

func (w *world) found() {
	var voters []uint64
	var records []machine.Op
	for i := range w.Instances {
		p := &instance{w: w, name: fmt.Sprint("n", i), id: uint64(i + 1), disk: newDisk(w.rng), speed: 100 * ms}
		w.places = append(w.places, p)
		voters = append(voters, p.id)
		op, _ := core.MemberOp(p.id, core.Member{Name: p.name, Format: machine.Format})
		records = append(records, op)
	}
	first, err := core.InitialSnapshot(voters, records)
	for _, p := range w.places {
		if err == nil {
			err = disk.Create(p.disk, disk.Identity{Cluster: 7, Node: p.id, Name: p.name, Voters: voters}, 1, first, w.logOptions())
		}
		p.disk.lies = w.LoseSyncs
		p.joined = true
	}
	if err != nil {
		w.violated("founding: %v", err)
	}
}

func (w *world) logOptions() disk.Options { return disk.Options{SegmentSize: 8 << 10} }

// mortal is for the end of what may die in the middle: the machine is down then, and comes back.
func (w *world) mortal(p *instance) {
	switch e := recover().(type) {
	case nil:
	case died:
		if e.d != p.disk {
			panic(e)
		}
		i := w.place(p.id)
		w.down(p, true)
		life := p.life
		w.after(500*ms, func() {
			if p.core == nil && p.life == life {
				w.start(i)
			}
		})
	default:
		panic(e)
	}
}

// start starts the process at a place.
func (w *world) start(i int) {
	p := w.places[i]
	defer w.mortal(p)
	p.life++
	if p.flipBy > 0 {
		p.flip()
	}
	store, got, err := disk.Open(p.disk, w.logOptions())
	var bad *disk.CorruptError
	if errors.As(err, &bad) && p.flipBy > 0 {
		w.say("%s: %v", p.name, err)
		w.res.Corrupt++
		w.replace(p)
		return
	}
	if errors.Is(err, errSync) || errors.Is(err, disk.ErrFull) { // its supervisor tries again
		life := p.life
		w.after(1000*ms, func() {
			if p.core == nil && p.life == life {
				w.start(i)
			}
		})
		return
	}
	p.flipBy = 0
	if err != nil {
		w.violated("%s cannot open its disk: %v", p.name, err)
		return
	}
	w.nextNonce++
	p.core, err = core.New(core.Config{ID: p.id, Nonce: w.nextNonce << 24, SnapshotInterval: 60, RetainedEntries: 20, ChunkSize: 1 << 10, SnapshotBytesPerTick: 8 << 10, TimeoutTicks: 30,
		Logger: w.discarding, Observe: func(index, term, chain uint64) { w.observe(p, index, term, chain) }},
		core.InitialState{Snapshot: got.Snapshot, SnapshotName: got.SnapshotName, Log: got.Loaded})
	if err != nil {
		w.violated("%s cannot start: %v", p.name, err)
		return
	}
	p.store, p.stuck = store, false
	delete(w.commits, p.id) // how far a commit went may be lost; what was committed may not
	w.say("%s started as %d, cut %d", p.name, p.id, got.Loaded.TornBytes)
	w.note('s', p.id, uint64(got.Loaded.TornBytes))
	w.tick(i, p.life)
}

func (w *world) tick(i, life int) {
	p := w.places[i]
	if p.core == nil || p.life != life {
		return
	}
	if !p.stuck {
		p.core.Tick()
	}
	w.drive(p)
	w.after(p.speed, func() { w.tick(i, life) })
}

// drive does an instance's work, as a daemon's loop does it.
func (w *world) drive(p *instance) {
	defer w.mortal(p)
	for p.core != nil {
		if p.core.NeedsSnapshotData() {
			b, _, err := disk.LoadSnapshot(p.disk)
			p.core.ProvideSnapshotData(b, err)
		}
		if p.stuck && p.disk.full {
			return
		}
		work := p.pendingWork()
		if work == nil {
			break
		}
		w.send(p, work.SendBeforeSave)
		err := error(nil)
		if work.SnapshotData != nil {
			w.res.Installs++
			err = p.store.SaveSnapshot(work.SnapshotMeta, work.SnapshotData)
		}
		if err == nil {
			err = p.store.Log.Save(work.HardState, work.SnapshotMeta, work.Entries)
		}
		if errors.Is(err, disk.ErrFull) {
			p.stuck, p.stalled = true, work
			work.SendBeforeSave = nil
			return
		}
		if err != nil {
			w.say("%s: %v", p.name, err)
			w.down(p, true)
			return
		}
		p.stuck, p.stalled = false, nil
		w.send(p, work.SendAfterSave)
		if err := p.core.Done(work); err != nil {
			w.violated("%s: %v", p.name, err)
			return
		}
		w.check(p)
	}
	if p.core == nil {
		return
	}
	for _, a := range p.core.Answers() {
		if f := w.waits[a.Token]; f != nil {
			delete(w.waits, a.Token)
			f(a)
		}
	}
	if s := p.core.DueSnapshot(false); s != nil {
		life := p.life
		w.after(int64(w.rng.IntN(50))*ms, func() { // written in the background: a crash may come before its end
			defer w.mortal(p)
			if p.core != nil && p.life == life {
				err := disk.SaveSnapshot(p.disk, s.Meta.GetIndex(), func(o io.Writer) error { return disk.EncodeSnapshot(o, s.Meta, s.Image.Write) })
				if release := p.core.SnapshotSaved(s, err); release > 0 {
					_ = p.store.Log.Release(release)
					_ = disk.RemoveObsolete(p.disk, s.Meta.GetIndex())
				}
			}
		})
	}
}

// pendingWork is what found no room, or what comes next.
func (p *instance) pendingWork() *core.Work {
	if p.stalled != nil {
		return p.stalled
	}
	return p.core.Next()
}

func (w *world) send(p *instance, all []core.Envelope) {
	from := w.place(p.id)
	for _, e := range all {
		to := w.place(e.To)
		if to < 0 || from < 0 || w.cut[[2]int{from, to}] || !w.calm && w.rng.IntN(100) < 2 {
			continue
		}
		copies := 1
		if !w.calm && w.rng.IntN(100) < 2 {
			copies = 2
		}
		for range copies {
			d := ms/2 + int64(w.rng.IntN(int(4*ms)))
			if !w.calm && w.rng.IntN(50) == 0 {
				d += int64(w.rng.IntN(int(400 * ms)))
			}
			w.after(d, func() {
				if q := w.places[to]; q.core != nil && q.id == e.To && !q.stuck && !w.cut[[2]int{from, to}] {
					q.core.Step(e)
					w.drive(q)
				}
			})
		}
	}
}

func (w *world) place(id uint64) int {
	for i, p := range w.places {
		if p.id == id {
			return i
		}
	}
	return -1
}

// observe is told each command applied anywhere: the same index has to mean the same everywhere, for ever.
func (w *world) observe(p *instance, index, term, chain uint64) {
	w.note('a', p.id<<32|index, chain)
	if was, known := w.chains[index]; known && was.chain != chain {
		w.violated("state-machine safety: %s applied something else at %d", p.name, index)
	} else if known && was.term != term {
		w.violated("log matching: %s has term %d at %d, others %d", p.name, term, index, was.term)
	}
	w.chains[index] = link{term, chain}
	w.highest = max(w.highest, index)
}

// check looks for two leaders of one term, and for a commit that the log does not hold.
func (w *world) check(p *instance) {
	s := p.core.Status()
	if s.Role == "StateLeader" {
		if was, known := w.leaders[s.Term]; known && was != p.id {
			w.violated("election safety: %d and %d lead term %d", was, p.id, s.Term)
		} else if !known {
			w.res.Elections++
			w.leaders[s.Term] = p.id
			w.say("%s leads term %d", p.name, s.Term)
		}
	}
	if s.Applied > s.Commit {
		w.violated("%s applied %d and committed %d", p.name, s.Applied, s.Commit)
	}
	if s.Commit < w.commits[p.id] {
		w.violated("%s committed %d and then %d", p.name, w.commits[p.id], s.Commit)
	}
	w.commits[p.id] = s.Commit
}

// judge looks at the end whether all that was acknowledged is everywhere, once.
func (w *world) judge() {
	if len(w.res.Violations) > 0 {
		return
	}
	for _, p := range w.places {
		if p.core != nil {
			w.say("%s at the end: %+v", p.name, p.core.Status())
		}
	}
	for _, p := range w.places {
		if p.core == nil {
			w.violated("%s is not up at the end", p.name)
			continue
		}
		s := p.core.Status()
		w.note('e', s.Applied, s.Chain)
		if s.Applied < w.highest {
			w.violated("durability: %s stands at %d, and %d was applied somewhere (%+v)", p.name, s.Applied, w.highest, s)
			continue
		}
		for _, key := range sortedKeys(w.acked) {
			kv, found := p.core.Machine().Get("data", key)
			if !found {
				w.violated("durability: %s lacks %s, which was acknowledged", p.name, key)
			} else if kv.Version != 1 {
				w.violated("%s has %s %d times", p.name, key, kv.Version)
			}
		}
		for _, kv := range p.core.Machine().List("data", "", 0) {
			if kv.Version != 1 && !strings.HasPrefix(kv.Key, "shared") {
				w.violated("%s has %s %d times", p.name, kv.Key, kv.Version)
			}
		}
	}
}
