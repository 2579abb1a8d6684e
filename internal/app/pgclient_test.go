package app

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"cloverrock/internal/pgwire"
)

// pgClient is a PostgreSQL client that is connected to the gateway.
type pgClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c *pgClient) write(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

func (c *pgClient) query(text string) {
	c.t.Helper()
	c.write(pgwire.AppendQuery(nil, text))
}

// answer reads messages until ReadyForQuery or until the gateway closes the connection, and returns a summary of them.
func (c *pgClient) answer() string {
	c.t.Helper()
	var got []string
	for {
		m, err := readMessage(c.reader)
		if errors.Is(err, io.EOF) {
			return strings.Join(append(got, "closed"), " ")
		}
		if err != nil {
			c.t.Fatal(err)
		}
		switch m.Type {
		case 'D':
			value, _ := pgwire.OnlyColumn(m.Body) // a faulty row yields no value, which fails the test's comparison
			got = append(got, "value", string(value))
		case 'I':
			got = append(got, "empty")
		case 'E':
			e, _ := pgwire.ParseError(m.Body) // a faulty error yields no code, which fails the test's comparison
			got = append(got, "error", e.Code)
			if e.Detail != "" {
				got = append(got, "after", e.Detail)
			}
		case 'Z':
			return strings.Join(got, " ")
		}
	}
}

// cancelKey reads the answer to the startup and returns the process number and the secret for cancel requests.
func (c *pgClient) cancelKey() (key []byte) {
	c.t.Helper()
	for {
		m, err := readMessage(c.reader)
		if err != nil {
			c.t.Fatal(err)
		}
		switch m.Type {
		case 'K':
			key = bytes.Clone(m.Body)
		case 'Z':
			return key
		}
	}
}

// wantDisconnected waits until the gateway has closed the connection. A client that is still sending may receive a
// reset, which discards the gateway's last messages, so the messages are not checked.
func (c *pgClient) wantDisconnected() {
	c.t.Helper()
	if _, err := io.Copy(io.Discard, c.reader); errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatal("the gateway did not close the connection")
	}
}

// close closes the connection without a Terminate message.
func (c *pgClient) close() {
	c.t.Helper()
	if err := c.conn.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// want fails the test unless the next answer is the given one.
func (c *pgClient) want(answer string) {
	c.t.Helper()
	if got := c.answer(); got != answer {
		c.t.Fatalf("answered %q, want %q", got, answer)
	}
}
