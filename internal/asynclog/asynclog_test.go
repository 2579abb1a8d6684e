package asynclog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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
	log := newStallingLog()
	w := New(log, "g")
	for i := range lines {
		if i == 1 {
			<-log.started
		}
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	close(log.resume)
	w.Close(testTimeout)
	written := strings.Split(strings.TrimSpace(log.lines.String()), "\n")
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
	log := newStallingLog()
	w := New(log, "g")
	_, _ = w.Write([]byte("line\n"))
	<-log.started
	if w.Close(time.Millisecond) {
		t.Error("a line that was not written counts as written")
	}
	close(log.resume)
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
	log := &brokenLog{failures: 2} // a line, and the report at the next line
	w := New(log, "g")
	for _, line := range []string{"a\n", "b\n", "c\n", "d\n"} {
		_, _ = w.Write([]byte(line))
	}
	if !w.Close(testTimeout) {
		t.Error("not flushed")
	}
	got := log.lines.String()
	if !strings.HasSuffix(got, "c\nd\n") || !strings.Contains(got, `"gateway":"g","lines":2`) || !strings.Contains(got, DroppedMessage) {
		t.Errorf("the log has %s", got)
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
