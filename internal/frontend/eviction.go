package frontend

import "container/list"

// Times in microseconds.
const (
	sweepInterval     = 1e5 // between two looks at all clients
	inputGrace        = 1e5 // in which a startup message, or the rest of a message, usually arrives
	finalErrorTimeout = 1e6 // for a client to read the error that ends its connection
	lingerTimeout     = 5e5 // for a client to end its side once we have ended ours
	minLinger         = 1e5 // before a lingering connection is cut off for others
)

// sweep closes the clients that have used up their time. None of them has a request in flight, and one whose next bytes
// have arrived is left to send them. Where answers that clients don't read take too much memory, the client with most
// of them is closed.
func (s *Server) sweep() {
	now := s.loop.Now()
	var unsent int64
	var slowest *client
	for c := range s.clients {
		c.closeIfExpired(now)
		if c.closed {
			continue
		}
		n := c.conn.UnsentBytes()
		unsent += n
		if n > 0 && (slowest == nil || n > slowest.conn.UnsentBytes()) {
			slowest = c
		}
	}
	if unsent > int64(s.limits.Bytes) {
		slowest.close()
	}
	s.enforceConnectionLimit(now)
	s.loop.CallAt(now+sweepInterval, s.sweep)
}

func (c *client) closeIfExpired(now int64) {
	inState := now - c.stateSince
	switch {
	case c.lingering:
		if inState > lingerTimeout {
			c.close()
		}
	case c.terminated && inState > finalErrorTimeout:
		c.close()
	case c.awaitingAnswer || c.idleEntry == nil:
		return
	case c.inputExpired(now), inState > c.server.limits.IdleTimeout:
		c.closeIfDrained()
	}
}

// inputExpired reports whether the client has taken too long over a message, or to send its first request.
func (c *client) inputExpired(now int64) bool {
	timeout := c.server.limits.MessageTimeout
	messageLate := len(c.partial) > 0 && now-c.partialSince > timeout
	firstRequestLate := !c.active && now-c.stateSince > timeout
	return messageLate || firstRequestLate
}

// enforceConnectionLimit evicts clients while there are too many: new connections wait in the system's queue where
// nobody accepts them. Lingering connections are cut off last, and only after minLinger.
func (s *Server) enforceConnectionLimit(now int64) {
	for len(s.clients)-s.lingeringClients.Len() > s.limits.Connections {
		if !s.evictOne() {
			break
		}
	}
	for len(s.clients) > s.limits.Connections {
		oldest := s.lingeringClients.Front()
		if oldest == nil || now-clientOf(oldest).stateSince < minLinger {
			break
		}
		clientOf(oldest).close()
	}
}

// evictOne closes one client to make room, and reports whether it found one: first the longest silent of those that
// have not even sent a startup message, which usual clients send at once; then, while clients without a request are at
// least half of all, the longest silent of these, so that any number of them does not crowd out clients with requests;
// else the client that has been idle longest. A new client has no request either at first, and clients that ask once
// and stay would lock out all that come later.
// A client that has not read its last answer is spared, as it would lose it; so is one whose next bytes have arrived.
func (s *Server) evictOne() bool {
	now := s.loop.Now()
	return s.evictWithoutStartup(now) || s.evictIdle(now)
}

func (s *Server) evictWithoutStartup(now int64) bool {
	for entry := s.newClients.Front(); entry != nil; entry = entry.Next() {
		c := clientOf(entry)
		if now-c.stateSince <= inputGrace {
			return false // those that follow are newer
		}
		if !c.started && len(c.partial) == 0 && c.closeIfDrained() {
			return true
		}
	}
	return false
}

func (s *Server) evictIdle(now int64) bool {
	order := [...]*list.List{s.idleClients, s.newClients}
	if s.newClients.Len() >= s.limits.Connections/2 {
		order = [...]*list.List{s.newClients, s.idleClients}
	}
	for _, clients := range order {
		for entry := clients.Front(); entry != nil; entry = entry.Next() {
			c := clientOf(entry)
			receiving := len(c.partial) > 0 && now-c.partialSince <= inputGrace
			if !receiving && c.closeIfDrained() {
				return true
			}
		}
	}
	return false
}

// enforceActiveLimit closes the clients that have been idle longest while too many have sent a request: their side has
// a bounded number of connections, and clients that ask once and stay would keep all that come later from connecting.
func (s *Server) enforceActiveLimit() {
	entry := s.idleClients.Front()
	for entry != nil && s.activeClients > s.limits.ActiveConnections {
		c := clientOf(entry)
		entry = entry.Next() // before the client leaves the list
		if len(c.partial) == 0 {
			c.closeIfDrained()
		}
	}
}

// enforceMemoryLimit ends the client that holds most, once pipelined commands and incomplete messages of all clients
// together exceed the limit.
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
	if largest != nil {
		largest.rejectExcessInput()
	}
}
