package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"cloverrock/balance"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// Names and values by which hosts report their state.
const (
	healthCheckQuery = "SHOW vitals"

	parameterRole     = "rank"
	parameterPosition = "as_of"  // milliseconds since 1970
	parameterReport   = "vitals" // pairs of names and values, separated by commas

	rolePrimary = "source"
	roleReplica = "copy"

	reportPosition = "x0" // seconds since 1970
	reportPrimary  = "x1" // 1 for a primary, 0 for a replica
)

// maxPositionLead is how far ahead of this gateway's clock a log position may lie, in microseconds. Hosts and gateways
// use the same clock, so a position further ahead is invalid. If it were accepted, a replica would count as up to date
// whatever its real position.
const maxPositionLead = 1e6

// decimalsOfMicros is the scale at which a number of milliseconds is read as one of microseconds.
const decimalsOfMicros = 3

// authenticationOk is the body of an Authentication message that requires no password.
const authenticationOk = "\x00\x00\x00\x00"

var (
	errUnexpectedMessage = errors.New("not allowed in this state of the connection")
	errMalformedMessage  = errors.New("malformed")
)

// answer holds the messages received so far in answer to the attempt in flight.
type answer struct {
	raw         []byte                // row description, row and completion, as received
	lastMessage byte                  // type of the latest message of the answer; 0 if none was received
	value       []byte                // the only column of the row
	hostError   *pgwire.ErrorResponse // nil if the host has sent no error
	role        string                // role that the host reported
	position    string                // log position that the host reported
	report      string                // state that the host reported
}

// complete reports whether only ReadyForQuery is missing.
func (a *answer) complete() bool {
	switch a.lastMessage {
	case pgwire.MsgCommandComplete, pgwire.MsgErrorResponse, pgwire.MsgEmptyQueryResponse:
		return true
	}
	return false
}

// precedingMessage maps each message of a result to the one that must come directly before it; 0 means none.
var precedingMessage = map[byte]byte{
	pgwire.MsgRowDescription:     0,
	pgwire.MsgDataRow:            pgwire.MsgRowDescription,
	pgwire.MsgCommandComplete:    pgwire.MsgDataRow,
	pgwire.MsgEmptyQueryResponse: 0,
}

// handleMessage handles one message; moreData reports whether further data of the host has been received after it.
func (c *conn) handleMessage(message pgwire.Message, moreData bool) error {
	before := c.answer.lastMessage
	if err := c.dispatchMessage(message, moreData); err != nil {
		return fmt.Errorf("message %q after %q: %w", message.Type, before, err)
	}
	return nil
}

func (c *conn) dispatchMessage(message pgwire.Message, moreData bool) error {
	switch message.Type {
	case pgwire.MsgRowDescription, pgwire.MsgDataRow, pgwire.MsgCommandComplete, pgwire.MsgEmptyQueryResponse:
		return c.handleResult(message)
	case pgwire.MsgErrorResponse:
		return c.handleError(message, moreData)
	case pgwire.MsgParameterStatus:
		c.answer.setParameter(message.Body)
	case pgwire.MsgAuthentication:
		if c.state != dialing || string(message.Body) != authenticationOk {
			return errUnexpectedMessage
		}
	case pgwire.MsgReadyForQuery:
		outsideTransaction := message.Body[0] == 'I'
		if !outsideTransaction || c.state == busy && !c.answer.complete() {
			return errUnexpectedMessage
		}
		c.ready(moreData)
	case pgwire.MsgBackendKeyData, pgwire.MsgNegotiateVersion:
		if c.state != dialing {
			return errUnexpectedMessage
		}
	}
	return nil // notices, notifications and other messages are ignored
}

// handleResult handles a message of an answer's result, which is a single row.
func (c *conn) handleResult(message pgwire.Message) error {
	a := &c.answer
	if c.state != busy || a.lastMessage != precedingMessage[message.Type] {
		return errUnexpectedMessage
	}
	valid := true
	switch message.Type {
	case pgwire.MsgRowDescription:
		valid = pgwire.HasOneColumn(message.Body)
	case pgwire.MsgDataRow:
		a.value, valid = pgwire.OnlyColumn(message.Body)
	case pgwire.MsgCommandComplete:
		valid = bytes.IndexByte(message.Body, 0) == len(message.Body)-1
	}
	if !valid {
		return errMalformedMessage
	}
	a.lastMessage = message.Type
	a.raw = append(a.raw, message.Raw...)
	return nil
}

