package app

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// hasGeneration tells whether the gateway has read the list of that generation.
func (r *harness) hasGeneration(generation int64) (told bool) {
	r.onLoop(func() { told = r.server.endpoints.Generation >= generation })
	return told
}

func (r *harness) inFlight() (owed bool) {
	r.onLoop(func() { owed = r.server.gateway.InFlight() > 0 })
	return owed
}

// hasUnsentBytes tells whether a client has left more unread than its next command may find.
func (r *harness) hasUnsentBytes() (unread bool) {
	r.onLoop(func() { unread = r.server.frontend.UnsentBytes() > 64<<10 })
	return unread
}

// testTimeout ends a test that hangs; no verdict depends on how soon anything happens.
const testTimeout = 30 * time.Second

func (r *harness) dial() *pgClient {
	r.t.Helper()
	if r.server != nil {
		r.address = r.server.loop.Address()
	}
	c, err := net.Dial("tcp4", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &pgClient{r.t, c, bufio.NewReader(c)}
}

// connect dials and goes through the startup.
func (r *harness) connect() *pgClient {
	r.t.Helper()
	cl := r.dial()
	cl.write(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog"))
	if got := cl.answer(); got != "" {
		r.t.Fatalf("startup answered %q", got)
	}
	return cl
}

// harness is a gateway with hosts and a discovery that the test plays.
type harness struct {
	t                 *testing.T
	server            *server // nil where a test runs the whole program
	address           string
	timeouts          timeouts // endless, unless a test is about it
	ended             chan struct{}
	discoveryListener net.Listener
	discoveryCalls    chan *discoveryCall
	hosts             []*fakeHost
}

// discoveryCall is discovery's end of one watch.
type discoveryCall struct {
	net.Conn
	request string
}

// writeChunk sends one line as one chunk.
func (a *discoveryCall) writeChunk(text string) { fmt.Fprintf(a, "%x\r\n%s\n\r\n", len(text)+1, text) }

// nextWatch waits for the gateway's next watch and begins the answer.
func (r *harness) nextWatch() *discoveryCall {
	r.t.Helper()
	select {
	case a := <-r.discoveryCalls:
		fmt.Fprint(a, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		return a
	case <-time.After(testTimeout):
		r.t.Fatal("no watch came")
		return nil
	}
}

// instances is the list of all hosts, with the states given for the first few.
func (r *harness) instances(states ...string) string {
	var all []string
	for i, h := range r.hosts {
		state := "SERVING"
		if i < len(states) {
			state = states[i]
		}
		rank := "copy"
		if i == 0 {
			rank = "source"
		}
		all = append(all, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"cell":1,"lifecycle":%q,"rank":%q}`, i, h.listener.Addr(), state, rank))
	}
	return "[" + strings.Join(all, ",") + "]"
}

// newHarness sets up one primary, s-0, so many replicas, and discovery, without a gateway.
func newHarness(t *testing.T, replicas int) *harness {
	t.Helper()
	r := &harness{t: t, ended: make(chan struct{}), discoveryCalls: make(chan *discoveryCall, 16), timeouts: timeouts{3600e6, 3600e6, 0}}
	for i := 0; i <= replicas; i++ {
		r.hosts = append(r.hosts, newFakeHost(t, i == 0))
	}
	r.discoveryListener = r.listenDiscovery()
	return r
}

// listenDiscovery listens for watches.
func (r *harness) listenDiscovery() net.Listener {
	r.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.t.Cleanup(func() { c.Close() })
			request, _ := bufio.NewReader(c).ReadString('\n')
			r.discoveryCalls <- &discoveryCall{c, strings.TrimSpace(request)}
		}
	}()
	return ln
}

// configFile is the configuration of a gateway with discovery at an address.
func (r *harness) configFile(discovery net.Addr) []byte {
	return fmt.Appendf(nil, `{"listen":"127.0.0.1:0","discovery":%q,"known":{"generation":7,"instances":%s},
		"settings":{"tickMs":5,"limits":{"maxAttempts":10,"cancel":true,"probes":true,"dialTimeoutMs":20000,"maxRetryAfterMs":1000},
		"report":{"fields":["x0","x1"]},"classes":[
			{"name":"lookup","aimMs":30000,"deadlineMs":60000,"repeat":"read_like","worth":1},
			{"name":"own","aimMs":30000,"deadlineMs":60000,"repeat":"read_like","worth":1},
			{"name":"change","aimMs":30000,"deadlineMs":60000,"repeat":"non_idempotent","worth":3,"lateWorth":0.7}],
		"extra":{"classRead":["recent","own_writes","update"],"stalenessBoundMs":[60000,0,0],"tokens":"client","serverChecks":"none"},
		"obligations":{"coldFrom":0.25,"coldMs":16000,"fallMultiple":4,"overloadForMs":1500}}}`,
		discovery, r.instances())
}

// startGateway runs a gateway before one primary, s-0, and so many replicas.
func startGateway(t *testing.T, replicas int, change ...func(*config.Config)) *harness {
	t.Helper()
	return newHarness(t, replicas).start(change...)
}

func (r *harness) start(change ...func(*config.Config)) *harness {
	t := r.t
	t.Helper()
	conf, err := config.Parse(r.configFile(r.discoveryListener.Addr()), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(conf)
	}
	if r.server, err = newServer(conf, r.timeouts, false, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(r.ended)
		r.server.loop.Run()
	}()
	t.Cleanup(r.server.loop.Close)
	return r
}

// onLoop runs f on the gateway's own goroutine.
func (r *harness) onLoop(f func()) {
	done := make(chan struct{})
	r.server.loop.Post(func() { f(); close(done) })
	<-done
}
