package backend

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// limit ends a test that hangs; no verdict depends on how soon anything happens.
const limit = 30 * time.Second

// end is what a pool tells of an attempt, or of a probe, whose number is 0.
type end struct {
	request int64
	result  balance.Result
}

type ends chan end

func (e ends) AttemptFinished(a gateway.Attempt, o gateway.Outcome) { e <- end{a.Request, o.Result} }
func (e ends) HealthCheckFinished(_ string, o gateway.Outcome)      { e <- end{0, o.Result} }

type query struct{}

func (query) Append(b []byte, _ int64) []byte { return pgwire.AppendQuery(b, "SELECT 2") }

func take[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatal("nothing: ", what)
	}
	return v
}

// peer is a database host that takes connections, and says nothing by itself.
type peer struct {
	ln    net.Listener
	conns chan net.Conn // those that have sent their startup
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{ln, make(chan net.Conn, 16)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := io.ReadFull(c, make([]byte, len(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog")))); err == nil {
				p.conns <- c
			}
		}
	}()
	return p
}

func (p *peer) address() string { return p.ln.Addr().String() }

// welcome greets a connection, and waits for the query that comes on it.
func welcome(t *testing.T, c net.Conn) {
	t.Helper()
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil)))
	asked(t, c)
}

func asked(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(limit))
	if _, err := io.ReadFull(c, make([]byte, len(query{}.Append(nil, 0)))); err != nil {
		t.Fatal(err)
	}
}

func reply(c net.Conn) {
	b := pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", "v"), "SELECT 1")
	_, _ = c.Write(pgwire.AppendReadyForQuery(b))
}

// rig is a pool with so many connections.
type rig struct {
	t    *testing.T
	loop *eventloop.Loop
	pool *Pool
	told ends
}

func newRig(t *testing.T, connections int, dial time.Duration) *rig {
	t.Helper()
	r := &rig{t: t, loop: eventloop.New(64, 1<<20, zerolog.Nop()), told: make(ends, 16)}
	if err := r.loop.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go r.loop.Run()
	t.Cleanup(r.loop.Close)
	r.do(func() {
		r.pool = New(r.loop, r.told, Limits{DialTimeout: dial.Microseconds(), IdleClose: 3600e6, Connections: connections, Bytes: 1 << 20}, zerolog.Nop())
	})
	return r
}

func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// list tells the pool the whole list.
func (r *rig) list(addresses map[string]string) {
	r.do(func() { r.pool.UpdateEndpoints(addresses, nil, true) })
}

func (r *rig) send(id int64, host string) {
	r.do(func() {
		r.pool.Send(gateway.Attempt{Request: id, Host: host, Deadline: r.loop.Now() + limit.Microseconds(), Body: query{}, Expired: func() bool { return false }})
	})
}

// Where all connections that there may be are at work, the lack is ours. What is to be sent waits as for a dial, and then
// ends as not sent: neither an attempt nor a probe says anything of its host, which would be doubted, and found down.
func TestLackOfConnectionsIsNotTheHosts(t *testing.T) {
	r, h, other := newRig(t, 1, time.Second), newPeer(t), newPeer(t)
	r.list(map[string]string{"h": h.address(), "other": other.address()})
	r.send(1, "h")
	c := take(t, h.conns, "the connection")
	welcome(t, c) // and never answered
	r.do(func() {
		r.pool.CheckHealth("h")
		r.pool.CheckHealth("other")
	})
	r.send(2, "h")
	r.send(3, "other")
	for range 4 {
		if e := take(t, r.told, "an end"); e.request == 1 || e.result != balance.NotSent {
			t.Errorf("%d ended as %d, want %d", e.request, e.result, balance.NotSent)
		}
	}
	r.do(func() {
		if n := len(r.pool.short) + len(r.pool.hosts["h"].waiting); n > 0 || len(r.pool.conns) != 1 {
			t.Errorf("%d wait, %d connections", n, len(r.pool.conns))
		}
	})
}

// What waits for a connection of ours gets the first that is no longer at work, whether it rests, ends or breaks, in the
// order in which it came.
func TestWaitsForAConnection(t *testing.T) {
	r, h, other := newRig(t, 1, limit), newPeer(t), newPeer(t)
	r.list(map[string]string{"h": h.address(), "other": other.address()})
	r.send(1, "h")
	c := take(t, h.conns, "the connection")
	welcome(t, c)
	r.send(2, "other")
	r.send(3, "h") // it came later, but needs no new connection
	reply(c)
	for _, want := range []end{{1, balance.Succeeded}, {3, balance.Succeeded}} {
		if got := take(t, r.told, "an answer"); got != want {
			t.Errorf("%v, want %v", got, want)
		}
		if want.request == 1 {
			asked(t, c)
			reply(c)
		}
	}
	d := take(t, other.conns, "the connection to the other") // the first one rests, and makes room
	welcome(t, d)
	r.send(4, "h")
	d.Close()
	for _, want := range []end{{2, balance.ConnectionReset}, {4, balance.Succeeded}} {
		if got := take(t, r.told, "an end"); got != want {
			t.Errorf("%v, want %v", got, want)
		}
		if want.request == 2 {
			e := take(t, h.conns, "a connection in its place")
			welcome(t, e)
			reply(e)
		}
	}
}

// A host that moves takes with it what waits for a connection to its old address, which may not come up for long. What
// waits for one that is gone is decided anew at once.
func TestHostsThatLeaveTheirAddress(t *testing.T) {
	r, old, moved := newRig(t, 4, limit), newPeer(t), newPeer(t)
	r.list(map[string]string{"h": old.address()})
	r.send(1, "h")
	r.send(2, "h")
	for range 2 {
		take(t, old.conns, "a dial") // never welcomed
	}
	r.list(map[string]string{"h": moved.address()})
	var conns []net.Conn
	for range 2 {
		c := take(t, moved.conns, "a dial to where it is")
		welcome(t, c)
		conns = append(conns, c)
	}
	for _, c := range conns {
		reply(c)
		if e := take(t, r.told, "an answer"); e.result != balance.Succeeded {
			t.Errorf("%d ended as %d", e.request, e.result)
		}
	}
	r.list(map[string]string{"h": old.address()})
	r.send(3, "h")
	take(t, old.conns, "a dial")
	r.list(map[string]string{})
	if got, want := take(t, r.told, "an end"), (end{3, balance.NotSent}); got != want {
		t.Errorf("%v, want %v", got, want)
	}
	r.do(func() {
		if n := len(r.pool.conns); n > 0 {
			t.Errorf("%d connections are left", n)
		}
	})
}
