// Package frontend holds the client connections: it reads their startup and their queries, hands each request
// to the gateway, and gives the answers in the order of the queries.
package frontend

import (
	"container/list"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"fmt"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
	"cloverrock/internal/gateway"
	"cloverrock/internal/pgwire"
)

const (
	maxPipelined = 64       // commands of one client that wait for their turn
	maxUnread    = 64 << 10 // bytes of answers that a client has not read before its next command waits

	// OverflowConnections is how many connections beyond the limit are let in to be told so, or stand in their lingering close.
	OverflowConnections = 16

	sweep    = 1e5 // pace of the look at all clients
	settle   = 1e5 // a message that goes on coming is whole by then, and a startup is here
	farewell = 1e6 // for the last error to be read
	linger   = 5e5 // for a client to end its side once we have ended ours

	farAhead = 60e6 // a commit that a read must see lies no further ahead: clocks differ, but not so much
)

// Gateway takes requests.
type Gateway interface {
	Accept(q gateway.Request) int64
	ClientDisconnected(id int64)
	Ready() bool
}

// Class is what a class's name stands for.
type Class struct {
	Index    int
	Write    bool
	Deadline int64 // for a query that does not say how long its client waits
}

// Limits bound what the clients together may take.
type Limits struct {
	Connections       int
	ActiveConnections int   // of them, clients that have asked; beyond it those between requests are closed
	Bytes             int   // of requests, of commands that wait for their turn and of messages begun; as much of answers unread
	MessageTimeout    int64 // for a client to say something after it connected, and to end a message that it has begun
	IdleTimeout       int64 // between requests, as long as there is room
}

// Server is all client connections. It belongs to the loop's goroutine.
type Server struct {
	loop    *eventloop.Loop
	gateway Gateway
	classes map[string]Class
	limits  Limits
	log     zerolog.Logger
	clients map[*client]struct{}
	asked   int                 // clients that have asked
	held    int                 // bytes of requests, of commands that wait for their turn, and of messages begun
	fresh   *list.List          // clients that have had no request yet, the longest silent first
	idle    *list.List          // clients between requests, the longest idle first
	parted  *list.List          // clients in their lingering close, the longest first
	keys    map[uint32]*client  // by the number under which a request may be cancelled
	open    map[string]struct{} // ids of the requests that are owed an answer
	ending  bool
	ended   func()
}

// New returns a server without clients.
func New(l *eventloop.Loop, g Gateway, classes map[string]Class, limits Limits, log zerolog.Logger) *Server {
	s := &Server{loop: l, gateway: g, classes: classes, limits: limits, log: log, clients: map[*client]struct{}{},
		fresh: list.New(), idle: list.New(), parted: list.New(), keys: map[uint32]*client{}, open: map[string]struct{}{}}
	s.sweep()
	return s
}

// sweep closes the clients that have used up their time. None of them has a request under way, and one whose next
// bytes have arrived is left to say them.
func (s *Server) sweep() {
	now, unread := s.loop.Now(), int64(0)
	var slow *client
	for c := range s.clients {
		switch {
		case c.parted:
			if now-c.since > linger {
				c.close()
			}
		case c.dead && now-c.since > farewell:
			c.close()
		case c.waiting || c.resting == nil:
		case len(c.in) > 0 && now-c.begun > s.limits.MessageTimeout,
			!c.asked && now-c.since > s.limits.MessageTimeout, now-c.since > s.limits.IdleTimeout:
			c.retire()
		}
		if n := c.net.UnsentBytes(); !c.closed && n > 0 {
			if unread += n; slow == nil || n > slow.net.UnsentBytes() {
				slow = c
			}
		}
	}
	if unread > int64(s.limits.Bytes) {
		slow.close()
	}
	s.relax(now)
	s.loop.CallAt(now+sweep, s.sweep)
}

// relax makes room while there are too many: others may wait where nobody accepts them. Those who linger had a moment.
func (s *Server) relax(now int64) {
	for len(s.clients)-s.parted.Len() > s.limits.Connections && s.spare() {
	}
	for e := s.parted.Front(); e != nil && len(s.clients) > s.limits.Connections && now-e.Value.(*client).since >= sweep; e = s.parted.Front() {
		e.Value.(*client).close()
	}
}

