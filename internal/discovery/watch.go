package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

// toldWithin is the protocol's one clock for silence: what a watch that has fallen silent misses counts as told so long
// after it fell silent, whether or not it arrived.
const toldWithin = 6e6

// silence is when nobody is there: an empty line comes every 2 s while nothing changes, and then two are missing. What
// is left of toldWithin is for the new watch: two tries may go unanswered, and the third still begins within it.
const silence = 4.2e6

// Config says what to follow, and whom to tell.
type Config struct {
	Address      string
	Names        Names
	Generation   int64 // of the list to go on from
	HasEndpoints bool  // there is a list to go on with while the first call waits
	// Whole has the whole list asked for by a call of its own before the watch: what a watch tells first are the changes
	// since a generation, and of the list that they belong to a new process may know nothing, or what is long past.
	PollFirst bool
	Backoff   *Backoff
	Updated   func(EndpointList) // on the loop's goroutine, like Failed
	Failed    func(*WatchError)
	Dial      func(ctx context.Context, network, address string) (net.Conn, error) // nil: TCP
	Log       zerolog.Logger
}

// Watch follows the list by one call at a time, and calls again when that ends. The last list holds until a new one
// comes. It belongs to the loop's goroutine; the calls are read beside it.
type Watch struct {
	Config
	loop      *eventloop.Loop
	transport *http.Transport
	begun     bool
	hang      context.CancelCauseFunc // ends the call that is current
	call      int                     // its number
	heard     bool                    // it has given a sign of life
}

// New returns a watch that has not begun.
func New(l *eventloop.Loop, c Config) *Watch {
	return &Watch{Config: c, loop: l, transport: newTransport(c.Dial)}
}

// Subscribe starts to follow, if that has not begun: in a while, where many may start at once and there is a list to go
// on with.
func (w *Watch) Subscribe() {
	if w.begun {
		return
	}
	w.begun = true
	w.connectIn(w.Backoff.BeforeFirstCall(w.HasEndpoints))
}

// Poll asks for the whole list anew.
func (w *Watch) Poll() {
	w.PollFirst = true
	w.connect()
}

// errLeft ends a call that nobody waits for any more.
var errLeft = errors.New("given up")

// Close ends the watch; nothing more is told.
func (w *Watch) Close() {
	w.call++
	if w.hang != nil {
		w.hang(errLeft)
	}
}

// SetAddress follows the list at another address from now on. What was told stays, and the new watch goes on from
// there; the old one is not waited for, since it may close without telling the last changes.
func (w *Watch) SetAddress(address string) {
	if address == w.Address {
		return
	}
	w.Log.Info().Str("from", w.Address).Str("to", address).Msg("discovery: moving")
	w.Address = address
	w.Backoff.RecordSuccess()
	if w.hang != nil {
		w.connect()
	}
}

// connectIn calls after a wait, unless another call is made before.
func (w *Watch) connectIn(wait int64) {
	if wait == 0 {
		w.connect()
		return
	}
	n := w.call
	w.loop.CallAt(w.loop.Now()+wait, func() {
		if w.call == n {
			w.connect()
		}
	})
}

func (w *Watch) connect() {
	if w.hang != nil {
		w.hang(errLeft)
	}
	ctx, hang := context.WithCancelCause(context.Background())
	w.hang, w.heard = hang, false
	w.call++
	n, address := w.call, w.Address
	s := &stream{
		names: w.Names, silence: silence * time.Microsecond, answer: time.Duration(w.Backoff.ResponseTimeout()) * time.Microsecond,
		told:  func(l EndpointList) { w.loop.Post(func() { w.told(n, l) }) },
		alive: func() { w.loop.Post(func() { w.lives(n) }) },
	}
	url := fmt.Sprintf("http://%s/api/targets?stream=1&index=%d", address, w.Generation)
	if w.PollFirst {
		url = fmt.Sprintf("http://%s/api/targets", address)
	}
	go func() {
		err := s.follow(ctx, w.transport, url)
		hang(nil)
		w.loop.Post(func() { w.ended(n, &WatchError{address, err}) })
	}()
}

// lives notes the current call's first sign of life.
func (w *Watch) lives(call int) {
	if call == w.call {
		w.heard = true
		w.Backoff.RecordSuccess()
	}
}

// told takes a list of the current call.
func (w *Watch) told(call int, l EndpointList) {
	if call != w.call {
		return
	}
	w.Generation, l.Complete = l.Generation, l.Complete || w.PollFirst
	w.Updated(l)
	if w.PollFirst {
		w.PollFirst = false
		w.connect()
	}
}

// ended comes back a little later.
func (w *Watch) ended(call int, err *WatchError) {
	if call != w.call {
		return
	}
	w.Log.Warn().Err(err).Str("remedy", err.Remedy()).Msg("discovery: watch ended, connecting again")
	w.Failed(err)
	if w.heard {
		w.connectIn(w.Backoff.AfterWatchEnded())
	} else {
		w.connectIn(w.Backoff.AfterFailure())
	}
}
