package frontend

import (
	"io"
	"strings"
	"testing"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// Clients that sent more than 64 commands ahead, or more than the memory limit, while their first request waited for a
// primary were ended, and lost all of these. What has no room waits in the socket.
func TestCommandsSentAheadAreAllAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		commands, size int
		shutdown       bool
	}{
		"many commands":               {5 * maxPipelined, 1, false},
		"many commands in a shutdown": {5 * maxPipelined, 1, true},
		"large commands":              {40, maxValue, false},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, requests, peer := startServer(t)
			sent := pgwire.AppendStartup(nil, "user", "worker")
			for id := range c.commands {
				sent = appendSizedQuery(sent, id, c.size)
			}
			sent = pgwire.AppendTerminate(sent)
			go func() { _, _ = peer.Write(sent) }() // the answers show a failure
			answers := make(chan string, 1)
			go func() {
				got, _ := io.ReadAll(peer) // the number of answers shows a failure
				answers <- string(got)
			}()
			for i := range c.commands {
				request := requests.next(t)
				onLoop(loop, func() {
					if c.shutdown && i == 0 {
						server.Shutdown(func() {})
					}
					if limit := server.limits.Bytes; server.heldBytes > limit {
						t.Errorf("%d bytes are held, want at most %d", server.heldBytes, limit)
					}
					serveValue(request, "v")
				})
			}
			if n := strings.Count(<-answers, "SELECT 1"); n != c.commands {
				t.Errorf("%d of %d commands were answered", n, c.commands)
			}
		})
	}
}

// deadlines is a gateway that answers nothing and passes the deadline of each request to the test.
type deadlines chan int64

func (d deadlines) Accept(request gateway.Request) int64 { d <- request.Deadline; return 1 }
func (deadlines) ClientDisconnected(int64)               {}
func (deadlines) Ready() bool                            { return true }

// A command that waits in the socket must not get more time than its client waits for it.
func TestTimeInTheSocketCountsForTheDeadline(t *testing.T) {
	const wait = 9000e3 // of appendSizedQuery, in microseconds
	loop, server, _, peer := startServer(t)
	passed := make(deadlines, 1)
	onLoop(loop, func() { server.gateway = passed })
	writeAll(t, peer, appendLookQuery(pgwire.AppendStartup(nil, "user", "worker"), 0))
	<-passed
	c := onlyClientOnLoop(loop, server)
	var blockedAt int64
	onLoop(loop, func() {
		for id := range maxPipelined + 1 {
			c.Data(appendLookQuery(nil, id+1)) // as if received from the socket
		}
		blockedAt = loop.Now()
	})
	writeAll(t, peer, appendLookQuery(nil, 1000))
	for range maxPipelined + 1 {
		onLoop(loop, func() { serveValue(c, "v") })
		<-passed
	}
	var answeredAt int64
	onLoop(loop, func() {
		answeredAt = loop.Now()
		serveValue(c, "v")
	})
	deadline := <-passed
	if deadline > blockedAt+wait {
		t.Errorf("the deadline counts from %d us after the input was blocked (the command before was answered after %d us), want at most 0",
			deadline-wait-blockedAt, answeredAt-blockedAt)
	}
}

func onlyClientOnLoop(loop *eventloop.Loop, server *Server) (c *client) {
	onLoop(loop, func() { c = onlyClient(server) })
	return c
}
