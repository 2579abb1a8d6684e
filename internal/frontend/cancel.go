package frontend

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"cloverrock/internal/pgwire"
)

// assignCancelKey draws the random id and secret with which the client may cancel its request on another connection.
func (c *client) assignCancelKey() {
	var b [8]byte
	for c.cancelID == 0 || c.server.cancelKeys[c.cancelID] != nil {
		_, _ = rand.Read(b[:])                          // never fails
		c.cancelID = binary.BigEndian.Uint32(b[:]) >> 1 // 31 bits: clients read the id as a signed number
	}
	c.cancelSecret = [4]byte(b[4:])
	c.server.cancelKeys[c.cancelID] = c
}

// cancelRequest ends the request in flight of the client with the given cancel id if the secret matches. The connection
// that sends the cancel request gets no answer.
func (s *Server) cancelRequest(cancelID uint32, secret [4]byte) {
	c := s.cancelKeys[cancelID]
	if c == nil || subtle.ConstantTimeCompare(secret[:], c.cancelSecret[:]) == 0 || !c.awaitingAnswer {
		return
	}
	c.abandonRequest()
	c.answer(errorResponse(pgwire.CodeQueryCanceled, "canceled at the client's request; the statement may have run"))
}
