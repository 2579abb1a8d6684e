// Package pgwire parses and encodes the messages of version 3 of PostgreSQL's wire protocol that simple
// queries need, and the comment that heads a query. It does no I/O; all sizes are bounded.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

const (
	// MaxStartup bounds a startup message.
	MaxStartup = 10_000
	// MaxMessage bounds any other. Values have 64 KiB at most by the protocol, but some of 400 KB were seen; who
	// takes in messages bounds them together, too.
	MaxMessage = 1 << 20

	// MaxValue bounds a value that a host returns.
	MaxValue = MaxMessage - 64

	// ProtocolVersion is 3.0.
	ProtocolVersion = 3 << 16
	// Codes that a client may send in place of a version.
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSENCRequest = 80877104
)

// SQLSTATE codes.
const (
	CodeTooManyConnections = "53300"
	CodeCannotConnectNow   = "57P03"
	CodeProtocolViolation  = "08P01"
	CodeNotSupported       = "0A000"
	CodeSyntaxError        = "42601"
	CodeTooLarge           = "54000"
	CodeSystemError        = "58000"
	CodeReadOnly           = "25006"
	CodeSnapshotTooOld     = "72000"
	CodeQueryCanceled      = "57014"
)

// ErrLength marks a message whose length cannot be right; the framing is lost.
var ErrLength = errors.New("invalid message length")

// ErrTooLarge marks a message over the bound; the framing is lost.
var ErrTooLarge = errors.New("message too large")

// Message is one typed message.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // the whole of it, as it came
}

// Next cuts the first message off b. It returns what is left, and false if the message is not whole yet.
func Next(b []byte) (m Message, rest []byte, ok bool, err error) {
	if len(b) < 5 {
		return m, b, false, nil
	}
	n := binary.BigEndian.Uint32(b[1:])
	if n < 4 {
		return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrLength)
	}
	if n > MaxMessage {
		return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrTooLarge)
	}
	if len(b) < int(n)+1 {
		return m, b, false, nil
	}
	return Message{Type: b[0], Body: b[5 : n+1], Raw: b[:n+1]}, b[n+1:], true, nil
}

// hostSizes are the least and the most that the length of a host's messages may say. A host that sends
// anything else, or a length that its message can't have, sends nonsense, and is not waited for until it is whole.
var hostSizes = map[byte][2]uint32{
	'R': {8, 64}, 'K': {8, 1 << 10}, 'v': {12, 1 << 10}, 'S': {6, 4 << 10}, 'N': {5, 8 << 10}, 'A': {10, 8 << 10},
	'T': {6, 1 << 10}, 'D': {6, MaxValue + 10}, 'C': {5, 64}, 'I': {4, 4}, 'E': {5, 8 << 10}, 'Z': {5, 5},
}

// NextHost is Next for what comes from a host: it fails as soon as the bytes can't become a message.
func NextHost(b []byte) (m Message, rest []byte, ok bool, err error) {
	if len(b) == 0 {
		return m, b, false, nil
	}
	size, known := hostSizes[b[0]]
	if !known {
		return m, b, false, fmt.Errorf("unknown message %q", b[0])
	}
	if len(b) >= 5 {
		n := binary.BigEndian.Uint32(b[1:])
		if n < size[0] || n > size[1] {
			return m, b, false, fmt.Errorf("message %q: %w", b[0], ErrLength)
		}
		if b[0] == 'D' && len(b) >= 11 && (Columns(b[5:]) != 1 || uint64(binary.BigEndian.Uint32(b[7:]))+10 != uint64(n)) {
			return m, b, false, fmt.Errorf("message %q: not one column that fills it", b[0])
		}
	}
	return Next(b)
}

// Startup is the first message of a connection.
type Startup struct {
	Code   uint32 // the protocol's version, or a request's code
	Params map[string]string
	PID    uint32 // CancelRequest: whose request is to end
	Secret [4]byte
}

