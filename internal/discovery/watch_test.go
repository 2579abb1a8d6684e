package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// protocolLimit is the protocol's limit for silence. The tests state it independently of updateDeadline.
const protocolLimit = 6 * time.Second

// A watch that becomes silent is replaced early enough: even if the next two calls stay unanswered, the list arrives
// within updateDeadline after the silence began. A watch that receives an empty line every 2 s is not ended.
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
			time.Sleep(2 * time.Second) // in the time of the synctest bubble
			first.writeChunk("")
		}
		if len(s.calls) > 0 || s.endReason() != nil {
			t.Fatalf("a watch that receives empty lines was ended: %v", s.endReason())
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
			t.Errorf("the list arrived %v after the silence began", took)
		}
	})
}

// A first call that becomes silent is replaced in time, wherever in the response it stops.
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
					t.Errorf("the list arrived after %v", took)
				}
				if err := s.endReason(); !errors.Is(err, ErrWatchSilent) {
					t.Errorf("the call ended with %v", err)
				}
			})
		})
	}
}

// Each watch sends one list and then becomes silent. The list of the next watch arrives within protocolLimit.
func TestListArrivesInTimeAfterEachSilence(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		last := s.start
		for generation := 42; generation < 50; generation++ {
			call := <-s.calls
			call.beginChunked()
			call.writeChunk(listOfGeneration(generation))
			list := <-s.lists
			if took := time.Since(last); list.Generation != int64(generation) || took > protocolLimit {
				t.Errorf("the list of generation %d arrived after %v", list.Generation, took)
			}
			last = time.Now()
		}
	})
}

// Each watch is closed in the middle of a list whose length was not stated. The incomplete list is not reported, and its
// generation is not used for the next watch.
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
			t.Errorf("the list of generation %d arrived after %v", list.Generation, took)
		}
	})
}

// unansweredFor receives calls for the given time without answering them, and returns the last call.
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

// answerUntilListed answers the open call, if there is one, and further calls until a list has been reported.
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

// After an outage of the service of any length, the list arrives within protocolLimit of the service's return.
func TestListArrivesInTimeAfterAnOutage(t *testing.T) {
	runWatch(t, NewBackoff(300, false, 1), 7, func(s *testWatch) {
		for outage := time.Second; outage < 100*time.Second; outage += outage/6 + 700*time.Millisecond {
			open := s.unansweredFor(outage)
			back := time.Now()
			s.answerUntilListed(open)
			if took := time.Since(back); took > protocolLimit {
				t.Errorf("outage of %v: the list arrived %v after it", outage, took)
			}
		}
	})
}

// With PollFirst the complete list is requested by a separate call and then watched from its generation on. If that call
// fails, it is repeated first.
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

// After a change of the address, a list that arrives on the call to the former address is not reported.
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
			t.Errorf("got the list of generation %d after the request %s", list.Generation, current.request)
		}
		synctest.Wait()
		if len(s.lists) > 0 || s.endReason() != nil {
			t.Errorf("%d further lists; the call ended with %v", len(s.lists), s.endReason())
		}
	})
}

// Lists that a service sent without a pause filled the queue of the event loop, which every other connection shares.
func TestServiceIsReadAsFastAsItsListsAreHandled(t *testing.T) {
	const sent = 20
	runWatch(t, NewBackoff(1, false, 1), 7, func(s *testWatch) {
		call := <-s.calls
		call.beginChunked()
		held, written := make(chan struct{}), 0
		s.loop.Post(func() { <-held })
		s.background.Go(func() {
			for i := range sent {
				call.writeChunk(listOfGeneration(41 + i))
				written++
			}
		})
		synctest.Wait() // all goroutines wait
		if written > sent/2 {
			t.Errorf("%d of %d lists were read while the loop handled none of them", written, sent)
		}
		close(held)
		for i := range sent {
			if list := <-s.lists; list.Generation != int64(41+i) {
				t.Errorf("list %d has the generation %d, want %d", i, list.Generation, 41+i)
			}
		}
	})
}
