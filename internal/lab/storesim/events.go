package storesim

import "container/heap"

// event is a call at a simulated time. Of two at one time the one that was scheduled first comes first.
type event struct {
	at, serial int64
	call       func()
}

// eventQueue is a heap of events.
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

// schedule calls f after a time.
func (s *simulation) schedule(after int64, f func()) {
	s.serial++
	heap.Push(&s.events, &event{s.now + after, s.serial, f})
}

// play plays the events up to a time, or to the first violation.
func (s *simulation) play(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until && len(s.result.Violations) == 0 {
		next := heap.Pop(&s.events).(*event)
		s.now = next.at
		s.result.Steps++
		s.callEvent(next.call)
	}
	s.now = max(s.now, until)
}

// callEvent makes a panic a violation: raft panics where its state is impossible.
func (s *simulation) callEvent(f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			s.addViolation("panic: %v", reason)
		}
	}()
	f()
}
