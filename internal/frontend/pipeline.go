package frontend

import (
	"errors"
	"fmt"
	"strconv"

	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

const (
	// maxUnsent is the number of unsent answer bytes of a client above which its next command is delayed.
	maxUnsent = 64 << 10

	// maxCommitLead is how far, in microseconds, the commit that a read must include may be ahead of this gateway's
	// clock. Clocks differ between machines.
	maxCommitLead = 60e6
)

var (
	errCommitInFuture = errors.New("comment: after: lies in the future")
	// Hosts identify requests by this id: a second request with the same id would interfere with the first.
	errRequestIDInUse = errors.New("comment: id: another request has it, and is not answered yet")
)

// updateState records after a turn whether the connection has work, and closes it in a shutdown if it has none.
func (c *client) updateState() {
	if c.isOwedAnswer() || c.turnQueued {
		return
	}
	c.pipeline = nil
	if c.server.shuttingDown && len(c.unparsed) == 0 {
		c.closeWhenFlushed()
		return
	}
	c.markIdle() // even with an incomplete message, which is no request yet
}

// takeCommand removes and returns the first queued command.
func (c *client) takeCommand() command {
	cmd := c.pipeline[0]
	c.pipeline[0] = command{} // frees the text once the command is executed, not only at the end of the pipeline
	c.pipeline = c.pipeline[1:]
	c.pipelineBytes -= len(cmd.text)
	return cmd
}

func (c *client) execute(cmd command) {
	if cmd.err != nil {
		c.failConnection(pgwire.CodeProtocolViolation, cmd.err.Error())
		return
	}
	if c.skipUntilSync && cmd.kind != pgwire.MsgSync && cmd.kind != pgwire.MsgTerminate {
		return
	}
	switch cmd.kind {
	case pgwire.MsgQuery:
		c.executeQuery(cmd)
	case pgwire.MsgTerminate:
		c.terminate() // earlier answers may still be unsent
	case pgwire.MsgSync:
		c.skipUntilSync = false
		c.conn.Write(pgwire.AppendReadyForQuery(nil))
	case pgwire.MsgParse, pgwire.MsgBind, pgwire.MsgDescribe, pgwire.MsgExecute, pgwire.MsgClose:
		c.skipUntilSync = true
		c.conn.Write(errorResponse(pgwire.CodeNotSupported, "extended queries are not supported"))
	case pgwire.MsgFunctionCall:
		c.failQuery(pgwire.CodeNotSupported, "function calls are not supported")
	case pgwire.MsgFlush, pgwire.MsgCopyData, pgwire.MsgCopyDone, pgwire.MsgCopyFail:
		// Nothing to flush, and no copy is under way.
	default:
		c.failConnection(pgwire.CodeProtocolViolation, fmt.Sprintf("unknown message %q", cmd.kind))
	}
}

func (c *client) executeQuery(cmd command) {
	text, _, terminated := pgwire.CString(cmd.text)
	if !terminated || len(text) != len(cmd.text)-1 {
		c.failConnection(pgwire.CodeProtocolViolation, "the query is not one string")
		return
	}
	if c.overLimit {
		c.failConnection(pgwire.CodeTooManyConnections, "too many connections")
		return
	}
	if c.answerLocally(text) {
		return
	}
	query, err := pgwire.ParseQuery(cmd.text[:len(text)])
	if err != nil {
		c.failQuery(pgwire.CodeSyntaxError, err.Error())
		return
	}
	class, err := c.server.checkQuery(query)
	if err != nil {
		c.failQuery(pgwire.CodeSyntaxError, err.Error())
		return
	}
	c.submit(query, class, cmd)
}

// answerLocally answers statements that need no host. The empty statement shows whether the gateway is ready. Statements
// that change session settings are acknowledged and have no effect.
func (c *client) answerLocally(text string) bool {
	switch word := pgwire.Command(text); word {
	case "":
		if !c.server.gateway.Ready() {
			c.failQuery(pgwire.CodeCannotConnectNow, "the list of hosts is not known yet")
			return true
		}
		c.conn.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmptyQuery(nil)))
		return true
	case "SET", "RESET", "DISCARD":
		c.conn.Write(pgwire.AppendReadyForQuery(pgwire.AppendCommandComplete(nil, word)))
		return true
	}
	return false
}

