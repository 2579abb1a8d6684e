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
	// closeRaceWindow is the race window before a client detects that its connection was closed. The gateway may not have
	// read a request that was written within it, so a missing answer is a fault only if a host received the request.
	closeRaceWindow  = 100 * time.Millisecond
	dialTimeout      = time.Second
	redialPause      = 10 * time.Millisecond
	thinkTime        = 30 * time.Millisecond // mean pause between a client's queries
	maxPipelineDepth = 3                     // queries that a pipelining client has in flight at once

	disconnectPercent = 2 // of requests after which the client disconnects at once
	splitPercent      = 5 // of requests that are sent in two parts
	splitAtBytes      = 10
	splitPause        = 30 * time.Millisecond
)

// client sends queries on one connection at a time, and opens another when the connection has ended.
type client struct {
	run           *run
	random        *rand.Rand
	pipelineDepth int
}

// connectRepeatedly opens connections and uses them until the context ends.
func (c *client) connectRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		generation, open := c.run.connectTarget()
		if !open {
			sleep(ctx, redialPause)
			continue
		}
		conn, err := net.DialTimeout("tcp4", c.run.listen, dialTimeout)
		if err != nil {
			sleep(ctx, redialPause)
			continue
		}
		c.useConnection(ctx, conn, generation)
	}
}

// session is a connection of a client with its queries in flight.
type session struct {
	net.Conn
	run            *run
	slots          chan struct{} // holds a token for each query in flight
	ended          chan struct{} // closed when the connection has ended and no more answers can arrive
	mu             sync.Mutex
	inFlight       []*request
	closedByClient bool // the client has closed the connection
	answered       bool
	lastReply      time.Time
}

func (c *client) useConnection(ctx context.Context, conn net.Conn, generation int) {
	s := &session{Conn: conn, run: c.run, slots: make(chan struct{}, c.pipelineDepth), ended: make(chan struct{})}
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
	s.awaitAnswersAndClose()
}

// send writes one query, and returns false if the connection can no longer be used.
func (c *client) send(s *session, generation int) bool {
	req := c.run.newRequest(c.random, generation)
	message := req.message()
	s.mu.Lock()
	s.inFlight = append(s.inFlight, req)
	s.mu.Unlock()
	split := c.random.IntN(100) < splitPercent
	if split {
		if _, err := s.Write(message[:splitAtBytes]); err == nil {
			time.Sleep(splitPause)
		}
		message = message[splitAtBytes:]
	}
	_, err := s.Write(message)
	s.mu.Lock()
	req.sentAt = time.Now()
	s.mu.Unlock()
	if err != nil {
		return false
	}
	if c.random.IntN(100) < disconnectPercent {
		s.disconnect(c.run.defect == DefectLateLeave)
		return false
	}
	return true
}

// disconnect closes the connection while queries are in flight. With recordEarly (DefectLateLeave), the disconnect
// is recorded earlier than it happens, so that attempts begin after the recorded time.
func (s *session) disconnect(recordEarly bool) {
	disconnectedAt := time.Now()
	if recordEarly {
		disconnectedAt = disconnectedAt.Add(-4 * attemptAfterDisconnect)
		time.Sleep(redialPause)
	}
	s.mu.Lock()
	s.closedByClient = true
	for _, req := range s.inFlight {
		req.disconnectedAt = disconnectedAt
	}
	s.mu.Unlock()
	_ = s.Close()
}

// awaitAnswersAndClose waits up to finishTimeout for the answers in flight, and closes the connection.
func (s *session) awaitAnswersAndClose() {
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline); time.Sleep(redialPause) {
		s.mu.Lock()
		waiting := len(s.inFlight)
		s.mu.Unlock()
		if waiting == 0 {
			break
		}
	}
	s.mu.Lock()
	s.closedByClient = true
	s.mu.Unlock()
	_ = s.Close()
	<-s.ended
}

// read reads answers until the connection ends.
func (s *session) read() {
	defer close(s.ended)
	reader := bufio.NewReader(s)
	started := false
	kind := unanswered
	for {
		message, err := emulator.ReadMessage(reader)
		if err != nil {
			s.recordUnanswered()
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
				s.assignAnswer(kind)
			}
		case 'Z':
			if started {
				s.assignAnswer(kind)
			}
			started = true
			kind = unanswered
		}
	}
}

// assignAnswer assigns an answer to the oldest query in flight.
func (s *session) assignAnswer(kind outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inFlight) == 0 {
		return
	}
	req := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	s.recordOutcome(req, kind)
	s.answered = true
	s.lastReply = req.endedAt
	<-s.slots
}

// recordOutcome records the outcome of a request. Its deadline counts from when it was sent, or from the previous answer on
// the connection if that came later: time spent waiting behind earlier queries does not count.
func (s *session) recordOutcome(req *request, kind outcome) {
	now := time.Now()
	if req.sentAt.IsZero() {
		req.sentAt = now
	}
	waitStart := req.sentAt
	if s.lastReply.After(waitStart) {
		waitStart = s.lastReply
	}
	req.dueAt = waitStart.Add(req.class.deadline)
	req.endedAt = now
	req.outcome = kind
	s.run.record(req)
}

// recordUnanswered records the outcome of the queries in flight when the connection has ended.
func (s *session) recordUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, req := range s.inFlight {
		kind := unanswered
		switch {
		case !req.disconnectedAt.IsZero():
			kind = clientDisconnected
		case s.closedByClient:
			kind = pendingAtEnd
		case req.sentAt.IsZero() || now.Sub(req.sentAt) < closeRaceWindow:
			kind = closeRace
		case !s.answered && s.run.plan.IdleConnections > 0:
			kind = notAccepted
		}
		s.recordOutcome(req, kind)
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
