package gateway

import "cloverrock/balance"

// Body is the content of a request that is sent to a host. Its type is agreed between the frontend and the backend; the
// gateway only passes it on.
type Body any

// Client receives the single final answer of its request. Its methods must not call the gateway before they return.
type Client interface {
	Serve(value []byte)      // value is the answer of a host
	Reject(retryAfter int64) // not executed, or safe to repeat; retryAfter in microseconds, 0: any time
	Fail()                   // may have been executed
	Disconnected() bool      // the client has disconnected, even if the gateway was not notified yet
}

// Request is a request as a frontend has read it. Times are in microseconds on the loop's clock.
type Request struct {
	ClientID    string // id that the client has set; only for the log
	Class       int
	Group       int64
	SessionKey  int64
	HasSession  bool
	Write       bool
	MinPosition int64 // log position that a read must include; 0 if none
	Deadline    int64 // when the client stops waiting
	Body        Body
	Client      Client
}

// Attempt is the sending of a request to one host.
type Attempt struct {
	Request  int64
	Number   int // number of the attempt within its request, from 0
	Host     string
	Write    bool
	Deadline int64 // when to stop waiting, in microseconds on the loop's clock
	Body     Body
	// Expired reports whether the attempt must no longer be sent. It is called just before the first byte is written,
	// because the decision to send it may have been made before a connection was open.
	Expired func() bool
}

// Outcome is the result of an attempt or a health check.
type Outcome struct {
	Result   balance.Result
	Latency  int64 // microseconds
	Role     balance.Role
	Position int64 // log position of the host; 0 if it did not report one
	Report   balance.HostReport
	Value    []byte // the answer for the client if the request succeeded
}

// Hosts sends attempts and health checks to hosts. Each Send and CheckHealth has exactly one outcome, which is reported
// to the gateway after the call has returned.
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
