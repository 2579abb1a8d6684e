package app

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// limit ends a test that hangs; no verdict depends on how soon anything happens.
const limit = 30 * time.Second

// read takes one message off a connection.
func read(rd *bufio.Reader) (pgwire.Message, error) {
	head, err := rd.Peek(5)
	if err != nil {
		return pgwire.Message{}, err
	}
	n := 1 + int(head[1])<<24 + int(head[2])<<16 + int(head[3])<<8 + int(head[4])
	b := make([]byte, n)
	if _, err := io.ReadFull(rd, b); err != nil {
		return pgwire.Message{}, err
	}
	m, _, _, err := pgwire.Next(b)
	return m, err
}

// dbhost is a database host that a test plays: it answers the startup and the module's probes, and hands each
// query to the test.
type dbhost struct {
	t       *testing.T
	ln      net.Listener
	queries chan *dbquery
	hold    chan struct{} // if not nil, no connection is welcomed before it is closed
	closed  chan struct{} // a token for each connection that the gateway has closed
	// welcomed has a token for each connection that was held and then welcomed.
	welcomed chan struct{}

	mu sync.Mutex
	// what it says of itself
	primary bool
	as      int64 // position in milliseconds; 0: now
}

// dbquery is a query that came to a host.
type dbquery struct {
	host *dbhost
	conn net.Conn
	text string
}

func newHost(t *testing.T, primary bool) *dbhost {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &dbhost{t: t, ln: ln, primary: primary, queries: make(chan *dbquery, 64), closed: make(chan struct{}, 64), welcomed: make(chan struct{}, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *dbhost) serve(c net.Conn) {
	h.t.Cleanup(func() { c.Close() }) // the gateway's end goes with it: its loop leaves sockets to the process
	defer func() { h.closed <- struct{}{} }()
	defer c.Close()
	rd := bufio.NewReader(c)
	head, err := rd.Peek(4)
	if err != nil {
		return
	}
	if _, err := io.ReadFull(rd, make([]byte, int(head[2])<<8+int(head[3]))); err != nil {
		return
	}
	if h.hold != nil {
		h.queries <- nil
		<-h.hold
	}
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil)))
	if h.hold != nil {
		h.welcomed <- struct{}{}
	}
	for {
		m, err := read(rd)
		if err != nil || m.Type != 'Q' {
			return
		}
		text := strings.TrimSuffix(string(m.Body), "\x00")
		if text == "SHOW vitals" {
			role, position := h.says()
			q := dbquery{host: h, conn: c}
			q.answer(fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role))
			continue
		}
		h.queries <- &dbquery{h, c, text}
	}
}

func (h *dbhost) says() (role int, position int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if position = h.as; position == 0 {
		position = time.Now().UnixMilli()
	}
	if h.primary {
		role = 1
	}
	return role, position
}

// stand fixes the host's position.
func (h *dbhost) stand(at time.Time) {
	h.mu.Lock()
	h.as = at.UnixMilli()
	h.mu.Unlock()
}

func (h *dbhost) become(primary bool) {
	h.mu.Lock()
	h.primary = primary
	h.mu.Unlock()
}

// next waits for the next query.
func (h *dbhost) next() *dbquery {
	h.t.Helper()
	select {
	case q := <-h.queries:
		return q
	case <-time.After(limit):
		h.t.Fatal("no query came")
		return nil
	}
}

// query waits for the next query, past connections that are held.
func (h *dbhost) query() (q *dbquery) {
	h.t.Helper()
	for q == nil {
		q = h.next()
	}
	return q
}

// end is what a host says of itself before it is ready again.
func (q *dbquery) end(b []byte) {
	role, position := q.host.says()
	b = pgwire.AppendParameterStatus(b, "rank", [...]string{"copy", "source"}[role])
	b = pgwire.AppendParameterStatus(b, "as_of", fmt.Sprint(position))
	_, _ = q.conn.Write(pgwire.AppendReadyForQuery(b))
}

// row is a value up to its completion.
func row(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

func (q *dbquery) answer(value string) { q.end(row(value)) }

func (q *dbquery) refuse(code string) {
	q.end(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: code, Message: "no"}))
}

// app is a client of the gateway.
type app struct {
	t  *testing.T
	c  net.Conn
	rd *bufio.Reader
}

func (r *rig) dial() *app {
	r.t.Helper()
	if r.s != nil {
		r.address = r.s.loop.Address()
	}
	c, err := net.Dial("tcp4", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(limit))
	return &app{r.t, c, bufio.NewReader(c)}
}

// connect dials and goes through the startup.
func (r *rig) connect() *app {
	r.t.Helper()
	cl := r.dial()
	cl.write(pgwire.AppendStartup(nil, "user", "worker", "database", "catalog"))
	if got := cl.answer(); got != "" {
		r.t.Fatalf("startup answered %q", got)
	}
	return cl
}

