package restartsoak

import (
	"fmt"
	"time"

	"cloverrock/internal/pgwire"
)

// answerKind is how a request ended, as its client sees it.
type answerKind uint8

const (
	unanswered answerKind = iota
	served
	rejected
	failed
	crossed      // its connection was closed as it was sent, before the gateway read it
	notAccepted  // its connection was closed before any answer, in a crowd
	clientLeft   // its client closed the connection
	stillWaiting // the connection was open when the run ended
)

// request is one query of a client.
type request struct {
	id         int
	class      class
	sentAt     time.Time // when its last byte was written
	dueAt      time.Time // when its time was over; set with the answer
	answeredAt time.Time // or when it was seen that no answer comes
	answer     answerKind
	leftAt     time.Time // when its client left
	generation int       // of the process that it was sent to
}

// class is a class of requests.
type class struct {
	name  string
	wait  time.Duration
	write bool
}

// classes returns the classes of a plan; see settingsOf.
func (p *Plan) classes() []class {
	short := min(800, p.LongestMS)
	return []class{
		{name: "zone-lookup", wait: milliseconds(short)},
		{name: "zone-change", wait: milliseconds(p.LongestMS), write: true},
	}
}

// message is the query's message.
func (r *request) message() []byte {
	statement := "SELECT body FROM objects WHERE oid = 'k'"
	if r.class.write {
		statement = "INSERT INTO objects (oid, body) VALUES ('k', 'v') RETURNING body"
	}
	comment := fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=1 */ ", r.id, r.class.name, r.class.wait.Milliseconds())
	return pgwire.AppendQuery(nil, comment+statement)
}

// idOf returns the id in a statement's comment; 0 if it has none.
func idOf(statement string) (id int) {
	_, _ = fmt.Sscanf(statement, "/* id=%d,", &id) // 0 then
	return id
}
