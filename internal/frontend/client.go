package frontend

import (
	"container/list"
	"fmt"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/pgwire"
)

// maxPipelined is the number of commands of one client that may wait for their turn.
const maxPipelined = 64

// client is one client connection. It implements eventloop.Handler and gateway.Client.
type client struct {
	server *Server
	conn   *eventloop.Conn

	started       bool // its startup message was answered
	overLimit     bool // accepted only to receive an error
	active        bool // a request of it was taken, and the connection has not been ended
	skipUntilSync bool // an extended query was refused: commands are ignored until its Sync

	// What ends a connection, in the order in which it usually happens.
	terminated bool // a fatal error or Terminate: further input is ignored
	lingering  bool // our side has ended: further input is not even read
	closed     bool // the connection is forgotten

	cancelID     uint32 // its process number in BackendKeyData; 0 if it has none
	cancelSecret [4]byte

	partial      []byte    // an incomplete message
	partialSince int64     // when it began to arrive
	pipeline     []command // in the order in which they came
	heldBytes    int       // its part of the server's

	awaitingAnswer  bool   // a request is in flight
	requestID       int64  // its id in the gateway; 0 if there is none
	clientRequestID string // its id, as the client names it
	requestBytes    int    // size of its text

	stateSince int64         // when it connected, became idle, was terminated or began to linger
	idleEntry  *list.Element // in one of the server's lists; nil while it has work
	retryTimer *eventloop.Timer
}

// command is a message that waits for its turn.
type command struct {
	kind       byte
	text       []byte
	receivedAt int64
	err        error // framing is lost: this is the last command
}

// Data implements eventloop.Handler.
func (c *client) Data(data []byte) {
	if c.terminated || c.framingLost() {
		return
	}
	now := c.server.loop.Now()
	if len(c.partial) == 0 {
		c.partialSince = now
	} else {
		data = append(c.partial, data...)
	}
	c.partial = nil
	if !c.parse(data, now) {
		return
	}
	if len(c.pipeline) > 0 {
		c.markBusy()
	}
	c.updateHeldBytes()
	c.server.enforceMemoryLimit()
	c.processPipeline()
}

func (c *client) framingLost() bool {
	n := len(c.pipeline)
	return n > 0 && c.pipeline[n-1].err != nil
}

// parse splits data into messages and appends them to the pipeline. It returns false if that has ended the connection.
func (c *client) parse(data []byte, now int64) bool {
	for len(data) > 0 {
		if !c.started {
			startup, rest, complete, err := pgwire.NextStartup(data)
			if err != nil {
				c.pipeline = append(c.pipeline, command{receivedAt: now, err: err})
				return true
			}
			if !complete {
				c.partial = data
				return true
			}
			data = rest
			if !c.handleStartup(startup) {
				return false
			}
			continue
		}
		message, rest, complete, err := pgwire.Next(data)
		if err != nil {
			c.pipeline = append(c.pipeline, command{receivedAt: now, err: err})
			return true
		}
		if !complete {
			c.partial = data
			return true
		}
		if len(c.pipeline) >= maxPipelined {
			c.rejectExcessInput()
			return false
		}
		data = rest
		c.partialSince = now
		c.pipeline = append(c.pipeline, command{kind: message.Type, text: message.Body, receivedAt: now})
	}
	return true
}

// rejectExcessInput ends at once a client that sends more than can be held for it. To answer first what it has sent in
// due order would leave it without an answer for as long as that takes.
func (c *client) rejectExcessInput() {
	c.abandonRequest()
	c.failConnection(pgwire.CodeProtocolViolation, "too much sent ahead of the answers")
}

// handleStartup answers a startup message, or a request in place of one. It returns false if that has ended the
// connection.
func (c *client) handleStartup(startup pgwire.Startup) bool {
	major := startup.Code >> 16
	minor := startup.Code & 0xffff
	switch {
	case startup.Code == pgwire.SSLRequest || startup.Code == pgwire.GSSENCRequest:
		c.conn.Write([]byte{'N'})
		return true
	case startup.Code == pgwire.CancelRequest:
		c.server.cancelRequest(startup.PID, startup.Secret)
		c.close()
		return false
	case major != pgwire.ProtocolVersion>>16:
		c.failConnection(pgwire.CodeNotSupported, fmt.Sprintf("protocol %d.%d is not supported", major, minor))
		return false
	}
	c.started = true
	c.conn.Write(c.appendWelcome(nil, startup.Code))
	return true
}

// serverParameters are reported to each client at its start.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "15.0 (cloverrock)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

func (c *client) appendWelcome(b []byte, version uint32) []byte {
	b = pgwire.AppendAuthenticationOk(b)
	if version != pgwire.ProtocolVersion {
		b = pgwire.AppendNegotiate(b)
	}
	for _, parameter := range serverParameters {
		b = pgwire.AppendParameterStatus(b, parameter.name, parameter.value)
	}
	c.assignCancelKey()
	b = pgwire.AppendBackendKeyData(b, c.cancelID, c.cancelSecret)
	return pgwire.AppendReadyForQuery(b)
}

// updateHeldBytes brings the number of bytes held for this client, and for all, up to date.
func (c *client) updateHeldBytes() {
	n := len(c.partial) + c.requestBytes
	for i := range c.pipeline {
		n += len(c.pipeline[i].text)
	}
	c.server.heldBytes += n - c.heldBytes
	c.heldBytes = n
}

// markIdle notes that the connection is between requests.
func (c *client) markIdle() {
	if c.idleEntry != nil || c.closed {
		return
	}
	c.stateSince = c.server.loop.Now()
	if !c.active {
		c.idleEntry = c.server.newClients.PushBack(c)
		return
	}
	c.idleEntry = c.server.idleClients.PushBack(c)
	c.server.enforceActiveLimit()
}

// markBusy notes that the connection has work: it can't be evicted.
func (c *client) markBusy() {
	if c.idleEntry == nil {
		return
	}
	// A list leaves entries of another alone.
	c.server.newClients.Remove(c.idleEntry)
	c.server.idleClients.Remove(c.idleEntry)
	c.server.lingeringClients.Remove(c.idleEntry)
	c.idleEntry = nil
}
