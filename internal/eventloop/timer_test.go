package eventloop

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Timers run in the order of their times. A stopped timer does not run. Stop may be called again, or on nil.
func TestTimersRunInOrderUnlessStopped(t *testing.T) {
	l := startLoop(t, nil)
	var got []string
	done := make(chan struct{})
	l.onLoop(func() {
		now := l.Now()
		add := func(at int64, name string) *Timer { return l.CallAt(at, func() { got = append(got, name) }) }
		add(now+3, "third")
		stopped := add(now+2, "never")
		add(now-5, "first")
		add(now+1, "second")
		stopped.Stop()
		stopped.Stop()
		(*Timer)(nil).Stop()
		l.CallAt(now+4, func() { close(done) })
	})
	receive(t, done, "timers")
	if d := cmp.Diff([]string{"first", "second", "third"}, got); d != "" {
		t.Error(d)
	}
}

// A loop that is stopped by a timer ends at once, without waiting for the next event or timer.
func TestStopInATimerEndsTheLoop(t *testing.T) {
	l := startLoop(t, nil)
	l.waitForEngine() // its events would also end the wait
	l.onLoop(func() { l.CallAt(l.Now()+20_000, l.Stop) })
	receive(t, l.Done(), "the end")
}
