package restartsoak

import (
	"fmt"
	"time"

	"cloverrock/internal/pgwire"
)

// outcome is the outcome of a request from the client's point of view.
type outcome uint8

const (
	unanswered outcome = iota
	served
	rejected
	failed
	closeRace          // the connection was closed while the request was being sent, before the gateway read it
	notAccepted        // the connection was closed before its first answer, while idle connections used up the descriptors
	clientDisconnected // the client closed the connection on purpose
	pendingAtEnd       // no answer had arrived when the client closed the connection at the end of the run
)

// request is one query of a client.
type request struct {
	id             int
	class          class
	sentAt         time.Time // when its last byte was written
	dueAt          time.Time // latest time of its answer, without answerSlack; set together with the outcome
	endedAt        time.Time // when the answer arrived, or when the connection ended without one
	outcome        outcome
	disconnectedAt time.Time // when the client disconnected on purpose; zero if it did not
	generation     int       // number of the process that it was sent to
}

// class is a request class.
type class struct {
	name     string
	deadline time.Duration
	write    bool
}

// classes returns the request classes that the clients use, with the deadline that each query states. The deadlines in the
// gateway's configuration are those of run.classSettings.
func (p *Plan) classes() []class {
	short := min(800, p.LongestDeadlineMS)
	return []class{
		{name: "zone-lookup", deadline: milliseconds(short)},
		{name: "zone-change", deadline: milliseconds(p.LongestDeadlineMS), write: true},
	}
}

// message returns the encoded query of the request.
func (r *request) message() []byte {
	statement := "SELECT body FROM objects WHERE oid = 'k'"
	if r.class.write {
		statement = "INSERT INTO objects (oid, body) VALUES ('k', 'v') RETURNING body"
	}
	comment := fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=1 */ ", r.id, r.class.name, r.class.deadline.Milliseconds())
	return pgwire.AppendQuery(nil, comment+statement)
}

// idOf returns the request id in a statement's comment, or 0 if there is none.
func idOf(statement string) (id int) {
	_, _ = fmt.Sscanf(statement, "/* id=%d,", &id) // id stays 0 on an error
	return id
}
