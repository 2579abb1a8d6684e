package backend

import (
	"net"
	"testing"

	"cloverrock/balance"
)

// When the address of a host changes, attempts that wait for a connection to the old address, which may take long to
// open, are sent to the new one.
func TestMovedHostTakesItsWaitingAttemptsAlong(t *testing.T) {
	h, old, moved := startPool(t, 4, testTimeout), startHost(t), startHost(t)
	h.setEndpoints(map[string]string{"h": old.address()})
	h.send(1, "h")
	h.send(2, "h")
	for range 2 {
		receive(t, old.conns, "a dial") // the startup is never answered
	}
	h.setEndpoints(map[string]string{"h": moved.address()})
	var conns []net.Conn
	for range 2 {
		conn := receive(t, moved.conns, "a dial to the new address")
		completeStartup(t, conn)
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		reply(conn)
		got := receive(t, h.outcomes, "an outcome")
		if got.result != balance.Succeeded {
			t.Errorf("request %d ended with result %d, want success", got.request, got.result)
		}
	}
	h.setEndpoints(map[string]string{"h": old.address()})
	h.send(3, "h")
	receive(t, old.conns, "a dial")
	h.setEndpoints(map[string]string{})
	h.wantOutcome(reportedOutcome{3, balance.NotSent})
	h.wantNoConnections()
}

// Attempts that wait for a connection to a host that is removed end at once as not sent, so that the router decides on
// them again.
func TestRemovedHostEndsItsWaitingAttemptsAsNotSent(t *testing.T) {
	h, host := startPool(t, 4, testTimeout), startHost(t)
	h.setEndpoints(map[string]string{"h": host.address()})
	h.send(1, "h")
	receive(t, host.conns, "a dial") // the startup is never answered
	h.setEndpoints(map[string]string{})
	h.wantOutcome(reportedOutcome{1, balance.NotSent})
	h.wantNoConnections()
}

func (h *harness) wantNoConnections() {
	h.t.Helper()
	h.onLoop(func() {
		if n := len(h.pool.conns); n > 0 {
			h.t.Errorf("%d connections are open, want none", n)
		}
	})
}
