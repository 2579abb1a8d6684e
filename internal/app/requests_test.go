package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/pgwire"
)

const (
	readForm  = "/* id=%d,c=lookup,d=%d,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'"
	writeForm = "/* id=%d,c=change,d=%d,cluster=1 */ INSERT INTO objects VALUES ('k')"
)

func queryText(form string, id int) string { return fmt.Sprintf(form, id, 60000) }

// The value comes back as the host gave it; statement and id go out unchanged, d as the time that is left.
func TestValueAndStatementAreForwardedUnchanged(t *testing.T) {
	r := startGateway(t, 0)
	cl := r.connect()
	cl.query(queryText(writeForm, 41))
	q := r.hosts[0].nextQuery()
	head, rest, _ := strings.Cut(q.text, ",d=")
	left, rest, _ := strings.Cut(rest, ",")
	var wait int
	if _, err := fmt.Sscan(left, &wait); err != nil || wait > 60000 || wait < 1 {
		t.Errorf("d is %q", left)
	}
	if got := head + ",d=60000," + rest; got != queryText(writeForm, 41) {
		t.Errorf("the host got %q", q.text)
	}
	value := strings.Repeat("\x00\xff'v", 120<<10) // 480 KiB, more than a socket gives at once, and than the protocol promises
	q.answer(value)
	cl.want("value " + value)
}

// A client may send ahead, its first query with the startup; answers keep the order and no request is lost.
func TestAnswersKeepTheOrderOfPipelinedQueries(t *testing.T) {
	r := startGateway(t, 0)
	cl := r.dial()
	b := pgwire.AppendStartup(nil, "user", "worker")
	for id := 1; id <= 3; id++ {
		b = pgwire.AppendQuery(pgwire.AppendQuery(b, queryText(writeForm, id)), "")
	}
	for _, ch := range b { // byte by byte: no cut may matter
		cl.write([]byte{ch})
	}
	cl.want("")
	for id := 1; id <= 3; id++ {
		q := r.hosts[0].nextQuery()
		q.answer(q.text[:strings.Index(q.text, ",")])
		cl.want(fmt.Sprintf("value /* id=%d", id))
		cl.want("empty")
	}
}

// A write that was written whole may have run: it fails and goes nowhere else. Its connection is not used again.
func TestWriteThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(*hostQuery){
		"reset": func(q *hostQuery) { q.conn.Close() },
		"error": func(q *hostQuery) { q.answerError("XX000") },
	} {
		t.Run(name, func(t *testing.T) {
			r := startGateway(t, 2)
			cl := r.connect()
			cl.query(queryText(writeForm, 1))
			end(r.hosts[0].nextQuery())
			cl.want("error " + pgwire.CodeSystemError)
			for i, h := range r.hosts {
				if len(h.queries) != 0 {
					t.Errorf("s-%d got the write again", i)
				}
			}
		})
	}
}

// A connection that is refused proves that nothing ran, and so does a miss: the write walks down the list.
func TestWriteTriesTheNextMemberWhenNothingRan(t *testing.T) {
	r := startGateway(t, 2)
	r.hosts[0].listener.Close()
	r.hosts[1].setPrimary(false)
	r.hosts[2].setPrimary(true)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	for {
		q, miss := (*hostQuery)(nil), false
		select {
		case q = <-r.hosts[1].queries:
			miss = true
		case q = <-r.hosts[2].queries:
		case <-time.After(testTimeout):
			t.Fatal("the write went nowhere")
		}
		if miss {
			q.answerError(pgwire.CodeReadOnly)
			continue
		}
		q.answer("done")
		break
	}
	cl.want("value done")
}

// While no host says that it is primary a write is held; it goes out once one does.
func TestWriteWaitsForAPrimary(t *testing.T) {
	r := startGateway(t, 1)
	r.hosts[0].setPrimary(false)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	for misses := 0; misses < 2; misses++ {
		select {
		case q := <-r.hosts[0].queries:
			q.answerError(pgwire.CodeReadOnly)
		case q := <-r.hosts[1].queries:
			q.answerError(pgwire.CodeReadOnly)
		case <-time.After(testTimeout):
			t.Fatal("the write did not walk")
		}
	}
	r.hosts[1].setPrimary(true) // told by the answer to a probe
	r.hosts[1].nextQuery().answer("done")
	cl.want("value done")
}

// A refusal says when to come back.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	r := startGateway(t, 0)
	r.hosts[0].listener.Close()
	cl := r.connect()
	cl.query(fmt.Sprintf(readForm, 1, 30))
	cl.want("error 53300 after 1000")
}

// Nothing new goes to a host that drains, and what it holds is finished.
func TestDrainingHostGetsNoNewRequests(t *testing.T) {
	r := startGateway(t, 2)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()
	r.nextWatch().writeChunk(`{"generation":8,"instances":` + r.instances("DRAINING", "DRAINING") + `}`)
	other := r.connect()
	for !r.hasGeneration(8) { // until the gateway has read the line
	}
	for id := 2; id < 12; id++ {
		other.query(queryText(readForm, id))
		r.hosts[2].nextQuery().answer("v")
		other.want("value v")
	}
	held.answer("done")
	cl.want("value done")
	if n := len(r.hosts[0].queries) + len(r.hosts[1].queries); n != 0 {
		t.Errorf("%d sent to hosts that drain", n)
	}
}

// No read is answered from data older than its class allows: the primary takes it if the replica stands too far back.
func TestStaleReplicaGetsNoRead(t *testing.T) {
	r := startGateway(t, 1)
	r.hosts[1].setPosition(time.Now().Add(-2 * time.Minute)) // the bound is 1 min
	cl := r.connect()
	for id := 1; id <= 5; id++ {
		cl.query(queryText(readForm, id))
		r.hosts[0].nextQuery().answer("fresh")
		cl.want("value fresh")
	}
	r.hosts[1].setPosition(time.Now())
	after := time.Now().UnixMilli() + 1000 // no replica has reached it
	cl.query(fmt.Sprintf("/* id=9,c=own,d=60000,cluster=1,after=%d */ SELECT body FROM objects WHERE oid = 'k'", after))
	r.hosts[0].nextQuery().answer("own")
	cl.want("value own")
	if len(r.hosts[1].queries) != 0 {
		t.Error("the replica got a read")
	}
}

// The id of a request that is owed an answer belongs to it: another under it gets an error and goes to no host.
func TestIDInFlightIsRejected(t *testing.T) {
	r := startGateway(t, 0)
	cl, other := r.connect(), r.connect()
	cl.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()
	other.query(queryText(writeForm, 1))
	other.want("error 42601")
	held.answer("v")
	cl.want("value v")
	other.query(queryText(writeForm, 1)) // it is free again
	r.hosts[0].nextQuery().answer("w")
	other.want("value w")
}
