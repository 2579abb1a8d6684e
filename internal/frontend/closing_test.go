package frontend

import (
	"io"
	"strings"
	"testing"

	"cloverrock/internal/pgwire"
)

// During a shutdown the timer of a connection may run after an answer and before the next pipelined request of the same
// client, which was read earlier, is accepted. That request must be accepted and answered before the connection ends.
func TestShutdownAnswersPipelinedRequestsBeforeClosing(t *testing.T) {
	loop, server, requests, peer := startServer(t)
	twoRequests := appendLookQuery(appendLookQuery(pgwire.AppendStartup(nil, "user", "worker"), 1), 2)
	if _, err := peer.Write(twoRequests); err != nil {
		t.Fatal(err)
	}
	first := requests.next(t)
	loop.Post(func() {
		server.Shutdown(func() {})
		serveValue(first, "one")
		first.closeWhenFlushed() // as its timer would, before the next request is accepted
	})
	second := requests.next(t)
	loop.Post(func() { serveValue(second, "two") })
	got, err := io.ReadAll(peer)
	if err != nil || !strings.Contains(string(got), "one") || !strings.Contains(string(got), "two") {
		t.Errorf("read %q, %v, want both answers and the end of the connection", got, err)
	}
}

// A client that reads slowly and sends Terminate while a part of its last answer is unsent still gets all answers.
func TestTerminateClosesAfterAllAnswersAreSent(t *testing.T) {
	loop, _, requests, peer := startServer(t)
	if _, err := peer.Write(pgwire.AppendStartup(nil, "user", "worker")); err != nil {
		t.Fatal(err)
	}
	value := strings.Repeat("v", 16<<10)
	sent := 0
	for unsent := false; !unsent; sent++ {
		if sent == 4000 {
			t.Fatal("64 MB were written to a client that reads nothing, want unsent bytes before that")
		}
		if _, err := peer.Write(appendLookQuery(nil, sent)); err != nil {
			t.Fatal(err)
		}
		c := requests.next(t)
		done := make(chan struct{})
		loop.Post(func() {
			serveValue(c, value)
			unsent = c.conn.UnsentBytes() > 0
			if unsent {
				c.Data(pgwire.AppendTerminate(nil)) // as if received from the socket
			}
			close(done)
		})
		<-done
	}
	got, err := io.ReadAll(peer)
	count := strings.Count(string(got), value)
	if err != nil || count != sent || !strings.HasSuffix(string(got), string(pgwire.AppendReadyForQuery(nil))) {
		t.Errorf("read %d of %d answers, %v, want all and the last ReadyForQuery", count, sent, err)
	}
}
