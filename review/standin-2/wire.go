package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
)

// message is one message of PostgreSQL's wire protocol, version 3.
type message struct {
	kind byte
	body []byte
}

func appendMessage(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

func readMessage(r *bufio.Reader) (message, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message{}, err
	}
	length := binary.BigEndian.Uint32(head[1:])
	if length < 4 || length > 16<<20 {
		return message{}, fmt.Errorf("message %q has the length %d", head[0], length)
	}
	body := make([]byte, length-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return message{}, err
	}
	return message{head[0], body}, nil
}

// readStartup reads the startup message, which has no type byte.
func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 8 || length > 10000 {
		return fmt.Errorf("startup of %d bytes", length)
	}
	_, err := io.CopyN(io.Discard, r, int64(length-4))
	return err
}

func startupMessage() []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00worker\x00database\x00catalog\x00\x00"...)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))
	return append(b, body...)
}

func queryMessage(text string) []byte { return appendMessage(nil, 'Q', append([]byte(text), 0)) }

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', []byte(name+"\x00"+value+"\x00"))
}

func appendReady(b []byte) []byte { return appendMessage(b, 'Z', []byte{'I'}) }

// appendRow appends a row description, a row of one binary column, and the completion.
func appendRow(b []byte, column string, value []byte) []byte {
	description := binary.BigEndian.AppendUint16(nil, 1)
	description = append(description, column...)
	description = append(description, 0)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	b = appendMessage(b, 'T', description)
	row := binary.BigEndian.AppendUint16(nil, 1)
	row = binary.BigEndian.AppendUint32(row, uint32(len(value)))
	b = appendMessage(b, 'D', append(row, value...))
	return appendMessage(b, 'C', []byte("SELECT 1\x00"))
}

func appendError(b []byte, severity, code, text string) []byte {
	return appendMessage(b, 'E', []byte("S"+severity+"\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// errorCode returns the SQLSTATE in the body of an ErrorResponse.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			return field[1:]
		}
	}
	return "?"
}

// commentValue returns a value of the comment in front of a statement.
func commentValue(text, name string) string {
	_, rest, _ := strings.Cut(text, "/*")
	comment, _, _ := strings.Cut(rest, "*/")
	for _, pair := range strings.Split(comment, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if key == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// quotedKey returns the first quoted literal of the statement.
func quotedKey(text string) string {
	_, rest, _ := strings.Cut(text, "'")
	key, _, _ := strings.Cut(rest, "'")
	return key
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