// checkQuery returns the class of a query, or an error for the client if the query can't be accepted.
func (s *Server) checkQuery(query *pgwire.Query) (Class, error) {
	class, known := s.classes[query.Class]
	if !known {
		return Class{}, fmt.Errorf("comment: c: no class %q", query.Class)
	}
	reads := query.Command() == "SELECT"
	if reads == class.Write {
		return Class{}, fmt.Errorf("a statement of class %q can't begin with %q", query.Class, query.Command())
	}
	if query.MinPosition > s.loop.Now()+maxCommitLead {
		return Class{}, errCommitInFuture
	}
	if _, inUse := s.openRequestIDs[query.ID]; inUse {
		return Class{}, errRequestIDInUse
	}
	return class, nil
}

// submit passes a request to the gateway, which may answer it before Accept returns. It rejects the request if the memory
// is full.
func (c *client) submit(query *pgwire.Query, class Class, cmd command) {
	c.requestBytes = len(cmd.text)
	c.updateHeldBytes()
	if c.server.memoryIsFull() {
		c.requestBytes = 0
		c.conn.Write(pgwire.AppendReadyForQuery(rejection(0)))
		return
	}
	if query.Wait < 0 || query.Wait > class.Deadline { // no client of the class waits longer
		query.Wait = class.Deadline
	}
	c.server.openRequestIDs[query.ID] = struct{}{}
	if !c.active {
		c.server.activeClients++
	}
	c.active = true
	c.awaitingAnswer = true
	c.requestID = 0
	c.clientRequestID = query.ID
	id := c.server.gateway.Accept(gateway.Request{
		ClientID: query.ID,
		Class:    class.Index, Group: query.Group, SessionKey: query.KeyID(), HasSession: query.HasKey, Write: class.Write,
		MinPosition: query.MinPosition, Deadline: cmd.receivedAt + query.Wait, Body: query, Client: c,
	})
	if c.awaitingAnswer {
		c.requestID = id
	}
}

// clearRequest records that the request in flight was answered or abandoned.
func (c *client) clearRequest() {
	c.awaitingAnswer = false
	c.requestBytes = 0
	c.updateHeldBytes()
	delete(c.server.openRequestIDs, c.clientRequestID)
}

// abandonRequest ends the request in flight without an answer.
func (c *client) abandonRequest() {
	if c.awaitingAnswer {
		c.clearRequest()
		c.server.gateway.ClientDisconnected(c.requestID)
	}
}

// answer writes the final answer of the request in flight.
func (c *client) answer(answer []byte) {
	if c.closed {
		return
	}
	if c.awaitingAnswer {
		c.clearRequest()
	}
	c.conn.Write(pgwire.AppendReadyForQuery(answer))
	c.queueTurn() // the gateway must not be called from here
}

// Serve implements gateway.Client.
func (c *client) Serve(value []byte) { c.answer(value) }

// Reject implements gateway.Client.
func (c *client) Reject(retryAfter int64) { c.answer(rejection(retryAfter)) }

// rejection returns an error that allows a retry. Its detail is the time to retry after in milliseconds, rounded up.
func rejection(retryAfter int64) []byte {
	response := pgwire.ErrorResponse{
		Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "refused; trying again is harmless",
	}
	if retryAfter > 0 {
		response.Detail = strconv.FormatInt((retryAfter+999)/1000, 10)
	}
	return pgwire.AppendError(nil, response)
}

// Fail implements gateway.Client.
func (c *client) Fail() {
	c.answer(errorResponse(pgwire.CodeSystemError, "no host has answered; the statement may have run"))
}

// Disconnected implements gateway.Client. It checks the socket, because the event of the disconnection may still be
// queued.
func (c *client) Disconnected() bool { return c.closed || c.conn.PeerClosed() }

// failQuery answers a query that can't be accepted with an error. The connection stays open.
func (c *client) failQuery(code, message string) {
	c.conn.Write(pgwire.AppendReadyForQuery(errorResponse(code, message)))
}

// failConnection sends a fatal error and ends the connection.
func (c *client) failConnection(code, message string) {
	c.conn.Write(pgwire.AppendError(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: code, Message: message}))
	c.terminate()
}

func errorResponse(code, message string) []byte {
	return pgwire.AppendError(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}