// NextStartup cuts a startup message off b, like Next.
func NextStartup(b []byte) (s Startup, rest []byte, ok bool, err error) {
	if len(b) < 8 {
		return s, b, false, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n < 8 {
		return s, b, false, fmt.Errorf("startup: %w", ErrLength)
	}
	if n > MaxStartup {
		return s, b, false, fmt.Errorf("startup: %w", ErrTooLarge)
	}
	if len(b) < int(n) {
		return s, b, false, nil
	}
	s.Code, s.Params = binary.BigEndian.Uint32(b[4:]), map[string]string{}
	if s.Code == CancelRequest {
		if n != 16 {
			return s, b, false, fmt.Errorf("cancel request: %w", ErrLength)
		}
		s.PID, s.Secret = binary.BigEndian.Uint32(b[8:]), [4]byte(b[12:])
		return s, b[n:], true, nil
	}
	for body := b[8:n]; len(body) > 0 && body[0] != 0; {
		var name, value string
		var whole bool
		if name, body, whole = CString(body); whole {
			value, body, whole = CString(body)
		}
		if !whole {
			return s, b, false, errors.New("startup: parameters not terminated")
		}
		s.Params[name] = value
	}
	return s, b[n:], true, nil
}

// CString cuts a string that ends in a zero byte off b.
func CString(b []byte) (s string, rest []byte, ok bool) {
	for i, ch := range b {
		if ch == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", b, false
}

// begin appends a message's type and room for its length; end fills the length in.
func begin(b []byte, typ byte) ([]byte, int) { return append(b, typ, 0, 0, 0, 0), len(b) + 1 }

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func cstring(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendStartup appends a startup message with pairs of names and values.
func AppendStartup(b []byte, pairs ...string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion)
	for _, s := range pairs {
		b = cstring(b, s)
	}
	return end(append(b, 0), at)
}

// AppendQuery appends a simple query.
func AppendQuery(b []byte, sql string) []byte {
	b, at := begin(b, 'Q')
	return end(cstring(b, sql), at)
}

// AppendTerminate appends the message with which a client takes its leave.
func AppendTerminate(b []byte) []byte {
	b, at := begin(b, 'X')
	return end(b, at)
}

// AppendAuthenticationOk welcomes a client without a password.
func AppendAuthenticationOk(b []byte) []byte {
	b, at := begin(b, 'R')
	return end(append(b, 0, 0, 0, 0), at)
}

// AppendNegotiate tells a client that asked for a newer minor version that 3.0 is spoken.
func AppendNegotiate(b []byte) []byte {
	b, at := begin(b, 'v')
	return end(append(b, 0, 0, 0, 0, 0, 0, 0, 0), at)
}

// AppendParameterStatus appends a setting's value.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := begin(b, 'S')
	return end(cstring(cstring(b, name), value), at)
}

// AppendBackendKeyData tells by which number and secret a request of this connection may be cancelled.
func AppendBackendKeyData(b []byte, pid uint32, secret [4]byte) []byte {
	b, at := begin(b, 'K')
	return end(append(binary.BigEndian.AppendUint32(b, pid), secret[:]...), at)
}

// AppendReadyForQuery appends the end of an answer, outside any transaction.
func AppendReadyForQuery(b []byte) []byte {
	b, at := begin(b, 'Z')
	return end(append(b, 'I'), at)
}

// AppendEmptyQuery appends the answer to an empty query.
func AppendEmptyQuery(b []byte) []byte {
	b, at := begin(b, 'I')
	return end(b, at)
}

// AppendCommandComplete appends the end of a statement.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, at := begin(b, 'C')
	return end(cstring(b, tag), at)
}

// AppendRow appends the description of a single text column and one row of it.
func AppendRow(b []byte, column, value string) []byte {
	b, at := begin(b, 'T')
	b = cstring(append(b, 0, 1), column)
	b = end(append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0), at)
	b, at = begin(b, 'D')
	b = binary.BigEndian.AppendUint32(append(b, 0, 1), uint32(len(value)))
	return end(append(b, value...), at)
}

// Error is what an ErrorResponse says.
type Error struct{ Severity, Code, Message, Detail string }

// AppendError appends an ErrorResponse.
func AppendError(b []byte, e Error) []byte {
	b, at := begin(b, 'E')
	for _, f := range [...]struct {
		field byte
		value string
	}{{'S', e.Severity}, {'V', e.Severity}, {'C', e.Code}, {'M', e.Message}, {'D', e.Detail}} {
		if f.value != "" {
			b = cstring(append(b, f.field), f.value)
		}
	}
	return end(append(b, 0), at)
}

// ParseError reads the body of an ErrorResponse; fields that it does not know are skipped. It tells whether the
// body is whole, names a code of five characters and has nothing behind its end.
func ParseError(body []byte) (e Error, whole bool) {
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		value, rest, ok := CString(body[1:])
		if !ok {
			return e, false
		}
		switch field {
		case 'S':
			e.Severity = value
		case 'C':
			e.Code = value
		case 'M':
			e.Message = value
		case 'D':
			e.Detail = value
		}
		body = rest
	}
	return e, len(body) == 1 && len(e.Code) == 5 && e.Severity != ""
}

// Columns is the number of columns in the body of a RowDescription or DataRow; -1 if there is none.
func Columns(body []byte) int {
	if len(body) < 2 {
		return -1
	}
	return int(binary.BigEndian.Uint16(body))
}

// OneColumn tells whether the body of a RowDescription describes one column and nothing else.
func OneColumn(body []byte) bool {
	if Columns(body) != 1 {
		return false
	}
	_, rest, ok := CString(body[2:])
	return ok && len(rest) == 18
}

// OnlyColumn is the value of a DataRow that has one column, which fills it.
func OnlyColumn(body []byte) ([]byte, bool) {
	if Columns(body) != 1 || len(body) < 6 {
		return nil, false
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	return body[6:], n >= 0 && int(n) == len(body)-6
}

// Decimal reads a decimal number without a sign as a whole number of units of 10^-scale, rounded down or up.
func Decimal(s string, scale int, up bool) (int64, error) {
	var n int64
	digits, point, more := 0, -1, false
	for i := 0; i < len(s); i++ {
		switch ch := s[i]; {
		case ch == '.' && point < 0:
			point = 0
		case ch < '0' || ch > '9' || digits > 17:
			return 0, fmt.Errorf("bad number %s", strconv.Quote(s))
		case point >= scale:
			more = more || ch != '0'
		default:
			n = n*10 + int64(ch-'0')
			digits++
			if point >= 0 {
				point++
			}
		}
	}
	if digits == 0 {
		return 0, fmt.Errorf("bad number %s", strconv.Quote(s))
	}
	for point = max(point, 0); point < scale; point++ {
		if digits++; digits > 18 {
			return 0, fmt.Errorf("number %s too large", strconv.Quote(s))
		}
		n *= 10
	}
	if more && up {
		n++
	}
	return n, nil
}
