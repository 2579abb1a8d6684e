package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one client connection to a gateway.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// reply is the final answer of a request.
type reply struct {
	value  []byte
	served bool
	code   string // of an error
	fatal  bool
	text   string
}

func (r reply) String() string {
	if r.served {
		return fmt.Sprintf("served %.40q", r.value)
	}
	return fmt.Sprintf("error %s (%s)", r.code, r.text)
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	if _, err := conn.Write(startupMessage()); err != nil {
		c.close()
		return nil, err
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		m, err := readMessage(c.r)
		if err != nil {
			c.close()
			return nil, err
		}
		if m.kind == 'Z' {
			return c, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(text string) error {
	_, err := c.conn.Write(queryMessage(text))
	return err
}

// receive reads the next final answer.
func (c *client) receive(limit time.Duration) (reply, error) {
	var answer reply
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	for {
		m, err := readMessage(c.r)
		if err != nil {
			if answer.code != "" { // no ReadyForQuery is needed after a fatal error
				return answer, nil
			}
			return answer, err
		}
		switch m.kind {
		case 'D':
			if len(m.body) < 6 {
				return answer, errors.New("short row")
			}
			answer.value = m.body[6:]
		case 'C':
			answer.served = true
		case 'I':
			answer.served = true
		case 'E':
			for field := range strings.SplitSeq(string(m.body), "\x00") {
				switch {
				case strings.HasPrefix(field, "C"):
					answer.code = field[1:]
				case strings.HasPrefix(field, "M"):
					answer.text = field[1:]
				case strings.HasPrefix(field, "S"):
					answer.fatal = field[1:] == "FATAL"
				}
			}
			if answer.fatal {
				return answer, nil
			}
		case 'Z':
			return answer, nil
		}
	}
}

func (c *client) query(text string, limit time.Duration) (reply, error) {
	if err := c.send(text); err != nil {
		return reply{}, err
	}
	return c.receive(limit)
}

func readText(id, class, oid string, waitMS, cluster int, after int64) string {
	position := ""
	if after != 0 {
		position = fmt.Sprintf(",after=%d", after)
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ SELECT body FROM objects WHERE oid = '%s'",
		id, class, waitMS, cluster, position, oid)
}

func writeText(id, class, oid string, value []byte, waitMS, cluster int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO objects (oid, body) VALUES ('%s', '\\x%x') RETURNING body",
		id, class, waitMS, cluster, oid, value)
}
