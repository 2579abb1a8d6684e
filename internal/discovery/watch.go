package discovery

import (
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"cloverrock/internal/loop"
)

// silence is when nobody is there: an empty line comes every 2 s while nothing changes, and this is twice that and some.
const silence = 5e6

// Watch follows the list over one connection at a time, and connects again when that ends. The last list holds
// until a new one comes. It belongs to the loop's goroutine.
type Watch struct {
	loop    *loop.Loop
	address string
	names   Names
	log     zerolog.Logger
	told    func(List)
	failed  func()

	generation int64
	known      bool
	retry      *Retry
	begun      bool
	current    *stream
	quiet      *loop.Timer
}

// New returns a watch that goes on from a list's generation; known tells that there is such a list.
func New(l *loop.Loop, address string, names Names, generation int64, known bool, retry *Retry, told func(List), failed func(), log zerolog.Logger) *Watch {
	return &Watch{loop: l, address: address, names: names, generation: generation, known: known,
		told: told, failed: failed, retry: retry, log: log}
}

// Generation is the version of the list that was told last.
func (w *Watch) Generation() int64 { return w.generation }

// Subscribe starts to follow, if that has not begun: in a while, where many may start at once and there is a list to go
// on with.
func (w *Watch) Subscribe() {
	if w.begun {
		return
	}
	w.begun = true
	wait := w.retry.First(w.known)
	if wait == 0 {
		w.connect()
		return
	}
	w.loop.At(w.loop.Now()+wait, func() {
		if w.current == nil {
			w.connect()
		}
	})
}

// Fetch asks for the whole list anew.
func (w *Watch) Fetch() {
	w.generation = 0
	if w.current != nil {
		w.current.net.Close()
	}
	w.connect()
}

// Move follows the list at another address from now on. What was told stays, and the new watch goes on from
// there; the old one is not waited for, since it may close without telling the last changes.
func (w *Watch) Move(address string) {
	if address == w.address {
		return
	}
	w.log.Info().Str("from", w.address).Str("to", address).Msg("discovery: moving")
	w.address = address
	w.retry.Told()
	if w.current != nil {
		w.current.net.Close()
		w.connect()
	}
}

func (w *Watch) connect() {
	s := &stream{watch: w}
	w.current = s
	w.listen()
	s.net = w.loop.Dial(w.address, s)
	s.net.Write(fmt.Appendf(nil, "GET /api/targets?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
		w.generation, w.address))
}

// listen sets the time until silence counts as the end.
func (w *Watch) listen() {
	w.quiet.Stop()
	s := w.current
	w.quiet = w.loop.At(w.loop.Now()+silence, func() { s.end(errors.New("nothing heard for too long")) })
}

// stream is one connection to discovery.
type stream struct {
	watch    *Watch
	net      *loop.Conn
	response response
}

// Data implements loop.Handler.
func (s *stream) Data(b []byte) {
	if s.watch.current != s {
		return
	}
	s.watch.listen()
	if err := s.response.feed(b, s.line); err != nil {
		s.end(err)
	}
}

func (s *stream) line(b []byte) error {
	w := s.watch
	if len(b) == 0 {
		return nil
	}
	l, err := Decode(b, w.names)
	if err != nil {
		return err
	}
	w.generation = l.Generation
	w.retry.Told()
	w.told(l)
	return nil
}

// Closed implements loop.Handler.
func (s *stream) Closed(err error) { s.end(err) }

// end closes the connection and comes back a little later.
func (s *stream) end(err error) {
	w := s.watch
	if w.current != s {
		return
	}
	s.net.Close()
	w.quiet.Stop()
	w.log.Warn().Err(err).Msg("discovery: watch ended, connecting again")
	w.failed()
	w.loop.At(w.loop.Now()+w.retry.Failed(), func() {
		if w.current == s {
			w.connect()
		}
	})
}
