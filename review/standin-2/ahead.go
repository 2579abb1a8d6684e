package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	aheadBurst    = 20                     // commands that a client sends at once
	aheadInterval = 500 * time.Millisecond // between two bursts of a client
	aheadClients  = 3
	aheadFor      = 9 * time.Second
	aheadDeathAt  = 3 * time.Second
	aheadOutage   = 3300 * time.Millisecond // until a replica takes over
)

// command is one command of a client, in the order in which they were sent.
type command struct {
	id, class string
	sentAt    time.Time
	answered  bool
}

func init() { cases["ahead"] = playAhead }

// playAhead lets clients send commands ahead of the answers while the primary is lost and replaced.
func playAhead(p *play) error {
	g := newGroup(1, p.rec)
	instances, err := startHosts(g, 5, 10*time.Millisecond)
	if err != nil {
		return err
	}
	d, err := newDiscovery(instances)
	if err != nil {
		return err
	}
	defer d.close()
	site := deployment{tokens: "client", memoryMB: 64, sockets: 384}
	gw, err := p.startGateway(site.configuration("n1", freeAddress(), d.address(), instances))
	if err != nil {
		return err
	}

	begin := time.Now()
	var clients sync.WaitGroup
	for i := range aheadClients {
		c, err := dialClient(gw.listen)
		if err != nil {
			return err
		}
		clients.Go(func() { p.sendAhead(c, fmt.Sprintf("c%d", i+1), begin) })
	}
	if p.trouble {
		time.Sleep(time.Until(begin.Add(aheadDeathAt)))
		p.rec.linef("the primary %s dies", g.hosts[0].id)
		g.hosts[0].die()
		time.Sleep(aheadOutage)
		p.rec.linef("host %s takes over", g.hosts[2].id)
		g.hosts[2].set(func(h *host) { h.primary = true })
	}
	clients.Wait()
	if !gw.running() {
		p.breach("the gateway ended")
	}
	return nil
}

// sendAhead sends bursts of commands on one connection without waiting for the answers, and reads the answers in order.
func (p *play) sendAhead(c *client, name string, begin time.Time) {
	defer c.close()
	var mu sync.Mutex
	var sent []*command
	received := 0
	ended := make(chan time.Time, 1)
	go func() {
		for {
			a := c.receive()
			mu.Lock()
			if a.kind == "none" || received >= len(sent) {
				mu.Unlock()
				p.rec.linef("client %s: the gateway has ended the connection (%s)", name, a.code)
				ended <- time.Now()
				return
			}
			cmd := sent[received]
			received++
			cmd.answered = true
			mu.Unlock()
			p.rec.linef("client %s: %s %s is %s %s", name, cmd.class, cmd.id, a.kind, a.code)
		}
	}()
	number := 0
	endedAt := time.Time{}
	for endedAt.IsZero() && time.Since(begin) < aheadFor {
		var bytes []byte
		mu.Lock()
		for i := range aheadBurst {
			number++
			cmd := &command{id: fmt.Sprintf("%s-%d", name, number), class: "zone-lookup"}
			statement, wait := "SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'", 750
			if i%10 == 0 {
				cmd.class, wait = "zone-change", 3000
				statement = "INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING body"
			}
			text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=1 */ %s", cmd.id, cmd.class, wait, statement)
			bytes = append(bytes, queryMessage(text)...)
			cmd.sentAt = time.Now()
			sent = append(sent, cmd)
		}
		ahead := len(sent) - received
		mu.Unlock()
		p.rec.linef("client %s: sends %d commands, %d wait for their answers", name, aheadBurst, ahead)
		if _, err := c.conn.Write(bytes); err != nil {
			p.rec.linef("client %s: write: %v", name, err)
		}
		select {
		case endedAt = <-ended:
		case <-time.After(aheadInterval):
		}
	}
	if endedAt.IsZero() { // all answers are due 3.5 s after the last command at the latest
		select {
		case endedAt = <-ended:
		case <-time.After(4 * time.Second):
			endedAt = time.Now()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, cmd := range sent {
		if !cmd.answered && endedAt.Sub(cmd.sentAt) > crossing {
			lost++
			p.rec.linef("client %s: %s %s, sent %d ms before, has no answer", name, cmd.class, cmd.id, endedAt.Sub(cmd.sentAt).Milliseconds())
		}
	}
	if lost > 0 {
		p.breach("client %s: %d requests that the gateway had taken got no answer", name, lost)
	}
	p.rec.linef("client %s: %d commands, %d answered", name, len(sent), received)
}
