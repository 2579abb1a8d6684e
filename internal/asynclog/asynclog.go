// Package asynclog writes log lines on a goroutine of its own, so that logging never waits for the reader of the log.
// If the reader stalls, the oldest lines are dropped. If the reader has closed its end, the lines written meanwhile are
// lost. Both are counted, and the count is written as soon as a line can be written again.
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

// maxLines limits the number of lines that wait to be written. Most lines have 100 to 300 bytes.
const maxLines = 1024

// DroppedMessage is the message of the line that reports dropped lines, in its field "lines".
const DroppedMessage = "asynclog: log lines dropped, the reader of the log was too slow or gone"

// Writer is an io.Writer for log lines that never blocks. It may be used by several goroutines.
type Writer struct {
	ring diode.Writer
	sink *sink
}

// New returns a Writer to out. Its reports of dropped lines contain the gateway's name.
//
// New changes two settings of the whole process. It ignores SIGPIPE, so that a write to a log whose reader is gone fails
// instead of ending the program. It discards the output of the standard logger: the ring and the HTTP client use that
// logger, and it would write to standard error on the goroutines of their callers.
func New(out io.Writer, gateway string) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	log.SetOutput(io.Discard)
	s := &sink{out: out, gateway: gateway}
	dropped := func(lines int) { s.dropped.Add(int64(lines)) }
	return &Writer{ring: diode.NewWriter(s, maxLines, 0, dropped), sink: s}
}

// Write queues a copy of one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.ring.Write(line) }

// Close writes the queued lines, but returns after the timeout if that takes longer. It reports whether all lines were
// written. Write must not be called any more once Close has been called.
func (w *Writer) Close(timeout time.Duration) bool {
	flushed := make(chan struct{})
	go func() {
		_ = w.ring.Close() // never fails: the sink has no Close method
		close(flushed)
	}()
	select {
	case <-flushed:
		return w.sink.dropped.Load() == 0
	case <-time.After(timeout):
		return false
	}
}

// sink writes lines to the log. Write is called only on the goroutine of the ring.
type sink struct {
	out     io.Writer
	gateway string
	dropped atomic.Int64 // number of lines dropped since the last report of dropped lines
}

// Write writes the report of dropped lines, if any were dropped, and then a line. A line that can't be written is
// counted as dropped.
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

// reportDropped writes the report of dropped lines, if any were dropped. It returns false if the write failed.
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
