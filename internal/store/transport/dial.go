package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
)

const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 3 * time.Second
	maxWelcome   = 64 << 10 // bytes
	helloFormat  = 1        // format version of the Hello
)

// Dial connects to an instance, exchanges Hello and Welcome, and verifies that the remote certificate is that of the
// named instance; an empty name accepts any instance. The error wraps ErrRemoved if the remote instance refuses this one
// permanently.
func Dial(ctx context.Context, address string, conf *tls.Config, hello frame.Hello, name string) (net.Conn, *frame.Welcome, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	conn := tls.Client(raw, conf)
	welcome, err := handshakeWithTimeout(ctx, conn, hello, name)
	if err != nil {
		_ = raw.Close() // the first error is returned
		return nil, nil, err
	}
	return conn, welcome, nil
}

// handshakeWithTimeout calls handshake with a deadline of helloTimeout, and then removes the deadline from the connection.
func handshakeWithTimeout(ctx context.Context, conn *tls.Conn, hello frame.Hello, name string) (*frame.Welcome, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	welcome, err := handshake(ctx, conn, hello, name)
	if err != nil {
		return nil, err
	}
	return welcome, conn.SetDeadline(time.Time{})
}

// handshake performs the TLS handshake and exchanges Hello and Welcome.
func handshake(ctx context.Context, conn *tls.Conn, hello frame.Hello, name string) (*frame.Welcome, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	owner, role, err := pki.Owner(conn.ConnectionState())
	if err != nil {
		return nil, err
	}
	if role != pki.Instance || name != "" && owner != name {
		return nil, fmt.Errorf("store: the certificate is of %q with role %s, expected that of instance %q", owner, role, name)
	}
	hello.Format = helloFormat
	if err := frame.Write(conn, frame.HelloKind, &hello); err != nil {
		return nil, err
	}
	kind, body, err := frame.Read(conn, nil, maxWelcome)
	if err != nil {
		return nil, err
	}
	if kind != frame.WelcomeKind {
		return nil, errors.New("store: the first frame received is not a Welcome")
	}
	var welcome frame.Welcome
	if err := frame.DecodeValue(body, &welcome); err != nil {
		return nil, err
	}
	switch {
	case welcome.Error != "" && welcome.Final:
		return nil, fmt.Errorf("%w: %s", ErrRemoved, welcome.Error)
	case welcome.Error != "":
		return nil, errors.New(welcome.Error)
	}
	return &welcome, nil
}
