package machine

import (
	"cmp"
	"slices"
	"strings"
)

// MinRetainedEvents is about the number of the latest events that remain for watches when older ones are dropped, which
// happens when there are twice as many. A CompactKind command may leave fewer.
const MinRetainedEvents = 16384

// EventHandler handles the events of a watch up to a revision. If complete is false, events up to that revision were
// compacted before the watch received them: the handler must read the keys again, and the watch continues after upTo. An
// error ends the watch.
type EventHandler func(events []Event, upTo int64, complete bool) error

// recordEvent appends an event and sets the machine's revision to that of the event.
func (m *Machine) recordEvent(event Event) {
	m.revision = event.Revision
	m.events = append(m.events, event)
	if len(m.events) >= 2*MinRetainedEvents {
		m.dropEvents(m.events[len(m.events)-MinRetainedEvents].Revision)
	}
}

// compactTo drops the events up to a revision, which must not be a future one nor compacted already.
func (m *Machine) compactTo(revision int64) Code {
	switch {
	case revision > m.revision:
		return BadAmount
	case revision <= m.compactedTo:
		return RevisionCompacted
	}
	m.dropEvents(revision)
	return OK
}

// dropEvents drops the events up to a revision. Images share the old slice, so the remaining events are copied to a new
// one.
func (m *Machine) dropEvents(revision int64) {
	m.events = slices.Clone(m.events[m.firstEventAfter(revision):])
	m.compactedTo = revision
}

// firstEventAfter returns the position of the first event after a revision.
func (m *Machine) firstEventAfter(revision int64) int {
	i, _ := slices.BinarySearchFunc(m.events, revision+1, func(event Event, r int64) int {
		return cmp.Compare(event.Revision, r)
	})
	return i
}

// EventsSince returns the events of a namespace and prefix after a revision, and the revision up to which they are
// complete, which never lies before the revision asked for: a state that is behind has nothing to add yet. It returns
// about limit events: the events of one revision are returned together. It reports false if events after the revision
// were compacted: the watcher must read the keys again.
func (m *Machine) EventsSince(ns, prefix string, after int64, limit int) (found []Event, upTo int64, ok bool) {
	if after < m.compactedTo {
		return nil, m.compactedTo, false
	}
	for i := m.firstEventAfter(after); i < len(m.events); i++ {
		event := &m.events[i]
		if len(found) >= limit {
			last := found[len(found)-1].Revision
			if event.Revision > last {
				return found, last, true
			}
		}
		if event.KV.NS == ns && strings.HasPrefix(event.KV.Key, prefix) {
			found = append(found, *event)
		}
	}
	return found, max(m.revision, after), true
}

// CompactedTo returns the revision up to which events were dropped.
func (m *Machine) CompactedTo() int64 { return m.compactedTo }
