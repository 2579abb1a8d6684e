package storesim

import (
	"errors"
	"io"
	"strings"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
)

const (
	normalTick          = 100 * millisecond
	powerLossDowntime   = 500 * millisecond // time until a machine that lost power in the middle of a disk change starts again
	failedStartDelay    = second            // time until a process whose start failed is started again
	diskReplacementTime = 5 * second        // time until a stopped instance whose disk fails to sync is started again

	snapshotInterval     = 60 // entries
	retainedEntries      = 20
	chunkSize            = 1 << 10 // bytes
	snapshotBytesPerTick = 8 << 10
	timeoutTicks         = 30
	maxSnapshotDelay     = 50 // milliseconds; bounds the delay of a snapshot that is saved in the background
)

// instance is one member of the cluster: a disk, and a process when it is up.
type instance struct {
	simulation   *simulation
	name         string
	id           uint64
	disk         *memoryDisk
	store        *disk.Store
	core         *core.Core // nil while the process is down
	incarnation  int        // incremented at each start and stop; calls scheduled for an earlier one are dropped
	tickInterval int64
	diskFull     bool       // the instance does nothing until its disk has room again
	unsavedWork  *core.Work // the work whose save failed because the disk was full
	joined       bool       // all other instances have it as a voter
	corrupt      bool       // a bit of its log flips at the next start
}

// recoverPowerLoss is deferred by calls that may change an instance's disk. If the machine lost power during the call, it
// recovers from the panic, stops the instance and schedules its next start.
func (s *simulation) recoverPowerLoss(inst *instance) {
	switch reason := recover().(type) {
	case nil:
	case powerLoss:
		if reason.disk != inst.disk {
			panic(reason)
		}
		s.stop(inst, true)
		s.scheduleStart(inst, powerLossDowntime)
	default:
		panic(reason)
	}
}

// scheduleStart starts an instance after a delay, unless it was started or stopped in the meantime.
func (s *simulation) scheduleStart(inst *instance, after int64) {
	i := s.indexOf(inst.id)
	incarnation := inst.incarnation
	s.schedule(after, func() {
		if inst.core == nil && inst.incarnation == incarnation {
			s.start(i)
		}
	})
}

// start opens the disk of an instance and starts its process. An instance whose disk is found corrupt is replaced.
func (s *simulation) start(i int) {
	inst := s.instances[i]
	defer s.recoverPowerLoss(inst)
	inst.incarnation++
	if inst.corrupt {
		inst.corruptLog()
	}
	store, state, err := disk.Open(inst.disk, s.logOptions())
	var corrupt *disk.CorruptError
	switch {
	case errors.As(err, &corrupt) && inst.corrupt:
		s.trace("%s: %v", inst.name, err)
		s.result.CorruptDisks++
		s.replace(inst)
		return
	case errors.Is(err, errSync) || errors.Is(err, disk.ErrFull):
		s.scheduleStart(inst, failedStartDelay)
		return
	}
	inst.corrupt = false
	if err != nil {
		s.addViolation("%s cannot open its disk: %v", inst.name, err)
		return
	}
	s.startCore(i, store, state)
}

// startCore starts the core of an instance from the state on its disk.
func (s *simulation) startCore(i int, store *disk.Store, state *disk.Opened) {
	inst := s.instances[i]
	s.lastNonce++
	config := core.Config{
		ID: inst.id, Nonce: s.lastNonce << 24, SnapshotInterval: snapshotInterval, RetainedEntries: retainedEntries,
		ChunkSize: chunkSize, SnapshotBytesPerTick: snapshotBytesPerTick, TimeoutTicks: timeoutTicks,
		Logger:  s.logger,
		Observe: func(index, term, chain uint64) { s.observeApplied(inst, index, term, chain) },
	}
	initial := core.InitialState{Snapshot: state.Snapshot, SnapshotName: state.SnapshotName, Log: state.Loaded}
	started, err := core.New(config, initial)
	if err != nil {
		s.addViolation("%s cannot start: %v", inst.name, err)
		return
	}
	inst.core = started
	inst.store = store
	inst.diskFull = false
	delete(s.commits, inst.id) // the commit index may be lost in a crash; committed entries may not
	s.trace("%s started as %d, cut %d", inst.name, inst.id, state.Loaded.TornBytes)
	s.hashEvent('s', inst.id, uint64(state.Loaded.TornBytes))
	s.tick(inst, inst.incarnation)
}

func (s *simulation) tick(inst *instance, incarnation int) {
	if inst.core == nil || inst.incarnation != incarnation {
		return
	}
	if !inst.diskFull {
		inst.core.Tick()
	}
	s.process(inst)
	s.schedule(inst.tickInterval, func() { s.tick(inst, incarnation) })
}

