package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cloverrock/internal/pgwire"
)

// Class is a class of requests.
type Class struct {
	Name            string
	Share           float64
	Aim, Deadline   time.Duration
	Worth, LatePart float64
	Write, Own      bool
}

// Classes are those of the deployment.
var Classes = [...]Class{
	{Name: "zone-lookup", Share: 0.58, Aim: 300 * time.Millisecond, Deadline: 750 * time.Millisecond, Worth: 1},
	{Name: "own-zone-read", Share: 0.32, Aim: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Worth: 1, Own: true},
	{Name: "zone-change", Share: 0.10, Aim: 500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 3, LatePart: 0.7, Write: true},
}

// ClassSettings are the classes as a gateway's configuration has them.
func ClassSettings() []map[string]any {
	var all []map[string]any
	for _, c := range Classes {
		repeat := "read_like"
		if c.Write {
			repeat = "non_idempotent"
		}
		all = append(all, map[string]any{"name": c.Name, "aimMs": c.Aim.Milliseconds(), "deadlineMs": c.Deadline.Milliseconds(),
			"worth": c.Worth, "lateWorth": c.LatePart, "repeat": repeat, "group": "all", "windowMs": 5000})
	}
	return all
}

// Sample is one request, counted from the time for which it was scheduled.
type Sample struct {
	At     time.Time
	Class  int
	Served bool
	Took   time.Duration
	Gate   int   // number of the gateway that was asked
	Err    error // nil if it was served, ErrRefused if an error was the answer; else there was none
}

// Earned is the worth that a sample brought, and Asked what it could have.
func (s Sample) Earned() float64 {
	c := Classes[s.Class]
	switch {
	case !s.Served || s.Took > c.Deadline:
		return 0
	case s.Took > c.Aim:
		return c.Worth * c.LatePart
	}
	return c.Worth
}

// Asked is the worth that a sample could have brought.
func (s Sample) Asked() float64 { return Classes[s.Class].Worth }

// Load sends requests on schedule, whether or not answers come, until the context ends.
type Load struct {
	Address string
	Others  []string // further gateways; each request goes to one at random
	Groups  int      // of hosts, numbered from 1; 0 for one
	Rate    float64  // a second
	Seed    uint64
	Slack   time.Duration       // how long past its time an answer is still taken, and earns nothing
	Away    func(gate int) bool // the front sends that gateway no new connections; nil: it always does
	mu      sync.Mutex
	samples []Sample
	idle    map[int][]net.Conn
	id      int
	again   int // requests that were sent a second time
}

// SentAgain tells how many requests met the end of a connection that had rested.
func (l *Load) SentAgain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.again
}

// Run sends until the context ends, and waits for the last answers.
func (l *Load) Run(ctx context.Context) []Sample {
	rng := rand.New(rand.NewPCG(l.Seed, 3))
	var wg sync.WaitGroup
	l.idle = map[int][]net.Conn{}
	for at := time.Now(); ctx.Err() == nil; at = at.Add(time.Duration(rng.ExpFloat64() / l.Rate * 1e9)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(at)):
		}
		class, r := 0, rng.Float64()
		for class < len(Classes)-1 && r >= Classes[class].Share {
			r -= Classes[class].Share
			class++
		}
		gate, group := rng.IntN(1+len(l.Others)), 1+rng.IntN(max(l.Groups, 1))
		wg.Go(func() {
			gate, err := l.ask(class, gate, group, at)
			l.mu.Lock()
			l.samples = append(l.samples, Sample{at, class, err == nil, time.Since(at), gate, err})
			l.mu.Unlock()
		})
	}
	wg.Wait()
	for _, cs := range l.idle {
		for _, c := range cs {
			_ = c.Close() // the connection is over either way
		}
	}
	return l.samples
}

// ErrRefused is an error in answer to a request.
var ErrRefused = errors.New("standin: not served")

// ErrClosed is a new connection that was closed before its first answer. It counts as refused.
var ErrClosed = fmt.Errorf("%w: its new connection was closed", ErrRefused)

