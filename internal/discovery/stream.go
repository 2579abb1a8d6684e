package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
	"unicode"
)

const (
	maxHead = 16 << 10
	maxList = 4 << 20 // bytes of one list
)

// ErrWatchSilent is that discovery has said nothing for longer than it may.
var ErrWatchSilent = errors.New("nothing heard for too long")

// ErrWatchEnded is that discovery has ended an answer in order. A watch ends so only when the service stops.
var ErrWatchEnded = errors.New("the answer has ended")

// StatusError is an answer that is no list.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "status " + e.Status }

// SizeError is a list of more bytes than are held for one.
type SizeError struct{ MaxBytes int }

func (e *SizeError) Error() string { return fmt.Sprintf("a list of more than %d bytes", e.MaxBytes) }

// WatchError is why a watch ended.
type WatchError struct {
	Address string
	Err     error
}

func (e *WatchError) Error() string { return fmt.Sprintf("watch at %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *WatchError) Unwrap() error { return e.Err }

// Remedy says what an operator can do. The watch is begun anew in any case, and the last list holds meanwhile.
func (e *WatchError) Remedy() string {
	var status *StatusError
	var list *ListError
	var size *SizeError
	switch {
	case errors.Is(e.Err, ErrWatchSilent):
		return "see whether discovery is up behind the agent at this address, and whether packets to it are dropped"
	case errors.Is(e.Err, ErrWatchEnded):
		return "none if discovery is being restarted; else look into its log for why it ends watches"
	case errors.As(e.Err, &status):
		return "see that the key discovery names the agent, and that the agent serves /api/targets"
	case errors.As(e.Err, &list), errors.As(e.Err, &size):
		return "correct the named entry at discovery; this list was turned down whole"
	}
	return "see that the agent runs and that the key discovery of the configuration names its address"
}

// newTransport returns the HTTP client's lower half. Each watch has a connection of its own, whose socket has a name
// before it connects: not every platform names one that is still connecting.
func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4zero}, KeepAlive: -1}
		dial = d.DialContext
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHead}
}

// stream is one call to discovery. It is read on a goroutine of its own, beside the loop.
type stream struct {
	names   Names
	answer  time.Duration // within which the answer has to begin
	silence time.Duration // within which a line, a whole list, has to follow
	told    func(EndpointList)
	alive   func() // the first sign of life
}

// follow reads the answer to its end, and tells each list in it. The lists may be laid out over any number of lines.
func (s *stream) follow(ctx context.Context, t http.RoundTripper, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(s.answer, func() { cancel(ErrWatchSilent) })
	defer alarm.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "application/json")
	res, err := t.RoundTrip(req)
	if err != nil {
		return because(ctx, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{res.Status}
	}
	alarm.Reset(s.silence)
	first := sync.OnceFunc(s.alive)
	body := &pulse{in: res.Body, alive: func() {
		alarm.Reset(s.silence)
		first()
	}}
	lists := json.NewDecoder(body)
	for {
		var raw json.RawMessage
		if err := lists.Decode(&raw); errors.Is(err, io.EOF) {
			return because(ctx, ErrWatchEnded)
		} else if err != nil {
			return because(ctx, decoding(err))
		}
		l, err := Decode(raw, s.names)
		if err != nil {
			return err
		}
		s.told(l)
		if err := body.next(lists.Buffered()); err != nil {
			return err
		}
	}
}

// because prefers the reason for which the call was ended from this side.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// pulse passes the answer's body on and feels for signs of life: the end of a line between lists, the beginning of a
// list, and its end. Within a list nothing counts, so that one which drips in, or stops half way, ends the watch in time.
type pulse struct {
	in    io.Reader
	alive func()
	begun bool
	size  int // bytes since the last list, or of the one that has begun
}

// Read implements io.Reader.
func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.in.Read(b)
	p.feel(b[:n])
	if p.size > maxList {
		return 0, &SizeError{maxList}
	}
	return n, err
}

func (p *pulse) feel(b []byte) {
	for i, c := range b {
		if p.begun {
			p.size += len(b) - i
			return
		}
		switch {
		case c == '\n':
			p.alive()
		case !unicode.IsSpace(rune(c)):
			p.begun = true
			p.size++
			p.alive()
		}
	}
}

// next notes that a list is whole; rest is what has come behind it.
func (p *pulse) next(rest io.Reader) error {
	b, err := io.ReadAll(rest)
	if err != nil {
		return err
	}
	p.begun, p.size = false, 0
	p.alive()
	p.feel(b)
	return nil
}
