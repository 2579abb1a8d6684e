package discovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// updateDeadline is the protocol's limit for silence in microseconds. A change that a silent watch has not received
// counts as delivered this long after the silence began, even if it has not arrived.
const updateDeadline = 6e6

// silenceTimeout is the time in microseconds without a sign of life after which a watch is ended. The service sends an
// empty line every 2 s while nothing changes, so two lines are missing by then. The rest of updateDeadline is left for
// the next watch: two calls may stay unanswered, and the third still begins in time.
const silenceTimeout = 4.2e6

// Config configures a Watch.
type Config struct {
	Address      string // host:port of the service or its agent
	Names        Names
	Generation   int64 // of the list that the caller has; 0: none
	HasEndpoints bool  // whether the caller has a list to use while the first call waits
	// PollFirst requests the complete list by a separate call before the watch. A watch begins with the changes since
	// Generation, and a new process may not have the list to which these changes apply.
	PollFirst bool
	Backoff   *Backoff
	Updated   func(EndpointList) // called on the loop's goroutine with each list
	Failed    func(*WatchError)  // called on the loop's goroutine at the end of each call, before the wait for the next
	Dial      dialFunc           // nil: TCP
	Log       zerolog.Logger
}

// Watch follows the endpoint list by one call at a time and reconnects when the call ends. Its methods must be called on
// the loop's goroutine; responses are read on goroutines of their own.
type Watch struct {
	config     Config
	loop       *eventloop.Loop
	transport  *http.Transport
	subscribed bool
	cancelCall context.CancelCauseFunc // of the current call; nil before the first
	callNumber int                     // of the current call; events of earlier calls are ignored
	alive      bool                    // whether the current call has received a sign of life
}

// New returns a watch that makes no call before Subscribe.
func New(l *eventloop.Loop, c Config) *Watch {
	return &Watch{config: c, loop: l, transport: newTransport(c.Dial)}
}

// Subscribe makes the first call; calling Subscribe again does nothing. If Config.HasEndpoints is set and many gateways
// may start at the same time, it waits before the call.
func (w *Watch) Subscribe() {
	if w.subscribed {
		return
	}
	w.subscribed = true
	w.connectAfter(w.config.Backoff.BeforeFirstCall(w.config.HasEndpoints))
}

// Poll requests the complete list and then resumes the watch. It replaces the current call.
func (w *Watch) Poll() {
	w.config.PollFirst = true
	w.connect()
}

// Close ends the watch. Nothing is reported afterwards.
func (w *Watch) Close() {
	w.callNumber++
	w.cancelCurrent()
}

// SetAddress follows the list at another address, from the last reported generation on. The current call is canceled
// immediately, so changes that have not been read completely are not reported.
func (w *Watch) SetAddress(address string) {
	if address == w.config.Address {
		return
	}
	w.config.Log.Info().Str("from", w.config.Address).Str("to", address).Msg("discovery: address changed")
	w.config.Address = address
	w.config.Backoff.RecordSuccess()
	if w.cancelCall != nil {
		w.connect()
	}
}

// connectAfter makes a call after a wait in microseconds, unless another call is made in the meantime.
func (w *Watch) connectAfter(wait int64) {
	if wait == 0 {
		w.connect()
		return
	}
	number := w.callNumber
	w.loop.CallAt(w.loop.Now()+wait, func() {
		if w.callNumber == number {
			w.connect()
		}
	})
}

func (w *Watch) cancelCurrent() {
	if w.cancelCall != nil {
		w.cancelCall(errSuperseded)
	}
}

// connect replaces the current call by a new one.
func (w *Watch) connect() {
	w.cancelCurrent()
	w.alive = false
	w.callNumber++
	number := w.callNumber
	address := w.config.Address
	ctx, cancel := context.WithCancelCause(context.Background())
	w.cancelCall = cancel
	callEnded := ctx.Done()
	call := &stream{
		names:           w.config.Names,
		responseTimeout: time.Duration(w.config.Backoff.ResponseTimeout()) * time.Microsecond,
		silenceTimeout:  silenceTimeout * time.Microsecond,
		onList:          func(l EndpointList) { w.runOnLoop(callEnded, func() { w.listReceived(number, l) }) },
		onAlive:         func() { w.loop.Post(func() { w.callAlive(number) }) },
		onEnd: func(err error) {
			cancel(nil)
			w.loop.Post(func() { w.callEnded(number, &WatchError{address, err}) })
		},
	}
	go call.run(ctx, w.transport, w.url())
}

// runOnLoop runs f on the loop's goroutine and waits until it has run, or until the call has ended. So a service that sends lists
// without a pause is read only as fast as the loop handles them.
func (w *Watch) runOnLoop(callEnded <-chan struct{}, f func()) {
	done := make(chan struct{})
	w.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-callEnded:
	case <-w.loop.Done():
	}
}

func (w *Watch) url() string {
	url := fmt.Sprintf("http://%s/api/targets", w.config.Address)
	if w.config.PollFirst {
		return url
	}
	return fmt.Sprintf("%s?stream=1&index=%d", url, w.config.Generation)
}

// callAlive records the first sign of life in the response to a call.
func (w *Watch) callAlive(number int) {
	if number != w.callNumber {
		return
	}
	w.alive = true
	w.config.Backoff.RecordSuccess()
}

// listReceived reports a list of the current call. A call for the complete list is followed by the watch.
func (w *Watch) listReceived(number int, l EndpointList) {
	if number != w.callNumber {
		return
	}
	l.Complete = l.Complete || w.config.PollFirst
	w.config.Generation = l.Generation
	w.config.Updated(l)
	if w.config.PollFirst {
		w.config.PollFirst = false
		w.connect()
	}
}

// callEnded reports the end of the current call and reconnects after a wait.
func (w *Watch) callEnded(number int, err *WatchError) {
	if number != w.callNumber {
		return
	}
	w.config.Log.Warn().Err(err).Str("remedy", err.Remedy()).Msg("discovery: watch ended, reconnecting")
	w.config.Failed(err)
	if w.alive {
		w.connectAfter(w.config.Backoff.AfterWatchEnded())
		return
	}
	w.connectAfter(w.config.Backoff.AfterFailure())
}
