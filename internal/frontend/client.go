package frontend

import (
	"container/list"
	"fmt"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/pgwire"
)

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

	input
	pipeline      []command // queued commands, in the order of arrival
	pipelineBytes int       // of the texts of queued commands
	turnQueued    bool      // a turn of this client is queued on the event loop
	heldBytes     int       // this client's part of Server.heldBytes

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

// handleStartup answers a startup message, or an SSL, GSSAPI encryption or cancel request in its place. A cancel request
// and an unknown protocol end the connection.
func (c *client) handleStartup(startup pgwire.Startup) {
	major := startup.Code >> 16
	minor := startup.Code & 0xffff
	switch {
	case startup.Code == pgwire.SSLRequest || startup.Code == pgwire.GSSENCRequest:
		c.declineEncryption()
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

// declineEncryption answers a request for encryption. A client that goes on to ask in place of its startup message is
// ended.
func (c *client) declineEncryption() {
	if c.server.loop.Now()-c.stateSince > c.server.limits.MessageTimeout {
		c.failConnection(pgwire.CodeProtocolViolation, "no startup message was received in time")
		return
	}
	c.conn.Write([]byte{'N'})
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
