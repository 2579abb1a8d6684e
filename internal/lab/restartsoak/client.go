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
	// crossing is how long before a client sees the end of its connection a request may have been written that crossed it.
	crossing    = 100 * time.Millisecond
	dialTimeout = time.Second
	redialPause = 10 * time.Millisecond
	thinkTime   = 30 * time.Millisecond // on the mean, between a client's queries
	aheadMost   = 3                     // queries that some clients have out at once

	leavePercent  = 2 // of requests whose client leaves at once
	piecesPercent = 5 // of requests that come in two pieces
	pieceBytes    = 10
	piecePause    = 30 * time.Millisecond
)

// client sends queries, on a connection that it uses for as long as it is open.
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

// session is one connection's queries in flight.
type session struct {
	net.Conn
	run       *run
	slots     chan struct{} // a token for each query in flight
	ended     chan struct{} // closed when no more answers come
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

// send writes one query, and returns false if the connection is over.
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

// leave closes the connection. With the defect, the client counts as gone some time before, and its request goes out.
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

// finish waits for the last answers, and closes the connection.
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

// read takes answers until the connection ends.
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
			response, _ := pgwire.ParseError(message.Body) // a faulty error has no code
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

// answer takes the answer to the oldest query in flight. Time that it spent behind those before it does not count.
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

// settle records how a request ended.
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

// end settles the queries that get no answer any more.
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

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
