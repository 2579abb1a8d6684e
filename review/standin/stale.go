package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case "stale": a primary hangs for a few seconds and is replaced; it comes back as a replica that is behind. A
// session has written at the new primary, by way of gateway g2, and reads by way of gateway g1, which had no traffic
// meanwhile. g1 sends its reads to the host that it still takes for the primary. That is excused until an answer has told
// g1 that the host is a replica, and for 100 ms more. A read that still waits for a connection must not be sent there
// after that.

const (
	hangFor      = 6500 * time.Millisecond // 5.9 to 20 s
	takeoverFrom = 4 * time.Second         // given up after 1.3 to 2.9 s, replaced 1.6 to 3.4 s later
	listLate     = 2 * time.Second         // 1.3 to 3.8 s
	catchUpSpeed = 2.0                     // seconds of log that a replica applies in a second
	lateBy       = 225 * time.Millisecond  // one connection in three comes up late; up to 1.5 s
	toldAfterMS  = 100                     // what an answer tells counts as known from then on
	slackMS      = 50                      // of every time limit
)

func init() { cases["stale"] = staleCase }

type staleRig struct {
	*rig
	hosts  []*host
	group  *group
	g1, g2 *gateway

	hung     atomic.Int64 // Unix time in ms at which the hang begins; 0: none
	hungTill atomic.Int64
	burst    atomic.Int64 // number of connections to the first primary since the session's reads; negative: none yet

	mu   sync.Mutex
	told map[string]int64 // by host: when an answer to g1 first said that it is a replica
	sent map[string]sentRead
}

type sentRead struct {
	host           string
	at             int64
	position, told int64
	primary        bool
}

func staleCase(r *rig) (int, error) {
	s := &staleRig{rig: r, told: map[string]int64{}, sent: map[string]sentRead{}}
	if err := s.start(); err != nil {
		return 0, err
	}
	warm, err := dialClient(s.g1.listen)
	if err != nil {
		return 0, err
	}
	defer warm.close()
	answer, err := warm.query(writeText("g1-warm", "zone-change", "key0", []byte("v0"), 3000, 1), 4*time.Second)
	r.rec.line("client of g1: g1-warm: %v %v", answer, err)
	if err != nil || !answer.served {
		return 0, errors.New("the first write at g1 was not served")
	}
	if r.trouble {
		s.hang()
	}
	after, err := s.writeAtG2()
	if err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond)
	return s.readAtG1(after)
}

func (s *staleRig) start() error {
	s.hosts, s.group = startGroup(s.rec, "db1", "db2", "db3", "db4", "db5", "db6")
	first := s.hosts[0]
	first.hanging = func() bool {
		now := nowMS()
		return s.hung.Load() != 0 && now >= s.hung.Load() && now < s.hungTill.Load()
	}
	first.position = func() int64 { // as a replica it applies what it has missed
		missed := max(0, nowMS()-s.hungTill.Load())
		return min(nowMS()-5, s.hung.Load()+int64(catchUpSpeed*float64(missed)))
	}
	first.begun = s.readBegun
	first.answered = func(h *host, st *statement, role string, _ int64) { s.answerWritten(h, st, role) }
	first.closes = true
	s.burst.Store(-1 << 30)
	first.late = func(int) time.Duration {
		if s.burst.Add(1) == 2 { // the second one of the session's reads
			return lateBy
		}
		return 0
	}
	for _, h := range s.hosts {
		h.work = work
		if err := h.start("127.0.0.1:0"); err != nil {
			return err
		}
	}
	s.group.setPrimary(first)
	return s.startGateways()
}

// work is within the ranges of the classes: 29 to 51 ms for the read, 49 to 85 ms for the write.
func work(st *statement) time.Duration {
	if st.write {
		return 84 * time.Millisecond
	}
	return 32 * time.Millisecond
}

func (s *staleRig) startGateways() error {
	for i, name := range []string{"g1", "g2"} {
		entries := instances(1, s.hosts, s.hosts[0])
		disco := newAgent(entries)
		if err := disco.start("127.0.0.1:0"); err != nil {
			return err
		}
		conf, err := s.configuration(nil)
		if err != nil {
			return err
		}
		g, err := s.startGateway(name, disco.address, conf)
		if err != nil {
			return err
		}
		if i == 0 {
			s.g1 = g
		} else {
			s.g2 = g
		}
		if s.trouble {
			go func() { // the list shows who is primary, late
				for s.hung.Load() == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(takeoverFrom + listLate)
				entries[0].Rank = "copy"
				entries[1].Rank = "source"
				disco.change(entries[0], entries[1])
				s.rec.line("discovery of %s: told that db2 is the primary", name)
			}()
		}
	}
	return nil
}

