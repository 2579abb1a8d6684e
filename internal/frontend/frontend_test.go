package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/gateway"
	"cloverrock/internal/loop"
	"cloverrock/internal/pgwire"
)

const limit = 30 * time.Second

// asked takes requests.
type asked chan gateway.Client

func (a asked) Accept(q gateway.Request) int64 { a <- q.Client; return 1 }
func (asked) Gone(int64)                       {}
func (asked) Ready() bool                      { return true }

// At the end a look at a connection may come between an answer and the next request of the same client, which was read long
// ago: that one is taken and answered before the connection ends.
func TestEndBetweenTwoPipelinedRequests(t *testing.T) {
	l, requests := loop.New(64, 1<<20, zerolog.Nop()), make(asked, 2)
	s := New(l, requests, map[string]Class{"look": {Deadline: limit.Microseconds()}}, Limits{Connections: 4, Asked: 4, Bytes: 1 << 20, Silence: 3600e6, Resting: 3600e6}, zerolog.Nop())
	if err := l.Start("127.0.0.1:0", 4, s.Accept); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer func() { l.Post(func() { l.StopListening(func() {}); l.Stop() }); <-l.Done() }()
	peer, err := net.Dial("tcp4", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	_ = peer.SetDeadline(time.Now().Add(limit))
	b := pgwire.AppendStartup(nil, "user", "worker")
	for _, id := range []string{"1", "2"} {
		b = pgwire.AppendQuery(b, "/* id="+id+",c=look,d=9000,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'")
	}
	if _, err := peer.Write(b); err != nil {
		t.Fatal(err)
	}
	answer := func(c gateway.Client, value string) {
		c.Serve(pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1"))
	}
	first := (<-requests).(*client)
	l.Post(func() {
		s.End(func() {})
		answer(first, "one")
		first.part() // as its timer has it, before the next request is taken
	})
	select {
	case c := <-requests:
		l.Post(func() { answer(c, "two") })
	case <-time.After(limit):
		t.Fatal("the second request is not taken")
	}
	got, err := io.ReadAll(peer)
	if err != nil || !strings.Contains(string(got), "one") || !strings.Contains(string(got), "two") {
		t.Errorf("%q, %v", got, err)
	}
}
