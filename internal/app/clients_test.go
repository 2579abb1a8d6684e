package app

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// When its client leaves, an attempt's connection is closed: its late answer must meet nobody else.
func TestAttemptOfADisconnectedClientIsClosed(t *testing.T) {
	r := startGateway(t, 0)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	q := r.hosts[0].nextQuery()
	cl.conn.Close()
	select {
	case <-r.hosts[0].closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection stays open")
	}
	q.answer("late")
	cl = r.connect()
	cl.query(queryText(writeForm, 2))
	r.hosts[0].nextQuery().answer("own")
	cl.want("value own")
}

// Bad input gets a plain error; the connection ends only where framing is lost, and the gateway serves on.
func TestFaultyInputGetsAPlainError(t *testing.T) {
	r := startGateway(t, 0)
	message := func(kind byte, body string) []byte {
		b := append([]byte{kind, 0, 0, 0, byte(4 + len(body))}, body...)
		return b
	}
	for name, c := range map[string]struct {
		raw  []byte // in place of a startup
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
		"too many at once":  {in: bytes.Repeat(pgwire.AppendQuery(nil, queryText(writeForm, 1)), 400), want: []string{"ends"}},
		"leaves in silence": {in: pgwire.AppendTerminate(nil), want: []string{"closed"}},
	} {
		t.Run(name, func(t *testing.T) {
			var cl *pgClient
			if c.raw != nil {
				cl = r.dial()
				cl.write(c.raw)
			} else {
				cl = r.connect()
				cl.write(c.in)
			}
			cl.t = t
			for _, want := range c.want {
				if want == "ends" {
					cl.wantEnd()
				} else {
					cl.want(want)
				}
			}
			cl.conn.Close()
		})
	}
	cl := r.connect()
	cl.query(queryText(readForm, 99))
	for { // what the clients above left behind comes first
		q := r.hosts[0].nextQuery()
		q.answer("v")
		if strings.Contains(q.text, "id=99,") {
			break
		}
	}
	cl.want("value v")
}

// Connections beyond the limit: one that rests makes room; if none does, the new one is told.
func TestIdleConnectionMakesRoomBeyondTheLimit(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 4 }) // 2 clients
	first, second := r.connect(), r.connect()
	first.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()
	third := r.connect() // second was resting
	second.want("closed")
	third.query(queryText(writeForm, 2))
	also := r.hosts[0].nextQuery()
	fourth := r.connect()
	fourth.query(queryText(writeForm, 3))
	fourth.want("error 53300 closed")
	held.answer("v")
	also.answer("w")
	first.want("value v")
	third.want("value w")
}

// Clients that say nothing, stop in their startup or in a message are closed, and so is one that rests too long; a
// request under way goes on.
func TestSilentClientsAreClosed(t *testing.T) {
	r := newHarness(t, 0)
	r.timeouts = timeouts{50e3, 100e3, 0}
	r.start()
	busy := r.dial() // its query comes with the startup: a later one might find the time over
	busy.write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", "worker"), queryText(writeForm, 1)))
	busy.want("")
	held := r.hosts[0].nextQuery()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for _, said := range [][]byte{nil, startup[:9], startup, append(startup, "Q\x00\x00\x00\x20/* id"...)} {
		cl := r.dial()
		cl.write(said)
		if len(said) >= len(startup) {
			cl.want("")
		}
		cl.want("closed")
	}
	held.answer("v")
	busy.want("value v")
	busy.want("closed")
}

// Any number of silent connections leaves the clients that ask theirs.
func TestSilentClientsDisplaceNoActiveOnes(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 8 }) // 4 clients
	var usual []*pgClient
	for id := 0; id < 2; id++ {
		usual = append(usual, r.connect())
		usual[id].query(queryText(writeForm, id))
		r.hosts[0].nextQuery().answer("v")
		usual[id].want("value v")
	}
	silent := []*pgClient{r.connect(), r.connect()}
	for range 10 {
		silent = append(silent, r.connect())
		silent[0].want("closed")
		silent = silent[1:]
	}
	for id, cl := range usual {
		cl.query(queryText(writeForm, 10+id))
		r.hosts[0].nextQuery().answer("w")
		cl.want("value w")
	}
}

