package pgwire

import (
	"encoding/binary"
	"fmt"
)

const (
	// ProtocolVersion is the code of version 3.0.
	ProtocolVersion = 3 << 16

	// CancelRequest is sent in place of the version to cancel a query of another connection.
	CancelRequest = 80877102
	// SSLRequest is sent in place of the version to request TLS.
	SSLRequest = 80877103
	// GSSENCRequest is sent in place of the version to request GSSAPI encryption.
	GSSENCRequest = 80877104
)

const (
	startupHeaderSize = lengthSize + 4
	cancelRequestSize = startupHeaderSize + 8
)

// Startup is the first message of a connection, or a request that is sent in its place.
type Startup struct {
	Code   uint32 // the protocol version, or the code of a request
	Params map[string]string
	PID    uint32  // CancelRequest: process id of the connection whose query is to be canceled
	Secret [4]byte // CancelRequest: secret of that connection
}

// NextStartup splits a startup message off b, as Next does for other messages.
func NextStartup(b []byte) (s Startup, rest []byte, complete bool, err error) {
	if len(b) < startupHeaderSize {
		return s, b, false, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length < startupHeaderSize {
		return s, b, false, fmt.Errorf("startup: %w", ErrLength)
	}
	if length > MaxStartup {
		return s, b, false, fmt.Errorf("startup: %w", ErrTooLarge)
	}
	if len(b) < int(length) {
		return s, b, false, nil
	}
	s.Code = binary.BigEndian.Uint32(b[lengthSize:])
	s.Params = map[string]string{}
	body := b[startupHeaderSize:length]
	if s.Code == CancelRequest {
		if length != cancelRequestSize {
			return s, b, false, fmt.Errorf("cancel request: %w", ErrLength)
		}
		s.PID = binary.BigEndian.Uint32(body)
		s.Secret = [4]byte(body[4:])
		return s, b[length:], true, nil
	}
	if err := parseParams(body, s.Params); err != nil {
		return s, b, false, fmt.Errorf("startup: %w", err)
	}
	return s, b[length:], true, nil
}

// parseParams reads pairs of names and values up to an empty name or the end of the body.
func parseParams(body []byte, params map[string]string) error {
	for len(body) > 0 && body[0] != 0 {
		name, rest, ok := CString(body)
		if !ok {
			return ErrNotTerminated
		}
		value, rest, ok := CString(rest)
		if !ok {
			return ErrNotTerminated
		}
		params[name] = value
		body = rest
	}
	return nil
}
