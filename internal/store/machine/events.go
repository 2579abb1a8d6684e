package machine

import (
	"cmp"
	"slices"
	"strings"
)

// KeepEvents bounds the events kept for watches: at twice as many, the older half is dropped.
const KeepEvents = 16384

// EventHandler takes events of a watch, which go up to a revision. With complete false, events before that revision
// were compacted: the caller has to read the keys again, and the watch goes on from there. An error ends the watch.
type EventHandler func(events []Event, upTo int64, complete bool) error

// recordEvent notes an event; the first of a revision begins it.
func (m *Machine) recordEvent(event Event) {
	m.revision = event.Revision
	m.events = append(m.events, event)
	if len(m.events) >= 2*KeepEvents {
		m.dropEvents(m.events[len(m.events)-KeepEvents].Revision)
	}
}

func (m *Machine) compactTo(revision int64) Code {
	switch {
	case revision > m.revision:
		return BadAmount
	case revision <= m.compactedTo:
		return IsCompacted
	}
	m.dropEvents(revision)
	return OK
}

// dropEvents drops events up to a revision. Images share the old slice, so the rest is copied.
func (m *Machine) dropEvents(revision int64) {
	m.events = slices.Clone(m.events[m.firstEventAfter(revision):])
	m.compactedTo = revision
}

// firstEventAfter is the position of the first event after a revision.
func (m *Machine) firstEventAfter(revision int64) int {
	i, _ := slices.BinarySearchFunc(m.events, revision+1, func(event Event, r int64) int {
		return cmp.Compare(event.Revision, r)
	})
	return i
}

// EventsSince returns the events of a namespace and prefix after a revision, and the revision up to which they go: at
// most limit of them, and then those that belong to the last one's revision. It reports false if the revision was
// compacted: the watcher has to read the keys again.
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
	return found, m.revision, true
}

// CompactedTo is the revision up to which events are gone.
func (m *Machine) CompactedTo() int64 { return m.compactedTo }
