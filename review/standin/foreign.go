package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "foreign": some answers of the database hosts bring a second copy right behind them, when nothing else waits
// on the connection. Messages arrive in pieces: the copy a moment after the answer. Each client has an object of its own
// and must never be served a value that was made for another request. With PIECES=0 nothing is delayed: a host writes the
// answer and then at once the copy; the values are larger, and copies and clients more.

const (
	pieceGap    = 1 * time.Millisecond // between two writes of a host, as they arrive
	fullEvery   = 10                   // one write in so many finds the queue of its host full
	foreignFor  = 20 * time.Second
	foreignMost = 1000 // requests of a client at the most
)

// load is what depends on PIECES.
type load struct {
	clients, valueSize int
	copyEvery          int64 // one answer in so many brings a second copy
	gap                time.Duration
}

func foreignLoad() load {
	if os.Getenv("PIECES") == "0" {
		return load{clients: 40, valueSize: 60000, copyEvery: 5}
	}
	return load{clients: 16, valueSize: 0, copyEvery: 50, gap: pieceGap}
}

func init() { cases["foreign"] = foreignCase }

// tally counts the final answers of all clients.
type tally struct{ served, foreign, refused, failed, lost, copies atomic.Int64 }

func foreignCase(r *rig) (int, error) {
	load := foreignLoad()
	hosts, g := startGroup(r.rec, "db1", "db2", "db3")
	count := &tally{}
	var answers, writes atomic.Int64
	for _, h := range hosts {
		h.work = func(*statement) time.Duration { return 50 * time.Millisecond }
		h.pieceGap = load.gap
		h.full = func(s *statement) bool { return s.write && writes.Add(1)%fullEvery == 0 }
		h.after = func(s *statement, answer []byte) []byte {
			if !r.trouble || answers.Add(1)%load.copyEvery != 0 {
				return nil
			}
			count.copies.Add(1)
			r.rec.line("host %s: sends the answer of %s and a second copy right behind it", h.id, s.id)
			return answer
		}
		if err := h.start("127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	g.setPrimary(hosts[0])
	disco := newAgent(instances(1, hosts, hosts[0]))
	if err := disco.start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	conf, err := r.configuration(nil)
	if err != nil {
		return 0, err
	}
	gw, err := r.startGateway("g1", disco.address, conf)
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(foreignFor)
	errs := make([]error, load.clients)
	var wg sync.WaitGroup
	for i := range load.clients {
		wg.Go(func() { errs[i] = foreignClient(r, gw.listen, i, end, count, load.valueSize) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	r.rec.say("served %d, of these with a value made for another request: %d; refused %d, failed %d, connections ended %d; second copies sent %d",
		count.served.Load(), count.foreign.Load(), count.refused.Load(), count.failed.Load(), count.lost.Load(), count.copies.Load())
	twice := 0
	for i := range load.clients {
		for k := range foreignMost {
			id := fmt.Sprintf("q%d-%d", i, k)
			if ran := runs(hosts, id); ran > 1 && k%2 == 0 {
				twice++
				r.rec.line("TWICE: %s, a write that must never run twice, ran %d times", id, ran)
			}
		}
	}
	r.rec.say("writes that ran twice: %d", twice)
	if twice > 0 {
		r.rec.say("broken: writes that must never run twice ran twice")
	}
	if count.foreign.Load() > 0 {
		r.rec.say("broken: clients were served values that no database host made for their requests")
	}
	if twice > 0 || count.foreign.Load() > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// runs returns how often a request ran at all hosts together.
func runs(hosts []*host, id string) (n int) {
	for _, h := range hosts {
		n += h.ran(id)
	}
	return n
}

// foreignClient writes and reads its own object, one request after another.
func foreignClient(r *rig, address string, number int, end time.Time, count *tally, valueSize int) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer func() { c.close() }()
	oid := "obj" + strconv.Itoa(number)
	filler := bytes.Repeat([]byte{'x'}, valueSize)
	for k := 0; k < foreignMost && time.Now().Before(end); k++ {
		id := fmt.Sprintf("q%d-%d", number, k)
		value := append([]byte(oid+":"+id+":"), filler...)
		isWrite := k%2 == 0
		text := readText(id, "zone-lookup", oid, 750, 1, 0)
		if isWrite {
			text = writeText(id, "zone-change", oid, value, 3000, 1)
		}
		r.rec.line("client %d: sends %s (write %v)", number, id, isWrite)
		answer, err := c.query(text, 5*time.Second)
		if err != nil {
			r.rec.line("client %d: %s: %v", number, id, err)
			count.lost.Add(1)
			c.close()
			if c, err = dialClient(address); err != nil {
				return err
			}
			continue
		}
		wrong := isWrite && !bytes.Equal(answer.value, value) ||
			!isWrite && len(answer.value) > 0 && !strings.HasPrefix(string(answer.value), oid+":")
		switch {
		case answer.served && wrong:
			count.served.Add(1)
			count.foreign.Add(1)
			r.rec.line("client %d: %s: FOREIGN, %v", number, id, answer)
		case answer.served:
			count.served.Add(1)
			r.rec.line("client %d: %s: %v", number, id, answer)
		case answer.code == "53300":
			count.refused.Add(1)
			time.Sleep(20 * time.Millisecond)
		default:
			count.failed.Add(1)
			r.rec.line("client %d: %s: %v", number, id, answer)
		}
	}
	return nil
}
