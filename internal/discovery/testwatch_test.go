package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/eventloop"
)

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

const (
	indentedList = `{
  "generation": 41, "reset": true,
  "instances": [
    {
      "instanceId": "s-1", "hostPort": "10.1.0.18:6543",
      "cell": 3, "lifecycle": "SERVING"
    }
  ]
}`
	oneLineChange = `{"generation":42,"instances":[{"instanceId":"s-1","cell":3,"lifecycle":"DELETED"}]}`
)

// listOfGeneration returns indentedList with another generation.
func listOfGeneration(generation int) string {
	return strings.Replace(indentedList, `"generation": 41`, fmt.Sprintf(`"generation": %d`, generation), 1)
}

// serverCall is the service's side of one call.
type serverCall struct {
	net.Conn
	request string
}

// write writes text and reports whether the call is still open.
func (c *serverCall) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeChunk sends text as one chunk.
func (c *serverCall) writeChunk(text string) {
	c.write(fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text))
}

// beginChunked begins a chunked response.
func (c *serverCall) beginChunked() { c.write(responseHead + "Transfer-Encoding: chunked\r\n\r\n") }

// writeSlowly sends one part per second. A single part is sent byte by byte, repeatedly, for at least 40 bytes.
func (c *serverCall) writeSlowly(parts ...string) {
	if len(parts) == 1 {
		parts = strings.Split(strings.Repeat(parts[0], 1+40/len(parts[0])), "")
	}
	for _, part := range parts {
		if !c.write(fmt.Sprintf("%x\r\n%s\r\n", len(part), part)) {
			return
		}
		time.Sleep(time.Second) // in the time of the synctest bubble
	}
}

// testWatch is a watch in a synctest bubble. Time in the bubble advances only while all its goroutines wait, so no
// result depends on the machine's speed.
type testWatch struct {
	watch      *Watch
	calls      chan *serverCall
	lists      chan EndpointList
	start      time.Time
	loop       *eventloop.Loop
	lastError  error // why the last call ended
	background sync.WaitGroup
	serverEnds []net.Conn
}

// endReason returns the error that ended the last call, or nil if no call has ended.
func (s *testWatch) endReason() error {
	synctest.Wait()
	c := make(chan error)
	s.loop.Post(func() { c <- s.lastError })
	return <-c
}

// dial returns one end of a pipe. The request that is sent on it is reported in calls, together with the other end.
func (s *testWatch) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.serverEnds = append(s.serverEnds, server)
	go func() {
		rd := bufio.NewReader(server)
		if req, err := http.ReadRequest(rd); err == nil {
			s.calls <- &serverCall{server, req.URL.RequestURI()}
			_, _ = io.Copy(io.Discard, rd) // until the call ends for any reason
		}
	}()
	return client, nil
}

// runWatch runs f while a watch follows the list from the given generation on.
func runWatch(t *testing.T, backoff *Backoff, generation int64, f func(*testWatch), change ...func(*Watch)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &testWatch{
			calls: make(chan *serverCall, 64),
			lists: make(chan EndpointList, 64),
			start: time.Now(),
			loop:  eventloop.New(64, 1<<20, zerolog.Nop()),
		}
		s.watch = New(s.loop, Config{
			Address:    "192.0.2.1:8500",
			Generation: generation,
			Backoff:    backoff,
			Log:        zerolog.Nop(),
			Updated:    func(l EndpointList) { s.lists <- l },
			Failed:     func(err *WatchError) { s.lastError = err },
			Dial:       s.dial,
		})
		for _, f := range change {
			f(s.watch)
		}
		done := make(chan struct{})
		go func() { defer close(done); s.loop.Run() }()
		s.loop.Post(s.watch.Subscribe)
		f(s)
		s.loop.Post(func() { s.watch.Close(); s.loop.Stop() })
		<-done
		for _, c := range s.serverEnds {
			_ = c.Close() // may be closed already
		}
		s.background.Wait()
		synctest.Wait()
	})
}
