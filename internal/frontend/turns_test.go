package frontend

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"

	"cloverrock/internal/pgwire"
)

// appendEncryptionRequest appends a request for TLS, which takes the place of a startup message.
func appendEncryptionRequest(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, 8)
	return binary.BigEndian.AppendUint32(b, pgwire.SSLRequest)
}

// onlyClient returns the client that is connected.
func onlyClient(server *Server) (found *client) {
	for c := range server.clients {
		found = c
	}
	return found
}

// A client that sent requests for encryption, or commands that the gateway answers itself, without a pause was answered
// without end before anyone else. It gets a few answers in a turn, and all of them in the end.
func TestInputOfOneClientIsAnsweredInTurns(t *testing.T) {
	const sent = 60
	for name, c := range map[string]struct {
		startup bool
		message []byte
		answer  []byte
	}{
		"requests for encryption":   {false, appendEncryptionRequest(nil), []byte{'N'}},
		"queries without a comment": {true, pgwire.AppendQuery(nil, "SELECT 1"), pgwire.AppendReadyForQuery(nil)},
		"empty queries":             {true, pgwire.AppendQuery(nil, ""), pgwire.AppendReadyForQuery(nil)},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, _, peer := startServer(t)
			writeAll(t, peer, appendEncryptionRequest(nil))
			readUntil(t, peer, []byte{'N'}, 1) // the connection is accepted
			if c.startup {
				writeAll(t, peer, pgwire.AppendStartup(nil, "user", "worker"))
				readUntil(t, peer, pgwire.AppendReadyForQuery(nil), 1)
			}
			onLoop(loop, func() {
				client := onlyClient(server)
				client.Data(bytes.Repeat(c.message, sent)) // as if received from the socket
				if waiting := len(client.pipeline) + len(client.unparsed)/len(c.message); waiting < sent-maxTurnCommands {
					t.Errorf("%d of %d messages wait for the next turn, want at least %d", waiting, sent, sent-maxTurnCommands)
				}
			})
			readUntil(t, peer, c.answer, sent)
		})
	}
}

// readUntil reads until the text has come the given number of times.
func readUntil(t *testing.T, peer net.Conn, text []byte, times int) {
	t.Helper()
	var got []byte
	b := make([]byte, 64<<10)
	for bytes.Count(got, text) < times {
		n, err := peer.Read(b)
		if err != nil {
			t.Fatalf("read %d of %d answers: %v", bytes.Count(got, text), times, err)
		}
		got = append(got, b[:n]...)
	}
}

// A client that only asked for encryption, again and again, was never ended: its next request had always arrived.
func TestClientThatOnlyAsksForEncryptionIsEnded(t *testing.T) {
	loop, server, _, peer := startServer(t)
	onLoop(loop, func() { server.limits.MessageTimeout = -1 })
	writeAll(t, peer, appendEncryptionRequest(appendEncryptionRequest(nil)))
	got, err := io.ReadAll(peer)
	if err != nil || !strings.Contains(string(got), pgwire.CodeProtocolViolation) {
		t.Errorf("read %q, %v, want an error with the code %s and the end of the connection", got, err, pgwire.CodeProtocolViolation)
	}
}
