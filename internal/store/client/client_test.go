package client

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

// testTimeout ends a test that hangs. The result does not depend on how long anything takes.
const testTimeout = 30 * time.Second

// listenRefusing listens at an address and closes each connection before the TLS handshake, so that every dial fails. It
// returns a channel with a value for each of these connections.
func listenRefusing(t *testing.T) (address string, dialed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections := make(chan struct{}, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close() // before the TLS handshake
			connections <- struct{}{}
		}
	}()
	return listener.Addr().String(), connections
}

// A failed dial advances to the next endpoint. If it advanced by two, the second of two endpoints would never be tried.
func TestFailedDialAdvancesByOneEndpoint(t *testing.T) {
	for name, call := range map[string]func(context.Context, *Client) error{
		"call": func(ctx context.Context, c *Client) error {
			_, err := c.Call(ctx, &frame.Request{Op: frame.OpRead}, Idempotent)
			return err
		},
		"watch": func(ctx context.Context, c *Client) error { return c.Watch(ctx, "n", "", 0, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			first, firstDialed := listenRefusing(t)
			second, secondDialed := listenRefusing(t)
			client := New(Config{Endpoints: []string{first, second}, TLS: &tls.Config{ServerName: "store"}})
			t.Cleanup(client.Close)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- call(ctx, client) }()
			for i, dialed := range []<-chan struct{}{firstDialed, secondDialed, firstDialed, secondDialed} {
				select {
				case <-dialed:
				case <-time.After(testTimeout):
					t.Errorf("dial %d was not received in time", i)
				}
			}
			cancel()
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Errorf("ended with %v, want context.Canceled", err)
			}
		})
	}
}

// Events that a watch has handled already, and that an instance sends again, must not be handled again.
func TestEventsThatWereHandledAreLeftOut(t *testing.T) {
	events := []machine.Event{{Revision: 3}, {Revision: 3}, {Revision: 4}, {Revision: 7}}
	for after, want := range map[int64]int{0: 4, 2: 4, 3: 2, 4: 1, 6: 1, 7: 0, 9: 0} {
		if got := eventsAfter(events, after); len(got) != want {
			t.Errorf("after revision %d: %d events, want %d", after, len(got), want)
		}
	}
}
