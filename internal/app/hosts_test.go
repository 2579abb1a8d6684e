package app

import (
	"fmt"
	"strings"
	"testing"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// The gateway closes an idle connection before the host does: otherwise a write could be sent on a connection that the
// host is closing, and it would be unknown whether the write was executed.
func TestIdleConnectionsCloseBeforeTheHostsDo(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.IdleClose = 40_000 })
	client := gw.connect()
	gw.exchange(client, 1, "v")
	gw.hosts[0].wantClosed()
}

// If a host sends anything that is not part of an answer, its connection is not used again. A valid answer before those
// bytes is still delivered; a faulty answer fails the request, since it may have been executed. The next request gets
// its own answer.
func TestFaultyAnswersFailAndEndTheirConnection(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.Settings.DialTimeout = 200e3 })
	ready := string(pgwire.AppendReadyForQuery(nil))
	const answered = "value v"
	const failed = "error " + pgwire.CodeSystemError
	row := string(rowMessages("v"))
	refusal := string(pgwire.AppendError(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "no"}))
	status := func(name, value string) string { return string(pgwire.AppendParameterStatus(nil, name, value)) }
	for name, c := range map[string]struct{ sent, want string }{
		"a second copy":            {row + ready + row + ready, answered},
		"noise after it":           {row + ready + "\xff\x00noise", answered},
		"one byte after it":        {row + ready + "T", answered},
		"a refusal after it":       {row + ready + refusal + ready, answered},
		"a malformed report":       {status("vitals", "x0=?,x1=1") + status("as_of", "-1e9") + "S\x00\x00\x00\x08open" + row + ready, answered},
		"noise":                    {"\xde\xad\xbe\xef", failed},
		"a line":                   {"HTTP/1.1 200 OK\r\n", failed},
		"noise before the row":     {"!" + row + ready, failed},
		"noise for the end":        {row + "!", failed},
		"two rows":                 {row + row + ready, failed},
		"a row without its header": {row[strings.IndexByte(row, 'D'):] + ready, failed},
		"no row":                   {string(pgwire.AppendCommandComplete(nil, "SELECT 0")) + ready, failed},
		"nothing but ready":        {ready, failed},
		"3 GB":                     {row[:strings.IndexByte(row, 'D')] + "D\xb2\xd0\x5e\x00\x00\x01\xb2\xd0\x5d\xf6vvvv", failed},
		"length below 4":           {"D\x00\x00\x00\x00", failed},
		"a value cut short":        {strings.Replace(row, "\x00\x00\x00\x01v", "\x00\x00\x00\x00v", 1) + ready, failed},
		"an error without its end": {"E\x00\x00\x00\x0cC53300\x00S" + ready, failed},
		"a refusal and more":       {refusal + "T" + ready, failed},
		"an answer without end":    {row[:len(row)-3], failed},
	} {
		t.Run(name, func(t *testing.T) {
			client := gw.connect()
			client.query(queryText(writeFormat, 1))
			if _, err := gw.hosts[0].nextQuery().conn.Write([]byte(c.sent)); err != nil {
				t.Fatal(err)
			}
			client.want(c.want)
			if name != "a malformed report" {
				gw.hosts[0].wantClosed()
			}
			gw.exchange(client, 2, "own")
			client.close()
		})
	}
}

// Bytes that a host sends on an idle connection are discarded. The answer to the next request does not contain them.
func TestBytesOnAnIdleConnectionAreDiscarded(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	query := gw.hosts[0].nextQuery()
	query.answer("v")
	client.want("value v")
	late := append(rowMessages("late"), pgwire.AppendReadyForQuery(nil)...)
	if _, err := query.conn.Write(late); err != nil {
		t.Fatal(err)
	}
	gw.exchange(client, 2, "own")
}

// A host gets a new address while a connection to its old address is being opened. An attempt that waits for that
// connection is sent to the new address.
func TestAttemptFollowsAHostThatMovesWhileItDials(t *testing.T) {
	gw := newHarness(t, 0)
	gw.hosts[0].startupGate = make(chan struct{})
	gw.start()
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	gw.hosts[0].nextQuery() // the host has received the startup
	moved := newFakeHost(t, true)
	list := `{"generation":8,"instances":[{"instanceId":"s-0","hostPort":%q,"cell":1,"lifecycle":"SERVING"}]}`
	gw.nextWatch().writeChunk(fmt.Sprintf(list, moved.listener.Addr()))
	gw.waitForGeneration(8)
	close(gw.hosts[0].startupGate)
	moved.nextQuery().answer("v")
	client.want("value v")
}

// A host whose connections always become ready after the dial timeout is dialed less and less often. No attempt waits
// for a dial that has timed out. Once the host is ready in time again, it is used.
func TestHostThatConnectsTooLateIsDialedLessOften(t *testing.T) {
	const deadline = 1500 // ms
	gw := newHarness(t, 0)
	gw.hosts[0].startupGate = make(chan struct{})
	gw.start(func(c *config.Config) { c.Settings.DialTimeout = 50e3 })
	var clients []*pgClient
	for id := range 8 {
		client := gw.connect()
		client.query(fmt.Sprintf(writeFormat, id, deadline))
		clients = append(clients, client)
	}
	for _, client := range clients {
		if got := client.answer(); !strings.HasPrefix(got, "error 53300") {
			t.Errorf("answered %q, want a rejection (53300)", got)
		}
	}
	var begun int
	gw.onLoop(func() { begun, _ = gw.server.pool.Dials() })
	t.Logf("%d dials in %d ms", begun, deadline)
	if begun > 10 { // four at once, then health checks with backoff
		t.Errorf("%d dials, want at most 10", begun)
	}
	close(gw.hosts[0].startupGate)
	client := gw.connect()
	client.query(queryText(writeFormat, 100))
	gw.hosts[0].nextQueryAfterStartups().answer("v")
	client.want("value v")
}

// When the list removes hosts, the gateway closes their connections and drops its state of them.
func TestRemovedHostsAreForgotten(t *testing.T) {
	gw := startGateway(t, 1)
	client := gw.connect()
	gw.exchange(client, 1, "v")
	watch := gw.nextWatch()
	watch.writeChunk(`{"generation":8,"instances":[{"instanceId":"s-0","lifecycle":"DELETED","cell":1}]}`)
	gw.hosts[0].wantClosed()
	watch.writeChunk(`{"generation":9,"reset":true,"instances":[]}`)
	for known := 2; known > 0; {
		gw.onLoop(func() { known = gw.server.pool.KnownHosts() })
	}
}
