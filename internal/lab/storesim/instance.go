package storesim

import (
	"errors"
	"io"
	"strings"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
)

const (
	normalTick        = 100 * millisecond
	powerReturns      = 500 * millisecond
	supervisorRestart = second     // after a start that failed
	diskReplaced      = 5 * second // after a sync that failed

	snapshotInterval     = 60 // entries
	retainedEntries      = 20
	chunkSize            = 1 << 10 // bytes
	snapshotBytesPerTick = 8 << 10
	timeoutTicks         = 30
	maxSnapshotDelay     = 50 // milliseconds that a snapshot takes to be written in the background
)

// instance is one member of the cluster: a disk, and a process when it is up.
type instance struct {
	simulation   *simulation
	name         string
	id           uint64
	disk         *memoryDisk
	store        *disk.Store
	core         *core.Core // nil: down
	incarnation  int        // rises with each start and end, so that what was scheduled before is dropped
	tickInterval int64
	diskFull     bool // nothing goes on
	stalled      *core.Work
	joined       bool
	corrupt      bool // a bit of its log flips at the next start
}

// recoverPowerLoss ends a call in whose middle the instance's machine lost power, and has it come back.
func (s *simulation) recoverPowerLoss(p *instance) {
	switch reason := recover().(type) {
	case nil:
	case powerLoss:
		if reason.disk != p.disk {
			panic(reason)
		}
		s.stop(p, true)
		s.scheduleStart(p, powerReturns)
	default:
		panic(reason)
	}
}

// scheduleStart starts an instance after a time, unless it was started or stopped meanwhile.
func (s *simulation) scheduleStart(p *instance, after int64) {
	i := s.indexOf(p.id)
	incarnation := p.incarnation
	s.schedule(after, func() {
		if p.core == nil && p.incarnation == incarnation {
			s.start(i)
		}
	})
}

// start starts the process of an instance.
func (s *simulation) start(i int) {
	p := s.instances[i]
	defer s.recoverPowerLoss(p)
	p.incarnation++
	if p.corrupt {
		p.corruptLog()
	}
	store, state, err := disk.Open(p.disk, s.logOptions())
	var corrupt *disk.CorruptError
	switch {
	case errors.As(err, &corrupt) && p.corrupt:
		s.trace("%s: %v", p.name, err)
		s.result.Corrupt++
		s.replace(p)
		return
	case errors.Is(err, errSync) || errors.Is(err, disk.ErrFull):
		s.scheduleStart(p, supervisorRestart)
		return
	}
	p.corrupt = false
	if err != nil {
		s.addViolation("%s cannot open its disk: %v", p.name, err)
		return
	}
	s.run(i, store, state)
}

// run starts the core of an instance on what its disk holds.
func (s *simulation) run(i int, store *disk.Store, state *disk.Opened) {
	p := s.instances[i]
	s.nextNonce++
	config := core.Config{
		ID: p.id, Nonce: s.nextNonce << 24, SnapshotInterval: snapshotInterval, RetainedEntries: retainedEntries,
		ChunkSize: chunkSize, SnapshotBytesPerTick: snapshotBytesPerTick, TimeoutTicks: timeoutTicks,
		Logger:  s.logger,
		Observe: func(index, term, chain uint64) { s.observeApplied(p, index, term, chain) },
	}
	initial := core.InitialState{Snapshot: state.Snapshot, SnapshotName: state.SnapshotName, Log: state.Loaded}
	started, err := core.New(config, initial)
	if err != nil {
		s.addViolation("%s cannot start: %v", p.name, err)
		return
	}
	p.core = started
	p.store = store
	p.diskFull = false
	delete(s.commits, p.id) // how far a commit went may be lost; what was committed may not
	s.trace("%s started as %d, cut %d", p.name, p.id, state.Loaded.TornBytes)
	s.hashEvent('s', p.id, uint64(state.Loaded.TornBytes))
	s.tick(p, p.incarnation)
}

func (s *simulation) tick(p *instance, incarnation int) {
	if p.core == nil || p.incarnation != incarnation {
		return
	}
	if !p.diskFull {
		p.core.Tick()
	}
	s.process(p)
	s.schedule(p.tickInterval, func() { s.tick(p, incarnation) })
}