// Accept takes a new connection. When there are too many, one that lingers is cut off, or one that rests makes room; if
// all are at work, the new one is let in only to be told.
func (s *Server) Accept(c *eventloop.Conn) eventloop.Handler {
	cl := &client{server: s, net: c, since: s.loop.Now()}
	for s.parted.Len() > 0 && len(s.clients) >= s.limits.Connections {
		s.parted.Front().Value.(*client).close()
	}
	if len(s.clients) >= s.limits.Connections && !s.spare() {
		if len(s.clients) >= s.limits.Connections+OverflowConnections {
			c.Close()
			return cl
		}
		cl.surplus = true
	}
	s.clients[cl] = struct{}{}
	cl.rest()
	return cl
}

// spare retires a client to make room: the longest silent of those that have not even begun their
// startup, which usual clients send at once; of those that have asked nothing while they are half of all, so that any
// number of them does not crowd out the clients that ask; else the one that has rested longest. A new client is silent, too, until its first query is here, and clients that ask once and stay would keep
// all that come later from asking.
// To close one that has not read its last answer would lose that, and one whose next bytes have arrived asks now.
func (s *Server) spare() bool {
	now := s.loop.Now()
	for e := s.fresh.Front(); e != nil && now-e.Value.(*client).since > settle; e = e.Next() {
		if c := e.Value.(*client); !c.started && len(c.in) == 0 && c.retire() {
			return true
		}
	}
	order := [...]*list.List{s.idle, s.fresh}
	if s.fresh.Len() >= s.limits.Connections/2 {
		order = [...]*list.List{s.fresh, s.idle}
	}
	for _, clients := range order {
		for e := clients.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*client); (len(c.in) == 0 || now-c.begun > settle) && c.retire() {
				return true
			}
		}
	}
	return false
}

// UnsentBytes is the number of bytes of answers that clients have yet to read.
func (s *Server) UnsentBytes() (n int64) {
	for c := range s.clients {
		n += c.net.UnsentBytes()
	}
	return n
}

// InputDrained tells that no client has sent anything that was not read.
func (s *Server) InputDrained() bool {
	for c := range s.clients {
		if !c.net.InputDrained() {
			return false
		}
	}
	return true
}

// Shutdown closes each connection once nothing is owed on it, and calls back when the last is closed. Clients go on asking on
// those that stay open: one whose next bytes are here already is answered first.
func (s *Server) Shutdown(ended func()) {
	s.ending, s.ended = true, ended
	for c := range s.clients {
		if c.resting != nil && len(c.in) == 0 && !c.parted {
			c.part()
		}
	}
	s.check()
}

func (s *Server) check() {
	if s.ending && len(s.clients) == 0 && s.ended != nil {
		s.ended()
		s.ended = nil
	}
}

// client is one client connection.
type client struct {
	server  *Server
	net     *eventloop.Conn
	started bool
	surplus bool
	closed  bool
	dead    bool   // a fatal error was sent, or the client has said goodbye: what comes now means nothing
	parted  bool   // our side has ended: what comes now is not even read
	pid     uint32 // its number in keys, 0 if it has none
	secret  [4]byte
	skip    bool // an extended query was turned away: nothing counts until its Sync

	in      []byte    // a message that has begun
	begun   int64     // when it did
	queue   []command // in the order in which they came
	held    int       // its part of the server's
	request int64     // the one that is out; 0 if none
	id      string    // its id, as the client names it
	size    int       // of its text
	waiting bool      // a request is out
	asked   bool      // a request of it was taken
	since   int64     // when it connected, or last came to rest
	resting *list.Element
	timer   *eventloop.Timer
}

// command is a message that waits for its turn.
type command struct {
	kind byte
	text []byte
	at   int64
	err  error // framing is lost: the last command
}

// Closed implements loop.Handler.
func (c *client) Closed(error) { c.gone() }

// gone forgets the connection, and tells that nobody waits for its request any more.
func (c *client) gone() {
	if c.closed {
		return
	}
	c.closed = true
	c.work()
	c.in, c.queue = nil, nil
	c.count()
	delete(c.server.clients, c)
	delete(c.server.keys, c.pid)
	if c.asked {
		c.server.asked--
	}
	c.drop()
	c.server.check()
}

// drop gives up the request that is out.
func (c *client) drop() {
	if c.waiting {
		c.over()
		c.server.gateway.ClientDisconnected(c.request)
	}
}

