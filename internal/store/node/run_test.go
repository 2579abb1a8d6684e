package node

import (
	"testing"
	"testing/synctest"
	"time"

	"cloverrock/internal/store/core"
)

// Tasks of clients, of which up to 512 were run in a row, kept the instance from its ticks, and with them from heartbeats.
func TestTickIsHandledBetweenTasks(t *testing.T) {
	n := &Node{inbox: make(chan peerMessage), tasks: make(chan func(), 8)}
	ticks := make(chan time.Time, 1)
	var order string
	n.tasks <- func() { order += "task "; ticks <- time.Time{} }
	n.tasks <- func() { order += "task " }
	n.drainQueues(ticks, func() { order += "tick " })
	n.drainQueues(ticks, nil)
	if order != "task tick task " {
		t.Errorf("handled %q, want the tick before the second task", order)
	}
}

// A peer that sent more than the owner handled took all places of the inbox, and others had to wait for it.
func TestFloodingPeerLeavesPlacesInTheInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{inbox: make(chan peerMessage, inboxSize), stop: make(chan struct{})}
		places := make(chan struct{}, maxPeerMessages)
		go func() {
			for n.deliver(core.Envelope{}, places) {
			}
		}()
		synctest.Wait() // until the peer has no place left
		if len(n.inbox) != maxPeerMessages {
			t.Errorf("%d messages of one peer wait in the inbox, want %d", len(n.inbox), maxPeerMessages)
		}
		close(n.stop)
	})
}
