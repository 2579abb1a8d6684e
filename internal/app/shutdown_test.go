package app

import (
	"strings"
	"testing"
	"time"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// A draining gateway still accepts requests for drainDelay, answers all requests in flight, and then ends.
func TestDrainAnswersWhatIsInFlight(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.connect()
	idle := gw.connect()
	client.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()
	gw.onLoop(func() {
		if gw.server.drainDelay != 700e3 { // µs; requests that arrive later count as lost
			t.Errorf("drain delay of %d us, want 700000", gw.server.drainDelay)
		}
		gw.server.drainDelay = testTimeout.Microseconds() // the test ends the delay after the late request
		gw.server.drain()
	})
	late := gw.connect()
	gw.exchange(late, 2, "late")
	gw.onLoop(gw.server.stopAccepting)
	idle.want("closed")
	late.want("closed")
	held.answer("v")
	client.want("value v")
	client.want("closed")
	gw.wantEnded()
}

// closingComponent is a component whose Close returns once the test closes mayClose.
type closingComponent struct {
	Component
	mayClose chan struct{}
}

func (c closingComponent) Close() { <-c.mayClose }

// A component that is slow to close does not keep the process running until the platform kills it.
func TestEndDoesNotWaitForASlowComponent(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.LongestDeadline = 0 })
	gw.onLoop(gw.server.drain)
	gw.wantEnded()
	component := closingComponent{mayClose: make(chan struct{})}
	if gw.server.closeInTime(component) {
		t.Error("reported as closed although Close has not returned")
	}
	if now := gw.server.loop.Now(); now > gw.server.killAt {
		t.Errorf("closeInTime returned %d us after the kill", now-gw.server.killAt)
	}
	close(component.mayClose)
	gw.server.killAt = gw.server.loop.Now() + testTimeout.Microseconds()
	if !gw.server.closeInTime(component) {
		t.Error("reported as not closed although Close returned in time")
	}
}

// shutdownCase describes what a client sends before and after the gateway begins to close connections.
type shutdownCase struct {
	silent      bool // no startup has been exchanged before; sent begins with it
	sent        []byte
	bytesBefore int // how many bytes of sent are in the gateway's socket at that moment
	want        []string
}

// run shuts a gateway down while a client sends.
func (c *shutdownCase) run(t *testing.T, startup []byte) {
	t.Helper()
	gw := startGateway(t, 0)
	client := gw.dial()
	if !c.silent {
		client.write(startup)
		client.want("")
	}
	gw.connect() // this round trip shows that the loop has accepted the first connection, too
	gw.onLoop(func() {
		if c.bytesBefore > 0 {
			client.write(c.sent[:c.bytesBefore])
			gw.waitForInput()
		}
		gw.server.stopAccepting()
	})
	go gw.answerQueries(len(c.want))
	if c.bytesBefore < len(c.sent) {
		client.write(c.sent[c.bytesBefore:])
	}
	for _, want := range c.want {
		client.want(want)
	}
	client.want("closed")
	gw.wantEnded()
}

// waitForInput waits on the loop's goroutine until bytes of a client have arrived in a socket.
func (gw *harness) waitForInput() {
	for began := time.Now(); gw.server.frontend.InputDrained() && time.Since(began) < testTimeout; {
	}
}

// answerQueries has the primary answer at most n queries.
func (gw *harness) answerQueries(n int) {
	for range n {
		select {
		case query := <-gw.hosts[0].queries:
			query.answer("v")
		case <-time.After(testTimeout):
			return
		}
	}
}

