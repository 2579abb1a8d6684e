package backend

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// conn is one connection to a host. It carries one attempt at a time.
type conn struct {
	pool    *Pool
	host    *host
	address string
	net     *eventloop.Conn
	state   state
	timer   *eventloop.Timer // ends the wait for a new connection, or for the rest of an answer
	idleAt  int64
	attempt *attempt
	in      []byte // a message that has begun
	answer  answer
	held    int // its part of the pool's
}

type state uint8

const (
	dialing state = iota // until the host says that it is ready
	idle
	busy
	ended
)

// answer is what has come so far for the attempt that is out.
type answer struct {
	raw                []byte // row description, row and completion, as they came
	stage              byte   // type of the last message of its body: 0, then T, D, and C, I or E
	value              []byte // the row's column
	fault              *pgwire.Error
	rank, asOf, vitals string
}

// over tells that the answer lacks no more than its ReadyForQuery.
func (a *answer) over() bool { return a.stage == 'C' || a.stage == 'E' || a.stage == 'I' }

// Closed implements loop.Handler.
func (c *conn) Closed(error) {
	if c.state != idle && c.answer.over() && len(c.in) == 0 {
		c.end(c.outcome()) // only the end of a whole answer is missing, or of one to the startup
	} else {
		c.broken()
	}
}

// Data implements loop.Handler. An answer ends where it ends: whatever else a host sends, it never becomes a part
// of the next one.
func (c *conn) Data(b []byte) {
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	c.in = nil
	for len(b) > 0 && c.state != ended {
		if c.state == idle {
			c.pool.log.Warn().Str("host", c.host.id).Msg("host sent more than its answer")
			c.close()
			return
		}
		m, rest, ok, err := pgwire.NextHost(b)
		if err == nil && ok {
			b = rest
			err = c.message(m, len(rest) > 0)
		}
		if err != nil {
			c.spoilt(err)
			return
		}
		if !ok {
			c.in = b
			break
		}
	}
	if c.state == busy && (len(c.in) > 0 || c.answer.stage != 0) {
		// A host that has begun its answer goes on with it, or the answer has no end. What has arrived in the
		// socket meanwhile is read first: it may be us who are late.
		c.timer.Stop()
		c.timer = c.pool.loop.CallAt(c.pool.loop.Now()+c.pool.limits.DialTimeout/5, func() {
			if c.net.InputDrained() {
				c.spoilt(errors.New("the answer has begun and does not go on"))
			}
		})
	}
	c.count()
}

// count brings the pool's number of bytes held up to date. Where it is over its bound, whoever holds most has to go.
func (c *conn) count() {
	n := 0
	if c.state != ended {
		n = len(c.in) + len(c.answer.raw)
	}
	c.pool.held += n - c.held
	c.held = n
	if c.pool.held <= c.pool.limits.Bytes {
		return
	}
	most := c
	for o := range c.pool.conns {
		if o.held > most.held {
			most = o
		}
	}
	most.spoilt(errors.New("too much of answers is held"))
}

// message takes the next message; more tells that the host sent something behind it.
func (c *conn) message(m pgwire.Message, more bool) error {
	a := &c.answer
	wrong := fmt.Errorf("message %q behind %q is not in its place, or can't be read", m.Type, a.stage)
	switch m.Type {
	case 'T', 'D', 'C', 'I':
		before := map[byte]byte{'T': 0, 'D': 'T', 'C': 'D', 'I': 0}[m.Type]
		if c.state != busy || a.stage != before {
			return wrong
		}
		ok := true
		switch m.Type {
		case 'T':
			ok = pgwire.OneColumn(m.Body)
		case 'D':
			a.value, ok = pgwire.OnlyColumn(m.Body)
		case 'C':
			ok = bytes.IndexByte(m.Body, 0) == len(m.Body)-1
		}
		if !ok {
			return wrong
		}
		a.stage = m.Type
		a.raw = append(a.raw, m.Raw...)
	case 'E':
		e, whole := pgwire.ParseError(m.Body)
		if !whole || a.over() {
			return wrong
		}
		a.stage, a.fault = 'E', &e
		if e.Severity == "FATAL" || e.Severity == "PANIC" {
			if more && c.state == busy {
				return wrong
			}
			c.end(c.outcome())
		}
	case 'S': // one that can't be read tells nothing, and spoils nothing
		if name, rest, ok := pgwire.CString(m.Body); ok {
			if value, rest, ok := pgwire.CString(rest); ok && len(rest) == 0 {
				switch name {
				case "rank":
					a.rank = value
				case "as_of":
					a.asOf = value
				case "vitals":
					a.vitals = value
				}
			}
		}
	case 'R':
		if c.state != dialing || string(m.Body) != "\x00\x00\x00\x00" {
			return wrong
		}
	case 'Z':
		if m.Body[0] != 'I' || c.state == busy && !a.over() {
			return wrong
		}
		c.ready(more)
	case 'K', 'v':
		if c.state != dialing {
			return wrong
		}
	}
	return nil
}

// ready takes the end of the startup or of an answer. Where anything came behind it, the answer before counts and
// the connection has seen its last request: what came might be taken for the answer to the next.
func (c *conn) ready(more bool) {
	c.timer.Stop()
	c.timer = nil
	more = more || !c.net.InputDrained()
	switch {
	case c.state == dialing && !more:
		c.host.dialing--
		c.free()
	case c.state == dialing:
		c.spoilt(errors.New("more than a welcome"))
	case more:
		c.pool.log.Warn().Str("host", c.host.id).Msg("host sent more than its answer")
		c.end(c.outcome())
	default:
		// The next request may be waiting for this connection, so it is free before the outcome is told.
		at, o := c.attempt, c.outcome()
		at.conn, c.attempt = nil, nil
		defer c.pool.finish(at, o)
		c.free()
	}
}

