package frontend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

const limit = 30 * time.Second

// asked takes requests.
type asked chan gateway.Client

func (a asked) Accept(q gateway.Request) int64 { a <- q.Client; return 1 }
func (asked) ClientDisconnected(int64)         {}
func (asked) Ready() bool                      { return true }

// serve starts a server with so many connections and a gateway that a test plays, and returns a client's connection.
func serve(t *testing.T) (*eventloop.Loop, *Server, asked, net.Conn) {
	t.Helper()
	l, requests := eventloop.New(64, 1<<20, zerolog.Nop()), make(asked, 2)
	s := New(l, requests, map[string]Class{"look": {Deadline: limit.Microseconds()}}, Limits{Connections: 4, ActiveConnections: 4, Bytes: 1 << 20, MessageTimeout: 3600e6, IdleTimeout: 3600e6}, zerolog.Nop())
	if err := l.Start("127.0.0.1:0", 4, s.Accept); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Close)
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(limit))
	return l, s, requests, peer
}

func look(b []byte, id int) []byte {
	return pgwire.AppendQuery(b, fmt.Sprintf("/* id=%d,c=look,d=9000,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'", id))
}

func answer(c gateway.Client, value string) {
	c.Serve(pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1"))
}

// next waits for a request.
func (a asked) next(t *testing.T) *client {
	t.Helper()
	select {
	case c := <-a:
		return c.(*client)
	case <-time.After(limit):
		t.Fatal("the request is not taken")
		return nil
	}
}

// At the end a look at a connection may come between an answer and the next request of the same client, which was read long
// ago: that one is taken and answered before the connection ends.
func TestEndBetweenTwoPipelinedRequests(t *testing.T) {
	l, s, requests, peer := serve(t)
	if _, err := peer.Write(look(look(pgwire.AppendStartup(nil, "user", "worker"), 1), 2)); err != nil {
		t.Fatal(err)
	}
	first := requests.next(t)
	l.Post(func() {
		s.Shutdown(func() {})
		answer(first, "one")
		first.part() // as its timer has it, before the next request is taken
	})
	c := requests.next(t)
	l.Post(func() { answer(c, "two") })
	got, err := io.ReadAll(peer)
	if err != nil || !strings.Contains(string(got), "one") || !strings.Contains(string(got), "two") {
		t.Errorf("%q, %v", got, err)
	}
}

// A client says goodbye while a part of its last answer is yet to go out, since it reads slowly: it gets all of it.
func TestGoodbyeBeforeTheAnswerIsOut(t *testing.T) {
	l, _, requests, peer := serve(t)
	if _, err := peer.Write(pgwire.AppendStartup(nil, "user", "worker")); err != nil {
		t.Fatal(err)
	}
	value, sent, unwritten := strings.Repeat("v", 16<<10), 0, false
	for ; !unwritten; sent++ {
		if sent == 4000 {
			t.Fatal("64 MB were written to a client that reads nothing")
		}
		if _, err := peer.Write(look(nil, sent)); err != nil {
			t.Fatal(err)
		}
		c, done := requests.next(t), make(chan struct{})
		l.Post(func() {
			answer(c, value)
			if unwritten = c.net.UnsentBytes() > 0; unwritten {
				c.Data([]byte("X\x00\x00\x00\x04")) // as it comes from the socket
			}
			close(done)
		})
		<-done
	}
	got, err := io.ReadAll(peer)
	if n := strings.Count(string(got), value); err != nil || n != sent || !strings.HasSuffix(string(got), "Z\x00\x00\x00\x05I") {
		t.Errorf("%d of %d answers, %v", n, sent, err)
	}
}
