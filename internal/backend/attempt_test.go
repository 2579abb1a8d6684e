package backend

import (
	"testing"
	"time"

	"cloverrock/balance"
)

// A reached connection limit proves nothing about a host. Attempts and health checks wait as long as a dial may take and
// then end as not sent: any other result would make the host suspect.
func TestConnectionLimitEndsWaitingAttemptsAsNotSent(t *testing.T) {
	h, host, other := startPool(t, 1, time.Second), startHost(t), startHost(t)
	h.setEndpoints(map[string]string{"h": host.address(), "other": other.address()})
	h.send(1, "h")
	conn := receive(t, host.conns, "the connection")
	completeStartup(t, conn) // the query is never answered
	h.onLoop(func() {
		h.pool.CheckHealth("h")
		h.pool.CheckHealth("other")
	})
	h.send(2, "h")
	h.send(3, "other")
	for range 4 {
		got := receive(t, h.outcomes, "an outcome")
		if got.request == 1 || got.result != balance.NotSent {
			t.Errorf("request %d ended with result %d, want result %d and not request 1",
				got.request, got.result, balance.NotSent)
		}
	}
	h.onLoop(func() {
		waiting := len(h.pool.awaitingSlot) + len(h.pool.hosts["h"].waiting)
		if waiting > 0 || len(h.pool.conns) != 1 {
			t.Errorf("%d attempts wait and %d connections are open, want 0 and 1", waiting, len(h.pool.conns))
		}
	})
}

// An attempt that waits for a connection slot gets the first one that becomes free, whether a connection becomes idle,
// ends or breaks. Attempts for the same connection are served in the order in which they came.
func TestWaitingAttemptsGetTheFirstFreeConnectionInOrder(t *testing.T) {
	h, host, other := startPool(t, 1, testTimeout), startHost(t), startHost(t)
	h.setEndpoints(map[string]string{"h": host.address(), "other": other.address()})
	h.send(1, "h")
	conn := receive(t, host.conns, "the connection")
	completeStartup(t, conn)
	h.send(2, "other")
	h.send(3, "h") // sent after attempt 2, but it needs no new connection
	reply(conn)
	h.wantOutcome(reportedOutcome{1, balance.Succeeded})
	readQuery(t, conn)
	reply(conn)
	h.wantOutcome(reportedOutcome{3, balance.Succeeded})

	otherConn := receive(t, other.conns, "the connection to the other host") // the first connection is idle and is evicted
	completeStartup(t, otherConn)
	h.send(4, "h")
	_ = otherConn.Close() // the outcome shows a failure
	h.wantOutcome(reportedOutcome{2, balance.ConnectionReset})
	replacement := receive(t, host.conns, "a new connection in place of the closed one")
	completeStartup(t, replacement)
	reply(replacement)
	h.wantOutcome(reportedOutcome{4, balance.Succeeded})
}
