package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// A write that finds its idle connection closed by the host may not end as a reset: idle ones go sooner.
func TestIdleConnectionsCloseBeforeTheHostsDo(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.IdleClose = 40_000 })
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	r.hosts[0].nextQuery().answer("v")
	cl.want("value v")
	select {
	case <-r.hosts[0].closed:
	case <-time.After(testTimeout):
		t.Fatal("the idle connection stays open")
	}
}

// An answer ends where it ends. Whatever a host sends besides, its connection is not used again; a good answer
// before it counts, a spoilt one has failed and may have run, and the next request gets its own answer.
func TestFaultyAnswersFailAndEndTheirConnection(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Settings.DialTimeout = 200e3 })
	ready := string(pgwire.AppendReadyForQuery(nil))
	good, failed := "value v", "error "+pgwire.CodeSystemError
	whole := string(rowMessages("v"))
	full := string(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "no"}))
	status := func(name, value string) string { return string(pgwire.AppendParameterStatus(nil, name, value)) }
	for name, c := range map[string]struct{ sent, want string }{
		"a second copy":            {whole + ready + whole + ready, good},
		"noise behind":             {whole + ready + "\xff\x00noise", good},
		"one byte behind":          {whole + ready + "T", good},
		"a refusal behind":         {whole + ready + full + ready, good},
		"a report without sense":   {status("vitals", "x0=?,x1=1") + status("as_of", "-1e9") + "S\x00\x00\x00\x08open" + whole + ready, good},
		"noise":                    {"\xde\xad\xbe\xef", failed},
		"a line":                   {"HTTP/1.1 200 OK\r\n", failed},
		"noise before the row":     {"!" + whole + ready, failed},
		"noise for the end":        {whole + "!", failed},
		"two rows":                 {whole + whole + ready, failed},
		"a row without its head":   {whole[strings.IndexByte(whole, 'D'):] + ready, failed},
		"no row":                   {string(pgwire.AppendCommandComplete(nil, "SELECT 0")) + ready, failed},
		"nothing but ready":        {ready, failed},
		"3 GB":                     {whole[:strings.IndexByte(whole, 'D')] + "D\xb2\xd0\x5e\x00\x00\x01\xb2\xd0\x5d\xf6vvvv", failed},
		"length below 4":           {"D\x00\x00\x00\x00", failed},
		"a value cut short":        {strings.Replace(whole, "\x00\x00\x00\x01v", "\x00\x00\x00\x00v", 1) + ready, failed},
		"an error without its end": {"E\x00\x00\x00\x0cC53300\x00S" + ready, failed},
		"a refusal and more":       {full + "T" + ready, failed},
		"an answer without end":    {whole[:len(whole)-3], failed},
	} {
		t.Run(name, func(t *testing.T) {
			cl := r.connect()
			cl.query(queryText(writeForm, 1))
			if _, err := r.hosts[0].nextQuery().conn.Write([]byte(c.sent)); err != nil {
				t.Fatal(err)
			}
			cl.want(c.want)
			if name != "a report without sense" {
				select {
				case <-r.hosts[0].closed:
				case <-time.After(testTimeout):
					t.Fatal("the connection stays open")
				}
			}
			cl.query(queryText(writeForm, 2))
			r.hosts[0].nextQuery().answer("own")
			cl.want("value own")
			cl.conn.Close()
		})
	}
}

// What a host sends while its connection rests is nobody's answer.
func TestBytesOnAnIdleConnectionAreNobodysAnswer(t *testing.T) {
	r := startGateway(t, 0)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	q := r.hosts[0].nextQuery()
	q.answer("v")
	cl.want("value v")
	_, _ = q.conn.Write(append(rowMessages("late"), pgwire.AppendReadyForQuery(nil)...))
	cl.query(queryText(writeForm, 2))
	r.hosts[0].nextQuery().answer("own")
	cl.want("value own")
}

// A host moves while a connection to its old address opens: what waits for that goes to the new one.
func TestAttemptFollowsAHostThatMovesWhileItDials(t *testing.T) {
	r := newHarness(t, 0)
	r.hosts[0].startupGate = make(chan struct{})
	r.start()
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	r.hosts[0].nextQuery() // its startup is here
	moved := newFakeHost(t, true)
	r.nextWatch().writeChunk(fmt.Sprintf(`{"generation":8,"instances":[{"instanceId":"s-0","hostPort":%q,"cell":1,"lifecycle":"SERVING"}]}`, moved.listener.Addr()))
	for !r.hasGeneration(8) {
	}
	close(r.hosts[0].startupGate)
	moved.nextQuery().answer("v")
	cl.want("value v")
}

// A host whose connections come up long after they were given up, again and again, is dialled ever less often; no attempt
// stays behind a dial that was given up, and once the host welcomes in time it is found.
func TestHostThatConnectsTooLateIsDialedLessOften(t *testing.T) {
	const given = 1500 // ms
	r := newHarness(t, 0)
	r.hosts[0].startupGate = make(chan struct{})
	r.start(func(c *config.Config) { c.Settings.DialTimeout = 50e3 })
	var clients []*pgClient
	for id := range 8 {
		cl := r.connect()
		cl.query(fmt.Sprintf(writeForm, id, given))
		clients = append(clients, cl)
	}
	for _, cl := range clients {
		if got := cl.answer(); !strings.HasPrefix(got, "error 53300") {
			t.Errorf("answered %q", got)
		}
	}
	var begun int
	r.onLoop(func() { begun, _ = r.server.pool.Dials() })
	t.Logf("%d dials in %d ms", begun, given)
	if begun > 10 { // four at once, and then probes that grow rarer; 8 were seen
		t.Errorf("%d dials, want 10 at most", begun)
	}
	close(r.hosts[0].startupGate)
	cl := r.connect()
	cl.query(queryText(writeForm, 100))
	r.hosts[0].nextQueryAfterStartups().answer("v")
	cl.want("value v")
}

// Hosts that the list has dropped are forgotten with their connections.
func TestRemovedHostsAreForgotten(t *testing.T) {
	r := startGateway(t, 1)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	r.hosts[0].nextQuery().answer("v")
	cl.want("value v")
	a := r.nextWatch()
	a.writeChunk(`{"generation":8,"instances":[{"instanceId":"s-0","lifecycle":"DELETED","cell":1}]}`)
	select {
	case <-r.hosts[0].closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection stays open")
	}
	a.writeChunk(`{"generation":9,"reset":true,"instances":[]}`)
	for known := 2; known > 0; {
		r.onLoop(func() { known = r.server.pool.KnownHosts() })
	}
}
