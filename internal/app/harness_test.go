package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// testTimeout ends a test that hangs. No test's result depends on the speed of the machine.
const testTimeout = 30 * time.Second

// noTimeout is a timeout (µs) that no test reaches.
const noTimeout = 3600e6

// harness runs a gateway together with simulated hosts and a discovery service whose answers the test writes.
type harness struct {
	t                 *testing.T
	server            *server // nil where a test runs the whole program
	address           string
	timeouts          timeouts // those of clients are never reached, unless a test is about them
	log               zerolog.Logger
	configPath        string // of a process
	processEnded      chan struct{}
	processError      error    // how the process ended, once it has
	processLog        *os.File // takes the log of a process; nil: a buffer does
	ended             chan struct{}
	discoveryListener net.Listener
	discoveryCalls    chan *discoveryCall
	hosts             []*fakeHost
}

// discoveryCall is the service's end of one call.
type discoveryCall struct {
	net.Conn
	request string
}

// writeChunk sends one line as one chunk. Write errors are ignored: the gateway may have disconnected, and the test
// fails then where it checks for the effect of the line.
func (c *discoveryCall) writeChunk(text string) {
	_, _ = fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
}

// newHarness starts one primary, s-0, the given number of replicas, and a discovery service, but no gateway.
func newHarness(t *testing.T, replicas int) *harness {
	t.Helper()
	gw := &harness{
		t:              t,
		ended:          make(chan struct{}),
		discoveryCalls: make(chan *discoveryCall, 16),
		timeouts:       timeouts{message: noTimeout, idle: noTimeout},
		log:            zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel),
	}
	for i := range replicas + 1 {
		gw.hosts = append(gw.hosts, newFakeHost(t, i == 0))
	}
	gw.discoveryListener = gw.listenDiscovery()
	return gw
}

// listenDiscovery listens for calls to the discovery service.
func (gw *harness) listenDiscovery() net.Listener {
	gw.t.Helper()
	return serveConnections(gw.t, func(conn net.Conn) {
		request, _ := bufio.NewReader(conn).ReadString('\n') // a call that ends within its first line is counted as well
		gw.discoveryCalls <- &discoveryCall{conn, strings.TrimSpace(request)}
	})
}

// configFile returns the configuration of a gateway that calls discovery at the given address.
func (gw *harness) configFile(discovery net.Addr) []byte {
	return fmt.Appendf(nil, `{"listen":"127.0.0.1:0","discovery":%q,"known":{"generation":7,"instances":%s},
		"settings":{"tickMs":5,"limits":{"maxAttempts":10,"cancel":true,"probes":true,"dialTimeoutMs":20000,"maxRetryAfterMs":1000},
		"report":{"fields":["x0","x1"]},"classes":[
			{"name":"lookup","aimMs":30000,"deadlineMs":60000,"repeat":"read_like","worth":1},
			{"name":"own","aimMs":30000,"deadlineMs":60000,"repeat":"read_like","worth":1},
			{"name":"change","aimMs":30000,"deadlineMs":60000,"repeat":"non_idempotent","worth":3,"lateWorth":0.7}],
		"extra":{"classRead":["recent","own_writes","update"],"stalenessBoundMs":[60000,0,0],"tokens":"client","serverChecks":"none"},
		"obligations":{"coldFrom":0.25,"coldMs":16000,"fallMultiple":4,"overloadForMs":1500}}}`,
		discovery, gw.instances())
}