// Clients that asked once and stay make room for new ones, however slowly those come to their first query.
func TestIdleClientsMakeRoomForNewOnes(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 8 }) // 4 clients
	var stay []*pgClient
	for id := 0; id < 4; id++ {
		stay = append(stay, r.connect())
		stay[id].query(queryText(writeForm, id))
		r.hosts[0].nextQuery().answer("v")
		stay[id].want("value v")
	}
	slow := []*pgClient{r.connect(), r.connect()}
	stay[0].want("closed")
	stay[1].want("closed")
	for id, cl := range slow {
		cl.query(queryText(writeForm, 10+id))
		r.hosts[0].nextQuery().answer("w")
		cl.want("value w")
	}
}

// Clients that asked once and stay are closed beyond a quarter of the descriptors, the longest resting first, though
// there is room here: their side has only so many.
func TestIdleClientsAreLimitedToAQuarterOfTheDescriptors(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 64 }) // 35 clients, of which 26 may have asked
	var stay []*pgClient
	for id := 0; id < 27; id++ {
		stay = append(stay, r.connect())
		stay[id].query(queryText(writeForm, id))
		r.hosts[0].nextQuery().answer("v")
		stay[id].want("value v")
	}
	stay[0].want("closed")
	stay[1].query("")
	stay[1].want("empty")
}

// What clients have begun and not ended is bounded in all: the one that holds most has to go, not the one that comes.
func TestBytesOfUnfinishedMessagesAreBounded(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.MemoryMB = 1 }) // 128 KiB
	usual, large := r.connect(), r.connect()
	usual.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()
	large.write(append([]byte("Q\x00\x03\xff\x00"), bytes.Repeat([]byte("x"), 160<<10)...))
	large.wantEnd()
	held.answer("v")
	usual.want("value v")
}

// A client may leave while its request waits for a connection, and word of it may lie behind much else. The last look is
// at its own socket: nothing is sent for it.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	r := newHarness(t, 0)
	r.hosts[0].startupGate = make(chan struct{})
	r.start(func(c *config.Config) { c.MemoryMB = 1 }) // 64 KiB that are not handled make the engine wait
	cl, flood := r.connect(), r.connect()
	cl.query(queryText(writeForm, 1))
	if q := r.hosts[0].nextQuery(); q != nil {
		t.Fatal("a query before the welcome")
	}
	r.onLoop(func() {
		close(r.hosts[0].startupGate)
		<-r.hosts[0].startedUp
		flood.write(append([]byte("Q\x00\x03\xff\x00"), bytes.Repeat([]byte("x"), 160<<10)...)) // the engine waits behind the welcome
		cl.conn.Close()
	})
	next := r.connect()
	next.query(queryText(writeForm, 2))
	q := r.hosts[0].nextQueryAfterStartups()
	if !strings.Contains(q.text, "id=2,") {
		t.Fatalf("sent for nobody: %s", q.text)
	}
	q.answer("w")
	next.want("value w")
}

// A request is cancelled from another connection by number and secret: it ends at once, and is not sent on. Nothing else
// cancels it.
func TestCancelRequestNeedsTheKeyAndEndsTheQuery(t *testing.T) {
	r := newHarness(t, 0)
	r.hosts[0].startupGate = make(chan struct{})
	r.start()
	cl := r.dial()
	cl.write(pgwire.AppendStartup(nil, "user", "worker"))
	key := cl.cancelKey()
	cl.query(queryText(writeForm, 1))
	if q := r.hosts[0].nextQuery(); q != nil {
		t.Fatal("a query before the welcome")
	}
	for i := range len(key) {
		wrong := bytes.Clone(key)
		wrong[i] ^= 1
		other := r.dial()
		other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), wrong...))
		other.want("closed")
	}
	if !r.inFlight() {
		t.Fatal("cancelled by a wrong key")
	}
	other := r.dial()
	other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	other.want("closed")
	cl.want("error 57014")
	close(r.hosts[0].startupGate)
	cl.query(queryText(writeForm, 2))
	q := r.hosts[0].nextQueryAfterStartups()
	if !strings.Contains(q.text, "id=2,") {
		t.Fatalf("sent although cancelled: %s", q.text)
	}
	q.answer("w")
	cl.want("value w")
	other = r.dial() // with nothing under way it cancels nothing
	other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	other.want("closed")
	cl.query("")
	cl.want("empty")
}