// Disconnected implements gateway.Client: it looks into the socket, since the end may be some time away from here.
func (c *client) Disconnected() bool { return c.closed || c.net.PeerClosed() }

// over notes that the request that was out has its final answer.
func (c *client) over() {
	c.waiting, c.size = false, 0
	delete(c.server.open, c.id)
}

func (c *client) close() {
	c.net.Close()
	c.gone()
}

// retire ends our side of a connection on which nothing is owed, unless the client's next bytes are here. A close alone
// would meet what the client is just sending, and a reset takes with it what the client has not read yet. So the
// connection lingers until the client ends its side too, or its time is up. Meanwhile it counts as open. A client that has
// asked nothing has nothing to lose: its descriptor is free at once.
func (c *client) retire() bool {
	asked := c.asked
	if !c.shut(c.net.CloseWrite) {
		return false
	}
	if !asked {
		c.close()
	}
	return true
}

func (c *client) shut(shut func() bool) bool {
	if !shut() {
		return false
	}
	c.work()
	if c.in, c.queue = nil, nil; c.asked {
		c.asked = false
		c.server.asked--
	}
	c.count()
	c.parted, c.since = true, c.server.loop.Now()
	c.resting = c.server.parted.PushBack(c)
	return true
}

// part ends the connection once all that was written to it is on its way. A client that reads slowly may send
// a request meanwhile: unless the connection is dead that one is taken and answered first, also where it is in the socket
// and was not read yet. One that has just come has a moment for its first request.
func (c *client) part() {
	if c.closed || c.parted || c.waiting || len(c.in) > 0 || len(c.queue) > 0 { // next comes back to it
		return
	}
	switch {
	case c.dead && c.shut(c.net.ForceCloseWrite):
	case !c.dead && (c.asked || c.server.loop.Now()-c.since > settle) && c.retire():
	default:
		c.later(c.part)
	}
}

// later calls f once the client has had some time to read; at most one call is under way.
func (c *client) later(f func()) {
	c.timer.Stop()
	c.timer = c.server.loop.CallAt(c.server.loop.Now()+5e3, f)
}

// count brings the number of bytes held up to date.
func (c *client) count() {
	n := len(c.in) + c.size
	for i := range c.queue {
		n += len(c.queue[i].text)
	}
	c.server.held += n - c.held
	c.held = n
}

// thin retires the clients that have rested longest, beyond the bound for those that have asked. Their side has so many
// connections at most: clients that ask once and stay would keep all that come later from connecting.
func (s *Server) thin() {
	for e := s.idle.Front(); e != nil && s.asked > s.limits.ActiveConnections; {
		c := e.Value.(*client)
		if e = e.Next(); len(c.in) == 0 {
			c.retire()
		}
	}
}

// rest and work note whether the connection is between requests.
func (c *client) rest() {
	if c.resting != nil || c.closed {
		return
	}
	c.since = c.server.loop.Now()
	if c.asked {
		c.resting = c.server.idle.PushBack(c)
		c.server.thin()
	} else {
		c.resting = c.server.fresh.PushBack(c)
	}
}

func (c *client) work() {
	if c.resting != nil { // a list does not remove what is not its own
		c.server.idle.Remove(c.resting)
		c.server.fresh.Remove(c.resting)
		c.server.parted.Remove(c.resting)
		c.resting = nil
	}
}

// Data implements loop.Handler.
func (c *client) Data(b []byte) {
	if n := len(c.queue); c.dead || n > 0 && c.queue[n-1].err != nil {
		return // the same where framing is lost
	}
	now := c.server.loop.Now()
	if len(c.in) == 0 {
		c.begun = now
	}
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	c.in = nil
	for len(b) > 0 {
		if !c.started {
			s, rest, ok, err := pgwire.NextStartup(b)
			if err != nil {
				c.queue = append(c.queue, command{at: now, err: err})
				break
			}
			if !ok {
				c.in = b
				break
			}
			b = rest
			if !c.startup(s) {
				return
			}
			continue
		}
		m, rest, ok, err := pgwire.Next(b)
		if err == nil && ok && len(c.queue) >= maxPipelined {
			c.tooMuch()
			return
		}
		if err != nil {
			c.queue = append(c.queue, command{at: now, err: err})
			break
		}
		if !ok {
			c.in = b
			break
		}
		b, c.begun = rest, now
		c.queue = append(c.queue, command{kind: m.Type, text: m.Body, at: now})
	}
	if len(c.queue) > 0 {
		c.work()
	}
	c.count()
	c.server.relieve()
	c.next()
}

