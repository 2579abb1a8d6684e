package frontend

import (
	"net"
	"slices"
	"strings"
	"testing"

	"cloverrock/internal/pgwire"
)

// maxValue is the size of the largest values that the protocol allows, in bytes.
const maxValue = 64 << 10

// The bytes of requests whose clients had left stayed counted against the memory limit, and at the limit no client was
// served any more.
func TestClientsThatLeaveFreeTheirMemory(t *testing.T) {
	loop, server, requests, peer := startServer(t)
	startup := pgwire.AppendStartup(nil, "user", "worker")
	request := appendSizedQuery(nil, 1, maxValue)
	pipelined := appendSizedQuery(appendSizedQuery(nil, 1, maxValue), 2, maxValue)
	leave := map[string]struct {
		sent []byte
		end  func(net.Conn) error
	}{
		"with a request in flight":     {request, net.Conn.Close},
		"with a request behind it":     {pipelined, net.Conn.Close},
		"within the next message":      {pipelined[:len(pipelined)-1], net.Conn.Close},
		"by closing only their side":   {request, func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() }},
		"by Terminate after a request": {pgwire.AppendTerminate(request), net.Conn.Close},
	}
	for left := 0; left < 2*server.limits.Bytes; {
		for _, client := range leave {
			writeAll(t, peer, append(startup, client.sent...))
			requests.next(t)
			if err := client.end(peer); err != nil {
				t.Fatal(err)
			}
			for connected := 1; connected > 0; {
				onLoop(loop, func() { connected = len(server.clients) })
			}
			left += len(client.sent)
			peer = connect(t, loop)
		}
	}
	onLoop(loop, func() {
		if server.heldBytes != 0 || server.activeClients != 0 || len(server.openRequestIDs) != 0 {
			t.Errorf("%d bytes, %d active clients and %d request ids are counted without a client, want none",
				server.heldBytes, server.activeClients, len(server.openRequestIDs))
		}
	})
	writeAll(t, peer, append(startup, appendLookQuery(nil, 1)...))
	requests.next(t)
}

// Commands that the gateway had answered itself stayed counted until the requests behind them in the pipeline were
// answered. At the memory limit their client was ended although it held little.
func TestAnsweredCommandsOfAPipelineAreNotCounted(t *testing.T) {
	loop, server, requests, peer := startServer(t)
	writeAll(t, peer, appendLookQuery(pgwire.AppendStartup(nil, "user", "worker"), 1))
	c := requests.next(t)
	onLoop(loop, func() { serveValue(c, "v") })
	rejected := pgwire.AppendQuery(nil, "no request "+strings.Repeat("k", maxValue))
	first := appendSizedQuery(nil, 2, maxValue)
	last := appendSizedQuery(nil, 3, maxValue/2)
	const header = 5 // bytes of a message before its text
	onLoop(loop, func() {
		c.Data(slices.Concat(rejected, first, last)) // as if received from the socket
		if want := len(first) + len(last) - 2*header; server.heldBytes != want {
			t.Errorf("%d bytes are counted behind a rejected command, want %d", server.heldBytes, want)
		}
	})
	requests.next(t)
	onLoop(loop, func() {
		serveValue(c, "v")
		if want := len(last) - header; server.heldBytes != want {
			t.Errorf("%d bytes are counted behind an answered request, want %d", server.heldBytes, want)
		}
	})
}

// At the memory limit the client that held the most was ended, although it was owed an answer. Whoever is owed none, or asks
// for more, gives way.
func TestClientThatIsOwedAnAnswerStaysAtTheMemoryLimit(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for name, c := range map[string]struct{ sent, want []byte }{
		"an incomplete message": {appendSizedQuery(nil, 2, 600<<10)[:500<<10], []byte(pgwire.CodeProtocolViolation)},
		"a further request":     {appendSizedQuery(nil, 2, 500<<10), []byte(pgwire.CodeTooManyConnections)},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, requests, peer := startServer(t)
			writeAll(t, peer, append(startup, appendSizedQuery(nil, 1, 600<<10)...))
			owed := requests.next(t)
			other := connect(t, loop)
			writeAll(t, other, startup)
			readUntil(t, other, pgwire.AppendReadyForQuery(nil), 1)
			onLoop(loop, func() {
				for client := range server.clients {
					if client != owed {
						client.Data(c.sent) // as if received from the socket, in one piece
					}
				}
			})
			readUntil(t, other, c.want, 1)
			onLoop(loop, func() { serveValue(owed, "v") })
			readUntil(t, peer, []byte("SELECT 1"), 1)
		})
	}
}
