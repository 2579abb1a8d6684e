// Package asynclog writes log lines on a goroutine of its own, so that nobody who logs waits for the reader of the log. If
// the reader stalls, the oldest lines are dropped and counted; if it goes away, so are those that it misses. The count is
// written once there is a reader again.
package asynclog

import (
	"bytes"
	"io"
	"log"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// maxLines bounds the lines that wait for the reader. Most have 100 to 300 bytes.
const maxLines = 1024

// DroppedMessage is the message of the line that reports dropped lines, in its field "lines".
const DroppedMessage = "asynclog: log lines dropped, the reader of the log was too slow or gone"

// Writer is an io.Writer for log lines that never blocks. It may be used by several goroutines.
type Writer struct {
	ring diode.Writer
	sink *sink
}

// New returns a Writer to out; its reports bear the gateway's name. For the whole process it ignores SIGPIPE, so that a write
// fails where the reader of the log is gone instead of ending the program, and silences the standard logger: the ring and the
// HTTP client write to it, and it would write to standard error on their callers' goroutines.
func New(out io.Writer, gateway string) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	log.SetOutput(io.Discard)
	s := &sink{out: out, gateway: gateway}
	dropped := func(lines int) { s.dropped.Add(int64(lines)) }
	return &Writer{ring: diode.NewWriter(s, maxLines, 0, dropped), sink: s}
}

// Write queues a copy of one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.ring.Write(line) }

// Close writes the lines that are queued, for as long as the timeout, and reports whether all were written. Nothing must be
// written to w any more.
func (w *Writer) Close(timeout time.Duration) bool {
	flushed := make(chan struct{})
	go func() {
		_ = w.ring.Close() // sink has nothing to close
		close(flushed)
	}()
	select {
	case <-flushed:
		return w.sink.dropped.Load() == 0
	case <-time.After(timeout):
		return false
	}
}

// sink writes lines to the log itself. Write belongs to the goroutine of the ring.
type sink struct {
	out     io.Writer
	gateway string
	dropped atomic.Int64 // lines since the last report of dropped lines
}

// Write writes the report of dropped lines, if there are any, and a line. A line that can't be written is dropped.
func (s *sink) Write(line []byte) (int, error) {
	if !s.reportDropped() {
		s.dropped.Add(1)
		return len(line), nil
	}
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// reportDropped writes the report, and returns false if that has failed.
func (s *sink) reportDropped() bool {
	lines := s.dropped.Swap(0)
	if lines == 0 {
		return true
	}
	var report bytes.Buffer
	logger := zerolog.New(&report).With().Timestamp().Str("gateway", s.gateway).Logger()
	logger.Warn().Int64("lines", lines).Msg(DroppedMessage)
	if _, err := s.out.Write(report.Bytes()); err != nil {
		s.dropped.Add(lines)
		return false
	}
	return true
}
