package frontend

import "cloverrock/internal/pgwire"

// maxMemoryExcess is the multiple of the memory limit above which also clients that are owed answers are ended.
const maxMemoryExcess = 2

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

// memoryIsFull reports whether so much is held that no further request is accepted.
func (s *Server) memoryIsFull() bool { return s.heldBytes > s.limits.Bytes }

// enforceMemoryLimit ends a client if the memory is full: of those that are owed no answer the one that holds the most
// bytes, all of an incomplete message. Clients that are owed answers are only not read, and their requests refused. The one
// of them that holds the most bytes is ended if that is not enough.
func (s *Server) enforceMemoryLimit() {
	if !s.memoryIsFull() {
		return
	}
	largest := s.largestClient(func(c *client) bool { return !c.isOwedAnswer() })
	if largest == nil && s.heldBytes > maxMemoryExcess*s.limits.Bytes {
		largest = s.largestClient((*client).isOwedAnswer)
	}
	if largest == nil {
		return
	}
	s.log.Warn().Int("held_bytes", s.heldBytes).Int("limit_bytes", s.limits.Bytes).Int("client_bytes", largest.heldBytes).
		Int("clients", len(s.clients)).Msg("frontend: memory limit reached, client with the most bytes ended")
	largest.rejectExcessInput()
}

// largestClient returns the client that holds the most bytes of those that match, or nil if none of them holds any.
func (s *Server) largestClient(matches func(*client) bool) (largest *client) {
	most := 0
	for c := range s.clients {
		if c.heldBytes > most && matches(c) {
			largest = c
			most = c.heldBytes
		}
	}
	return largest
}

// rejectExcessInput abandons the request in flight and ends the connection at once with an error, because the client
// has sent more than the server may hold. Answering the queued commands first would delay the error by as long as that
// takes.
func (c *client) rejectExcessInput() {
	c.abandonRequest()
	c.failConnection(pgwire.CodeProtocolViolation, "too much sent ahead of the answers")
}
