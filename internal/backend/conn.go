package backend

import (
	"errors"
	"slices"

	"cloverrock/balance"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

var (
	errAnswerStalled   = errors.New("the rest of an answer did not arrive in time")
	errAnswersTooLarge = errors.New("incomplete answers of all hosts exceed the memory limit")
	errDataAfterReady  = errors.New("host sent data after the end of the startup")
)

// conn is one connection to a host. At most one attempt is in flight on it. It implements eventloop.Handler.
type conn struct {
	pool      *Pool
	host      *host
	address   string // address of the host when the connection was dialed
	socket    *eventloop.Conn
	state     connState
	timer     *eventloop.Timer // limits the time to open the connection, or between the parts of an answer
	idleSince int64            // microseconds
	attempt   *attempt         // the attempt in flight; nil if there is none
	partial   []byte           // an incomplete message
	answer    answer
	heldBytes int // this connection's part of Pool.heldBytes
}

type connState uint8

const (
	dialing connState = iota // until the host has reported that it is ready
	idle
	busy
	closed
)

// Closed implements eventloop.Handler. An answer, or an error in reply to the startup message, is valid even if the
// connection ends before its ReadyForQuery.
func (c *conn) Closed(error) {
	if c.state != idle && c.answer.complete() && len(c.partial) == 0 {
		c.end(c.outcome())
		return
	}
	c.connectionLost()
}

// Data implements eventloop.Handler. Data that a host sends after an answer never becomes a part of the next answer.
func (c *conn) Data(data []byte) {
	if len(c.partial) > 0 {
		data = append(c.partial, data...)
	}
	c.partial = nil
	for len(data) > 0 && c.state != closed {
		if c.state == idle {
			c.logExcessData()
			c.close()
			return
		}
		message, rest, complete, err := pgwire.NextHost(data)
		if err == nil && complete {
			data = rest
			err = c.handleMessage(message, len(rest) > 0)
		}
		if err != nil {
			c.protocolViolation(err)
			return
		}
		if !complete {
			c.partial = data
			break
		}
	}
	c.limitAnswerGap()
	c.updateHeldBytes()
}

func (c *conn) logExcessData() {
	c.pool.log.Warn().Str("host", c.host.id).Msg("backend: host sent data after its answer, connection closed")
}

// limitAnswerGap ends the connection if an answer has begun and no more of it arrives within a fifth of the dial
// timeout. Otherwise an incomplete answer could occupy the connection without end. Data that is unread in the socket
// when the time is over is read first, because the delay may be this program's own.
func (c *conn) limitAnswerGap() {
	answerBegun := len(c.partial) > 0 || c.answer.lastMessage != 0
	if c.state != busy || !answerBegun {
		return
	}
	c.timer.Stop()
	c.timer = c.pool.loop.CallAt(c.pool.loop.Now()+c.pool.limits.DialTimeout/5, func() {
		if c.socket.InputDrained() {
			c.protocolViolation(errAnswerStalled)
		}
	})
}

// updateHeldBytes recomputes the number of bytes held for this connection and updates the pool's total. If the total
// exceeds the limit, the connection that holds the most bytes is ended.
func (c *conn) updateHeldBytes() {
	n := 0
	if c.state != closed {
		n = len(c.partial) + len(c.answer.raw)
	}
	c.pool.heldBytes += n - c.heldBytes
	c.heldBytes = n
	if c.pool.heldBytes <= c.pool.limits.Bytes {
		return
	}
	largest := c
	for other := range c.pool.conns {
		if other.heldBytes > largest.heldBytes {
			largest = other
		}
	}
	largest.protocolViolation(errAnswersTooLarge)
}

// ready handles ReadyForQuery, which ends the startup or an answer. If more data follows it, the answer is valid but the
// connection is closed, because the data might be taken for the answer to the next request.
func (c *conn) ready(moreData bool) {
	c.timer.Stop()
	c.timer = nil
	moreData = moreData || !c.socket.InputDrained()
	switch {
	case c.state == dialing && !moreData:
		c.host.dialing--
		c.release()
	case c.state == dialing:
		c.protocolViolation(errDataAfterReady)
	case moreData:
		c.logExcessData()
		c.end(c.outcome())
	default:
		at := c.attempt
		outcome := c.outcome()
		at.conn = nil
		c.attempt = nil
		c.release() // before finish: the outcome may lead to the next request on this connection
		c.pool.finish(at, outcome)
	}
}

// release passes the connection to the next waiting attempt of its host, or keeps it as idle. If the address of the host
// has changed or the host was removed, it closes the connection.
func (c *conn) release() {
	c.answer = answer{}
	h := c.host
	if c.address != h.address || h.removed {
		c.state = busy // it is no longer counted as dialing or listed as idle: close must not undo that again
		c.terminate()
		return
	}
	if at := c.pool.nextWaiting(h); at != nil {
		c.pool.stopWaiting(at)
		c.send(at)
		return
	}
	c.state = idle
	c.idleSince = c.pool.loop.Now()
	h.idle = append(h.idle, c)
	c.pool.slotFreed()
}

// send writes an attempt to the connection, unless the attempt has expired while it waited.
func (c *conn) send(at *attempt) {
	if !at.healthCheck && at.Expired() {
		c.pool.finishLater(at, balance.NotSent)
		c.release()
		return
	}
	c.state = busy
	c.answer = answer{}
	c.attempt = at
	at.conn = c
	if at.healthCheck {
		c.socket.Write(pgwire.AppendQuery(nil, healthCheckQuery))
		return
	}
	c.socket.Write(at.Body.(Query).Append(nil, at.Deadline-c.pool.loop.Now()))
}

// connectionLost handles the end of the connection. Its attempt may have been executed if the last byte was written.
func (c *conn) connectionLost() {
	outcome := gateway.Outcome{Result: balance.ConnectionRefused}
	if c.state == busy && c.socket.Flushed() {
		outcome.Result = balance.ConnectionReset
	}
	c.end(outcome)
}

// protocolViolation ends a connection on which the host sent something that is not a valid answer. The request may have
// been executed; the state that the host reported with it is not used.
func (c *conn) protocolViolation(err error) {
	if c.state == closed {
		return
	}
	c.pool.log.Warn().Str("host", c.host.id).Err(err).Msg("backend: host violated the protocol, connection closed")
	outcome := gateway.Outcome{Result: balance.Failed}
	if c.state == dialing {
		outcome.Result = balance.ConnectionRefused
	}
	c.end(outcome)
}

// end closes the connection and reports the outcome of its attempt. A connection that is still being dialed has no
// attempt: if more attempts wait for the host than other dials are pending, the outcome is reported for the attempt that
// has waited longest.
func (c *conn) end(outcome gateway.Outcome) {
	stateBefore := c.state
	at := c.attempt
	if stateBefore == closed {
		return
	}
	c.close()
	h := c.host
	if stateBefore == dialing && len(h.waiting) > h.dialing {
		at = h.waiting[0]
	}
	if at != nil {
		c.pool.finish(at, outcome)
	}
}

// terminate sends Terminate, as the protocol requires, and closes a connection that has no attempt in flight.
func (c *conn) terminate() {
	c.socket.Write(pgwire.AppendTerminate(nil))
	c.close()
}

// close closes the connection. It reports no outcome for its attempt.
func (c *conn) close() {
	h := c.host
	switch c.state {
	case closed:
		return
	case dialing:
		h.dialing--
		c.pool.failedDials++
	case idle:
		i := slices.Index(h.idle, c)
		if i >= 0 {
			h.idle = slices.Delete(h.idle, i, i+1)
		}
	}
	c.state = closed
	c.timer.Stop()
	h.open--
	delete(c.pool.conns, c)
	c.partial = nil
	c.updateHeldBytes()
	c.socket.Close()
	c.pool.slotFreed()
}
