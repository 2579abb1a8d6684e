package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	ownClients  = 12
	ownRounds   = 5                      // sessions of each client
	ownGap      = 300 * time.Millisecond // from a session's write to its read
	ownLag      = 1500 * time.Millisecond
	ownCutShare = 8 // one write in so many has its connection ended within the answer
)

func init() { cases["ownread"] = playOwnReads }

// playOwnReads lets sessions write and then read what they wrote, while replicas lag and connections to the primary end
// within an answer, after its completion and before the status that follows it.
func playOwnReads(p *play) error {
	g := newGroup(1, p.rec)
	instances, err := startHosts(g, 5, 10*time.Millisecond)
	if err != nil {
		return err
	}
	for _, h := range g.hosts[1:] {
		h.lag = ownLag
	}
	var mu sync.Mutex
	writes := 0
	g.hosts[0].cut = func(text string) int {
		mu.Lock()
		defer mu.Unlock()
		if !p.trouble || !strings.Contains(text, "INSERT") {
			return noCut
		}
		writes++
		if writes%ownCutShare != 0 {
			return noCut
		}
		return cutAfterTag
	}
	d, err := newDiscovery(instances)
	if err != nil {
		return err
	}
	defer d.close()
	site := deployment{tokens: "router", memoryMB: 64, sockets: 384}
	gw, err := p.startGateway(site.configuration("n1", freeAddress(), d.address(), instances))
	if err != nil {
		return err
	}
	var sessions sync.WaitGroup
	errs := make(chan error, ownClients)
	for i := range ownClients {
		sessions.Go(func() {
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
			errs <- p.ownSession(gw.listen, i)
		})
	}
	sessions.Wait()
	for range ownClients {
		if err := <-errs; err != nil {
			return err
		}
	}
	if !gw.running() {
		p.breach("the gateway ended")
	}
	return nil
}

// ownSession plays the sessions of one client, one after the other. Each writes once and then reads, on one connection.
func (p *play) ownSession(address string, number int) error {
	for round := range ownRounds {
		key := fmt.Sprintf("%016x", 0x7f3a9c2100000000+number<<8+round)
		c, err := dialClient(address)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("w%d-%d", number, round)
		a := c.do(fmt.Sprintf("/* id=%s,c=zone-change,d=3000,cluster=1 */ "+
			"INSERT INTO objects (oid, body) VALUES ('%s', '\\x9f03') RETURNING body", id, key))
		p.rec.linef("session %s: write %s is %s %s %s", key, id, a.kind, a.code, a.value)
		var position int64
		_, _ = fmt.Sscanf(string(a.value), "id="+id+" written=%d", &position)
		if a.kind == "served" && position == 0 {
			p.breach("session %s: write %s is served with a value that is not its own: %s", key, id, a.value)
		}
		time.Sleep(ownGap)
		id = fmt.Sprintf("r%d-%d", number, round)
		b := c.do(fmt.Sprintf("/* id=%s,c=own-zone-read,d=800,cluster=1 */ SELECT body FROM objects WHERE oid = '%s'", id, key))
		p.rec.linef("session %s: read %s is %s %s %s", key, id, b.kind, b.code, b.value)
		var seen int64
		if i := strings.Index(string(b.value), "seen="); i >= 0 {
			_, _ = fmt.Sscanf(string(b.value[i:]), "seen=%d", &seen)
		}
		if a.kind == "served" && b.kind == "served" && seen < position {
			p.breach("session %s: read %s sees commit %d, but the session's write %d was served before", key, id, seen, position)
		}
		c.close()
		time.Sleep(ownGap)
	}
	return nil
}
