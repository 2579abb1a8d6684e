package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cloverrock/internal/pgwire"
)

// readMessage takes one message off a connection.
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

// fakeHost is a database host that a test plays: it answers the startup and the module's probes, and hands each
// query to the test.
type fakeHost struct {
	t           *testing.T
	listener    net.Listener
	queries     chan *hostQuery
	startupGate chan struct{} // if not nil, no connection is welcomed before it is closed
	closed      chan struct{} // a token for each connection that the gateway has closed
	// welcomed has a token for each connection that was held and then welcomed.
	startedUp chan struct{}

	mu sync.Mutex
	// what it says of itself
	primary  bool
	position int64 // position in milliseconds; 0: now
}

// hostQuery is a query that came to a host.
type hostQuery struct {
	host *fakeHost
	conn net.Conn
	text string
}

func newFakeHost(t *testing.T, primary bool) *fakeHost {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHost{t: t, listener: ln, primary: primary, queries: make(chan *hostQuery, 64), closed: make(chan struct{}, 64), startedUp: make(chan struct{}, 64)}
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

func (h *fakeHost) serve(c net.Conn) {
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
	if h.startupGate != nil {
		h.queries <- nil
		<-h.startupGate
	}
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil)))
	if h.startupGate != nil {
		h.startedUp <- struct{}{}
	}
	for {
		m, err := readMessage(rd)
		if err != nil || m.Type != 'Q' {
			return
		}
		text := strings.TrimSuffix(string(m.Body), "\x00")
		if text == "SHOW vitals" {
			role, position := h.report()
			q := hostQuery{host: h, conn: c}
			q.answer(fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role))
			continue
		}
		h.queries <- &hostQuery{h, c, text}
	}
}

func (h *fakeHost) report() (role int, position int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if position = h.position; position == 0 {
		position = time.Now().UnixMilli()
	}
	if h.primary {
		role = 1
	}
	return role, position
}

// setPosition fixes the host's position.
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

// nextQuery waits for the next query.
func (h *fakeHost) nextQuery() *hostQuery {
	h.t.Helper()
	select {
	case q := <-h.queries:
		return q
	case <-time.After(testTimeout):
		h.t.Fatal("no query came")
		return nil
	}
}

// nextQueryAfterStartups waits for the next query, past connections that are held.
func (h *fakeHost) nextQueryAfterStartups() (q *hostQuery) {
	h.t.Helper()
	for q == nil {
		q = h.nextQuery()
	}
	return q
}

// writeEnd is what a host says of itself before it is ready again.
func (q *hostQuery) writeEnd(b []byte) {
	role, position := q.host.report()
	b = pgwire.AppendParameterStatus(b, "rank", [...]string{"copy", "source"}[role])
	b = pgwire.AppendParameterStatus(b, "as_of", fmt.Sprint(position))
	_, _ = q.conn.Write(pgwire.AppendReadyForQuery(b))
}

// rowMessages is a value up to its completion.
func rowMessages(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

func (q *hostQuery) answer(value string) { q.writeEnd(rowMessages(value)) }

func (q *hostQuery) answerError(code string) {
	q.writeEnd(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: code, Message: "no"}))
}
