package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHeaderBytes = 16 << 10
	maxListBytes   = 4 << 20 // of one list
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns the transport of the HTTP client. It uses dial, or TCP if dial is nil. Each call has a
// connection of its own. A TCP socket is bound before it connects, because not every platform shows the local address
// of a socket that is still connecting.
func newTransport(dial dialFunc) *http.Transport {
	if dial == nil {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4zero}, KeepAlive: -1}
		dial = dialer.DialContext
	}
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// stream is one call to the service. Its response is read on a goroutine of its own, which also calls the callbacks.
type stream struct {
	names           Names
	responseTimeout time.Duration // until the response begins
	silenceTimeout  time.Duration // between signs of life in the response
	onList          func(EndpointList)
	onAlive         func()      // called at most once, at the first sign of life in the response
	onEnd           func(error) // called once, after all other callbacks
}

// run makes the call and reports its end. Canceling the context cancels the call.
func (s *stream) run(ctx context.Context, transport http.RoundTripper, url string) {
	s.onEnd(s.follow(ctx, transport, url))
}

// follow reads the response to its end and reports each list in it. A list may span any number of lines. The error is
// never nil.
func (s *stream) follow(ctx context.Context, transport http.RoundTripper, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.responseTimeout, func() { cancel(ErrWatchSilent) })
	defer watchdog.Stop()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "application/json")
	res, err := transport.RoundTrip(req)
	if err != nil {
		return causeOr(ctx, err)
	}
	defer func() { _ = res.Body.Close() }() // the connection is not used again
	if res.StatusCode != http.StatusOK {
		return &StatusError{res.Status}
	}
	watchdog.Reset(s.silenceTimeout)
	firstSign := sync.OnceFunc(s.onAlive)
	body := &livenessReader{body: res.Body, onAlive: func() {
		watchdog.Reset(s.silenceTimeout)
		firstSign()
	}}
	return s.readLists(ctx, body)
}

// readLists reports the lists of a body until the body ends. Its end is reported as ErrWatchEnded.
func (s *stream) readLists(ctx context.Context, body *livenessReader) error {
	decoder := json.NewDecoder(body)
	for {
		var document json.RawMessage
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return causeOr(ctx, ErrWatchEnded)
		}
		if err != nil {
			return causeOr(ctx, decodeError(err))
		}
		list, err := Decode(document, s.names)
		if err != nil {
			return err
		}
		s.onList(list)
		if err := body.listEnded(decoder.Buffered()); err != nil {
			return err
		}
	}
}

// causeOr returns the reason for which the watch itself canceled the call, or err if it did not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
