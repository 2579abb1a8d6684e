package node

import (
	"context"
	"sync"

	"cloverrock/internal/store/machine"
)

// watchBatch is the number of events after which a batch ends; the events of one revision are never split.
const watchBatch = 256

// broadcast wakes all goroutines that wait for a change. It is safe for concurrent use.
type broadcast struct {
	mu     sync.Mutex
	ch     chan struct{} // closed by the next change
	closed bool
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

// next returns a channel that the next change or close closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// wake wakes all goroutines that wait for the next change.
func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		close(b.ch)
		b.ch = make(chan struct{})
	}
}

// close wakes all waiting goroutines and makes later calls of next return a closed channel.
func (b *broadcast) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		close(b.ch)
	}
}

// Watch passes the events after a revision, of one namespace and key prefix, to handle in order. It ends when the context
// or the instance ends or handle returns an error, and returns the reason. It reads the local state, which may be stale.
// handle runs on the caller's goroutine.
func (n *Node) Watch(ctx context.Context, ns, prefix string, after int64, handle machine.EventHandler) error {
	for {
		changed := n.watchers.next() // obtained before the read, so that no change is missed
		var events []machine.Event
		var upTo int64
		var complete bool
		_, err := n.Read(ctx, true, func(m *machine.Machine) {
			events, upTo, complete = m.EventsSince(ns, prefix, after, watchBatch)
			if !complete {
				upTo = m.Revision()
			}
		})
		if err != nil {
			return err
		}
		if len(events) > 0 || !complete {
			if err := handle(events, upTo, complete); err != nil {
				return err
			}
		}
		mayHaveMore := len(events) > 0 && upTo != after
		after = upTo
		if mayHaveMore {
			continue
		}
		if _, err := await(ctx, n, changed); err != nil {
			return err
		}
	}
}
