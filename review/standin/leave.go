package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

// The case "leave": clients close their connections while their requests are open, also in a burst. Long after the last
// of them has gone, other clients send two requests each, one ahead of the answer to the other. Every one of these is
// owed a final answer.

const (
	leaveMemoryMB  = 32                     // of the settings: the operators' pages name 32 to 192 MB
	leavingClients = 400                    // clients that leave
	leavingAtOnce  = 20                     // of these at a time
	leaveAfter     = 20 * time.Millisecond  // from the last byte of the request to the close
	leavePause     = 500 * time.Millisecond // between two bursts
	quietTime      = 5 * time.Second        // between the last of them and the next request
	soundClients   = 20                     // after that, one after another
	soundPause     = 100 * time.Millisecond // between two of them
)

// leavingValues are the sizes of the values that the clients that leave write in turn, in bytes; 0: a read.
var leavingValues = []int{64 << 10, 16 << 10, 4 << 10, 1 << 10, 0}

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
	if err := leaveAll(r, gw.listen); err != nil {
		return 0, err
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

// leaveAll plays the clients that leave. Without the disruption they wait for their answers before they close.
func leaveAll(r *rig, address string) error {
	for from := 0; from < leavingClients; from += leavingAtOnce {
		var wg sync.WaitGroup
		errs := make([]error, leavingAtOnce)
		for i := range leavingAtOnce {
			wg.Go(func() {
				id := fmt.Sprintf("leave%d", from+i)
				c, err := dialClient(address)
				if err != nil {
					errs[i] = err
					return
				}
				defer c.close()
				size := leavingValues[(from+i)%len(leavingValues)]
				text := readText(id, "zone-lookup", "oid"+id, 750, 1, 0)
				if size > 0 {
					text = writeText(id, "zone-change", "oid"+id, bytes.Repeat([]byte{'v'}, size), 3000, 1)
				}
				if err := c.send(text); err != nil {
					r.rec.line("client %s: %v", id, err)
					return
				}
				if !r.trouble {
					answer, err := c.receive(4 * time.Second)
					r.rec.line("client %s: %v %v", id, answer, err)
					return
				}
				time.Sleep(leaveAfter)
				r.rec.line("client %s: sent a request of %d bytes, leaves after %v", id, len(text), leaveAfter)
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		time.Sleep(leavePause)
	}
	return nil
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
