package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"cloverrock/balance"
)

// Times in microseconds.
const (
	millisecond = 1_000
	second      = 1_000_000
)

// Classes of the tests' requests.
const (
	readClass = iota
	writeClass
)

// testClock is a clock that a test advances.
type testClock struct {
	now    int64
	timers []testTimer
}

type testTimer struct {
	at int64
	f  func()
}

func (c *testClock) Now() int64                { return c.now }
func (c *testClock) CallAt(at int64, f func()) { c.timers = append(c.timers, testTimer{at, f}) }

// advance sets the clock to a time and runs the timers that are due until then, in the order of their times.
func (c *testClock) advance(until int64) {
	for {
		next := -1
		for i, timer := range c.timers {
			if timer.at <= until && (next < 0 || timer.at < c.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			c.now = until
			return
		}
		timer := c.timers[next]
		c.timers = slices.Delete(c.timers, next, next+1)
		c.now = max(c.now, timer.at)
		timer.f()
	}
}

// testHosts records attempts and health checks; a test reports the outcomes of the attempts by finish.
type testHosts struct {
	gateway      *Gateway
	clock        *testClock
	attempts     []Attempt // in flight
	healthChecks []string
	onSend       func(attempt Attempt)
	onCheck      func(host string)
}

func (h *testHosts) Send(attempt Attempt) {
	h.attempts = append(h.attempts, attempt)
	if h.onSend != nil {
		h.onSend(attempt)
	}
}

func (h *testHosts) Cancel(request int64, number int) {
	h.clock.CallAt(h.clock.now, func() { h.finish(request, number, Outcome{Result: balance.Canceled}) })
}

func (h *testHosts) CheckHealth(host string) {
	h.healthChecks = append(h.healthChecks, host)
	if h.onCheck != nil {
		h.onCheck(host)
	}
}

func (h *testHosts) CloseIdle(string) {}

// finish reports the outcome of an attempt unless it was already reported.
func (h *testHosts) finish(request int64, number int, outcome Outcome) {
	i := slices.IndexFunc(h.attempts, func(a Attempt) bool { return a.Request == request && a.Number == number })
	if i < 0 {
		return
	}
	attempt := h.attempts[i]
	h.attempts = slices.Delete(h.attempts, i, i+1)
	h.gateway.AttemptFinished(attempt, outcome)
}

type noEndpoints struct{}

func (noEndpoints) Subscribe() {}
func (noEndpoints) Poll()      {}

type noPeers struct{}

func (noPeers) Send(int, []byte) {}

// testClient counts the answers that it receives.
type testClient struct {
	served, rejected, failed int
	disconnected             bool
}

func (c *testClient) Serve([]byte)       { c.served++ }
func (c *testClient) Reject(int64)       { c.rejected++ }
func (c *testClient) Fail()              { c.failed++ }
func (c *testClient) Disconnected() bool { return c.disconnected }
func (c *testClient) answers() int       { return c.served + c.rejected + c.failed }

// startGateway returns a gateway with an endpoint list of one group: a primary and two replicas.
func startGateway(t *testing.T) (*Gateway, *testHosts, *testClock) {
	t.Helper()
	router, err := balance.New(balance.Settings{
		TickInterval: 5 * millisecond, HealthChecks: true, Cancellation: true, MaxRetryAfter: second, MaxAttempts: 4,
		DialTimeout: 100 * millisecond,
		Classes: []balance.Class{
			readClass: {
				LatencyObjective: 100 * millisecond, Deadline: second, PriorityWeight: 1, Consistency: balance.Eventual,
			},
			writeClass: {
				LatencyObjective: 100 * millisecond, Deadline: second, PriorityWeight: 1, Consistency: balance.Write,
				RetrySafety: balance.NonIdempotent,
			},
		},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	clock := &testClock{now: 1_000_000 * second}
	hosts := &testHosts{clock: clock}
	hosts.gateway = New(router, clock, zerolog.Nop())
	hosts.gateway.Connect(hosts, noEndpoints{}, noPeers{})
	hosts.gateway.EndpointsUpdated([]balance.Endpoint{
		{Host: "a", State: balance.Ready, Primary: true, Weight: 1},
		{Host: "b", State: balance.Ready, Weight: 1},
		{Host: "c", State: balance.Ready, Weight: 1},
	}, true)
	return hosts.gateway, hosts, clock
}

func newRequest(class int, client Client, now int64) Request {
	return Request{Class: class, Write: class == writeClass, Deadline: now + second, Client: client}
}

// Each request gets exactly one final answer, however its attempts end. A request gets no answer after its client has
// disconnected.
func TestEachRequestGetsExactlyOneFinalAnswer(t *testing.T) {
	gateway, hosts, clock := startGateway(t)
	random := rand.New(rand.NewPCG(1, 2))
	results := []balance.Result{
		balance.Succeeded, balance.Succeeded, balance.Succeeded, balance.Failed, balance.Overloaded, balance.TimedOut,
		balance.ConnectionRefused, balance.ConnectionReset, balance.NotSent, balance.NotPrimary,
	}
	hosts.onSend = func(attempt Attempt) {
		outcome := Outcome{Result: results[random.IntN(len(results))], Latency: random.Int64N(300 * millisecond)}
		clock.CallAt(clock.now+outcome.Latency, func() { hosts.finish(attempt.Request, attempt.Number, outcome) })
	}
	hosts.onCheck = func(host string) {
		outcome := Outcome{Result: results[random.IntN(len(results))], Latency: random.Int64N(20 * millisecond)}
		outcome.Report = balance.HostReport{
			HasPosition: true, Position: clock.now - millisecond, HasRole: true, Primary: host == "a",
		}
		clock.CallAt(clock.now+outcome.Latency, func() { gateway.HealthCheckFinished(host, outcome) })
	}
	var clients []*testClient
	answersAtDisconnect := map[*testClient]int{}
	for range 2000 {
		client := &testClient{}
		clients = append(clients, client)
		id := gateway.Accept(newRequest(random.IntN(2), client, clock.now))
		if random.IntN(5) == 0 {
			clock.CallAt(clock.now+random.Int64N(200*millisecond), func() {
				client.disconnected = true
				answersAtDisconnect[client] = client.answers()
				gateway.ClientDisconnected(id)
			})
		}
		clock.advance(clock.now + random.Int64N(10*millisecond))
	}
	clock.advance(clock.now + 10*second)
	kinds := testClient{}
	for i, client := range clients {
		want := 1
		if before, left := answersAtDisconnect[client]; left {
			want = before
		}
		if client.answers() != want {
			t.Errorf("request %d: %+v, want %d answers", i, *client, want)
		}
		kinds.served += client.served
		kinds.rejected += client.rejected
		kinds.failed += client.failed
	}
	if kinds.served == 0 || kinds.rejected == 0 || kinds.failed == 0 || len(answersAtDisconnect) == 0 {
		t.Errorf("answers %+v, %d clients disconnected, want each kind of answer and at least one disconnected client",
			kinds, len(answersAtDisconnect))
	}
	if gateway.InFlight() != 0 || len(gateway.requests) != 0 || len(hosts.attempts) != 0 {
		t.Errorf("at the end %d in flight, %d requests and %d attempts, want none",
			gateway.InFlight(), len(gateway.requests), len(hosts.attempts))
	}
}

// A success that arrives after the client has disconnected is not sent to the client, and the request is deleted.
func TestOutcomeAfterDisconnectReachesNoClient(t *testing.T) {
	gateway, hosts, clock := startGateway(t)
	client := &testClient{}
	id := gateway.Accept(newRequest(writeClass, client, clock.now))
	if len(hosts.attempts) != 1 {
		t.Fatalf("%d attempts in flight, want 1", len(hosts.attempts))
	}
	gateway.ClientDisconnected(id)
	if gateway.InFlight() != 0 || len(gateway.requests) != 1 {
		t.Errorf("%d in flight, %d requests, want 0 and 1", gateway.InFlight(), len(gateway.requests))
	}
	hosts.finish(id, 0, Outcome{Result: balance.Succeeded, Value: []byte("value")})
	if client.answers() != 0 || len(gateway.requests) != 0 {
		t.Errorf("answers %+v, %d requests pending, want none", *client, len(gateway.requests))
	}
}

// An attempt must not be sent once its client has disconnected, even if the gateway was not notified of that:
// Attempt.Expired, which is called just before the first byte, asks the client.
func TestAttemptHasExpiredOnceItsClientIsDisconnected(t *testing.T) {
	gateway, hosts, clock := startGateway(t)
	client := &testClient{}
	id := gateway.Accept(newRequest(writeClass, client, clock.now))
	attempt := hosts.attempts[0]
	if attempt.Expired() {
		t.Error("attempt has expired while its client is connected")
	}
	client.disconnected = true
	if !attempt.Expired() || gateway.InFlight() != 0 {
		t.Errorf("attempt has not expired, or %d requests are in flight, want 0", gateway.InFlight())
	}
	hosts.finish(id, 0, Outcome{Result: balance.NotSent})
	if client.answers() != 0 || len(hosts.attempts) != 0 {
		t.Errorf("answers %+v, %d attempts in flight, want none", *client, len(hosts.attempts))
	}
}
