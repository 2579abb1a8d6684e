package fleetmodel

import "container/heap"

// event is a call at a simulated time. Events of the same time are called in the order in which they were scheduled.
type event struct {
	at, sequence int64
	call         func()
}

// eventQueue is a heap of events with the next one at its top.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule schedules a call of f after a delay.
func (s *simulation) schedule(after int64, f func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + after, s.sequence, f})
}