// process does an instance's work, as the daemon's loop does it.
func (s *simulation) process(p *instance) {
	defer s.recoverPowerLoss(p)
	for p.core != nil {
		if p.core.NeedsSnapshotData() {
			snapshot, _, err := disk.LoadSnapshot(p.disk)
			p.core.ProvideSnapshotData(snapshot, err)
		}
		if p.diskFull && p.disk.full {
			return
		}
		work := p.pendingWork()
		if work == nil {
			break
		}
		if !s.handleWork(p, work) {
			return
		}
		s.checkLeaderAndCommit(p)
	}
	if p.core == nil {
		return
	}
	for _, answer := range p.core.Answers() {
		if finish := s.waiting[answer.Token]; finish != nil {
			delete(s.waiting, answer.Token)
			finish(answer)
		}
	}
	if due := p.core.DueSnapshot(false); due != nil {
		s.saveInBackground(p, due)
	}
}

// handleWork sends and saves one piece of work. It reports whether the instance can go on.
func (s *simulation) handleWork(p *instance, work *core.Work) bool {
	s.send(p, work.SendBeforeSave)
	err := s.save(p, work)
	switch {
	case errors.Is(err, disk.ErrFull):
		p.diskFull = true
		p.stalled = work
		work.SendBeforeSave = nil
		return false
	case err != nil:
		s.trace("%s: %v", p.name, err)
		s.stop(p, true)
		return false
	}
	p.diskFull = false
	p.stalled = nil
	s.send(p, work.SendAfterSave)
	if err := p.core.Done(work); err != nil {
		s.addViolation("%s: %v", p.name, err)
		return false
	}
	return true
}

func (s *simulation) save(p *instance, work *core.Work) error {
	if work.SnapshotData != nil {
		s.result.Installs++
		if err := p.store.SaveSnapshot(work.SnapshotMeta, work.SnapshotData); err != nil {
			return err
		}
	}
	return p.store.Log.Save(work.HardState, work.SnapshotMeta, work.Entries)
}

// saveInBackground saves a snapshot after a while: the instance may crash before.
func (s *simulation) saveInBackground(p *instance, due *core.Snapshot) {
	incarnation := p.incarnation
	s.schedule(int64(s.random.IntN(maxSnapshotDelay))*millisecond, func() {
		defer s.recoverPowerLoss(p)
		if p.core == nil || p.incarnation != incarnation {
			return
		}
		index := due.Meta.GetIndex()
		err := disk.SaveSnapshot(p.disk, index, func(out io.Writer) error {
			return disk.EncodeSnapshot(out, due.Meta, due.Image.Write)
		})
		if release := p.core.SnapshotSaved(due, err); release > 0 {
			_ = p.store.Log.Release(release)       // old files that stay do no harm
			_ = disk.RemoveObsolete(p.disk, index) // as above
		}
	})
}

// pendingWork is what found no room on the disk, or what comes next.
func (p *instance) pendingWork() *core.Work {
	if p.stalled != nil {
		return p.stalled
	}
	return p.core.Next()
}

// stop ends the process of an instance. One whose disk could not sync is started again once the disk was replaced.
func (s *simulation) stop(p *instance, powerLost bool) {
	s.trace("%s down, power lost: %t", p.name, powerLost)
	s.result.Crashes++
	p.core = nil
	p.store = nil
	p.stalled = nil
	p.diskFull = false
	p.incarnation++
	if powerLost {
		p.disk.crash()
	}
	if p.disk.failSync {
		s.scheduleStart(p, diskReplaced)
	}
}

// corruptLog flips a bit of a log file that is certainly on the disk. The end of the last file cannot be told from a torn
// write for certain, so there must be two.
func (p *instance) corruptLog() {
	var logs []string
	for _, name := range p.disk.names() {
		if strings.HasPrefix(name, "log-") {
			logs = append(logs, name)
		}
	}
	if len(logs) < 2 {
		p.corrupt = false
		return
	}
	name := logs[p.simulation.random.IntN(len(logs)-1)]
	if p.disk.flipBit(name) {
		p.simulation.trace("%s: a bit of %s flips", p.name, name)
	}
}