func (c *conn) handleError(message pgwire.Message, moreData bool) error {
	hostError, valid := pgwire.ParseError(message.Body)
	if !valid {
		return errMalformedMessage
	}
	if c.answer.complete() {
		return errUnexpectedMessage
	}
	c.answer.lastMessage = pgwire.MsgErrorResponse
	c.answer.hostError = &hostError
	if hostError.Severity != "FATAL" && hostError.Severity != "PANIC" {
		return nil
	}
	// The host closes the connection after a fatal error, so no data may follow.
	if moreData && c.state == busy {
		return errUnexpectedMessage
	}
	c.end(c.outcome())
	return nil
}

// setParameter reads the body of a ParameterStatus. A malformed one is ignored.
func (a *answer) setParameter(body []byte) {
	name, rest, ok := pgwire.CString(body)
	if !ok {
		return
	}
	value, rest, ok := pgwire.CString(rest)
	if !ok || len(rest) > 0 {
		return
	}
	switch name {
	case parameterRole:
		a.role = value
	case parameterPosition:
		a.position = value
	case parameterReport:
		a.report = value
	}
}

// outcome returns the outcome of a complete answer.
func (c *conn) outcome() gateway.Outcome {
	a := &c.answer
	latest := c.pool.loop.Now() + maxPositionLead
	outcome := gateway.Outcome{
		Result:   c.answerResult(),
		Role:     a.reportedRole(),
		Position: c.reportedPosition(latest),
		Report:   parseReport(a.report, latest),
	}
	if outcome.Result != balance.Succeeded {
		return outcome
	}
	outcome.Value = a.raw
	if c.attempt != nil && c.attempt.healthCheck {
		outcome.Report = parseReport(string(a.value), latest)
	}
	return outcome
}

// reportedRole returns the role in an answer's status; balance.RoleUnknown if there is none.
func (a *answer) reportedRole() balance.Role {
	switch a.role {
	case rolePrimary:
		return balance.Primary
	case roleReplica:
		return balance.Replica
	}
	return balance.RoleUnknown
}

// reportedPosition returns the log position in an answer's status, in microseconds since 1970; 0 if there is none, if it
// cannot be read, or if it is after latest. The position in a write's answer is that of its commit. It is rounded up, so
// that a host whose position is at least as high has certainly applied the commit.
func (c *conn) reportedPosition(latest int64) int64 {
	isCommit := c.attempt != nil && c.attempt.Write && c.answer.hostError == nil
	position, err := pgwire.ParseDecimal(c.answer.position, decimalsOfMicros, isCommit)
	if err != nil || position > latest {
		return 0
	}
	return position
}

// answerResult returns the result of a complete answer.
func (c *conn) answerResult() balance.Result {
	a := &c.answer
	if a.hostError == nil {
		if a.lastMessage == pgwire.MsgCommandComplete {
			return balance.Succeeded
		}
		c.pool.log.Warn().Str("host", c.host.id).Msg("backend: host answered without a row, attempt failed")
		return balance.Failed
	}
	result := resultOfError(a.hostError.Code)
	if result != balance.Failed {
		return result
	}
	c.pool.log.Warn().Str("host", c.host.id).Str("code", a.hostError.Code).Str("text", a.hostError.Message).
		Msg("backend: host answered with an error")
	if c.state == dialing {
		return balance.ConnectionRefused // no request was sent yet
	}
	return balance.Failed
}

// resultOfError returns the result that corresponds to an error code of a host.
func resultOfError(code string) balance.Result {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeSnapshotTooOld:
		return balance.NotPrimary
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return balance.Overloaded
	}
	return balance.Failed
}

// parseReport parses the names and values of a host's report. Unknown names are ignored. A report is ignored as a whole
// if any part is malformed or its position is after latest (microseconds since 1970).
func parseReport(text string, latest int64) (report balance.HostReport) {
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(part, "=")
		micros, err := pgwire.ParseDecimal(strings.TrimSpace(value), 6, false)
		if err != nil {
			return balance.HostReport{}
		}
		switch strings.TrimSpace(name) {
		case reportPosition:
			if micros > latest {
				return balance.HostReport{}
			}
			report.HasPosition = true
			report.Position = micros
		case reportPrimary:
			report.HasRole = true
			report.Primary = micros >= 5e5 // 0.5 or more
		}
	}
	return report
}
