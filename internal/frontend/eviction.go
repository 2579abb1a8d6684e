package frontend

import "container/list"

// Times in microseconds.
const (
	sweepInterval     = 1e5 // between two checks of all clients
	inputGracePeriod  = 1e5 // in which the startup message or the first request, or the rest of a message, usually arrives
	finalErrorTimeout = 1e6 // for a client to read the error that ends its connection
	lingerTimeout     = 5e5 // for a client to close its side after the server has closed its own
	minLinger         = 1e5 // before a lingering connection may be cut off to make room for others
)

// sweep closes the clients whose time is over, except those with a request in flight or whose next bytes have arrived.
// If the unsent answers of all clients exceed the memory limit, it closes the client with the most unsent bytes. It also
// enforces the connection limit.
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

// inputExpired reports whether a message was not complete, or the first request was not sent, within MessageTimeout.
func (c *client) inputExpired(now int64) bool {
	timeout := c.server.limits.MessageTimeout
	messageLate := len(c.unparsed) > 0 && now-c.unparsedSince > timeout
	firstRequestLate := !c.active && now-c.stateSince > timeout
	return messageLate || firstRequestLate
}

// enforceConnectionLimit evicts clients while there are too many: otherwise new connections would stay in the listen
// backlog and not be accepted. Lingering connections are cut off last, and only after minLinger.
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

// evictOne closes one client to make room for another, and reports whether it found one. It tries in this order:
//
//   - Clients that have sent no startup message within inputGracePeriod, the longest waiting first. Normal clients send
//     it at once.
//   - Clients that have sent no request, the longest waiting first, if they hold at least half of the allowed
//     connections. So no number of them can displace clients with requests.
//   - The client that has been idle longest between requests, and then those without a request. A new client has sent no
//     request either at first; evicting only such clients would let clients that send one request and stay connected
//     lock out all later ones.
//
// A client is not evicted if part of its last answer is unsent, which it would lose, or if its next bytes have arrived.
func (s *Server) evictOne() bool {
	now := s.loop.Now()
	return s.evictWithoutStartup(now) || s.evictIdle(now)
}

func (s *Server) evictWithoutStartup(now int64) bool {
	for entry := s.newClients.Front(); entry != nil; entry = entry.Next() {
		c := clientOf(entry)
		if now-c.stateSince <= inputGracePeriod {
			return false // those that follow are newer
		}
		if !c.started && len(c.unparsed) == 0 && c.closeIfDrained() {
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
			receiving := len(c.unparsed) > 0 && now-c.unparsedSince <= inputGracePeriod
			if !receiving && c.closeIfDrained() {
				return true
			}
		}
	}
	return false
}

// enforceActiveLimit closes the clients that have been idle longest while too many clients have sent a request. The
// number of connections that clients can open is limited on their side too: idle ones that stay open would keep later
// clients from connecting.
func (s *Server) enforceActiveLimit() {
	entry := s.idleClients.Front()
	for entry != nil && s.activeClients > s.limits.ActiveConnections {
		c := clientOf(entry)
		entry = entry.Next() // before the client leaves the list
		if len(c.unparsed) == 0 {
			c.closeIfDrained()
		}
	}
}
