package pgwire

import (
	"encoding/binary"
	"fmt"
)

const (
	// ProtocolVersion is 3.0.
	ProtocolVersion = 3 << 16

	// CancelRequest stands in place of the version in a request to cancel a query of another connection.
	CancelRequest = 80877102
	// SSLRequest stands in place of the version in a request for TLS.
	SSLRequest = 80877103
	// GSSENCRequest stands in place of the version in a request for GSSAPI encryption.
	GSSENCRequest = 80877104
)

const (
	startupHeaderSize = lengthSize + 4
	cancelRequestSize = startupHeaderSize + 8
)

// Startup is the first message of a connection.
type Startup struct {
	Code   uint32 // the protocol's version, or a request's code
	Params map[string]string
	PID    uint32  // CancelRequest: the process number of the connection whose query is to be cancelled
	Secret [4]byte // CancelRequest: that connection's secret
}

// NextStartup splits a startup message off b, like Next.
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

// parseParams reads pairs of names and values up to an empty name, or the end.
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
