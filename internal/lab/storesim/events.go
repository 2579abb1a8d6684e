package storesim

import "container/heap"

// event is a call at a simulated time. Events of the same time are called in the order in which they were scheduled.
type event struct {
	at, serial int64
	call       func()
}

// eventQueue is a heap of events with the next one at its top.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules a call of f after a delay.
func (s *simulation) schedule(after int64, f func()) {
	s.lastSerial++
	heap.Push(&s.events, &event{s.now + after, s.lastSerial, f})
}

// runUntil runs the scheduled events up to a time, or to the first violation.
func (s *simulation) runUntil(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until && len(s.result.Violations) == 0 {
		next := heap.Pop(&s.events).(*event)
		s.now = next.at
		s.result.Steps++
		s.callEvent(next.call)
	}
	s.now = max(s.now, until)
}

// callEvent calls f and records a panic as a violation: raft panics when it finds its own state impossible.
func (s *simulation) callEvent(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			s.addViolation("panic: %v", reason)
		}
	}()
	f()
}
