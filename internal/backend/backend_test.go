package backend

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/gateway"
	"cloverrock/internal/loop"
	"cloverrock/internal/pgwire"
)

const limit = 30 * time.Second

// ends takes what a pool tells.
type ends chan balance.Result

func (e ends) Ended(_ gateway.Attempt, o gateway.Outcome) { e <- o.Result }
func (e ends) Probed(_ string, o gateway.Outcome)         { e <- o.Result }

type query struct{}

func (query) Append(b []byte, _ int64) []byte { return pgwire.AppendQuery(b, "SELECT 2") }

// Where all connections that there may be are at work, neither an attempt nor a probe says anything of its host: it would be
// doubted, and found down, for a lack of ours.
func TestLackOfConnectionsIsNotTheHosts(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, told := loop.New(64, 1<<20, zerolog.Nop()), make(ends, 4)
	if err := l.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer func() { l.Post(l.Stop); <-l.Done() }()
	at := func(id int64) gateway.Attempt {
		return gateway.Attempt{Request: id, Host: "h", Until: l.Now() + limit.Microseconds(), Body: query{}, Aged: func() bool { return false }}
	}
	l.Post(func() {
		p := New(l, told, Limits{DialTimeout: limit.Microseconds(), IdleClose: limit.Microseconds(), Connections: 1, Bytes: 1 << 20}, zerolog.Nop())
		p.List(map[string]string{"h": ln.Addr().String()}, nil, true)
		p.Send(at(1)) // its connection is never welcomed
		p.Send(at(2))
		p.Probe("h")
	})
	for range 2 {
		select {
		case r := <-told:
			if r != balance.Skipped {
				t.Errorf("ended as %d, want skipped", r)
			}
		case <-time.After(limit):
			t.Fatal("nothing is told")
		}
	}
}