// relieve ends the client that holds most, once what clients send ahead and what they never finish would fill the
// memory together.
func (s *Server) relieve() {
	if s.held <= s.limits.Bytes {
		return
	}
	var most *client
	for c := range s.clients {
		if most == nil || c.held > most.held {
			most = c
		}
	}
	if most != nil {
		most.tooMuch()
	}
}

// tooMuch ends a client at once that sends more than can be held for it. To answer first what it sent in due order
// would leave it unanswered for as long as that takes.
func (c *client) tooMuch() {
	c.drop()
	c.fatal(pgwire.CodeProtocolViolation, "too much sent ahead of the answers")
}

// startup answers the first message; false means that the connection is closed.
func (c *client) startup(s pgwire.Startup) bool {
	switch {
	case s.Code == pgwire.SSLRequest || s.Code == pgwire.GSSENCRequest:
		c.net.Write([]byte{'N'})
		return true
	case s.Code == pgwire.CancelRequest:
		c.server.cancel(s.PID, s.Secret)
		c.close()
		return false
	case s.Code>>16 != pgwire.ProtocolVersion>>16:
		c.fatal(pgwire.CodeNotSupported, fmt.Sprintf("protocol %d.%d is not supported", s.Code>>16, s.Code&0xffff))
		return false
	}
	c.started = true
	b := pgwire.AppendAuthenticationOk(nil)
	if s.Code != pgwire.ProtocolVersion {
		b = pgwire.AppendNegotiate(b)
	}
	for _, p := range [...][2]string{
		{"server_version", "15.0 (cloverrock)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		b = pgwire.AppendParameterStatus(b, p[0], p[1])
	}
	c.name()
	b = pgwire.AppendBackendKeyData(b, c.pid, c.secret)
	c.net.Write(pgwire.AppendReadyForQuery(b))
	return true
}

// name draws the number and the secret by which the client may cancel its request from another connection.
func (c *client) name() {
	var b [8]byte
	for c.pid == 0 || c.server.keys[c.pid] != nil {
		_, _ = rand.Read(b[:])                     // never fails
		c.pid = binary.BigEndian.Uint32(b[:]) >> 1 // clients read it as a signed number
	}
	c.secret = [4]byte(b[4:])
	c.server.keys[c.pid] = c
}

// cancel ends the request that is out for the client of that number, if the secret is its. Whoever asks is told nothing.
func (s *Server) cancel(pid uint32, secret [4]byte) {
	c := s.keys[pid]
	if c == nil || subtle.ConstantTimeCompare(secret[:], c.secret[:]) == 0 || !c.waiting {
		return
	}
	c.drop()
	c.done(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeQueryCanceled,
		Message: "canceled at the client's request; the statement may have run"}))
}

// next takes commands in their order, until one is a request that must be answered first.
func (c *client) next() {
	for !c.waiting && !c.closed && len(c.queue) > 0 {
		if c.net.UnsentBytes() > maxUnread {
			c.later(c.next)
			return
		}
		cmd := c.queue[0]
		if cmd.err != nil {
			c.fatal(pgwire.CodeProtocolViolation, cmd.err.Error())
			return
		}
		c.queue = c.queue[1:]
		c.command(cmd)
	}
	if c.closed || c.waiting || c.dead {
		return
	}
	c.queue = nil
	c.count()
	if c.server.ending && len(c.in) == 0 {
		c.part()
		return
	}
	c.rest() // a message that has only begun is no request yet
}

func (c *client) command(cmd command) {
	if c.skip && cmd.kind != 'S' && cmd.kind != 'X' {
		return
	}
	switch cmd.kind {
	case 'Q':
		c.query(cmd)
	case 'X':
		c.finish() // what was answered before may still be on its way
	case 'S':
		c.skip = false
		c.net.Write(pgwire.AppendReadyForQuery(nil))
	case 'P', 'B', 'D', 'E', 'C':
		c.skip = true
		c.net.Write(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeNotSupported,
			Message: "extended queries are not supported"}))
	case 'F':
		c.fail(pgwire.CodeNotSupported, "function calls are not supported")
	case 'H', 'd', 'c', 'f': // nothing to flush, and no copy is under way
	default:
		c.fatal(pgwire.CodeProtocolViolation, fmt.Sprintf("unknown message %q", cmd.kind))
	}
}

