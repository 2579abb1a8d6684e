package membership

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's transport. If a relay is set, it sends all traffic to the relay, and each datagram and each
// stream begins with the receiver's address.
type transport struct {
	*memberlist.NetTransport
	relay string // address; empty: none
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	if t.relay == "" {
		return t.NetTransport.WriteTo(b, address)
	}
	framed := append([]byte{byte(len(address))}, address...)
	return t.NetTransport.WriteTo(append(framed, b...), t.relay)
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	if t.relay == "" {
		return t.NetTransport.DialTimeout(address, timeout)
	}
	conn, err := t.NetTransport.DialTimeout(t.relay, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeout)) // if this fails, the write fails too
	if _, err := io.WriteString(conn, address+"\n"); err != nil {
		_ = conn.Close() // the write error is returned
		return nil, err  // not wrapped, because the library checks network errors by type
	}
	_ = conn.SetDeadline(time.Time{}) // if this fails, later writes fail too; the library sets its own deadlines
	return conn, nil
}

// WriteToAddress replaces the library's method, which would bypass the relay.
func (t *transport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, address.Addr)
}

// DialAddressTimeout replaces the library's method, which would bypass the relay.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
