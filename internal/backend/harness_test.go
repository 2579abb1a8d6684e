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

// testTimeout ends a test that hangs. No test result depends on how fast something happens.
const testTimeout = 30 * time.Second

// reportedOutcome is an outcome that a pool reports; request is 0 for a health check.
type reportedOutcome struct {
	request int64
	result  balance.Result
}

// outcomes implements Events.
type outcomes chan reportedOutcome

func (o outcomes) AttemptFinished(attempt gateway.Attempt, outcome gateway.Outcome) {
	o <- reportedOutcome{attempt.Request, outcome.Result}
}

func (o outcomes) HealthCheckFinished(_ string, outcome gateway.Outcome) {
	o <- reportedOutcome{0, outcome.Result}
}

type testQuery struct{}

func (testQuery) Append(b []byte, _ int64) []byte { return pgwire.AppendQuery(b, "SELECT 2") }

func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing received within the test timeout: ", what)
	}
	return v
}

// databaseHost accepts connections. A test sends its answers.
type databaseHost struct {
	listener net.Listener
	conns    chan net.Conn // connections whose startup message was received
}

func startHost(t *testing.T) *databaseHost {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &databaseHost{listener, make(chan net.Conn, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	startup := pgwire.AppendStartup(nil, "user", "worker", "database", "catalog")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // the pool may have closed it first
			if _, err := io.ReadFull(conn, make([]byte, len(startup))); err == nil {
				h.conns <- conn
			}
		}
	}()
	return h
}

func (h *databaseHost) address() string { return h.listener.Addr().String() }

// completeStartup completes the startup of a connection and reads the query that follows.
func completeStartup(t *testing.T, conn net.Conn) {
	t.Helper()
	_, _ = conn.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil))) // the read detects a failure
	readQuery(t, conn)
}

func readQuery(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout)) // the read detects a failure
	if _, err := io.ReadFull(conn, make([]byte, len(testQuery{}.Append(nil, 0)))); err != nil {
		t.Fatal(err)
	}
}

func reply(conn net.Conn) {
	b := pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", "v"), "SELECT 1")
	_, _ = conn.Write(pgwire.AppendReadyForQuery(b)) // the outcome shows a failure
}

// harness is a pool with its event loop.
type harness struct {
	t        *testing.T
	loop     *eventloop.Loop
	pool     *Pool
	outcomes outcomes
}

func startPool(t *testing.T, connections int, dialTimeout time.Duration) *harness {
	t.Helper()
	h := &harness{t: t, loop: eventloop.New(64, 1<<20, zerolog.Nop()), outcomes: make(outcomes, 16)}
	if err := h.loop.Start("", 0, nil); err != nil {
		t.Fatal(err)
	}
	go h.loop.Run()
	t.Cleanup(h.loop.Close)
	limits := Limits{
		DialTimeout: dialTimeout.Microseconds(), IdleClose: 3600e6, Connections: connections, Bytes: 1 << 20,
	}
	h.onLoop(func() { h.pool = New(h.loop, h.outcomes, limits, zerolog.Nop()) })
	return h
}

func (h *harness) onLoop(f func()) {
	done := make(chan struct{})
	h.loop.Post(func() { f(); close(done) })
	<-done
}

// setEndpoints passes a complete endpoint list to the pool.
func (h *harness) setEndpoints(addresses map[string]string) {
	h.onLoop(func() { h.pool.UpdateEndpoints(addresses, nil, true) })
}

func (h *harness) send(id int64, host string) {
	h.onLoop(func() {
		h.pool.Send(gateway.Attempt{
			Request: id, Host: host, Deadline: h.loop.Now() + testTimeout.Microseconds(), Body: testQuery{},
			Expired: func() bool { return false },
		})
	})
}

func (h *harness) wantOutcome(want reportedOutcome) {
	h.t.Helper()
	if got := receive(h.t, h.outcomes, "an outcome"); got != want {
		h.t.Errorf("outcome %v, want %v", got, want)
	}
}
