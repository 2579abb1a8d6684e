package frontend

import "cloverrock/internal/pgwire"

// The server counts the bytes that it holds for its clients: the texts of requests in flight and of queued commands, and
// input that is not parsed yet. Answers that are not sent yet are limited apart from them, in sweep.

// updateHeldBytes recomputes the number of bytes held for this client and updates the server's total.
func (c *client) updateHeldBytes() {
	n := len(c.unparsed) + c.requestBytes + c.pipelineBytes
	c.server.heldBytes += n - c.heldBytes
	c.heldBytes = n
}

// memoryIsScarce reports whether so much is held that clients that are due an answer may not send further ahead.
func (s *Server) memoryIsScarce() bool { return s.heldBytes > s.limits.Bytes/2 }

// enforceMemoryLimit ends the client that holds the most bytes if the requests, pipelined commands and incomplete
// messages of all clients together exceed the limit.
func (s *Server) enforceMemoryLimit() {
	if s.heldBytes <= s.limits.Bytes {
		return
	}
	var largest *client
	for c := range s.clients {
		if largest == nil || c.heldBytes > largest.heldBytes {
			largest = c
		}
	}
	if largest == nil {
		return
	}
	s.log.Warn().Int("held_bytes", s.heldBytes).Int("limit_bytes", s.limits.Bytes).Int("client_bytes", largest.heldBytes).
		Int("clients", len(s.clients)).Msg("frontend: memory limit reached, client with the most bytes ended")
	largest.rejectExcessInput()
}

// rejectExcessInput abandons the request in flight and ends the connection at once with an error, because the client
// has sent more than the server may hold. Answering the queued commands first would delay the error by as long as that
// takes.
func (c *client) rejectExcessInput() {
	c.abandonRequest()
	c.failConnection(pgwire.CodeProtocolViolation, "too much sent ahead of the answers")
}
