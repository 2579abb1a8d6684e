package app

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// When a client disconnects, the connection to the host that its attempt uses is closed: otherwise the late answer could
// reach another client.
func TestAttemptOfADisconnectedClientIsClosed(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	query := gw.hosts[0].nextQuery()
	client.close()
	gw.hosts[0].wantClosed()
	query.answer("late")
	client = gw.connect()
	gw.exchange(client, 2, "own")
}

// Invalid input is answered by an error response. The connection is closed only where message boundaries are lost, and
// the gateway keeps serving other clients.
func TestFaultyInputGetsAPlainError(t *testing.T) {
	gw := startGateway(t, 0)
	message := func(kind byte, body string) []byte {
		return append([]byte{kind, 0, 0, 0, byte(4 + len(body))}, body...)
	}
	for name, c := range map[string]struct {
		raw  []byte // sent instead of a startup message
		in   []byte
		want []string
	}{
		"no comment":        {in: pgwire.AppendQuery(nil, "SELECT 1"), want: []string{"error 42601"}},
		"unknown class":     {in: pgwire.AppendQuery(nil, "/* id=1,c=x,cluster=1 */ SELECT 1"), want: []string{"error 42601"}},
		"unknown group":     {in: pgwire.AppendQuery(nil, "/* id=1,c=lookup,cluster=9 */ SELECT 1"), want: []string{"error 53300 after 1000"}},
		"write that reads":  {in: pgwire.AppendQuery(nil, "/* id=1,c=change,cluster=1 */ SELECT 1"), want: []string{"error 42601"}},
		"read that writes":  {in: pgwire.AppendQuery(nil, "/* id=1,c=lookup,cluster=1 */ INSERT INTO objects VALUES ('k')"), want: []string{"error 42601"}},
		"commit to come":    {in: pgwire.AppendQuery(nil, "/* id=1,c=own,cluster=1,after=99999999999999 */ SELECT 1"), want: []string{"error 42601"}},
		"extended query":    {in: bytes.Join([][]byte{message('P', "\x00\x00\x00\x00"), message('E', "\x00\x00\x00\x00\x00"), message('S', "")}, nil), want: []string{"error 0A000"}},
		"function call":     {in: message('F', ""), want: []string{"error 0A000"}},
		"setting":           {in: pgwire.AppendQuery(nil, "SET a = 1"), want: []string{""}},
		"unterminated":      {in: message('Q', "abc"), want: []string{"error 08P01 closed"}},
		"two strings":       {in: message('Q', "a\x00b\x00"), want: []string{"error 08P01 closed"}},
		"unknown message":   {in: message('?', ""), want: []string{"error 08P01 closed"}},
		"too long":          {in: []byte("Q\x7f\xff\xff\xff"), want: []string{"error 08P01 closed"}},
		"too short":         {in: []byte("Q\x00\x00\x00\x01"), want: []string{"error 08P01 closed"}},
		"after an answer":   {in: append(pgwire.AppendQuery(nil, ""), "Q\x00\x00\x00\x01"...), want: []string{"empty", "error 08P01 closed"}},
		"startup too long":  {raw: []byte("GET / HTTP/1.1\r\n\r\n"), want: []string{"error 08P01 closed"}},
		"old protocol":      {raw: []byte("\x00\x00\x00\x08\x00\x02\x00\x00"), want: []string{"error 0A000 closed"}},
		"cancel":            {raw: []byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00"), want: []string{"closed"}},
		"newer minor":       {raw: []byte("\x00\x00\x00\x09\x00\x03\x00\x02\x00"), want: []string{""}},
		"leaves in silence": {in: pgwire.AppendTerminate(nil), want: []string{"closed"}},
	} {
		t.Run(name, func(t *testing.T) {
			var client *pgClient
			if c.raw != nil {
				client = gw.dial()
				client.write(c.raw)
			} else {
				client = gw.connect()
				client.write(c.in)
			}
			client.t = t
			for _, want := range c.want {
				client.want(want)
			}
			client.close()
		})
	}
	client := gw.connect()
	client.query(queryText(readFormat, 99))
	gw.hosts[0].nextQuery().answer("v")
	client.want("value v")
}

// A client that sent hundreds of commands at once was ended, and lost all behind the first. Each of them is executed and
// answered, in order, and the connection stays.
func TestHundredsOfCommandsAtOnceAreAllAnswered(t *testing.T) {
	const commands = 400
	gw := startGateway(t, 0)
	client := gw.connect()
	client.write(bytes.Repeat(pgwire.AppendQuery(nil, queryText(writeFormat, 1)), commands))
	for i := range commands {
		value := strconv.Itoa(i)
		gw.hosts[0].nextQuery().answer(value)
		client.want("value " + value)
	}
	gw.exchange(client, 2, "after")
}

// Beyond the limit of connections, a new connection replaces an idle one. If none is idle, the new one is rejected.
func TestIdleConnectionMakesRoomBeyondTheLimit(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 4 }) // 2 clients
	first := gw.connect()
	second := gw.connect()
	first.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()
	third := gw.connect() // replaces second, which is idle
	second.want("closed")
	third.query(queryText(writeFormat, 2))
	heldThird := gw.hosts[0].nextQuery()
	fourth := gw.connect()
	fourth.query(queryText(writeFormat, 3))
	fourth.want("error 53300 closed")
	held.answer("v")
	heldThird.answer("w")
	first.want("value v")
	third.want("value w")
}

