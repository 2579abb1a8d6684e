// Package pgwire parses and encodes the messages of version 3 of PostgreSQL's wire protocol that simple queries need,
// and parses the comment at the start of a query. It does no I/O. The sizes of all messages are limited.
//
// Source: PostgreSQL documentation, "Frontend/Backend Protocol".
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits in bytes.
const (
	// MaxStartup is the maximum size of a startup message.
	MaxStartup = 10_000
	// MaxMessage is the maximum size of any other message. Callers that hold messages of many connections must also
	// limit their total size.
	MaxMessage = 1 << 20
	// MaxValue is the maximum size of a value that a host returns.
	MaxValue = MaxMessage - 64
)

const (
	lengthSize = 4              // of the length field, which includes its own size
	headerSize = 1 + lengthSize // of type and length
)

// Errors of Next, NextHost and NextStartup. After any of them, the start of the next message is unknown.
var (
	ErrLength        = errors.New("invalid message length")
	ErrTooLarge      = errors.New("message too large")
	ErrUnknownType   = errors.New("unknown message")
	ErrNotOneColumn  = errors.New("not one column that fills it")
	ErrNotTerminated = errors.New("parameters not terminated")
)

// Message is one typed message.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // header and body, as received
}

// Next splits the first message off b and returns the rest. complete is false if the message is still incomplete.
func Next(b []byte) (m Message, rest []byte, complete bool, err error) {
	if len(b) < headerSize {
		return m, b, false, nil
	}
	length := binary.BigEndian.Uint32(b[1:])
	if length < lengthSize {
		return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrLength)
	}
	if length > MaxMessage {
		return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrTooLarge)
	}
	end := int(length) + 1
	if len(b) < end {
		return m, b, false, nil
	}
	return Message{Type: b[0], Body: b[headerSize:end], Raw: b[:end]}, b[end:], true, nil
}

// hostLengths holds the limits of the length field of each message that a host may send. A message outside its limits is
// rejected at once, before the rest of it has arrived.
var hostLengths = map[byte]struct{ least, most uint32 }{
	MsgAuthentication:       {8, 64},
	MsgBackendKeyData:       {8, 1 << 10},
	MsgNegotiateVersion:     {12, 1 << 10},
	MsgParameterStatus:      {6, 4 << 10},
	MsgNoticeResponse:       {5, 8 << 10},
	MsgNotificationResponse: {10, 8 << 10},
	MsgRowDescription:       {6, 1 << 10},
	MsgDataRow:              {lengthSize + columnCountSize, MaxValue + dataRowOverhead},
	MsgCommandComplete:      {5, 64},
	MsgEmptyQueryResponse:   {4, 4},
	MsgErrorResponse:        {5, 8 << 10},
	MsgReadyForQuery:        {5, 5},
}

// NextHost is Next for messages of a host. It fails as soon as the bytes cannot be the start of a message that a host
// may send.
func NextHost(b []byte) (m Message, rest []byte, complete bool, err error) {
	if len(b) == 0 {
		return m, b, false, nil
	}
	bounds, known := hostLengths[b[0]]
	if !known {
		return m, b, false, fmt.Errorf("%w %q", ErrUnknownType, b[0])
	}
	if len(b) >= headerSize {
		length := binary.BigEndian.Uint32(b[1:])
		if length < bounds.least || length > bounds.most {
			return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrLength)
		}
		if b[0] == MsgDataRow && !mayBeOnlyColumn(b[headerSize:], length) {
			return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrNotOneColumn)
		}
	}
	return Next(b)
}

// CString splits a zero-terminated string off b.
func CString(b []byte) (s string, rest []byte, ok bool) {
	for i, ch := range b {
		if ch == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", b, false
}
