package eventloop

import "container/heap"

// Timer is a function call that is scheduled for a given time.
type Timer struct {
	loop  *Loop
	at    int64 // microseconds on the loop's clock
	index int   // in the heap; -1 once it has run or was stopped
	call  func()
}

// CallAt calls f on the loop's goroutine at the given time, in microseconds, or as soon as possible after it.
func (l *Loop) CallAt(at int64, f func()) *Timer {
	t := &Timer{loop: l, at: at, call: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop prevents the call. It does nothing for a nil timer or for one that has run or was stopped.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timers is a heap ordered by time. Timers with equal times are in no fixed order.
type timers []*Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}