// The gateway closes clients that send nothing, that stop within their startup or within a message, and that are idle
// for too long. A request in flight is answered first.
func TestSilentClientsAreClosed(t *testing.T) {
	gw := newHarness(t, 0)
	gw.timeouts = timeouts{message: 50e3, idle: 100e3}
	gw.start()
	busy := gw.dial() // the query is sent with the startup: if sent later, the message timeout might expire before it
	busy.write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", "worker"), queryText(writeFormat, 1)))
	busy.want("")
	held := gw.hosts[0].nextQuery()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for _, sent := range [][]byte{nil, startup[:9], startup, append(startup, "Q\x00\x00\x00\x20/* id"...)} {
		client := gw.dial()
		client.write(sent)
		if len(sent) >= len(startup) {
			client.want("")
		}
		client.want("closed")
	}
	held.answer("v")
	busy.want("value v")
	busy.want("closed")
}

// Connections that send nothing never displace a client that sends requests, however many there are.
func TestSilentClientsDisplaceNoActiveOnes(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 8 }) // 4 clients
	active := gw.connectAndExchange(2)
	silent := []*pgClient{gw.connect(), gw.connect()}
	for range 10 {
		silent = append(silent, gw.connect())
		silent[0].want("closed")
		silent = silent[1:]
	}
	for id, client := range active {
		gw.exchange(client, 10+id, "w")
	}
}

// Clients that have sent one request and are idle since are closed to make room for new clients, even if those are slow
// to send their first query.
func TestIdleClientsMakeRoomForNewOnes(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 8 }) // 4 clients
	idle := gw.connectAndExchange(4)
	slow := []*pgClient{gw.connect(), gw.connect()}
	idle[0].want("closed")
	idle[1].want("closed")
	for id, client := range slow {
		gw.exchange(client, 10+id, "w")
	}
}

// Clients that have sent a request and are idle since are closed once they use more than a quarter of the descriptors,
// the longest idle first. This holds although the gateway has descriptors left, since the load balancer in front of the
// gateway can open only a limited number of connections.
func TestIdleClientsAreLimitedToAQuarterOfTheDescriptors(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 64 }) // 35 clients, 26 of them active
	idle := gw.connectAndExchange(27)
	idle[0].want("closed")
	idle[1].query("")
	idle[1].want("empty")
}

// unfinishedMessage returns the first 160 KiB of a query message of 256 KiB.
func unfinishedMessage() []byte {
	return append([]byte("Q\x00\x03\xff\x00"), bytes.Repeat([]byte("x"), 160<<10)...)
}

// The bytes of unfinished messages of all clients together are limited. At the limit, the client that has sent the most
// is closed, not the newest.
func TestBytesOfUnfinishedMessagesAreBounded(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.MemoryMB = 1 }) // limits unfinished messages to 128 KiB
	active := gw.connect()
	large := gw.connect()
	active.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()
	large.write(unfinishedMessage())
	large.wantDisconnected()
	held.answer("v")
	active.want("value v")
}

// A client may disconnect while its request waits for a connection to the host, and the event of this may be queued
// behind many others. The gateway therefore checks the client's socket immediately before it would send the request.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	gw := newHarness(t, 0)
	gw.hosts[0].startupGate = make(chan struct{})
	gw.start(func(c *config.Config) { c.MemoryMB = 1 }) // the event loop stops reading at 64 KiB of unhandled input
	client := gw.connect()
	flood := gw.connect()
	client.query(queryText(writeFormat, 1))
	if query := gw.hosts[0].nextQuery(); query != nil {
		t.Fatal("a query was sent before the host was ready")
	}
	gw.onLoop(func() {
		close(gw.hosts[0].startupGate)
		<-gw.hosts[0].startedUp
		// This fills the event loop's input: it reads nothing more afterwards, so it does not notice the disconnect.
		flood.write(unfinishedMessage())
		client.close()
	})
	next := gw.connect()
	next.query(queryText(writeFormat, 2))
	query := gw.hosts[0].nextQueryAfterStartups()
	if !strings.Contains(query.text, "id=2,") {
		t.Fatalf("the request of a disconnected client was sent: %s", query.text)
	}
	query.answer("w")
	next.want("value w")
}

// cancel sends a cancel request on a connection of its own.
func (gw *harness) cancel(key []byte) {
	gw.t.Helper()
	client := gw.dial()
	client.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	client.want("closed")
}

// A cancel request on another connection must state the number and the secret from the startup. It ends the request at
// once, and the request is not forwarded. A wrong key cancels nothing.
func TestCancelRequestNeedsTheKeyAndEndsTheQuery(t *testing.T) {
	gw := newHarness(t, 0)
	gw.hosts[0].startupGate = make(chan struct{})
	gw.start()
	client := gw.dial()
	client.write(pgwire.AppendStartup(nil, "user", "worker"))
	key := client.cancelKey()
	client.query(queryText(writeFormat, 1))
	if query := gw.hosts[0].nextQuery(); query != nil {
		t.Fatal("a query was sent before the host was ready")
	}
	for i := range key {
		wrong := bytes.Clone(key)
		wrong[i] ^= 1
		gw.cancel(wrong)
	}
	if !gw.hasInFlight() {
		t.Fatal("a wrong key canceled the request")
	}
	gw.cancel(key)
	client.want("error 57014")
	close(gw.hosts[0].startupGate)
	client.query(queryText(writeFormat, 2))
	query := gw.hosts[0].nextQueryAfterStartups()
	if !strings.Contains(query.text, "id=2,") {
		t.Fatalf("a canceled request was sent: %s", query.text)
	}
	query.answer("w")
	client.want("value w")
	gw.cancel(key) // nothing is in flight any more
	client.query("")
	client.want("empty")
}
