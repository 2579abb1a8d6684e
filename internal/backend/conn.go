package backend

import (
	"strings"

	"cloverrock/balance"
	"cloverrock/internal/gateway"
	"cloverrock/internal/loop"
	"cloverrock/internal/pgwire"
)

// conn is one connection to a host. It carries one attempt at a time.
type conn struct {
	pool    *Pool
	host    *host
	address string
	net     *loop.Conn
	state   state
	timer   *loop.Timer // ends the wait for a new connection
	idleAt  int64
	attempt *attempt
	in      []byte
	answer  answer
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
	raw      []byte // row description, row and completion, as they came
	rows     int
	value    []byte // the last row's column
	odd      bool   // it is not one row of one column
	complete bool
	fault    *pgwire.Error
	params   map[string]string
}

// Closed implements loop.Handler.
func (c *conn) Closed(error) { c.broken() }

// Data implements loop.Handler.
func (c *conn) Data(b []byte) {
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	c.in = nil
	for c.state != ended {
		m, rest, ok, err := pgwire.Next(b)
		if err != nil {
			c.pool.log.Warn().Str("host", c.host.id).Err(err).Msg("host sent nonsense")
			c.fail(balance.Errored)
			return
		}
		if !ok {
			break
		}
		b = rest
		c.message(m)
	}
	if len(b) > 0 && c.state != ended {
		c.in = b
	}
}

func (c *conn) message(m pgwire.Message) {
	a := &c.answer
	switch m.Type {
	case 'T':
		a.raw = append(a.raw, m.Raw...)
		a.odd = a.odd || pgwire.Columns(m.Body) != 1 || a.rows > 0
	case 'D':
		a.raw = append(a.raw, m.Raw...)
		a.rows++
		value, ok := pgwire.FirstColumn(m.Body)
		a.value = value
		a.odd = a.odd || !ok || pgwire.Columns(m.Body) != 1 || a.rows > 1
	case 'C':
		a.raw = append(a.raw, m.Raw...)
		a.complete = true
	case 'I':
		a.odd = true
	case 'E':
		e := pgwire.ParseError(m.Body)
		a.fault = &e
		if e.Severity == "FATAL" || e.Severity == "PANIC" || c.state == idle {
			c.fail(balance.Errored)
		}
	case 'S':
		if name, rest, ok := pgwire.CString(m.Body); ok && c.state != dialing {
			if value, _, ok := pgwire.CString(rest); ok {
				if a.params == nil {
					a.params = map[string]string{}
				}
				a.params[name] = value
			}
		}
	case 'R':
		if len(m.Body) != 4 || string(m.Body) != "\x00\x00\x00\x00" {
			a.fault = &pgwire.Error{Severity: "FATAL", Message: "host asks for a password"}
			c.fail(balance.Errored)
		}
	case 'Z':
		c.ready()
	}
}

// ready takes the end of the startup or of an answer.
func (c *conn) ready() {
	switch c.state {
	case dialing:
		c.host.dialing--
		c.timer.Stop()
		c.free()
	case busy:
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
	if c.address != h.address {
		c.leave()
		return
	}
	if len(h.waiting) > 0 {
		at := h.waiting[0]
		h.waiting = h.waiting[1:]
		c.carry(at)
		return
	}
	c.state, c.idleAt = idle, c.pool.loop.Now()
	h.idle = append(h.idle, c)
}

// carry writes an attempt, unless the decision to send it has aged while it waited.
func (c *conn) carry(at *attempt) {
	if !at.probe && at.Aged() {
		c.pool.finishLater(at, balance.Skipped)
		c.free()
		return
	}
	c.state, c.answer = busy, answer{}
	c.attempt, at.conn = at, c
	if at.probe {
		c.net.Write(pgwire.AppendQuery(nil, "SHOW vitals"))
		return
	}
	c.net.Write(at.Body.(Query).Append(nil, at.Until-c.pool.loop.Now()))
}

// outcome reads what a whole answer tells.
func (c *conn) outcome() gateway.Outcome {
	a, o := &c.answer, gateway.Outcome{}
	commit := c.attempt != nil && c.attempt.Write && a.fault == nil
	switch {
	case a.fault != nil:
		if o.Result = outcome(*a.fault); o.Result == balance.Errored {
			c.pool.log.Warn().Str("host", c.host.id).Str("code", a.fault.Code).Str("message", a.fault.Message).Msg("host error")
		}
	case !a.complete || a.odd || a.rows != 1:
		c.pool.log.Warn().Str("host", c.host.id).Int("rows", a.rows).Msg("answer is not one row of one column")
		o.Result = balance.Errored
	default:
		o.Result, o.Value = balance.Served, a.raw
	}
	switch a.params["rank"] {
	case "source":
		o.Role = balance.Primary
	case "copy":
		o.Role = balance.Replica
	}
	if s := a.params["as_of"]; s != "" {
		// A write's answer gives its commit, which only a position that is no less has reached.
		if position, err := pgwire.Decimal(s, 3, commit); err == nil {
			o.Position = position
		}
	}
	vitals := a.params["vitals"]
	if c.attempt != nil && c.attempt.probe && o.Result == balance.Served {
		vitals = string(a.value)
	}
	o.Report = report(vitals)
	return o
}

// report reads names and values; those that it does not know, or cannot read, are left out.
func report(s string) (r balance.Report) {
	for s != "" {
		var part string
		part, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(part, "=")
		micro, err := pgwire.Decimal(strings.TrimSpace(value), 6, false)
		if err != nil {
			continue
		}
		switch strings.TrimSpace(name) {
		case "x0":
			r.HasPosition, r.Position = true, micro
		case "x1":
			r.HasRole, r.Primary = true, micro >= 5e5
		case "rif", "inflight":
			r.HasInflight, r.Inflight = true, float64(micro)/1e6
		case "q", "queue":
			r.HasQueue, r.Queue = true, float64(micro)/1e6
		}
	}
	return r
}

// broken takes the end of the connection. What was out on it may have run if its last byte was written.
func (c *conn) broken() {
	switch {
	case c.state == busy && c.answer.complete && c.answer.fault == nil:
		c.fail(balance.Served) // only the end of the answer is missing
	case c.state == busy && c.net.Flushed():
		c.fail(balance.Reset)
	default:
		c.fail(balance.Refused)
	}
}

// fail closes the connection and ends what it carried, or the attempt that has waited longest for it.
func (c *conn) fail(result balance.Result) {
	was := c.state
	if was == ended {
		return
	}
	at, o := c.attempt, gateway.Outcome{Result: result}
	if c.answer.fault != nil || result == balance.Served {
		if o = c.outcome(); o.Result == balance.Errored && was != busy {
			o.Result = balance.Refused // nothing was sent yet
		}
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
		c.timer.Stop()
	case idle:
		for i, o := range h.idle {
			if o == c {
				h.idle = append(h.idle[:i], h.idle[i+1:]...)
				break
			}
		}
	}
	c.state = ended
	c.pool.open--
	c.net.Close()
}
