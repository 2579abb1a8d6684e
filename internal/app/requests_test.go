package app

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/pgwire"
)

// The forms of queries, with an id and the time in milliseconds for which the client waits.
const (
	readFormat  = "/* id=%d,c=lookup,d=%d,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'"
	writeFormat = "/* id=%d,c=change,d=%d,cluster=1 */ INSERT INTO objects VALUES ('k')"
)

// queryText returns a query whose client waits for a minute.
func queryText(format string, id int) string { return fmt.Sprintf(format, id, 60000) }

// The client receives the value as the host sent it. The host receives the statement and the id unchanged, and in d the
// remaining time in milliseconds.
func TestValueAndStatementAreForwardedUnchanged(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.connect()
	client.query(queryText(writeFormat, 41))
	query := gw.hosts[0].nextQuery()
	head, rest, _ := strings.Cut(query.text, ",d=")
	left, rest, _ := strings.Cut(rest, ",")
	wait, err := strconv.Atoi(left)
	if err != nil || wait > 60000 || wait < 1 {
		t.Errorf("the host received d=%q, want 1 to 60000", left)
	}
	if got := head + ",d=60000," + rest; got != queryText(writeFormat, 41) {
		t.Errorf("the host received %q", query.text)
	}
	value := strings.Repeat("\x00\xff'v", 120<<10) // 480 KiB: more than one read of a socket returns
	query.answer(value)
	client.want("value " + value)
}

// A client may pipeline queries, the first one together with its startup. The answers keep the order of the queries,
// and no request is lost.
func TestAnswersKeepTheOrderOfPipelinedQueries(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.dial()
	b := pgwire.AppendStartup(nil, "user", "worker")
	for id := 1; id <= 3; id++ {
		b = pgwire.AppendQuery(pgwire.AppendQuery(b, queryText(writeFormat, id)), "")
	}
	for _, ch := range b { // byte by byte, so that messages are cut at every position
		client.write([]byte{ch})
	}
	client.want("")
	for id := 1; id <= 3; id++ {
		query := gw.hosts[0].nextQuery()
		head, _, _ := strings.Cut(query.text, ",")
		query.answer(head)
		client.want(fmt.Sprintf("value /* id=%d", id))
		client.want("empty")
	}
}

// A write that was sent completely may have been executed, so it fails and is sent to no other host. The connection on
// which it failed is not used again.
func TestWriteThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(*hostQuery){
		"reset": func(query *hostQuery) { query.reset() },
		"error": func(query *hostQuery) { query.answerError("XX000") },
	} {
		t.Run(name, func(t *testing.T) {
			gw := startGateway(t, 2)
			client := gw.connect()
			client.query(queryText(writeFormat, 1))
			end(gw.hosts[0].nextQuery())
			client.want("error " + pgwire.CodeSystemError)
			for i, h := range gw.hosts {
				if len(h.queries) != 0 {
					t.Errorf("the write was also sent to s-%d", i)
				}
			}
		})
	}
}

// A refused connection, or the error of a host that is not the primary, shows that the write was not executed. The
// write is retried at the next host of the group.
func TestWriteTriesTheNextMemberWhenNothingRan(t *testing.T) {
	gw := startGateway(t, 2)
	gw.hosts[0].stopListening()
	gw.hosts[1].setPrimary(false)
	gw.hosts[2].setPrimary(true)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	for {
		select {
		case query := <-gw.hosts[1].queries:
			query.answerError(pgwire.CodeReadOnly)
			continue
		case query := <-gw.hosts[2].queries:
			query.answer("done")
		case <-time.After(testTimeout):
			t.Fatal("no host received the write")
		}
		break
	}
	client.want("value done")
}

// While no host reports that it is the primary, a write waits and is not sent. It is sent once a host reports it.
func TestWriteWaitsForAPrimary(t *testing.T) {
	gw := startGateway(t, 1)
	gw.hosts[0].setPrimary(false)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	for range 2 {
		select {
		case query := <-gw.hosts[0].queries:
			query.answerError(pgwire.CodeReadOnly)
		case query := <-gw.hosts[1].queries:
			query.answerError(pgwire.CodeReadOnly)
		case <-time.After(testTimeout):
			t.Fatal("the write was not retried")
		}
	}
	gw.hosts[1].setPrimary(true) // reported by a health check
	gw.hosts[1].nextQuery().answer("done")
	client.want("value done")
}

// A rejection carries a Retry-After.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	gw := startGateway(t, 0)
	gw.hosts[0].stopListening()
	client := gw.connect()
	client.query(fmt.Sprintf(readFormat, 1, 30))
	client.want("error 53300 after 1000")
}

// A draining host gets no new requests, and its requests in flight are finished.
func TestDrainingHostGetsNoNewRequests(t *testing.T) {
	gw := startGateway(t, 2)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()
	gw.nextWatch().writeChunk(`{"generation":8,"instances":` + gw.instances("DRAINING", "DRAINING") + `}`)
	other := gw.connect()
	gw.waitForGeneration(8)
	for id := 2; id < 12; id++ {
		other.query(queryText(readFormat, id))
		gw.hosts[2].nextQuery().answer("v")
		other.want("value v")
	}
	held.answer("done")
	client.want("value done")
	if n := len(gw.hosts[0].queries) + len(gw.hosts[1].queries); n != 0 {
		t.Errorf("%d requests were sent to draining hosts", n)
	}
}

// No read is answered from data older than its class allows. If the replica lags too far, the primary gets the read.
func TestStaleReplicaGetsNoRead(t *testing.T) {
	gw := startGateway(t, 1)
	gw.hosts[1].setPosition(time.Now().Add(-2 * time.Minute)) // the class allows 1 min
	client := gw.connect()
	for id := 1; id <= 5; id++ {
		client.query(queryText(readFormat, id))
		gw.hosts[0].nextQuery().answer("fresh")
		client.want("value fresh")
	}
	gw.hosts[1].setPosition(time.Now())
	after := time.Now().UnixMilli() + 1000 // a log position that no replica has reached
	client.query(fmt.Sprintf("/* id=9,c=own,d=60000,cluster=1,after=%d */ SELECT body FROM objects WHERE oid = 'k'", after))
	gw.hosts[0].nextQuery().answer("own")
	client.want("value own")
	if len(gw.hosts[1].queries) != 0 {
		t.Error("the replica received a read")
	}
}

// A request whose id equals that of a request in flight is answered by an error and sent to no host.
func TestSecondRequestWithAnIDInFlightIsRejected(t *testing.T) {
	gw := startGateway(t, 0)
	client := gw.connect()
	other := gw.connect()
	client.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()
	other.query(queryText(writeFormat, 1))
	other.want("error 42601")
	held.answer("v")
	client.want("value v")
	other.query(queryText(writeFormat, 1)) // the id may be used again
	gw.hosts[0].nextQuery().answer("w")
	other.want("value w")
}
