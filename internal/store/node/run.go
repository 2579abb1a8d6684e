package node

import (
	"errors"
	"fmt"
	"io"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
)

const (
	maxBatch   = 512         // messages and tasks that are processed before one sync
	stallRetry = time.Second // pause between attempts to write to a full disk
)

// post queues a function to run on the owner's goroutine, and waits for room in the queue. It reports false if the
// instance is stopping. A function that was queued shortly before the stop may never run. The owner itself must not call
// post.
func (n *Node) post(task func()) bool {
	select {
	case <-n.stop:
		return false
	case n.tasks <- task:
		return true
	}
}

// run is the owner's goroutine. Raft panics when one of its invariants is violated; run recovers, so that only this
// instance stops and not the process.
func (n *Node) run() {
	defer close(n.ended)
	defer n.shutdown()
	defer func() {
		if p := recover(); p != nil {
			n.fail(fmt.Errorf("store: internal error (panic): %v", p))
		}
	}()
	tick := time.NewTicker(n.conf.Tick) // monotonic: not affected when the machine's clock is set
	defer tick.Stop()
	if err := n.process(); err != nil { // applies the committed entries of the log before the first read
		n.fail(err)
	}
	for {
		select {
		case <-n.stop:
			return
		case <-tick.C:
			n.tick()
		case message := <-n.inbox:
			n.step(message)
		case task := <-n.tasks:
			task()
		}
		n.drainQueues(tick.C, n.tick)
		if err := n.process(); err != nil {
			n.fail(err)
		}
	}
}

// drainQueues processes the messages and tasks that are already queued, so that one sync covers all of them. It ends when
// a tick is due, because heartbeats and elections depend on ticks, however many tasks clients queue.
func (n *Node) drainQueues(ticks <-chan time.Time, onTick func()) {
	for range maxBatch {
		select {
		case <-ticks:
			onTick()
			return
		default:
		}
		select {
		case message := <-n.inbox:
			n.step(message)
		case task := <-n.tasks:
			task()
		default:
			return
		}
	}
}

// tick advances the core's clock, unless the disk is full.
func (n *Node) tick() {
	if n.stalledWork == nil {
		n.core.Tick()
	}
}

// step passes a peer's message to the core. While the disk is full, messages are dropped.
func (n *Node) step(message peerMessage) {
	if n.stalledWork == nil {
		n.core.Step(message.Envelope)
	}
	<-message.places
}

// shutdown stops all goroutines, answers the waiting calls and closes the files.
func (n *Node) shutdown() {
	n.cancel()
	_ = n.listener.Close() // a listener has no data to lose
	n.transport.Close()
	for token, done := range n.callbacks {
		delete(n.callbacks, token)
		done(core.Answer{Err: fmt.Errorf("%w: %w", core.ErrOutcomeUnknown, ErrStopped)})
	}
	n.watchers.close()
	n.snapshotWriters.Wait()
	n.wg.Wait()
	_ = n.store.Close() // all acknowledged data has been synced
	_ = n.dir.Close()
}

// process does all pending work of the core, then delivers answers, publishes the view, wakes watches and starts a due
// snapshot.
func (n *Node) process() error {
	before := n.core.Machine().Index()
	if err := n.doWork(); err != nil {
		return err
	}
	for _, answer := range n.core.Answers() {
		if done := n.callbacks[answer.Token]; done != nil {
			delete(n.callbacks, answer.Token)
			done(answer)
		}
	}
	n.publish()
	if n.core.Machine().Index() != before {
		n.watchers.wake()
	}
	if snapshot := n.core.DueSnapshot(false); snapshot != nil {
		n.snapshotWriters.Go(func() { n.writeSnapshot(snapshot) })
	}
	return nil
}

// doWork saves the core's work and sends its messages until the core has no more work or the disk is full.
func (n *Node) doWork() error {
	for {
		if n.core.NeedsSnapshotData() {
			data, _, err := disk.LoadSnapshot(n.dir)
			n.core.ProvideSnapshotData(data, err)
		}
		work := n.nextWork()
		if work == nil {
			return nil
		}
		err := n.save(work)
		if errors.Is(err, disk.ErrFull) {
			n.stall(work, err)
			return nil
		}
		if err != nil {
			return err
		}
		if n.stalledWork != nil {
			n.log.Info().Msg("store: disk has space again, instance resumed")
			n.stalledWork = nil
		}
		n.transport.Send(work.SendAfterSave)
		if err := n.core.Done(work); err != nil {
			return err
		}
	}
}

// nextWork returns the work to save next, or nil if there is none. While the disk is full, it returns the stalled work
// again, at most once per stallRetry.
func (n *Node) nextWork() *core.Work {
	if n.stalledWork != nil {
		if time.Since(n.stalledAt) < stallRetry {
			return nil
		}
		return n.stalledWork
	}
	work := n.core.Next()
	if work != nil {
		n.transport.Send(work.SendBeforeSave)
	}
	return work
}

// save makes the snapshot, hard state and entries of work durable.
func (n *Node) save(work *core.Work) error {
	if work.SnapshotData != nil {
		if err := n.store.SaveSnapshot(work.SnapshotMeta, work.SnapshotData); err != nil {
			return err
		}
	}
	return n.store.Log.Save(work.HardState, work.SnapshotMeta, work.Entries)
}

// stall keeps work that could not be saved because the disk is full. Until it is saved, the instance acknowledges
// nothing, does not tick the core and sends no heartbeat, so that the others elect another leader.
func (n *Node) stall(work *core.Work, err error) {
	if n.stalledWork == nil {
		n.log.Error().Err(err).Msg("store: disk full, instance paused")
	}
	n.stalledWork = work
	n.stalledAt = time.Now()
}

// writeSnapshot writes a snapshot file on a goroutine of its own and reports the result to the owner.
func (n *Node) writeSnapshot(snapshot *core.Snapshot) {
	err := disk.SaveSnapshot(n.dir, snapshot.Meta.GetIndex(), func(w io.Writer) error {
		return disk.EncodeSnapshot(w, snapshot.Meta, snapshot.Image.Write)
	})
	n.post(func() { n.snapshotWritten(snapshot, err) })
}

// snapshotWritten removes the part of the log that the snapshot replaces, and older snapshots. Failures are only logged.
func (n *Node) snapshotWritten(snapshot *core.Snapshot, err error) {
	release := n.core.SnapshotSaved(snapshot, err)
	if err != nil {
		n.log.Warn().Err(err).Msg("store: saving a snapshot failed, log entries not removed")
		return
	}
	if release > 0 {
		err = n.store.Log.Release(release)
	}
	if err == nil {
		err = disk.RemoveObsolete(n.dir, snapshot.Meta.GetIndex())
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("store: removing obsolete log segments or snapshots failed")
	}
}
