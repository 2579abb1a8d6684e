package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cloverrock/internal/pgwire"
)

// readMessage reads one message from a connection.
func readMessage(rd *bufio.Reader) (pgwire.Message, error) {
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

// fakeHost simulates a database host. It answers startups and health checks, and passes each query to the test.
type fakeHost struct {
	t           *testing.T
	listener    net.Listener
	queries     chan *hostQuery // nil: a startup that waits at startupGate
	startupGate chan struct{}   // if not nil, startups are answered only after it is closed
	closed      chan struct{}   // receives a value for each connection that has been closed
	startedUp   chan struct{}   // receives a value for each startup that has been answered after waiting at startupGate

	mu       sync.Mutex
	primary  bool
	position int64 // log position in ms; 0: the current time
}

// hostQuery is a query that a host has received.
type hostQuery struct {
	host *fakeHost
	conn net.Conn
	text string
}

// serveConnections accepts connections until the test ends and calls serve for each, one after the other.
func serveConnections(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // may be closed already
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// Closed at the end of the test, since the gateway's loop does not close its sockets when it ends.
			t.Cleanup(func() { _ = conn.Close() })
			serve(conn)
		}
	}()
	return listener
}

func newFakeHost(t *testing.T, primary bool) *fakeHost {
	t.Helper()
	h := &fakeHost{
		t:         t,
		primary:   primary,
		queries:   make(chan *hostQuery, 64),
		closed:    make(chan struct{}, 64),
		startedUp: make(chan struct{}, 64),
	}
	h.listener = serveConnections(t, func(conn net.Conn) { go h.serve(conn) })
	return h
}

// stopListening closes the host's listener, so that new connections are refused.
func (h *fakeHost) stopListening() {
	h.t.Helper()
	if err := h.listener.Close(); err != nil {
		h.t.Fatal(err)
	}
}

func (h *fakeHost) serve(conn net.Conn) {
	defer func() { h.closed <- struct{}{} }()
	defer func() { _ = conn.Close() }() // the test may have closed it
	rd := bufio.NewReader(conn)
	head, err := rd.Peek(4)
	if err != nil {
		return
	}
	if _, err := io.ReadFull(rd, make([]byte, int(head[2])<<8+int(head[3]))); err != nil {
		return
	}
	if h.startupGate != nil {
		h.queries <- nil
		<-h.startupGate
	}
	_, _ = conn.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil))) // the gateway may have disconnected
	if h.startupGate != nil {
		h.startedUp <- struct{}{}
	}
	for {
		m, err := readMessage(rd)
		if err != nil || m.Type != 'Q' {
			return
		}
		query := &hostQuery{h, conn, strings.TrimSuffix(string(m.Body), "\x00")}
		if query.text == "SHOW vitals" {
			role, position := h.report()
			query.answer(fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role))
			continue
		}
		h.queries <- query
	}
}

// report returns the host's report: its role, 1 for a primary, and its log position in milliseconds.
func (h *fakeHost) report() (role int, position int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	position = h.position
	if position == 0 {
		position = time.Now().UnixMilli()
	}
	if h.primary {
		role = 1
	}
	return role, position
}

// setPosition sets the host's log position to a fixed time.
func (h *fakeHost) setPosition(at time.Time) {
	h.mu.Lock()
	h.position = at.UnixMilli()
	h.mu.Unlock()
}

func (h *fakeHost) setPrimary(primary bool) {
	h.mu.Lock()
	h.primary = primary
	h.mu.Unlock()
}

// nextQuery waits for the next query. It returns nil for a startup that waits at startupGate.
func (h *fakeHost) nextQuery() *hostQuery {
	h.t.Helper()
	select {
	case query := <-h.queries:
		return query
	case <-time.After(testTimeout):
		h.t.Fatal("the host received no query")
		return nil
	}
}

// nextQueryAfterStartups waits for the next query and skips startups that wait at startupGate.
func (h *fakeHost) nextQueryAfterStartups() (query *hostQuery) {
	h.t.Helper()
	for query == nil {
		query = h.nextQuery()
	}
	return query
}

// wantClosed waits until the gateway has closed a connection to the host.
func (h *fakeHost) wantClosed() {
	h.t.Helper()
	select {
	case <-h.closed:
	case <-time.After(testTimeout):
		h.t.Fatal("the gateway did not close the connection")
	}
}

// writeEnd writes an answer's messages, followed by the host's report and ReadyForQuery.
func (q *hostQuery) writeEnd(b []byte) {
	role, position := q.host.report()
	b = pgwire.AppendParameterStatus(b, "rank", [...]string{"copy", "source"}[role])
	b = pgwire.AppendParameterStatus(b, "as_of", strconv.FormatInt(position, 10))
	_, _ = q.conn.Write(pgwire.AppendReadyForQuery(b)) // the gateway may have closed the connection
}

// rowMessages returns the messages of an answer with one value, up to CommandComplete.
func rowMessages(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

func (q *hostQuery) answer(value string) { q.writeEnd(rowMessages(value)) }

func (q *hostQuery) answerError(code string) {
	q.writeEnd(pgwire.AppendError(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: "no"}))
}

// reset closes the connection without an answer.
func (q *hostQuery) reset() {
	if err := q.conn.Close(); err != nil {
		q.host.t.Error(err)
	}
}
