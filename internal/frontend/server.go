// Package frontend serves the client connections: it reads startup messages and queries, passes each request to the
// gateway, and writes the answers in the order of the queries. Connections are evicted when there are too many or when
// they exceed a time limit, and end with a lingering close.
package frontend

import (
	"container/list"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

// OverflowConnections is how many connections above the limit are accepted, to receive an error or to linger.
const OverflowConnections = 16

// Gateway accepts requests.
type Gateway interface {
	Accept(request gateway.Request) int64
	ClientDisconnected(id int64)
	Ready() bool
}

// Class describes a request class, which queries select by name.
type Class struct {
	Index    int
	Write    bool
	Deadline int64 // microseconds; default and maximum of the time that a client of the class waits
}

// Limits are the limits on all clients together. Times are in microseconds.
type Limits struct {
	Connections       int
	ActiveConnections int   // of these, clients that have sent a request; above the limit idle ones are closed
	Bytes             int   // of requests, pipelined commands and incomplete messages; also of unsent answers
	MessageTimeout    int64 // from connecting to the first request, and from the first byte of a message to its last
	IdleTimeout       int64 // between requests
}

// Server holds all client connections. Its methods must be called on the goroutine of the event loop.
type Server struct {
	loop    *eventloop.Loop
	gateway Gateway
	classes map[string]Class
	limits  Limits
	log     zerolog.Logger

	clients       map[*client]struct{}
	activeClients int // clients that have sent a request
	heldBytes     int // of requests, pipelined commands and incomplete messages

	// Every client without work is in one of these lists, the longest waiting first.
	newClients       *list.List // have sent no request yet
	idleClients      *list.List // between requests
	lingeringClients *list.List // in their lingering close

	cancelKeys     map[uint32]*client  // by the process id in BackendKeyData
	openRequestIDs map[string]struct{} // ids, set by clients, of the requests that are not answered yet

	shuttingDown bool
	onShutdown   func() // called once, when the last client is closed
}

// New returns a server without clients.
func New(
	loop *eventloop.Loop, gw Gateway, classes map[string]Class, limits Limits, log zerolog.Logger,
) *Server {
	s := &Server{
		loop: loop, gateway: gw, classes: classes, limits: limits, log: log,
		clients:    map[*client]struct{}{},
		newClients: list.New(), idleClients: list.New(), lingeringClients: list.New(),
		cancelKeys: map[uint32]*client{}, openRequestIDs: map[string]struct{}{},
	}
	s.sweep()
	return s
}

// Accept handles a new connection. Above the limit, it cuts off a lingering connection or evicts an idle one. If every
// client has work, the new connection is accepted only to receive an error.
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

// UnsentBytes returns the number of answer bytes that are not sent yet.
func (s *Server) UnsentBytes() (n int64) {
	for c := range s.clients {
		n += c.conn.UnsentBytes()
	}
	return n
}

// InputDrained reports whether all input of the clients has been read.
func (s *Server) InputDrained() bool {
	for c := range s.clients {
		if !c.conn.InputDrained() {
			return false
		}
	}
	return true
}

// Shutdown closes each connection once no answer is due on it, and calls done when the last one is closed. Clients may
// continue to send requests on open connections: if the next bytes of a client have arrived, its request is answered
// before the connection is closed.
func (s *Server) Shutdown(done func()) {
	s.shuttingDown = true
	s.onShutdown = done
	for c := range s.clients {
		if c.idleEntry != nil && len(c.unparsed) == 0 && !c.lingering {
			c.closeWhenFlushed()
		}
	}
	s.finishShutdown()
}

// CloseRemaining ends, with an error, the connections of clients whose message is still incomplete. If further bytes of
// a client have arrived, they are read first. Other connections end after their last answer. CloseRemaining repeats
// itself every retryInterval until no client is left.
func (s *Server) CloseRemaining() {
	for c := range s.clients {
		isReceiving := len(c.unparsed) > 0 && !c.isOwedAnswer() && !c.turnQueued
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
