package fleet

import "sync/atomic"

// ring is a channel that drops its oldest element when it is full.
type ring[T any] struct {
	ch      chan T
	dropped atomic.Int64
}

func newRing[T any](size int) *ring[T] { return &ring[T]{ch: make(chan T, size)} }

// push adds an element without blocking. It may be called from any goroutine.
func (r *ring[T]) push(v T) {
	for {
		select {
		case r.ch <- v:
			return
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}
