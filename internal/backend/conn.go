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
	errAnswerStalled   = errors.New("the answer has begun and does not go on")
	errAnswersTooLarge = errors.New("incomplete answers of all hosts take too much memory")
	errDataAfterReady  = errors.New("data after the end of the startup")
)

// conn is one connection to a host. It carries one attempt at a time. It implements eventloop.Handler.
type conn struct {
	pool      *Pool
	host      *host
	address   string // of the host when it was dialed
	socket    *eventloop.Conn
	state     connState
	timer     *eventloop.Timer // limits the wait for a new connection, or for the rest of an answer
	idleSince int64            // microseconds
	attempt   *attempt         // nil if it carries none
	partial   []byte           // an incomplete message
	answer    answer
	heldBytes int // its part of the pool's
}

type connState uint8

const (
	dialing connState = iota // until the host has reported that it is ready
	idle
	busy
	closed
)

// Closed implements eventloop.Handler. Where only ReadyForQuery is missing at the end of an answer, or of an error in
// reply to the startup, the answer counts.
func (c *conn) Closed(error) {
	if c.state != idle && c.answer.complete() && len(c.partial) == 0 {
		c.end(c.outcome())
		return
	}
	c.lost()
}

// Data implements eventloop.Handler. Whatever a host sends behind an answer never becomes a part of the next one.
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

// limitAnswerGap has an answer that has begun go on within a fifth of the dial timeout, so that it can't take forever.
// What has arrived in the socket meanwhile is read first: it may be this program that is late.
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

// updateHeldBytes brings the number of bytes held by this connection, and by all, up to date. Above the limit, the
// connection that holds most is ended.
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

// ready takes the end of the startup or of an answer. Where more data came behind it, the answer counts but the
// connection is closed: the data might be taken for the answer to the next request.
func (c *conn) ready(more bool) {
	c.timer.Stop()
	c.timer = nil
	more = more || !c.socket.InputDrained()
	switch {
	case c.state == dialing && !more:
		c.host.dialing--
		c.release()
	case c.state == dialing:
		c.protocolViolation(errDataAfterReady)
	case more:
		c.logExcessData()
		c.end(c.outcome())
	default:
		at := c.attempt
		outcome := c.outcome()
		at.conn = nil
		c.attempt = nil
		c.release() // first: the outcome may lead to the next request on this connection
		c.pool.finish(at, outcome)
	}
}

// release gives the connection to an attempt that waits for one, or keeps it as idle.
func (c *conn) release() {
	c.answer = answer{}
	h := c.host
	if c.address != h.address || h.removed {
		c.state = busy // neither dialing nor idle: only closed
		c.terminate()
		return
	}
	if at := c.pool.nextWaiting(h); at != nil {
		c.pool.stopWaiting(at)
		c.carry(at)
		return
	}
	c.state = idle
	c.idleSince = c.pool.loop.Now()
	h.idle = append(h.idle, c)
	c.pool.slotFreed()
}

// carry writes an attempt, unless the decision to send it has expired while it waited.
func (c *conn) carry(at *attempt) {
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

// lost takes the end of the connection. The attempt on it may have been executed if its last byte was written.
func (c *conn) lost() {
	outcome := gateway.Outcome{Result: balance.ConnectionRefused}
	if c.state == busy && c.socket.Flushed() {
		outcome.Result = balance.ConnectionReset
	}
	c.end(outcome)
}

// protocolViolation ends a connection on which something came that is no answer. The request may have been executed;
// what the host reported of itself along with it is not used.
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

// end closes the connection and reports the outcome of the attempt that it carried, or of the one that has waited
// longest for it.
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

// terminate closes a connection that carries nothing in the way that the protocol asks for.
func (c *conn) terminate() {
	c.socket.Write(pgwire.AppendTerminate(nil))
	c.close()
}

// close ends the connection without an outcome for the attempt that it carried.
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
