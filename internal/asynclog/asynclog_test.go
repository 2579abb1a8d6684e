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

// testTimeout ends a test that hangs; no verdict depends on how soon anything happens.
const testTimeout = 30 * time.Second

// stallingLog is a log whose reader stalls until the test lets it go on.
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

// A reader of the log that stalls holds up nobody who logs: lines are dropped and counted, and the rest come in order.
func TestStalledReaderCostsLinesAndNoTime(t *testing.T) {
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
		t.Errorf("%d lines written up to %d, %d reported as dropped, of %d", count, last, dropped, lines)
	}
}

// A stalled reader holds up the end of the program no longer than the timeout.
func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	stalled := newStallingLog()
	w := New(stalled, "g")
	_, _ = w.Write([]byte("line\n"))
	<-stalled.started
	if w.Close(time.Millisecond) {
		t.Error("a line that was not written counts as written")
	}
	close(stalled.resume)
}

// brokenLog fails until it has a reader again.
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

// Lines that a log without a reader could not take are counted, and reported to the next reader.
func TestLinesLostWithTheReaderAreReported(t *testing.T) {
	broken := &brokenLog{failures: 2} // a line, and the report at the next line
	w := New(broken, "g")
	for _, line := range []string{"a\n", "b\n", "c\n", "d\n"} {
		_, _ = w.Write([]byte(line))
	}
	if !w.Close(testTimeout) {
		t.Error("not flushed")
	}
	got := broken.lines.String()
	if !strings.HasSuffix(got, "c\nd\n") || !strings.Contains(got, `"gateway":"g","lines":2`) || !strings.Contains(got, DroppedMessage) {
		t.Errorf("the log has %s", got)
	}
}

// The ring reports collisions of its writer and its reader by the standard logger, which writes to standard error on the
// caller's goroutine: a reader that stalls would stop the caller after all.
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
		t.Errorf("standard error got %q...", written.String()[:60])
	}
}

// BenchmarkWrite measures a line as the caller sees it, beside a write of the same line without the ring.
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