// free hands the connection to an attempt that waits for one, or keeps it.
func (c *conn) free() {
	c.answer = answer{}
	h := c.host
	if c.address != h.address || h.gone {
		c.state = busy // no dial any more
		c.leave()
		return
	}
	if at := c.pool.next(h); at != nil {
		c.pool.forget(at)
		c.carry(at)
		return
	}
	c.state, c.idleAt = idle, c.pool.loop.Now()
	h.idle = append(h.idle, c)
	c.pool.spare()
}

// carry writes an attempt, unless the decision to send it has aged while it waited.
func (c *conn) carry(at *attempt) {
	if !at.probe && at.Expired() {
		c.pool.finishLater(at, balance.NotSent)
		c.free()
		return
	}
	c.state, c.answer = busy, answer{}
	c.attempt, at.conn = at, c
	if at.probe {
		c.net.Write(pgwire.AppendQuery(nil, "SHOW vitals"))
		return
	}
	c.net.Write(at.Body.(Query).Append(nil, at.Deadline-c.pool.loop.Now()))
}

// outcome reads what a whole answer tells.
func (c *conn) outcome() gateway.Outcome {
	a, o := &c.answer, gateway.Outcome{}
	switch {
	case a.fault != nil:
		if o.Result = outcome(*a.fault); o.Result == balance.Failed {
			c.pool.log.Warn().Str("host", c.host.id).Str("code", a.fault.Code).Str("message", a.fault.Message).Msg("host error")
			if c.state == dialing {
				o.Result = balance.ConnectionRefused // nothing was sent yet
			}
		}
	case a.stage != 'C':
		c.pool.log.Warn().Str("host", c.host.id).Msg("answer without a row")
		o.Result = balance.Failed
	default:
		o.Result, o.Value = balance.Succeeded, a.raw
	}
	switch a.rank {
	case "source":
		o.Role = balance.Primary
	case "copy":
		o.Role = balance.Replica
	}
	latest := c.pool.loop.Now() + ahead
	// A write's answer gives its commit, which only a position that is no less has reached.
	commit := c.attempt != nil && c.attempt.Write && a.fault == nil
	if position, err := pgwire.Decimal(a.asOf, 3, commit); err == nil && position <= latest {
		o.Position = position
	}
	if c.attempt != nil && c.attempt.probe && o.Result == balance.Succeeded {
		a.vitals = string(a.value)
	}
	o.Report = report(a.vitals, latest)
	return o
}

// ahead is how far beyond our own clock a position may lie. All read the same clock, so more is no position, and
// to believe it would have a replica serve whatever it holds.
const ahead = 1e6

// report reads names and values; names that it does not know are left out. One that can't be read in any part, or
// names a position after latest, tells nothing at all.
func report(s string, latest int64) (r balance.HostReport) {
	for s != "" {
		var part string
		part, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(part, "=")
		micro, err := pgwire.Decimal(strings.TrimSpace(value), 6, false)
		if err != nil {
			return balance.HostReport{}
		}
		switch strings.TrimSpace(name) {
		case "x0":
			if r.HasPosition, r.Position = true, micro; micro > latest {
				return balance.HostReport{}
			}
		case "x1":
			r.HasRole, r.Primary = true, micro >= 5e5
		}
	}
	return r
}

// broken takes the end of the connection. What was out on it may have run if its last byte was written.
func (c *conn) broken() {
	o := gateway.Outcome{Result: balance.ConnectionRefused}
	if c.state == busy && c.net.Flushed() {
		o.Result = balance.ConnectionReset
	}
	c.end(o)
}

// spoilt ends a connection on which something came that is no answer. The request has run, or may have; what the
// host said of itself along with it is worth nothing.
func (c *conn) spoilt(err error) {
	if c.state == ended {
		return
	}
	c.pool.log.Warn().Str("host", c.host.id).Err(err).Msg("host sent nonsense")
	o := gateway.Outcome{Result: balance.Failed}
	if c.state == dialing {
		o.Result = balance.ConnectionRefused
	}
	c.end(o)
}

// end closes the connection and ends what it carried, or the attempt that has waited longest for it.
func (c *conn) end(o gateway.Outcome) {
	was, at := c.state, c.attempt
	if was == ended {
		return
	}
	c.close()
	if h := c.host; was == dialing && len(h.waiting) > h.dialing {
		at = h.waiting[0]
	}
	if at != nil {
		c.pool.finish(at, o)
	}
}

// leave closes an idle connection in the way that the protocol asks for.
func (c *conn) leave() {
	c.net.Write(pgwire.AppendTerminate(nil))
	c.close()
}

// close ends the connection without a word to whom it carried.
func (c *conn) close() {
	h := c.host
	switch c.state {
	case ended:
		return
	case dialing:
		h.dialing--
		c.pool.broken++
	case idle:
		if i := slices.Index(h.idle, c); i >= 0 {
			h.idle = slices.Delete(h.idle, i, i+1)
		}
	}
	c.state = ended
	c.timer.Stop()
	h.open--
	delete(c.pool.conns, c)
	c.in = nil
	c.count()
	c.net.Close()
	c.pool.spare()
}
