package asynclog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout ends a test that hangs. No test's result depends on the speed of the machine.
const testTimeout = 30 * time.Second

// stallingLog is a log whose reader stalls until the test closes resume.
type stallingLog struct {
	started chan struct{} // closed at the first write
	resume  chan struct{}
	once    sync.Once
	lines   bytes.Buffer
}

func newStallingLog() *stallingLog {
	return &stallingLog{started: make(chan struct{}), resume: make(chan struct{})}
}

func (s *stallingLog) Write(b []byte) (int, error) {
	s.once.Do(func() { close(s.started) })
	<-s.resume
	return s.lines.Write(b)
}

// If the reader of the log stalls, logging does not block: lines are dropped and counted, and the other lines are
// written in order.
func TestStalledReaderDropsLinesWithoutBlocking(t *testing.T) {
	const lines = 3 * maxLines
	stalled := newStallingLog()
	w := New(stalled, "g")
	for i := range lines {
		if i == 1 {
			<-stalled.started
		}
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	close(stalled.resume)
	w.Close(testTimeout)
	written := strings.Split(strings.TrimSpace(stalled.lines.String()), "\n")
	last, count, dropped := -1, 0, 0
	for _, line := range written {
		var report struct {
			Lines   int
			Message string
		}
		if json.Unmarshal([]byte(line), &report) == nil && report.Message == DroppedMessage {
			dropped += report.Lines
			continue
		}
		var number int
		if _, err := fmt.Sscan(line, &number); err != nil || number <= last {
			t.Fatalf("line %q after %d: %v", line, last, err)
		}
		last = number
		count++
	}
	if dropped == 0 || dropped+count != lines || last != lines-1 {
		t.Errorf("%d lines written, the last is line %d; %d reported as dropped; %d logged", count, last, dropped, lines)
	}
}

// If the reader of the log stalls, Close returns after its timeout.
func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	stalled := newStallingLog()
	w := New(stalled, "g")
	_, _ = w.Write([]byte("line\n"))
	<-stalled.started
	if w.Close(time.Millisecond) {
		t.Error("Close reported that all lines were written, want false")
	}
	close(stalled.resume)
}

// brokenLog is a log whose first writes fail, as if it had no reader.
type brokenLog struct {
	failures int
	lines    bytes.Buffer
}

func (b *brokenLog) Write(line []byte) (int, error) {
	if b.failures > 0 {
		b.failures--
		return 0, errors.New("broken pipe")
	}
	return b.lines.Write(line)
}

// Lines that a log without a reader did not accept are counted, and the count is written once writes succeed.
func TestLinesLostWithTheReaderAreReported(t *testing.T) {
	broken := &brokenLog{failures: 2} // the first line, and the report before the second
	w := New(broken, "g")
	for _, line := range []string{"a\n", "b\n", "c\n", "d\n"} {
		_, _ = w.Write([]byte(line))
	}
	if !w.Close(testTimeout) {
		t.Error("Close reported that lines were not written, want true")
	}
	got := broken.lines.String()
	if !strings.HasSuffix(got, "c\nd\n") || !strings.Contains(got, `"gateway":"g","lines":2`) || !strings.Contains(got, DroppedMessage) {
		t.Errorf("the log contains %s", got)
	}
}

// The ring reports collisions between its writer and its reader to the standard logger, which writes to standard error
// on the caller's goroutine. Unless this output is discarded, a stalled reader of standard error blocks the caller.
func TestRingDoesNotWriteToStandardError(t *testing.T) {
	var written bytes.Buffer
	log.SetOutput(&written)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	w := New(io.Discard, "g")
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 300 * maxLines {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	writers.Wait()
	w.Close(testTimeout)
	if written.Len() > 0 {
		t.Errorf("the standard logger wrote %q...", written.String()[:60])
	}
}

// BenchmarkWrite measures how long the caller takes to log a line, and for comparison a direct write of the same line.
func BenchmarkWrite(b *testing.B) {
	line := []byte(strings.Repeat("x", 200) + "\n")
	file, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = file.Close() })
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			_, _ = file.Write(line)
		}
	})
	b.Run("queued", func(b *testing.B) {
		w := New(file, "g")
		for b.Loop() {
			_, _ = w.Write(line)
		}
		w.Close(testTimeout)
	})
}