// process handles all pending work of an instance, as the daemon's loop does.
func (s *simulation) process(inst *instance) {
	defer s.recoverPowerLoss(inst)
	for inst.core != nil {
		if inst.core.NeedsSnapshotData() {
			snapshot, _, err := disk.LoadSnapshot(inst.disk)
			inst.core.ProvideSnapshotData(snapshot, err)
		}
		if inst.diskFull && inst.disk.full {
			return
		}
		work := inst.pendingWork()
		if work == nil {
			break
		}
		if !s.handleWork(inst, work) {
			return
		}
		s.checkLeaderAndCommit(inst)
	}
	if inst.core == nil {
		return
	}
	for _, answer := range inst.core.Answers() {
		if finish := s.pendingCalls[answer.Token]; finish != nil {
			delete(s.pendingCalls, answer.Token)
			finish(answer)
		}
	}
	if due := inst.core.DueSnapshot(false); due != nil {
		s.saveInBackground(inst, due)
	}
}

// handleWork saves one unit of work and sends its messages. It reports whether the instance can continue.
func (s *simulation) handleWork(inst *instance, work *core.Work) bool {
	s.send(inst, work.SendBeforeSave)
	err := s.save(inst, work)
	switch {
	case errors.Is(err, disk.ErrFull):
		inst.diskFull = true
		inst.unsavedWork = work
		work.SendBeforeSave = nil
		return false
	case err != nil:
		s.trace("%s: %v", inst.name, err)
		s.stop(inst, true)
		return false
	}
	inst.diskFull = false
	inst.unsavedWork = nil
	s.send(inst, work.SendAfterSave)
	if err := inst.core.Done(work); err != nil {
		s.addViolation("%s: %v", inst.name, err)
		return false
	}
	return true
}

func (s *simulation) save(inst *instance, work *core.Work) error {
	if work.SnapshotData != nil {
		s.result.SnapshotInstalls++
		if err := inst.store.SaveSnapshot(work.SnapshotMeta, work.SnapshotData); err != nil {
			return err
		}
	}
	return inst.store.Log.Save(work.HardState, work.SnapshotMeta, work.Entries)
}

// saveInBackground saves a snapshot after a random delay, during which the instance may crash.
func (s *simulation) saveInBackground(inst *instance, due *core.Snapshot) {
	incarnation := inst.incarnation
	s.schedule(int64(s.random.IntN(maxSnapshotDelay))*millisecond, func() {
		defer s.recoverPowerLoss(inst)
		if inst.core == nil || inst.incarnation != incarnation {
			return
		}
		index := due.Meta.GetIndex()
		err := disk.SaveSnapshot(inst.disk, index, func(out io.Writer) error {
			return disk.EncodeSnapshot(out, due.Meta, due.Image.Write)
		})
		if release := inst.core.SnapshotSaved(due, err); release > 0 {
			_ = inst.store.Log.Release(release)       // obsolete files that remain do no harm
			_ = disk.RemoveObsolete(inst.disk, index) // as above
		}
	})
}

// pendingWork returns the work that could not be saved because the disk was full, or else the next work.
func (inst *instance) pendingWork() *core.Work {
	if inst.unsavedWork != nil {
		return inst.unsavedWork
	}
	return inst.core.Next()
}

// stop ends the process of an instance. If its disk still fails to sync, the instance is started again once the disk has
// been replaced, after diskReplacementTime.
func (s *simulation) stop(inst *instance, powerLost bool) {
	s.trace("%s down, power lost: %t", inst.name, powerLost)
	s.result.Crashes++
	inst.core = nil
	inst.store = nil
	inst.unsavedWork = nil
	inst.diskFull = false
	inst.incarnation++
	if powerLost {
		inst.disk.crash()
	}
	if inst.disk.failSync {
		s.scheduleStart(inst, diskReplacementTime)
	}
}

// corruptLog flips a bit of a log file that is completely on the disk, which is any but the last one: damage at the end of
// the last file cannot be distinguished from a torn write. With a single log file it flips nothing and clears the mark.
func (inst *instance) corruptLog() {
	var logs []string
	for _, name := range inst.disk.names() {
		if strings.HasPrefix(name, "log-") {
			logs = append(logs, name)
		}
	}
	if len(logs) < 2 {
		inst.corrupt = false
		return
	}
	name := logs[inst.simulation.random.IntN(len(logs)-1)]
	if inst.disk.flipBit(name) {
		inst.simulation.trace("%s: a bit of %s flips", inst.name, name)
	}
}
