package gateway

import "cloverrock/balance"

// Body is what a host is sent for a request. Its content is agreed between the frontend and the backend; the gateway
// only passes it on.
type Body any

// Client receives the one final answer of its request. Its methods must not call the gateway before they return.
type Client interface {
	Serve(value []byte)      // the answer, as a host gave it
	Reject(retryAfter int64) // not executed, or safe to repeat: retry after so many microseconds; 0: at any time
	Fail()                   // may have been executed
	Disconnected() bool      // nobody waits for the answer any more, whether or not the gateway was notified
}

// Request is a request as a frontend has read it. Times are in microseconds on the loop's clock.
type Request struct {
	ClientID    string // as the client names it; for the log
	Class       int
	Group       int64
	Key         int64
	HasKey      bool
	Write       bool
	MinPosition int64 // log position that a read must see; 0 if none
	Deadline    int64 // when the client gives up
	Body        Body
	Client      Client
}

// Attempt is one sending of a request to a host.
type Attempt struct {
	Request  int64
	Number   int // counts the attempts of a request from 0
	Host     string
	Write    bool
	Deadline int64 // when to stop waiting, in microseconds on the loop's clock
	Body     Body
	// Expired reports, just before the first byte is written, that the attempt must not be sent any more: the decision
	// was taken before a connection was open.
	Expired func() bool
}

// Outcome is how an attempt or a health check ended.
type Outcome struct {
	Result   balance.Result
	Latency  int64 // microseconds
	Role     balance.Role
	Position int64 // log position of the host; 0 if it did not report one
	Report   balance.HostReport
	Value    []byte // the answer for the client of a request that succeeded
}

// Hosts carries attempts and health checks to hosts. Each Send and CheckHealth is followed by exactly one outcome,
// which is reported to the gateway after the call has returned.
type Hosts interface {
	Send(attempt Attempt)
	Cancel(request int64, number int)
	CheckHealth(host string)
	CloseIdle(host string)
}

// Endpoints requests the endpoint list from discovery.
type Endpoints interface {
	Subscribe()
	Poll()
}

// Peers sends gossip to other gateways; peer -1 stands for all of them.
type Peers interface {
	Send(peer int, data []byte)
}

// Clock returns the time in microseconds and calls back at a given time.
type Clock interface {
	Now() int64
	CallAt(at int64, f func())
}
