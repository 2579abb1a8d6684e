// Package frontend holds the client connections: it reads their startup and their queries, hands each request
// to the gateway, and gives the answers in the order of the queries.
package frontend

import (
	"container/list"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"cloverrock/internal/gateway"
	"cloverrock/internal/loop"
	"cloverrock/internal/pgwire"
)

const (
	maxPipelined   = 256      // commands of one client that wait for their turn
	maxUnread      = 64 << 10 // bytes of answers that a client has not read before its next command waits
	surplusClients = 16       // connections beyond the limit that are told so
)

// errTooMuch ends a connection on which more was sent ahead than can be held.
var errTooMuch = errors.New("too much sent ahead of the answers")

// Gateway takes requests.
type Gateway interface {
	Accept(q gateway.Request) int64
	Gone(id int64)
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
	Connections int
	Bytes       int // of commands that wait for their turn, and of messages begun
}

// Server is all client connections. It belongs to the loop's goroutine.
type Server struct {
	loop    *loop.Loop
	gateway Gateway
	classes map[string]Class
	limits  Limits
	log     zerolog.Logger
	clients map[*client]struct{}
	held    int        // bytes of commands that wait for their turn, and of messages begun
	idle    *list.List // clients between requests, the longest idle first
	ending  bool
	ended   func()
}

// New returns a server without clients.
func New(l *loop.Loop, g Gateway, classes map[string]Class, limits Limits, log zerolog.Logger) *Server {
	return &Server{loop: l, gateway: g, classes: classes, limits: limits, log: log, clients: map[*client]struct{}{}, idle: list.New()}
}

// Accept takes a new connection. When there are too many, the one that has stood idle longest makes room; if
// all are at work, the new one is let in only to be told.
func (s *Server) Accept(c *loop.Conn) loop.Handler {
	cl := &client{server: s, net: c}
	if len(s.clients) >= s.limits.Connections {
		if old := s.longestIdle(); old != nil {
			old.close()
		} else if len(s.clients) >= s.limits.Connections+surplusClients {
			c.Close()
			return cl
		} else {
			cl.surplus = true
		}
	}
	s.clients[cl] = struct{}{}
	cl.rest()
	return cl
}

// longestIdle is the client that has rested longest of those that have read their last answer whole: to close
// any other would lose that answer.
func (s *Server) longestIdle() *client {
	for e := s.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); c.net.Unwritten() <= 0 {
			return c
		}
	}
	return nil
}

// Unread is the number of bytes of answers that clients have yet to read.
func (s *Server) Unread() (n int64) {
	for c := range s.clients {
		n += c.net.Unwritten()
	}
	return n
}

// End closes each connection once nothing is owed on it, and calls back when the last is closed.
func (s *Server) End(ended func()) {
	s.ending, s.ended = true, ended
	for c := range s.clients {
		if c.resting != nil && len(c.in) == 0 {
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
	net     *loop.Conn
	started bool
	surplus bool
	closed  bool
	dead    bool // a fatal error was sent: what comes now means nothing
	skip    bool // an extended query was turned away: nothing counts until its Sync

	in      []byte
	queue   []command // in the order in which they came
	held    int       // its part of the server's
	request int64     // the one that is out; 0 if none
	waiting bool      // a request is out
	resting *list.Element
	timer   *loop.Timer
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
	if c.waiting {
		c.waiting = false
		c.server.gateway.Gone(c.request)
	}
	c.server.check()
}

func (c *client) close() {
	c.net.Close()
	c.gone()
}

// part closes the connection once all that was written to it is on its way. A client that reads slowly may send
// a request meanwhile: unless the connection is dead that one is taken and answered first.
func (c *client) part() {
	switch {
	case c.closed || c.waiting:
	case c.net.Unwritten() <= 0:
		c.close()
	default:
		c.later(c.part)
	}
}

// later calls f once the client has had some time to read; at most one call is under way.
func (c *client) later(f func()) {
	c.timer.Stop()
	c.timer = c.server.loop.At(c.server.loop.Now()+5e3, f)
}

// count brings the number of bytes held up to date.
func (c *client) count() {
	n := len(c.in)
	for i := range c.queue {
		n += len(c.queue[i].text)
	}
	c.server.held += n - c.held
	c.held = n
}

// rest and work note whether the connection is between requests.
func (c *client) rest() {
	if c.resting == nil && !c.closed {
		c.resting = c.server.idle.PushBack(c)
	}
}

func (c *client) work() {
	if c.resting != nil {
		c.server.idle.Remove(c.resting)
		c.resting = nil
	}
}

// Data implements loop.Handler.
func (c *client) Data(b []byte) {
	if n := len(c.queue); c.dead || n > 0 && c.queue[n-1].err != nil {
		return // the same where framing is lost
	}
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	c.in = nil
	c.work()
	now := c.server.loop.Now()
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
			err = errTooMuch
		}
		if err != nil {
			c.queue = append(c.queue, command{at: now, err: err})
			break
		}
		if !ok {
			c.in = b
			break
		}
		b = rest
		c.queue = append(c.queue, command{kind: m.Type, text: m.Body, at: now})
	}
	// What clients send ahead is held, and so is what they never finish: together it must not fill the memory.
	if c.count(); c.server.held > c.server.limits.Bytes {
		c.in = nil
		c.queue = append(c.queue, command{at: now, err: errTooMuch})
		c.count()
	}
	c.next()
}

// startup answers the first message; false means that the connection is closed.
func (c *client) startup(s pgwire.Startup) bool {
	switch {
	case s.Code == pgwire.SSLRequest || s.Code == pgwire.GSSENCRequest:
		c.net.Write([]byte{'N'})
		return true
	case s.Code == pgwire.CancelRequest:
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
	c.net.Write(pgwire.AppendReadyForQuery(b))
	return true
}

// next takes commands in their order, until one is a request that must be answered first.
func (c *client) next() {
	for !c.waiting && !c.closed && len(c.queue) > 0 {
		if c.net.Unwritten() > maxUnread {
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
	if c.closed || c.waiting {
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
		c.close()
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
	if q.Wait < 0 {
		q.Wait = class.Deadline
	}
	c.waiting, c.request = true, 0
	id := c.server.gateway.Accept(gateway.Request{
		Class: class.Index, Group: q.Cluster, Key: q.KeyID(), HasKey: q.HasKey, Write: class.Write, After: q.After,
		Until: cmd.at + q.Wait, Body: q, Client: c,
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
	c.waiting = false
	c.net.Write(pgwire.AppendReadyForQuery(answer))
	c.server.loop.Post(c.next) // the gateway is not to be called back from here
}

// Serve implements gateway.Client.
func (c *client) Serve(value []byte) { c.done(value) }

// Refuse implements gateway.Client.
func (c *client) Refuse(after int64) {
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
	c.dead, c.queue, c.in = true, nil, nil
	c.work()
	c.part()
}
