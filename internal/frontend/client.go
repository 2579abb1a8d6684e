package frontend

import (
	"container/list"
	"fmt"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/pgwire"
)

// maxPipelined is the number of commands that may be queued for one client.
const maxPipelined = 64

// client is one client connection. It implements eventloop.Handler and gateway.Client.
type client struct {
	server *Server
	conn   *eventloop.Conn

	started       bool // the startup message was answered
	overLimit     bool // above the connection limit: accepted only to receive an error
	active        bool // the client has sent a request, and its connection does not linger yet
	skipUntilSync bool // an extended query was rejected: commands are ignored until the next Sync

	// The stages in which a connection ends, in their usual order.
	terminated bool // after a fatal error or Terminate: further input is ignored
	lingering  bool // the write side was closed: further input is discarded unread
	closed     bool // the connection was removed from the server

	cancelID     uint32 // process id sent in BackendKeyData; 0 if none was assigned
	cancelSecret [4]byte

	partial      []byte    // an incomplete message
	partialSince int64     // when the first byte of partial arrived
	pipeline     []command // queued commands, in the order of arrival
	heldBytes    int       // this client's part of Server.heldBytes

	awaitingAnswer  bool   // a request is in flight
	requestID       int64  // id of the request in the gateway; 0 if there is none
	clientRequestID string // id of the request that the client has set
	requestBytes    int    // size of the request's text

	stateSince int64         // time of the last change: connected, became idle, was terminated or began to linger
	idleEntry  *list.Element // entry in one of the server's lists; nil while the connection has work
	retryTimer *eventloop.Timer
}

// command is a queued message.
type command struct {
	kind       byte
	text       []byte
	receivedAt int64
	err        error // a framing error; no further message can be parsed, so this is the last command
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

// parse handles the messages in data and keeps the rest as an incomplete message. It returns false if it has ended the
// connection.
func (c *client) parse(data []byte, now int64) bool {
	for len(data) > 0 {
		rest, complete, err := c.parseMessage(data, now)
		switch {
		case err != nil:
			c.pipeline = append(c.pipeline, command{receivedAt: now, err: err})
			return true
		case c.terminated || c.closed:
			return false
		case !complete:
			c.partial = data
			return true
		}
		data = rest
	}
	return true
}

// parseMessage handles the first message in data, unless it is incomplete, and returns what follows it. Startup messages
// are answered; all others are queued as commands.
func (c *client) parseMessage(data []byte, now int64) (rest []byte, complete bool, err error) {
	if !c.started {
		startup, rest, complete, err := pgwire.NextStartup(data)
		if complete {
			c.handleStartup(startup)
		}
		return rest, complete, err
	}
	message, rest, complete, err := pgwire.Next(data)
	if complete {
		c.queueCommand(message, now)
	}
	return rest, complete, err
}

// queueCommand appends a message to the pipeline, and ends the connection if that is full.
func (c *client) queueCommand(message pgwire.Message, now int64) {
	if len(c.pipeline) >= maxPipelined {
		c.rejectExcessInput()
		return
	}
	c.partialSince = now // of the message that may follow
	c.pipeline = append(c.pipeline, command{kind: message.Type, text: message.Body, receivedAt: now})
}

// handleStartup answers a startup message, or an SSL, GSSAPI encryption or cancel request in its place. A cancel request
// and an unknown protocol end the connection.
func (c *client) handleStartup(startup pgwire.Startup) {
	major := startup.Code >> 16
	minor := startup.Code & 0xffff
	switch {
	case startup.Code == pgwire.SSLRequest || startup.Code == pgwire.GSSENCRequest:
		c.conn.Write([]byte{'N'})
		return
	case startup.Code == pgwire.CancelRequest:
		c.server.cancelRequest(startup.PID, startup.Secret)
		c.close()
		return
	case major != pgwire.ProtocolVersion>>16:
		c.failConnection(pgwire.CodeNotSupported, fmt.Sprintf("protocol %d.%d is not supported", major, minor))
		return
	}
	c.started = true
	c.conn.Write(c.appendStartupResponse(nil, startup.Code))
}

// serverParameters are reported to each client at startup.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "15.0 (cloverrock)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

func (c *client) appendStartupResponse(b []byte, version uint32) []byte {
	b = pgwire.AppendAuthenticationOk(b)
	if version != pgwire.ProtocolVersion {
		b = pgwire.AppendNegotiateProtocolVersion(b)
	}
	for _, parameter := range serverParameters {
		b = pgwire.AppendParameterStatus(b, parameter.name, parameter.value)
	}
	c.assignCancelKey()
	b = pgwire.AppendBackendKeyData(b, c.cancelID, c.cancelSecret)
	return pgwire.AppendReadyForQuery(b)
}

// markIdle records that the connection has no request in flight and no queued command: it may be evicted.
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

// markBusy records that the connection has work: it can't be evicted.
func (c *client) markBusy() {
	if c.idleEntry == nil {
		return
	}
	// Remove does nothing if the entry belongs to another list.
	c.server.newClients.Remove(c.idleEntry)
	c.server.idleClients.Remove(c.idleEntry)
	c.server.lingeringClients.Remove(c.idleEntry)
	c.idleEntry = nil
}