func (c *client) query(cmd command) {
	text, _, ok := pgwire.CString(cmd.text)
	if !ok || len(text) != len(cmd.text)-1 {
		c.fatal(pgwire.CodeProtocolViolation, "the query is not one string")
		return
	}
	if c.surplus {
		c.fatal(pgwire.CodeTooManyConnections, "too many connections")
		return
	}
	switch word := pgwire.Command(text); word {
	case "":
		if !c.server.gateway.Ready() {
			c.fail(pgwire.CodeCannotConnectNow, "the list of hosts is not known yet")
			return
		}
		c.net.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmptyQuery(nil)))
		return
	case "SET", "RESET", "DISCARD":
		c.net.Write(pgwire.AppendReadyForQuery(pgwire.AppendCommandComplete(nil, word)))
		return
	}
	q, err := pgwire.ParseQuery(cmd.text[:len(text)])
	if err != nil {
		c.fail(pgwire.CodeSyntaxError, err.Error())
		return
	}
	class, ok := c.server.classes[q.Class]
	if !ok {
		c.fail(pgwire.CodeSyntaxError, fmt.Sprintf("comment: c: no class %q", q.Class))
		return
	}
	if reads := q.Command() == "SELECT"; reads == class.Write {
		c.fail(pgwire.CodeSyntaxError, fmt.Sprintf("a statement of class %q can't begin with %q", q.Class, q.Command()))
		return
	}
	if q.Wait < 0 || q.Wait > class.Deadline { // no client of the class waits longer
		q.Wait = class.Deadline
	}
	if q.After > c.server.loop.Now()+farAhead {
		c.fail(pgwire.CodeSyntaxError, "comment: after: lies in the future")
		return
	}
	if _, open := c.server.open[q.ID]; open {
		// Hosts tell requests apart by it: passed on, it would spoil the one that came first.
		c.fail(pgwire.CodeSyntaxError, "comment: id: another request has it, and is not answered yet")
		return
	}
	c.server.open[q.ID] = struct{}{}
	if !c.asked {
		c.server.asked++
	}
	c.waiting, c.asked, c.request, c.id, c.size = true, true, 0, q.ID, len(cmd.text)
	id := c.server.gateway.Accept(gateway.Request{
		Class: class.Index, Group: q.Cluster, Key: q.KeyID(), HasKey: q.HasKey, Write: class.Write, MinPosition: q.After,
		Deadline: cmd.at + q.Wait, Body: q, Client: c,
	})
	if c.waiting { // else it was answered at once
		c.request = id
	}
}

// done ends the request that was out.
func (c *client) done(answer []byte) {
	if c.closed {
		return
	}
	if c.waiting {
		c.over()
	}
	c.net.Write(pgwire.AppendReadyForQuery(answer))
	c.server.loop.Post(c.next) // the gateway is not to be called back from here
}

// Serve implements gateway.Client.
func (c *client) Serve(value []byte) { c.done(value) }

// Reject implements gateway.Client.
func (c *client) Reject(after int64) {
	e := pgwire.Error{Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "refused; trying again is harmless"}
	if after > 0 {
		e.Detail = fmt.Sprint((after + 999) / 1000)
	}
	c.done(pgwire.AppendError(nil, e))
}

// Fail implements gateway.Client.
func (c *client) Fail() {
	c.done(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeSystemError,
		Message: "no host has answered; the statement may have run"}))
}

// fail answers a query that cannot be taken; the connection stays.
func (c *client) fail(code, message string) {
	c.net.Write(pgwire.AppendReadyForQuery(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: code, Message: message})))
}

// fatal says why the connection ends, and ends it.
func (c *client) fatal(code, message string) {
	c.net.Write(pgwire.AppendError(nil, pgwire.Error{Severity: "FATAL", Code: code, Message: message}))
	c.finish()
}

// finish ends the connection once what was written to it is on its way; what comes now means nothing.
func (c *client) finish() {
	c.dead, c.queue, c.in, c.since = true, nil, nil, c.server.loop.Now()
	c.work()
	c.count()
	c.part()
}
