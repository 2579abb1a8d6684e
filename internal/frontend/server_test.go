package frontend

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// testTimeout ends a test that hangs. No test result depends on how fast something happens.
const testTimeout = 30 * time.Second

// acceptedRequests is a gateway that passes the client of each accepted request to the test.
type acceptedRequests chan gateway.Client

func (a acceptedRequests) Accept(request gateway.Request) int64 { a <- request.Client; return 1 }
func (acceptedRequests) ClientDisconnected(int64)               {}
func (acceptedRequests) Ready() bool                            { return true }

// next waits for a request.
func (a acceptedRequests) next(t *testing.T) *client {
	t.Helper()
	select {
	case c := <-a:
		return c.(*client)
	case <-time.After(testTimeout):
		t.Fatal("no request was accepted within the test timeout")
		return nil
	}
}

// startServer starts a server whose gateway is controlled by the test, and returns a client's connection to it.
func startServer(t *testing.T) (*eventloop.Loop, *Server, acceptedRequests, net.Conn) {
	t.Helper()
	loop := eventloop.New(64, 1<<20, zerolog.Nop())
	requests := make(acceptedRequests, 2)
	classes := map[string]Class{"look": {Deadline: testTimeout.Microseconds()}}
	limits := Limits{Connections: 4, ActiveConnections: 4, Bytes: 1 << 20, MessageTimeout: 3600e6, IdleTimeout: 3600e6}
	server := New(loop, requests, classes, limits, zerolog.Nop())
	if err := loop.Start("127.0.0.1:0", 4, server.Accept); err != nil {
		t.Fatal(err)
	}
	go loop.Run()
	t.Cleanup(loop.Close)
	return loop, server, requests, connect(t, loop)
}

// connect opens a client's connection.
func connect(t *testing.T, loop *eventloop.Loop) net.Conn {
	t.Helper()
	peer, err := net.Dial("tcp4", loop.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() }) // the server may have closed it first
	if err := peer.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return peer
}

func writeAll(t *testing.T, peer net.Conn, b []byte) {
	t.Helper()
	if _, err := peer.Write(b); err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on the loop's goroutine and waits until it has returned.
func onLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

func appendLookQuery(b []byte, id int) []byte { return appendSizedQuery(b, id, 1) }

// appendSizedQuery appends a query whose text has at least the given number of bytes.
func appendSizedQuery(b []byte, id, size int) []byte {
	const format = "/* id=%d,c=look,d=9000,cluster=1 */ SELECT body FROM objects WHERE oid = '%s'"
	return pgwire.AppendQuery(b, fmt.Sprintf(format, id, strings.Repeat("k", size)))
}

func serveValue(c gateway.Client, value string) {
	c.Serve(pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1"))
}
