package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The case "leave": clients close their connections while their requests are open, also in a burst. Long after the last
// of them has gone, other clients send two requests each, one ahead of the answer to the other. Every one of these is
// owed a final answer.

const (
	leaveMemoryMB = 32                     // of the settings: the operators' pages name 32 to 192 MB
	leaveAfter    = 20 * time.Millisecond  // from the last byte of the request to the close
	leavePause    = 500 * time.Millisecond // between two clients that leave, under the usual load
	burstPause    = 50 * time.Millisecond  // between two in the burst
	usualClients  = 20                     // of the usual load
	usualFor      = 25 * time.Second
	leaveShare    = 0.01            // of all requests, at the most
	quietTime     = 5 * time.Second // between the last of them and the next request
	soundClients  = 20              // after that, one after another
	soundPause    = 100 * time.Millisecond
)

// leaving says how many clients leave with a write of a value of so many bytes; 0: a read.
var leaving = []struct{ clients, size int }{
	{33, 64 << 10}, {4, 16 << 10}, {2, 8 << 10}, {2, 4 << 10}, {2, 2 << 10}, {2, 1 << 10}, {2, 512}, {2, 256}, {2, 128}, {6, 0},
}

func init() { cases["leave"] = leaveCase }

func leaveCase(r *rig) (int, error) {
	hosts, g := startGroup(r.rec, "db1", "db2", "db3")
	for _, h := range hosts {
		h.work = func(*statement) time.Duration { return 60 * time.Millisecond }
		if err := h.start("127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	g.setPrimary(hosts[0])
	disco := newAgent(instances(1, hosts, hosts[0]))
	if err := disco.start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	conf, err := r.configuration(func(conf, _ map[string]any) {
		conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": leaveMemoryMB, "sockets": 256}
	})
	if err != nil {
		return 0, err
	}
	gw, err := r.startGateway("g1", disco.address, conf)
	if err != nil {
		return 0, err
	}
	before, err := soundRequests(r, gw.listen, "before")
	if err != nil {
		return 0, err
	}
	if before.unanswered > 0 {
		return 0, errors.New("requests before the disruption were not answered")
	}
	left, usual, err := leaveAll(r, gw.listen)
	if err != nil {
		return 0, err
	}
	r.rec.say("requests of the usual load: %d; clients that leave: %d", usual, left)
	if float64(left) > leaveShare*float64(usual) {
		return 0, errors.New("the usual load was too small for so many clients that leave")
	}
	time.Sleep(quietTime)
	after, err := soundRequests(r, gw.listen, "after")
	if err != nil {
		return 0, err
	}
	r.rec.say("requests of sound clients, two sent at once: before: %v; after: %v", before, after)
	if after.unanswered > 0 {
		r.rec.say("broken: the gateway has ended connections without an answer to %d of %d requests", after.unanswered, 2*soundClients)
		return exitBroken, nil
	}
	return exitHeld, nil
}

// leaveAll plays the usual load, and the clients that leave: those with the largest values beside the load, the others in a
// burst after it. It returns the number of both.
func leaveAll(r *rig, address string) (left int, usual int64, err error) {
	var requests atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(usualFor)
	for i := range usualClients {
		wg.Go(func() { usualClient(r, address, i, end, &requests) })
	}
	for k, group := range leaving {
		if k == 1 {
			wg.Wait()
		}
		for range group.clients {
			if err := leave(r, address, fmt.Sprintf("leave%d", left), group.size); err != nil {
				return left, 0, err
			}
			left++
			if k == 0 {
				time.Sleep(leavePause)
			} else {
				time.Sleep(burstPause)
			}
		}
	}
	return left, requests.Load(), nil
}

// leave plays one client that leaves. Without the disruption it waits for its answer before it closes.
func leave(r *rig, address, id string, size int) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer c.close()
	text := readText(id, "zone-lookup", "oid"+id, 750, 1, 0)
	if size > 0 {
		text = writeText(id, "zone-change", "oid"+id, bytes.Repeat([]byte{'v'}, size), 3000, 1)
	}
	if err := c.send(text); err != nil {
		r.rec.line("client %s: %v", id, err)
		return nil
	}
	if !r.trouble {
		answer, err := c.receive(4 * time.Second)
		r.rec.line("client %s: %v %v", id, answer, err)
		return nil
	}
	time.Sleep(leaveAfter)
	r.rec.line("client %s: sent a request of %d bytes, leaves after %v", id, len(text), leaveAfter)
	return nil
}

// usualClient reads, one request after another.
func usualClient(r *rig, address string, number int, end time.Time, requests *atomic.Int64) {
	var c *client
	for k := 0; time.Now().Before(end); k++ {
		if c == nil {
			var err error
			if c, err = dialClient(address); err != nil {
				c = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("usual%d-%d", number, k)
		requests.Add(1)
		answer, err := c.query(readText(id, "zone-lookup", "x", 750, 1, 0), 4*time.Second)
		if err != nil || answer.fatal {
			r.rec.line("client of the usual load: %s: %v %v", id, answer, err)
			c.close()
			c = nil
		}
	}
	if c != nil {
		c.close()
	}
}

// outcome counts the final answers of sound clients.
type outcome struct{ served, refused, failed, unanswered int }

func (o outcome) String() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, never answered %d", o.served, o.refused, o.failed, o.unanswered)
}

// soundRequests plays sound clients, one after another; each sends two reads at once on a connection of its own.
func soundRequests(r *rig, address, when string) (outcome, error) {
	var o outcome
	for i := range soundClients {
		c, err := dialClient(address)
		if err != nil {
			return o, err
		}
		ids := []string{fmt.Sprintf("%s%d-a", when, i), fmt.Sprintf("%s%d-b", when, i)}
		both := queryMessage(readText(ids[0], "zone-lookup", "x", 750, 1, 0))
		both = append(both, queryMessage(readText(ids[1], "zone-lookup", "x", 750, 1, 0))...)
		_, writeErr := c.conn.Write(both)
		r.rec.line("client %s%d: sent two reads (%v)", when, i, writeErr)
		if writeErr != nil {
			c.close()
			continue // not taken whole
		}
		for k, id := range ids {
			answer, err := c.receive(5 * time.Second)
			r.rec.line("client %s%d: %s: %v %v", when, i, id, answer, err)
			if err != nil {
				o.unanswered += len(ids) - k
				break
			}
			switch {
			case answer.served:
				o.served++
			case answer.code == "53300":
				o.refused++
			default:
				o.failed++
			}
		}
		c.close()
		time.Sleep(soundPause)
	}
	return o, nil
}
