// Package frontend holds the client connections: it reads startup messages and queries, passes each request to the
// gateway, and writes the answers in the order of the queries. Connections are evicted when there are too many of them
// or when they use up their time, and are ended by a lingering close.
package frontend

import (
	"container/list"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// OverflowConnections is how many connections above the limit are accepted, to receive an error or while they linger.
const OverflowConnections = 16

// Gateway takes requests.
type Gateway interface {
	Accept(request gateway.Request) int64
	ClientDisconnected(id int64)
	Ready() bool
}

// Class is what the name of a request class stands for.
type Class struct {
	Index    int
	Write    bool
	Deadline int64 // microseconds; for a query that does not state how long its client waits, and the most it may state
}

// Limits bound what all clients together may take. Times are in microseconds.
type Limits struct {
	Connections       int
	ActiveConnections int   // of them, clients that have sent a request; above it those that are idle are closed
	Bytes             int   // of requests, pipelined commands and incomplete messages; as much again of unsent answers
	MessageTimeout    int64 // from connecting to the first request, and from the begin of a message to its end
	IdleTimeout       int64 // between requests
}

// Server holds all client connections. It belongs to the goroutine of the event loop.
type Server struct {
	loop    *eventloop.Loop
	gateway Gateway
	classes map[string]Class
	limits  Limits

	clients       map[*client]struct{}
	activeClients int // that have sent a request
	heldBytes     int // of requests, pipelined commands and incomplete messages

	// Every client that has no work is in one of these lists, the longest waiting first.
	newClients       *list.List // that have sent no request yet
	idleClients      *list.List // between requests
	lingeringClients *list.List // in their lingering close

	cancelKeys     map[uint32]*client  // by the process number in BackendKeyData
	openRequestIDs map[string]struct{} // ids, as named by clients, of requests whose answer is due

	shuttingDown bool
	onShutdown   func() // called once, when the last client is gone
}

// New returns a server without clients.
func New(loop *eventloop.Loop, gw Gateway, classes map[string]Class, limits Limits) *Server {
	s := &Server{
		loop: loop, gateway: gw, classes: classes, limits: limits,
		clients:    map[*client]struct{}{},
		newClients: list.New(), idleClients: list.New(), lingeringClients: list.New(),
		cancelKeys: map[uint32]*client{}, openRequestIDs: map[string]struct{}{},
	}
	s.sweep()
	return s
}

// Accept takes a new connection. Above the limit, a lingering connection is cut off or an idle one evicted for it. If
// every client has work, the new one is accepted only to be answered with an error.
func (s *Server) Accept(conn *eventloop.Conn) eventloop.Handler {
	c := &client{server: s, conn: conn, stateSince: s.loop.Now()}
	for s.lingeringClients.Len() > 0 && len(s.clients) >= s.limits.Connections {
		clientOf(s.lingeringClients.Front()).close()
	}
	if len(s.clients) >= s.limits.Connections && !s.evictOne() {
		if len(s.clients) >= s.limits.Connections+OverflowConnections {
			conn.Close()
			return c
		}
		c.overLimit = true
	}
	s.clients[c] = struct{}{}
	c.markIdle()
	return c
}

// UnsentBytes returns the number of bytes of answers that clients have yet to read.
func (s *Server) UnsentBytes() (n int64) {
	for c := range s.clients {
		n += c.conn.UnsentBytes()
	}
	return n
}

// InputDrained reports whether everything that clients have sent was read.
func (s *Server) InputDrained() bool {
	for c := range s.clients {
		if !c.conn.InputDrained() {
			return false
		}
	}
	return true
}

// Shutdown closes each connection once no answer is due on it, and calls done when the last is closed. Clients go on
// sending requests on open connections: one whose next bytes have arrived is answered first.
func (s *Server) Shutdown(done func()) {
	s.shuttingDown = true
	s.onShutdown = done
	for c := range s.clients {
		if c.idleEntry != nil && len(c.partial) == 0 && !c.lingering {
			c.closeWhenFlushed()
		}
	}
	s.finishShutdown()
}

// CloseRemaining ends what Shutdown has left open: clients that are in the middle of a message are told that it is not
// taken. It goes on until the last client is gone. A client whose next bytes have arrived is heard first.
func (s *Server) CloseRemaining() {
	for c := range s.clients {
		isReceiving := len(c.partial) > 0 && !c.awaitingAnswer && len(c.pipeline) == 0
		if isReceiving && c.conn.InputDrained() {
			c.failConnection(pgwire.CodeTooManyConnections, "shutting down; trying again is harmless")
		}
	}
	if len(s.clients) > 0 {
		s.loop.CallAt(s.loop.Now()+retryInterval, s.CloseRemaining)
	}
}

func (s *Server) finishShutdown() {
	if s.shuttingDown && len(s.clients) == 0 && s.onShutdown != nil {
		s.onShutdown()
		s.onShutdown = nil
	}
}

// clientOf returns the client in an entry of one of the server's lists.
func clientOf(entry *list.Element) *client { return entry.Value.(*client) }