// Clients still send after SIGTERM. Bytes that are in a connection's socket when the gateway begins to close
// connections are read and answered: a request, half of one, the first of several, or a startup followed by its query.
func TestShutdownAnswersWhatIsInTheSocket(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "user", "worker")
	query := func(ids ...int) (b []byte) {
		for _, id := range ids {
			b = pgwire.AppendQuery(b, queryText(writeFormat, id))
		}
		return b
	}
	three := []string{"value v", "value v", "value v"}
	for name, c := range map[string]shutdownCase{
		"a request":             {sent: query(1), bytesBefore: len(query(1)), want: []string{"value v"}},
		"half a request":        {sent: query(1), bytesBefore: 9, want: []string{"value v"}},
		"several, cut":          {sent: query(1, 2, 3), bytesBefore: len(query(1)) + 7, want: three},
		"a startup and query":   {silent: true, sent: append(startup, query(1)...), bytesBefore: len(startup), want: []string{"", "value v"}},
		"half a startup":        {silent: true, sent: append(startup, query(1)...), bytesBefore: 3, want: []string{"", "value v"}},
		"nothing":               {want: nil},
		"nothing since it came": {silent: true, want: nil},
	} {
		t.Run(name, func(t *testing.T) { c.run(t, startup) })
	}
}

// A client that reads slowly counts as idle while its answer is written only in part. Neither a new client nor the
// shutdown closes its connection before the answer is complete.
func TestSlowReaderGetsItsCompleteAnswer(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 4 }) // 2 clients
	slow := gw.connect()
	other := gw.connect()
	value := strings.Repeat("v", 64<<10)
	id := 0
	for ; !gw.hasUnsentBytes(); id++ {
		if id == 1000 {
			t.Fatal("64 MB were written to a client that does not read")
		}
		slow.query(queryText(writeFormat, id))
		gw.hosts[0].nextQuery().answer(value)
		for gw.hasInFlight() {
		}
	}
	other.query("") // so that slow has been idle for longer than other
	other.want("empty")
	gw.connect().close()
	other.want("closed")
	gw.onLoop(func() {
		gw.server.drainDelay = testTimeout.Microseconds()
		gw.server.drain()
		gw.server.stopAccepting()
	})
	for ; id > 0; id-- {
		slow.want("value " + value)
	}
	slow.want("closed")
}

// An idle connection is ended by a lingering close: requests that its client is just sending are not forwarded and do
// not cause a reset. A client that does not close its side delays the shutdown only briefly.
func TestIdleClientIsClosedWithoutAReset(t *testing.T) {
	for name, ends := range map[string]bool{"ends its side": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			gw := startGateway(t, 0)
			client := gw.connect()
			gw.exchange(client, 1, "v")
			gw.onLoop(func() { gw.server.frontend.Shutdown(gw.server.loop.Stop) })
			for id := range 50 { // after a reset, one of these writes would fail
				client.query(queryText(writeFormat, 10+id))
			}
			client.want("closed")
			if ends {
				client.close()
			}
			gw.wantEnded()
			if n := len(gw.hosts[0].queries); n > 0 {
				t.Errorf("%d requests were forwarded after the connection was ended", n)
			}
		})
	}
}

// A client that pipelines requests keeps its connection busy until the kill, and each of its requests is answered
// before that. The first request is a write that hangs at its host. The one behind it was read after the drain delay
// and is never forwarded.
func TestPipelinedRequestsAreAnsweredBeforeTheKill(t *testing.T) {
	const longestDeadline = 400 * time.Millisecond
	gw := startGateway(t, 0, func(c *config.Config) { c.LongestDeadline = longestDeadline.Microseconds() })
	client := gw.connect()
	idle := gw.connect()
	client.query(queryText(writeFormat, 1))
	gw.hosts[0].nextQuery()
	var signaled time.Time
	gw.onLoop(func() {
		signaled = time.Now()
		gw.server.drain()
	})
	idle.want("closed") // the drain delay is over
	client.query(queryText(writeFormat, 2))
	client.write(pgwire.AppendQuery(nil, queryText(writeFormat, 3))[:20])
	client.want("error " + pgwire.CodeSystemError)
	client.want("error 53300 after 1000")
	client.want("error 53300 closed")
	if taken := time.Since(signaled); taken > longestDeadline+700*time.Millisecond {
		t.Errorf("the last answer came %v after the signal", taken)
	}
	gw.wantEnded()
	if n := len(gw.hosts[0].queries); n > 0 {
		t.Errorf("%d requests were forwarded although no time was left for them", n)
	}
}
