package restartsoak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/pgwire"
)

const (
	// crossing is the race window before a client detects that its connection was closed. A request written within it may not
	// have been read by the gateway, so the missing answer is no fault unless a host received the request.
	crossing    = 100 * time.Millisecond
	dialTimeout = time.Second
	redialPause = 10 * time.Millisecond
	thinkTime   = 30 * time.Millisecond // mean pause between a client's queries
	aheadMost   = 3                     // queries that a pipelining client has in flight at once

	leavePercent  = 2 // of requests after which the client disconnects at once
	piecesPercent = 5 // of requests that are sent in two parts
	pieceBytes    = 10
	piecePause    = 30 * time.Millisecond
)

// client sends queries on one connection at a time, and opens another when the connection has ended.
type client struct {
	run    *run
	random *rand.Rand
	ahead  int
}

// play opens connections and uses them until the context ends.
func (c *client) play(ctx context.Context) {
	for ctx.Err() == nil {
		generation, open := c.run.front()
		if !open {
			sleep(ctx, redialPause)
			continue
		}
		conn, err := net.DialTimeout("tcp4", c.run.listen, dialTimeout)
		if err != nil {
			sleep(ctx, redialPause)
			continue
		}
		c.use(ctx, conn, generation)
	}
}

// session is a connection of a client with its queries in flight.
type session struct {
	net.Conn
	run       *run
	slots     chan struct{} // holds a token for each query in flight
	ended     chan struct{} // closed when the connection has ended and no more answers can arrive
	mu        sync.Mutex
	inFlight  []*request
	left      bool // the client has closed the connection
	answered  bool
	lastReply time.Time
}

func (c *client) use(ctx context.Context, conn net.Conn, generation int) {
	s := &session{Conn: conn, run: c.run, slots: make(chan struct{}, c.ahead), ended: make(chan struct{})}
	defer func() { _ = conn.Close() }() // may be closed already
	if _, err := conn.Write(pgwire.AppendStartup(nil, "user", "soak", "database", "soak")); err != nil {
		return
	}
	go s.read()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
		select {
		case s.slots <- struct{}{}:
		case <-s.ended:
			return
		case <-ctx.Done():
			continue
		}
		if !c.send(s, generation) {
			<-s.ended
			return
		}
	}
	s.finish()
}

// send writes one query, and returns false if the connection can no longer be used.
func (c *client) send(s *session, generation int) bool {
	req := c.run.newRequest(c.random, generation)
	message := req.message()
	s.mu.Lock()
	s.inFlight = append(s.inFlight, req)
	s.mu.Unlock()
	pieces := c.random.IntN(100) < piecesPercent
	if pieces {
		if _, err := s.Write(message[:pieceBytes]); err == nil {
			time.Sleep(piecePause)
		}
		message = message[pieceBytes:]
	}
	_, err := s.Write(message)
	s.mu.Lock()
	req.sentAt = time.Now()
	s.mu.Unlock()
	if err != nil {
		return false
	}
	if c.random.IntN(100) < leavePercent {
		s.leave(c.run.defect == DefectLateLeave)
		return false
	}
	return true
}

// leave closes the connection while queries are in flight. With tooEarly (DefectLateLeave), the disconnect is recorded
// earlier than it happens, so that attempts begin after the recorded time.
func (s *session) leave(tooEarly bool) {
	leftAt := time.Now()
	if tooEarly {
		leftAt = leftAt.Add(-4 * attemptAfterLeave)
		time.Sleep(redialPause)
	}
	s.mu.Lock()
	s.left = true
	for _, req := range s.inFlight {
		req.leftAt = leftAt
	}
	s.mu.Unlock()
	_ = s.Close()
}

// finish waits up to finishTimeout for the answers in flight, and closes the connection.
func (s *session) finish() {
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline); time.Sleep(redialPause) {
		s.mu.Lock()
		waiting := len(s.inFlight)
		s.mu.Unlock()
		if waiting == 0 {
			break
		}
	}
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	_ = s.Close()
	<-s.ended
}

// read processes answers until the connection ends.
func (s *session) read() {
	defer close(s.ended)
	reader := bufio.NewReader(s)
	started := false
	kind := unanswered
	for {
		message, err := emulator.ReadMessage(reader)
		if err != nil {
			s.end()
			return
		}
		switch message.Type {
		case 'D':
			kind = served
		case 'E':
			kind = failed
			response, _ := pgwire.ParseError(message.Body) // a malformed error has no code
			if response.Code == pgwire.CodeTooManyConnections {
				kind = rejected
			}
			if started && response.Severity == "FATAL" { // no ReadyForQuery follows
				s.answer(kind)
			}
		case 'Z':
			if started {
				s.answer(kind)
			}
			started = true
			kind = unanswered
		}
	}
}

// answer assigns an answer to the oldest query in flight.
func (s *session) answer(kind answerKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inFlight) == 0 {
		return
	}
	req := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	s.settle(req, kind)
	s.answered = true
	s.lastReply = req.answeredAt
	<-s.slots
}

// settle records the outcome of a request. Its time limit begins when it was sent, or with the previous answer on the
// connection if that came later: time spent waiting behind earlier queries does not count.
func (s *session) settle(req *request, kind answerKind) {
	now := time.Now()
	if req.sentAt.IsZero() {
		req.sentAt = now
	}
	from := req.sentAt
	if s.lastReply.After(from) {
		from = s.lastReply
	}
	req.dueAt = from.Add(req.class.wait)
	req.answeredAt = now
	req.answer = kind
	s.run.record(req)
}

// end records the outcome of the queries in flight when the connection has ended.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, req := range s.inFlight {
		kind := unanswered
		switch {
		case !req.leftAt.IsZero():
			kind = clientLeft
		case s.left:
			kind = stillWaiting
		case req.sentAt.IsZero() || now.Sub(req.sentAt) < crossing:
			kind = crossed
		case !s.answered && s.run.plan.Crowd > 0:
			kind = notAccepted
		}
		s.settle(req, kind)
	}
	s.inFlight = nil
}

// sleep waits for the given duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
