package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"cloverrock/internal/pgwire"
)

// ErrNoAnswerOnNewConnection reports that a new connection was refused, or was closed before its first answer. It counts as a
// rejection.
var ErrNoAnswerOnNewConnection = fmt.Errorf("%w: no complete answer on a new connection", ErrRejected)

// closeRaceWindow is the race window after a request was written on an idle connection. If the gateway closes the
// connection within it, the gateway may not have read the request. If it closes the connection later, it had read it.
const closeRaceWindow = 100 * time.Millisecond

// sessionWriteAge is the age that each session read states for the last write of its session.
const sessionWriteAge = 300 * time.Millisecond

// clientConnection is a client's connection to a gateway.
type clientConnection struct {
	net.Conn
	gateway int
	sentAt  time.Time // when the last request was sent
}

// dial opens a connection and waits until the gateway is ready for queries.
func dial(address string, gateway int, deadline time.Time) (*clientConnection, error) {
	connection, err := net.DialTimeout("tcp4", address, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	c := &clientConnection{Conn: connection, gateway: gateway}
	_ = c.SetDeadline(deadline) // fails only on a closed connection, on which the write fails as well
	if _, err = c.Write(pgwire.AppendStartup(nil, "user", "lab", "database", "lab")); err == nil {
		err = readUntilReady(bufio.NewReaderSize(c, 512))
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *clientConnection) close() {
	_ = c.Close() // the connection is not used again, whether or not this fails
}

// isOpen reports whether an idle connection is still open. If the gateway has closed it, isOpen closes this
// side as well.
func (c *clientConnection) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Microsecond)) // as in dial
	var one [1]byte
	if _, err := c.Read(one[:]); err != nil && !isTimeout(err) {
		c.close()
		return false
	}
	return true
}

// closedBeforeRead reports whether the error of a request on an idle connection means that the gateway had closed the
// connection before it read the request.
func (c *clientConnection) closedBeforeRead(err error) bool {
	return !isTimeout(err) && time.Since(c.sentAt) < closeRaceWindow
}

// query sends a request and waits for its answer until slack after the deadline of the request.
func (c *clientConnection) query(req request, slack time.Duration) error {
	_ = c.SetDeadline(req.deadline.Add(slack)) // as in dial
	text := req.text()
	c.sentAt = time.Now()
	if _, err := c.Write(pgwire.AppendQuery(nil, text)); err != nil {
		return err
	}
	return readUntilReady(bufio.NewReader(c))
}

// text returns the statement of a request, preceded by the comment that describes the request to the gateway.
func (r request) text() string {
	comment := fmt.Sprintf("id=%d,c=%s,d=%d,cluster=%d",
		r.id, r.class.Name, time.Until(r.deadline).Milliseconds(), r.group)
	if r.class.Session {
		comment += fmt.Sprintf(",after=%d", time.Now().Add(-sessionWriteAge).UnixMilli())
	}
	statement := "SELECT body FROM objects WHERE oid = 'k'"
	if r.class.Write {
		statement = "INSERT INTO objects (oid, body) VALUES ('k', 'v') RETURNING body"
	}
	return "/* " + comment + " */ " + statement
}

// newConnectionError converts the error of a request that got no answer on a new connection: all errors except timeouts
// become ErrNoAnswerOnNewConnection.
func newConnectionError(err error) error {
	if isTimeout(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoAnswerOnNewConnection, err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readUntilReady reads up to the next ReadyForQuery message. It returns ErrRejected if an error message came before it.
func readUntilReady(reader *bufio.Reader) error {
	var rejected error
	for {
		message, err := ReadMessage(reader)
		switch {
		case err != nil:
			return err
		case message.Type == 'E':
			rejected = ErrRejected
		case message.Type == 'Z':
			return rejected
		}
	}
}