func (cl *app) write(b []byte) {
	cl.t.Helper()
	if _, err := cl.c.Write(b); err != nil {
		cl.t.Fatal(err)
	}
}

func (cl *app) query(text string) { cl.t.Helper(); cl.write(pgwire.AppendQuery(nil, text)) }

// answer reads until the gateway is ready, or closes, and puts what came into words.
func (cl *app) answer() string {
	cl.t.Helper()
	var got []string
	for {
		m, err := read(cl.rd)
		if err == io.EOF {
			return strings.Join(append(got, "closed"), " ")
		}
		if err != nil {
			cl.t.Fatal(err)
		}
		switch m.Type {
		case 'D':
			v, _ := pgwire.OnlyColumn(m.Body)
			got = append(got, "value", string(v))
		case 'I':
			got = append(got, "empty")
		case 'E':
			e, _ := pgwire.ParseError(m.Body)
			if got = append(got, "error", e.Code); e.Detail != "" {
				got = append(got, "after", e.Detail)
			}
		case 'Z':
			return strings.Join(got, " ")
		}
	}
}

// key reads the answer to the startup and returns the number and secret by which requests are cancelled.
func (cl *app) key() (key []byte) {
	cl.t.Helper()
	for {
		m, err := read(cl.rd)
		if err != nil {
			cl.t.Fatal(err)
		}
		switch m.Type {
		case 'K':
			key = bytes.Clone(m.Body)
		case 'Z':
			return key
		}
	}
}

// ends waits for the end. A client that went on sending may see a reset, which takes with it what was said last.
func (cl *app) ends() {
	cl.t.Helper()
	if _, err := io.Copy(io.Discard, cl.rd); errors.Is(err, os.ErrDeadlineExceeded) {
		cl.t.Fatal("the connection stays open")
	}
}

// want fails the test unless the next answer is the given one.
func (cl *app) want(answer string) {
	cl.t.Helper()
	if got := cl.answer(); got != answer {
		cl.t.Fatalf("answered %q, want %q", got, answer)
	}
}

// rig is a gateway with hosts and a discovery that the test plays.
type rig struct {
	t        *testing.T
	s        *server // nil where a test runs the whole program
	address  string
	patience patience // endless, unless a test is about it
	ended    chan struct{}
	disc     net.Listener
	conns    chan *agent
	hosts    []*dbhost
}

// agent is discovery's end of one watch.
type agent struct {
	net.Conn
	request string
}

// line sends one line as one chunk.
func (a *agent) line(text string) { fmt.Fprintf(a, "%x\r\n%s\n\r\n", len(text)+1, text) }

// watch waits for the gateway's next watch and begins the answer.
func (r *rig) watch() *agent {
	r.t.Helper()
	select {
	case a := <-r.conns:
		fmt.Fprint(a, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		return a
	case <-time.After(limit):
		r.t.Fatal("no watch came")
		return nil
	}
}

// instances is the list of all hosts, with the states given for the first few.
func (r *rig) instances(states ...string) string {
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
		all = append(all, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"cell":1,"lifecycle":%q,"rank":%q}`, i, h.ln.Addr(), state, rank))
	}
	return "[" + strings.Join(all, ",") + "]"
}

// play sets up one primary, s-0, so many replicas, and discovery, without a gateway.
func play(t *testing.T, replicas int) *rig {
	t.Helper()
	r := &rig{t: t, ended: make(chan struct{}), conns: make(chan *agent, 16), patience: patience{3600e6, 3600e6, 0}}
	for i := 0; i <= replicas; i++ {
		r.hosts = append(r.hosts, newHost(t, i == 0))
	}
	r.disc = r.discovery()
	return r
}

// discovery listens for watches.
func (r *rig) discovery() net.Listener {
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
			r.conns <- &agent{c, strings.TrimSpace(request)}
		}
	}()
	return ln
}

// file is the configuration of a gateway with discovery at an address.
func (r *rig) file(discovery net.Addr) []byte {
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

// start runs a gateway before one primary, s-0, and so many replicas.
func start(t *testing.T, replicas int, change ...func(*config.Config)) *rig {
	t.Helper()
	return play(t, replicas).start(change...)
}

func (r *rig) start(change ...func(*config.Config)) *rig {
	t := r.t
	t.Helper()
	conf, err := config.Parse(r.file(r.disc.Addr()), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(conf)
	}
	if r.s, err = newServer(conf, r.patience, false, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(r.ended)
		r.s.loop.Run()
	}()
	t.Cleanup(r.s.loop.Close)
	return r
}

// do runs f on the gateway's own goroutine.
func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.s.loop.Post(func() { f(); close(done) })
	<-done
}
