package main

import (
	"bufio"
	"net"
	"time"
)

// crossing is the time before the end of a connection in which a request may have crossed the end.
const crossing = 100 * time.Millisecond

// answer is what a client got for one query.
type answer struct {
	kind  string // served, refused, failed, empty, none
	code  string // of an error
	value []byte
	first time.Time // of the first byte
	at    time.Time // of the last byte
}

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(startupMessage()); err != nil {
		c.close()
		return nil, err
	}
	for {
		m, err := readMessage(c.reader)
		if err != nil {
			c.close()
			return nil, err
		}
		if m.kind == 'Z' {
			_ = conn.SetDeadline(time.Time{})
			return c, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(text string) error {
	_, err := c.conn.Write(queryMessage(text))
	return err
}

// receive reads the answer to the next query in order. An answer of the kind none means that the connection ended.
func (c *client) receive() answer {
	var a answer
	for {
		m, err := readMessage(c.reader)
		a.at = time.Now()
		if err != nil {
			if a.kind == "failed" || a.kind == "refused" { // no ReadyForQuery is needed after a fatal error
				return a
			}
			return answer{kind: "none", code: err.Error(), at: a.at}
		}
		if a.first.IsZero() {
			a.first = a.at
		}
		switch m.kind {
		case 'D':
			a.value = m.body[6:]
		case 'C':
			a.kind = "served"
		case 'I':
			a.kind = "empty"
		case 'E':
			a.code = errorCode(m.body)
			a.kind = "failed"
			if a.code == "53300" || a.code == "57P03" {
				a.kind = "refused"
			}
		case 'Z':
			return a
		}
	}
}

func (c *client) do(text string) answer {
	if err := c.send(text); err != nil {
		return answer{kind: "none", code: err.Error(), at: time.Now()}
	}
	return c.receive()
}