// hang makes the primary hang and another host take over, and waits until the hang is over.
func (s *staleRig) hang() {
	begin := nowMS()
	s.hungTill.Store(begin + hangFor.Milliseconds())
	s.hung.Store(begin)
	s.rec.line("db1, the primary, takes requests and answers none for %v", hangFor)
	time.Sleep(takeoverFrom)
	s.group.setPrimary(s.hosts[1])
	s.rec.line("db2 is the primary now")
	time.Sleep(hangFor - takeoverFrom + 50*time.Millisecond)
	s.rec.line("db1 answers again, as a replica with position %d", s.hosts[0].applied())
}

// writeAtG2 writes the session's key by way of g2 and returns the position of the commit.
func (s *staleRig) writeAtG2() (int64, error) {
	c, err := dialClient(s.g2.listen)
	if err != nil {
		return 0, err
	}
	defer c.close()
	for i := range 20 {
		id := "g2-write" + strconv.Itoa(i)
		answer, err := c.query(writeText(id, "zone-change", "key0", []byte("v1"), 3000, 1), 4*time.Second)
		s.rec.line("client of g2: %s: %v %v", id, answer, err)
		if err != nil {
			return 0, err
		}
		if answer.served {
			s.group.mu.Lock()
			defer s.group.mu.Unlock()
			return s.group.last, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errors.New("no write at g2 was served")
}

func (s *staleRig) readBegun(h *host, st *statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.group.isPrimary(h)
	sent := sentRead{h.id, nowMS(), h.applied(), s.told[h.id], primary}
	s.sent[st.id] = sent
	s.rec.line("host %s: %s has arrived; primary %v, applied %d", h.id, st.id, primary, sent.position)
}

func (s *staleRig) answerWritten(h *host, st *statement, role string) {
	if role != "copy" || st.id[:2] != "g1" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told[h.id] == 0 {
		s.told[h.id] = nowMS()
		s.rec.line("host %s: the answer of %s tells g1 that it is a replica", h.id, st.id)
	}
}

const reads = 2

// readAtG1 sends two reads of the session at once, each on a connection of its own.
func (s *staleRig) readAtG1(after int64) (int, error) {
	if s.trouble {
		s.burst.Store(0)
	}
	var clients []*client
	for range reads {
		c, err := dialClient(s.g1.listen)
		if err != nil {
			return 0, err
		}
		defer c.close()
		clients = append(clients, c)
	}
	var wg sync.WaitGroup
	replies := make([]reply, reads)
	errs := make([]error, reads)
	for i, c := range clients {
		wg.Go(func() {
			id := "g1-read" + strconv.Itoa(i)
			s.rec.line("client of g1: %s must see position %d", id, after)
			replies[i], errs[i] = c.query(readText(id, "own-zone-read", "key0", 800, 1, after), 2*time.Second)
			s.rec.line("client of g1: %s: %v %v", id, replies[i], errs[i])
		})
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	return s.judge(replies, errs, after)
}

func (s *staleRig) judge(replies []reply, errs []error, after int64) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := exitHeld
	for i := range replies {
		id := "g1-read" + strconv.Itoa(i)
		if errs[i] != nil {
			return 0, fmt.Errorf("%s: %w", id, errs[i])
		}
		sent, known := s.sent[id]
		if !known || sent.primary || sent.position >= after {
			continue
		}
		since := sent.at - sent.told
		excused := sent.told == 0 || since <= toldAfterMS+slackMS
		told := "g1 had not been told that it is a replica"
		if sent.told != 0 {
			told = fmt.Sprintf("g1 had been told %d ms before that it is a replica", since)
		}
		s.rec.say("%s was sent to %s, which had applied %d ms less than the read must see; %s; excused: %v; %v",
			id, sent.host, after-sent.position, told, excused, replies[i])
		if !excused && replies[i].served && string(replies[i].value) != "v1" {
			s.rec.say("broken: %s was served data from before its session's write", id)
			code = exitBroken
		}
	}
	return code, nil
}