// ask sends a request and tells which gateway answered, or did not.
func (l *Load) ask(class, gate, group int, at time.Time) (int, error) {
	gate, again, err := l.try(class, gate, group, at, false)
	if again { // the gateway closed the connection while it rested, and had not read the request
		l.mu.Lock()
		l.again++
		l.mu.Unlock()
		gate, _, err = l.try(class, gate, group, at, true)
	}
	return gate, err
}

// front is the gateway that a new connection goes to: the one named, or the next that is not away.
func (l *Load) front(gate int) (int, string) {
	for range len(l.Others) {
		if l.Away == nil || !l.Away(gate) {
			break
		}
		gate = (gate + 1) % (1 + len(l.Others))
	}
	if gate > 0 {
		return gate, l.Others[gate-1]
	}
	return gate, l.Address
}

// try sends a request once, on a fresh connection or one that rests. again tells that it met the end of a connection that had rested.
func (l *Load) try(class, gate, group int, at time.Time, fresh bool) (_ int, again bool, err error) {
	c := Classes[class]
	l.mu.Lock()
	l.id++
	id := l.id
	var conn net.Conn
	if n := len(l.idle[gate]); n > 0 && !fresh {
		conn, l.idle[gate] = l.idle[gate][n-1], l.idle[gate][:n-1]
	}
	l.mu.Unlock()
	until := at.Add(c.Deadline)
	if conn != nil {
		// The gateway may have closed it while it rested; then nothing was asked yet.
		_ = conn.SetReadDeadline(time.Now().Add(time.Microsecond))
		var one [1]byte
		if _, err := conn.Read(one[:]); err != nil && !isTimeout(err) {
			_ = conn.Close() // the connection is over either way
			conn = nil
		}
	}
	rested := conn != nil
	if conn == nil {
		var address string
		gate, address = l.front(gate)
		if conn, err = net.DialTimeout("tcp4", address, time.Until(until)); err != nil {
			return gate, false, unheard(err)
		}
		_ = conn.SetDeadline(until)
		if _, err = conn.Write(pgwire.AppendStartup(nil, "user", "lab", "database", "lab")); err == nil {
			err = ready(bufio.NewReaderSize(conn, 512))
		}
		if err != nil {
			_ = conn.Close() // the connection is over either way
			return gate, false, unheard(err)
		}
	}
	_ = conn.SetDeadline(until.Add(l.Slack))
	own := ""
	if c.Own {
		own = fmt.Sprintf(",after=%d", time.Now().Add(-300*time.Millisecond).UnixMilli())
	}
	text := fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=%d%s */ SELECT body FROM objects WHERE oid = 'k'", id, c.Name, time.Until(until).Milliseconds(), group, own)
	if c.Write {
		text = fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=%d */ INSERT INTO objects (oid, body) VALUES ('k', 'v') RETURNING body", id, c.Name, time.Until(until).Milliseconds(), group)
	}
	asked := time.Now()
	_, err = conn.Write(pgwire.AppendQuery(nil, text))
	if err == nil {
		err = ready(bufio.NewReader(conn))
	}
	if err != nil && !errors.Is(err, ErrRefused) {
		_ = conn.Close() // the connection is over either way
		if rested {
			return gate, !isTimeout(err) && time.Since(asked) < crossing, err
		}
		return gate, false, unheard(err)
	}
	l.mu.Lock()
	l.idle[gate] = append(l.idle[gate], conn)
	l.mu.Unlock()
	return gate, false, err
}

// unheard is the outcome of a new connection that brought no answer.
func unheard(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrClosed, err)
}

// crossing is how long after a request was written the close of a connection that rested may have crossed it. One that
// comes later took a request that the gateway had.
const crossing = 100 * time.Millisecond

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// ready reads up to the next ReadyForQuery.
func ready(rd *bufio.Reader) (err error) {
	for {
		m, bad := Read(rd)
		switch {
		case bad != nil:
			return bad
		case m.Type == 'E':
			err = ErrRefused
		case m.Type == 'Z':
			return err
		}
	}
}
