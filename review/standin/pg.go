package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Messages of version 3 of PostgreSQL's wire protocol, as far as simple queries need them.
// Source: PostgreSQL documentation, "Frontend/Backend Protocol".

const protocolVersion = 196608

func message(kind byte, body []byte) []byte {
	b := make([]byte, 5, 5+len(body))
	b[0] = kind
	binary.BigEndian.PutUint32(b[1:], uint32(len(body)+4))
	return append(b, body...)
}

func startupMessage() []byte {
	body := binary.BigEndian.AppendUint32(nil, protocolVersion)
	body = append(body, "user\x00worker\x00database\x00catalog\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func queryMessage(text string) []byte { return message('Q', append([]byte(text), 0)) }

func parameterStatus(name, value string) []byte {
	return message('S', []byte(name+"\x00"+value+"\x00"))
}

func readyForQuery() []byte { return message('Z', []byte{'I'}) }

func errorMessage(severity, code, text string) []byte {
	return message('E', []byte("S"+severity+"\x00V"+severity+"\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// rowAnswer returns a row description of one binary column, the row and the completion.
func rowAnswer(value []byte, tag string) []byte {
	description := []byte{0, 1}
	description = append(description, "body\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0) // table, column
	description = binary.BigEndian.AppendUint32(description, 17)
	description = append(description, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1) // size, modifier, binary
	row := []byte{0, 1}
	row = binary.BigEndian.AppendUint32(row, uint32(len(value)))
	row = append(row, value...)
	b := message('T', description)
	b = append(b, message('D', row)...)
	return append(b, message('C', []byte(tag+"\x00"))...)
}

type wireMessage struct {
	kind byte
	body []byte
}

const maxMessage = 4 << 20

func readMessage(r *bufio.Reader) (wireMessage, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return wireMessage{}, err
	}
	length := binary.BigEndian.Uint32(head[1:])
	if length < 4 || length > maxMessage {
		return wireMessage{}, fmt.Errorf("message %q has the length %d", head[0], length)
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(r, body)
	return wireMessage{head[0], body}, err
}

func readStartup(r *bufio.Reader) error {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 8 || length > 10000 || binary.BigEndian.Uint32(head[4:]) != protocolVersion {
		return errors.New("not a startup message")
	}
	_, err := io.CopyN(io.Discard, r, int64(length)-8)
	return err
}

// statement is a query with the values of its comment.
type statement struct {
	id, class, wait, after, cluster string
	write                           bool
	oid                             string
	body                            string // of a write, as hexadecimal digits
}

func parseStatement(text string) (statement, error) {
	var s statement
	comment, rest, ok := strings.Cut(strings.TrimPrefix(text, "/*"), "*/")
	if !ok || !strings.HasPrefix(text, "/*") {
		return s, errors.New("no comment")
	}
	for pair := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "d":
			s.wait = value
		case "after":
			s.after = value
		case "cluster":
			s.cluster = value
		}
	}
	quoted := strings.Split(rest, "'")
	switch {
	case strings.HasPrefix(rest, " SELECT body FROM objects WHERE oid = '") && len(quoted) == 3:
		s.oid = quoted[1]
	case strings.HasPrefix(rest, " INSERT INTO objects (oid, body) VALUES ('") && len(quoted) == 5:
		s.write = true
		s.oid = quoted[1]
		s.body = strings.TrimPrefix(quoted[3], "\\x")
	default:
		return s, errors.New("a statement in a form that no client sends")
	}
	return s, nil
}
