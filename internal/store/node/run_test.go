package node

import (
	"testing"
	"testing/synctest"

	"cloverrock/internal/store/core"
)

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
