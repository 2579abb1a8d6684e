package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// protocolLimit is the protocol's limit for silence. It is stated here independently of updateDeadline.
const protocolLimit = 6 * time.Second

// A watch that has fallen silent is replaced in time for the list to arrive within updateDeadline of the beginning of the
// silence, even if the next two calls stay unanswered. One that sends an empty line every 2 s is left alone.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		first := <-s.calls
		if first.request != "/api/targets?stream=1&index=7" {
			t.Errorf("requested %s", first.request)
		}
		first.beginChunked()
		first.writeChunk(oneLineChange)
		<-s.lists
		for range 20 {
			time.Sleep(2 * time.Second) // of the bubble's time
			first.writeChunk("")
		}
		if len(s.calls) > 0 || s.endReason() != nil {
			t.Fatalf("a watch that sends empty lines was ended: %v", s.endReason())
		}
		began := time.Since(s.start)
		<-s.calls // not answered
		<-s.calls
		third := <-s.calls
		if third.request != "/api/targets?stream=1&index=42" {
			t.Errorf("requested %s", third.request)
		}
		third.beginChunked()
		third.writeChunk(indentedList)
		<-s.lists
		if took := time.Since(s.start) - began; took > updateDeadline*time.Microsecond {
			t.Errorf("updated %v after the silence began", took)
		}
	})
}

// A first call that falls silent, wherever it does, is replaced in time.
func TestSilentFirstCallIsReplacedInTime(t *testing.T) {
	for name, fallSilent := range map[string]func(c *serverCall){
		"at once":             func(*serverCall) {},
		"after its head":      func(c *serverCall) { c.beginChunked() },
		"after half a line":   func(c *serverCall) { c.beginChunked(); c.write("10\r\n{\"generation\"") },
		"after half a list":   func(c *serverCall) { c.beginChunked(); c.writeChunk(indentedList[:60]) },
		"in blanks by byte":   func(c *serverCall) { c.beginChunked(); c.writeSlowly(" ") },
		"in a list by byte":   func(c *serverCall) { c.beginChunked(); c.writeSlowly(indentedList) },
		"in a list by a line": func(c *serverCall) { c.beginChunked(); c.writeSlowly(strings.SplitAfter(indentedList, "\n")...) },
	} {
		t.Run(name, func(t *testing.T) {
			runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
				first := <-s.calls
				s.background.Go(func() { fallSilent(first) })
				second := <-s.calls
				second.beginChunked()
				second.writeChunk(indentedList)
				<-s.lists
				if took := time.Since(s.start); took > updateDeadline*time.Microsecond {
					t.Errorf("updated after %v", took)
				}
				if err := s.endReason(); !errors.Is(err, ErrWatchSilent) {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

// Each watch sends one list and falls silent; the list of the next one arrives within protocolLimit.
func TestListArrivesInTimeAfterEachSilence(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		last := s.start
		for generation := 42; generation < 50; generation++ {
			call := <-s.calls
			call.beginChunked()
			call.writeChunk(listOfGeneration(generation))
			list := <-s.lists
			if took := time.Since(last); list.Generation != int64(generation) || took > protocolLimit {
				t.Errorf("updated to %d after %v", list.Generation, took)
			}
			last = time.Now()
		}
	})
}

// Each watch is reset in the middle of a list whose length was not stated; the list is neither reported nor used as the
// generation of the next watch.
func TestIncompleteListIsNotReported(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		for generation := 42; generation < 50; generation++ {
			call := <-s.calls
			if call.request != "/api/targets?stream=1&index=7" {
				t.Errorf("requested %s", call.request)
			}
			list := listOfGeneration(generation)
			call.write(responseHead + "\r\n" + list[:len(list)-1])
			if err := call.Close(); err != nil {
				t.Error(err)
			}
			if s.endReason() == nil || len(s.lists) > 0 {
				t.Error("an incomplete list was reported")
			}
		}
		call := <-s.calls
		call.write(responseHead + "\r\n" + listOfGeneration(50))
		list := <-s.lists
		if took := time.Since(s.start); list.Generation != 50 || took > protocolLimit {
			t.Errorf("updated to %d after %v", list.Generation, took)
		}
	})
}

// unansweredFor receives calls without an answer for a while, and returns the last.
func (s *testWatch) unansweredFor(outage time.Duration) (last *serverCall) {
	end := time.After(outage)
	for {
		select {
		case last = <-s.calls:
		case <-end:
			return last
		}
	}
}

// answerUntilListed answers the open call, if there is one, and the following ones until a list has arrived.
func (s *testWatch) answerUntilListed(call *serverCall) {
	for {
		if call != nil {
			call.beginChunked()
			call.writeChunk(listOfGeneration(60))
		}
		select {
		case call = <-s.calls:
		case <-s.lists:
			return
		}
	}
}

// However long the service was down, the changes that it then reports arrive within protocolLimit of its return.
func TestListArrivesInTimeAfterAnOutage(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		for outage := time.Second; outage < 100*time.Second; outage += outage/6 + 700*time.Millisecond {
			open := s.unansweredFor(outage)
			back := time.Now()
			s.answerUntilListed(open)
			if took := time.Since(back); took > protocolLimit {
				t.Errorf("down for %v: updated %v after it", outage, took)
			}
		}
	})
}

// With PollFirst the complete list is requested by itself, and then watched from its generation on; so, too, after a call
// for it that failed.
func TestPollFirstRequestsTheCompleteList(t *testing.T) {
	runWatch(t, NewBackoff(1, false, 1), 7, func(s *testWatch) {
		(<-s.calls).write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		poll := <-s.calls
		if poll.request != "/api/targets" {
			t.Errorf("requested %s", poll.request)
		}
		poll.write(responseHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(indentedList), indentedList))
		<-s.lists
		if watch := <-s.calls; watch.request != "/api/targets?stream=1&index=41" {
			t.Errorf("requested %s", watch.request)
		}
	}, func(w *Watch) { w.config.PollFirst = true })
}

// What comes on a call that was given up for one to another address is not reported.
func TestListsFromAFormerAddressAreDropped(t *testing.T) {
	runWatch(t, NewBackoff(1, false, 1), 7, func(s *testWatch) {
		former := <-s.calls
		former.beginChunked()
		former.writeChunk(indentedList)
		<-s.lists
		s.loop.Post(func() { s.watch.SetAddress("192.0.2.2:8500") })
		current := <-s.calls
		s.background.Go(func() { former.writeChunk(oneLineChange) })
		current.beginChunked()
		current.writeChunk(oneLineChange)
		if list := <-s.lists; list.Generation != 42 || current.request != "/api/targets?stream=1&index=41" {
			t.Errorf("updated to %d after %s", list.Generation, current.request)
		}
		synctest.Wait()
		if len(s.lists) > 0 || s.endReason() != nil {
			t.Errorf("%d more lists, ended with %v", len(s.lists), s.endReason())
		}
	})
}
