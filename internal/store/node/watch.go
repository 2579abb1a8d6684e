package node

import (
	"context"
	"sync"

	"cloverrock/internal/store/machine"
)

// watches wakes those that wait for a change.
type watches struct {
	mu     sync.Mutex
	ch     chan struct{}
	closed bool
}

func newWatches() *watches { return &watches{ch: make(chan struct{})} }

func (w *watches) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

func (w *watches) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		close(w.ch)
		w.ch = make(chan struct{})
	}
}

func (w *watches) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.ch)
	}
}

// watchBatch bounds the events told at once.
const watchBatch = 256

// Watch calls f with the events of a namespace and prefix after a revision, in order, until the context ends or f
// returns an error. If the revision was compacted, f is called with ok false and the revision from which the watch
// goes on: the caller reads the keys anew.
func (n *Node) Watch(ctx context.Context, ns, prefix string, after int64, f func(events []machine.Event, upTo int64, ok bool) error) error {
	for {
		wake := n.watches.next() // before the look, so that no change falls between
		var events []machine.Event
		var upTo int64
		var ok bool
		if _, err := n.Read(ctx, true, func(m *machine.Machine) {
			if events, upTo, ok = m.Since(ns, prefix, after, watchBatch); !ok {
				upTo = m.Revision()
			}
		}); err != nil {
			return err
		}
		if len(events) > 0 || !ok {
			if err := f(events, upTo, ok); err != nil {
				return err
			}
		}
		if more := upTo != after; more {
			after = upTo
			if len(events) > 0 {
				continue
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.ended:
			return ErrStopped
		case <-wake:
		}
	}
}
