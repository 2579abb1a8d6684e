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

// pgClient is a client of the gateway.
type pgClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (cl *pgClient) write(b []byte) {
	cl.t.Helper()
	if _, err := cl.conn.Write(b); err != nil {
		cl.t.Fatal(err)
	}
}

func (cl *pgClient) query(text string) { cl.t.Helper(); cl.write(pgwire.AppendQuery(nil, text)) }

// answer reads until the gateway is ready, or closes, and puts what came into words.
func (cl *pgClient) answer() string {
	cl.t.Helper()
	var got []string
	for {
		m, err := readMessage(cl.reader)
		if err == io.EOF {
			return strings.Join(append(got, "closed"), " ")
		}
		if err != nil {
			cl.t.Fatal(err)
		}
		switch m.Type {
		case 'D':
			v, _ := pgwire.OnlyColumn(m.Body)
			got = append(got, "value", string(v))
		case 'I':
			got = append(got, "empty")
		case 'E':
			e, _ := pgwire.ParseError(m.Body)
			if got = append(got, "error", e.Code); e.Detail != "" {
				got = append(got, "after", e.Detail)
			}
		case 'Z':
			return strings.Join(got, " ")
		}
	}
}

// cancelKey reads the answer to the startup and returns the number and secret by which requests are cancelled.
func (cl *pgClient) cancelKey() (key []byte) {
	cl.t.Helper()
	for {
		m, err := readMessage(cl.reader)
		if err != nil {
			cl.t.Fatal(err)
		}
		switch m.Type {
		case 'K':
			key = bytes.Clone(m.Body)
		case 'Z':
			return key
		}
	}
}

// wantEnd waits for the end. A client that went on sending may see a reset, which takes with it what was said last.
func (cl *pgClient) wantEnd() {
	cl.t.Helper()
	if _, err := io.Copy(io.Discard, cl.reader); errors.Is(err, os.ErrDeadlineExceeded) {
		cl.t.Fatal("the connection stays open")
	}
}

// want fails the test unless the next answer is the given one.
func (cl *pgClient) want(answer string) {
	cl.t.Helper()
	if got := cl.answer(); got != answer {
		cl.t.Fatalf("answered %q, want %q", got, answer)
	}
}