// instances returns the list of all hosts. states gives the states of the first hosts; the others are SERVING.
func (gw *harness) instances(states ...string) string {
	var all []string
	for i, h := range gw.hosts {
		state := "SERVING"
		if i < len(states) {
			state = states[i]
		}
		rank := "copy"
		if i == 0 {
			rank = "source"
		}
		all = append(all, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"cell":1,"lifecycle":%q,"rank":%q}`,
			i, h.listener.Addr(), state, rank))
	}
	return "[" + strings.Join(all, ",") + "]"
}

// startGateway starts a gateway with one primary, s-0, and the given number of replicas.
func startGateway(t *testing.T, replicas int, change ...func(*config.Config)) *harness {
	t.Helper()
	return newHarness(t, replicas).start(change...)
}

func (gw *harness) start(change ...func(*config.Config)) *harness {
	gw.t.Helper()
	conf, err := config.Parse(gw.configFile(gw.discoveryListener.Addr()), func(string) string { return "" })
	if err != nil {
		gw.t.Fatal(err)
	}
	for _, f := range change {
		f(conf)
	}
	gw.server, err = newServer(conf, gw.timeouts, false, gw.log)
	if err != nil {
		gw.t.Fatal(err)
	}
	go func() {
		defer close(gw.ended)
		gw.server.loop.Run()
	}()
	gw.t.Cleanup(gw.server.loop.Close)
	return gw
}

// onLoop runs f on the event loop's goroutine and waits until it has returned.
func (gw *harness) onLoop(f func()) {
	done := make(chan struct{})
	gw.server.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// waitForGeneration waits until the gateway uses the list of a generation or a later one.
func (gw *harness) waitForGeneration(generation int64) {
	for current := int64(0); current < generation; {
		gw.onLoop(func() { current = gw.server.endpoints.Generation })
	}
}

// hasInFlight reports whether a request is in flight.
func (gw *harness) hasInFlight() (inFlight bool) {
	gw.onLoop(func() { inFlight = gw.server.gateway.InFlight() > 0 })
	return inFlight
}

// hasUnsentBytes reports whether clients have left so many bytes unread that the gateway stops reading their requests.
func (gw *harness) hasUnsentBytes() (unsent bool) {
	gw.onLoop(func() { unsent = gw.server.frontend.UnsentBytes() > 64<<10 })
	return unsent
}

// wantEnded waits until the gateway has ended.
func (gw *harness) wantEnded() {
	gw.t.Helper()
	select {
	case <-gw.ended:
	case <-time.After(testTimeout):
		gw.t.Fatal("the gateway does not end")
	}
}

// nextCall waits for the next call to discovery. The call is not answered yet.
func (gw *harness) nextCall() *discoveryCall {
	gw.t.Helper()
	select {
	case call := <-gw.discoveryCalls:
		return call
	case <-time.After(testTimeout):
		gw.t.Fatal("discovery received no call")
		return nil
	}
}

// nextWatch waits for the next call to discovery and begins a chunked response to it.
func (gw *harness) nextWatch() *discoveryCall {
	gw.t.Helper()
	call := gw.nextCall()
	_, _ = io.WriteString(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // errors: as in writeChunk
	return call
}

// dial opens a client connection and sends nothing on it.
func (gw *harness) dial() *pgClient {
	gw.t.Helper()
	if gw.server != nil {
		gw.address = gw.server.loop.Address()
	}
	conn, err := net.Dial("tcp4", gw.address)
	if err != nil {
		gw.t.Fatal(err)
	}
	gw.t.Cleanup(func() { _ = conn.Close() }) // may be closed already
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		gw.t.Fatal(err)
	}
	return &pgClient{gw.t, conn, bufio.NewReader(conn)}
}

// connect opens a client connection and completes the startup.
func (gw *harness) connect() *pgClient {
	gw.t.Helper()
	client := gw.dial()
	client.write(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog"))
	if got := client.answer(); got != "" {
		gw.t.Fatalf("startup answered %q", got)
	}
	return client
}

// exchange sends a write from a client and has the primary answer it with a value.
func (gw *harness) exchange(client *pgClient, id int, value string) {
	client.t.Helper()
	client.query(queryText(writeFormat, id))
	gw.hosts[0].nextQuery().answer(value)
	client.want("value " + value)
}

// connectAndExchange connects n clients, each of which sends one write with its index as the id and gets its answer.
func (gw *harness) connectAndExchange(n int) (clients []*pgClient) {
	gw.t.Helper()
	for id := range n {
		client := gw.connect()
		gw.exchange(client, id, "v")
		clients = append(clients, client)
	}
	return clients
}
