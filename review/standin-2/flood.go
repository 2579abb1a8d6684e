package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	floodClients = 8                      // usual clients, each with a connection that it keeps
	floodPause   = 100 * time.Millisecond // between an answer and the client's next request
	floodFor     = 10 * time.Second       // in which usual clients begin requests
	floodFrom    = 2 * time.Second        // from when on the bad client sends
	floodTo      = 8 * time.Second
	floodBad     = 3    // bad clients
	floodLine    = 4000 // bytes of what the bad client sends again and again

	lateAfter = 550 * time.Millisecond // after its time a request without an answer is lost: 0.5 s, and 50 ms on sockets
)

func init() { cases["flood"] = playFlood }

// playFlood lets usual clients send requests, and bad clients send lines that can't be read at full speed.
func playFlood(p *play) error { return p.besideBadClients(floodBad, p.badClient) }

// besideBadClients lets usual clients send requests to a gateway, and bad clients do what they do from floodFrom to floodTo.
func (p *play) besideBadClients(badClients int, badClient func(address string, until time.Time)) error {
	g := newGroup(1, p.rec)
	instances, err := startHosts(g, 5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	d, err := newDiscovery(instances)
	if err != nil {
		return err
	}
	defer d.close()
	site := deployment{tokens: "client", memoryMB: 32, sockets: 256}
	gw, err := p.startGateway(site.configuration("n1", freeAddress(), d.address(), instances))
	if err != nil {
		return err
	}
	begin := time.Now()
	var clients sync.WaitGroup
	for i := range floodClients {
		clients.Go(func() { p.usualClient(gw.listen, i, begin.Add(floodFor)) })
	}
	if p.trouble {
		for range badClients {
			clients.Go(func() {
				time.Sleep(time.Until(begin.Add(floodFrom)))
				badClient(gw.listen, begin.Add(floodTo))
			})
		}
	}
	clients.Wait()
	if !gw.running() {
		p.breach("the gateway ended")
	}
	return nil
}

// usualClient sends one request after the other on a connection that it keeps, until a time.
func (p *play) usualClient(address string, number int, until time.Time) {
	var c *client
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = dialClient(address); err != nil {
				p.rec.linef("client %d: no connection: %v", number, err)
				time.Sleep(floodPause)
				continue
			}
		}
		id := fmt.Sprintf("u%d-%d", number, n)
		name, wait := "zone-lookup", 750*time.Millisecond
		statement := "SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'"
		if n%10 == 0 {
			name, wait = "zone-change", 3*time.Second
			statement = "INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING body"
		}
		if err := c.send(fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=1 */ %s", id, name, wait.Milliseconds(), statement)); err != nil {
			p.rec.linef("client %d: %s %s is not sent: %v", number, name, id, err)
			c.close()
			c = nil
			continue
		}
		sentAt := time.Now()
		_ = c.conn.SetReadDeadline(sentAt.Add(wait + lateAfter))
		a := c.receive()
		_ = c.conn.SetReadDeadline(time.Time{})
		after := time.Since(sentAt)
		p.rec.linef("client %d: %s %s is %s %s after %d ms", number, name, id, a.kind, a.code, after.Milliseconds())
		if a.kind == "none" {
			if after > crossing { // sooner, the end may have crossed the request
				p.breach("%s %s has no answer %d ms after it was sent, its client waits %d ms", name, id, after.Milliseconds(), wait.Milliseconds())
			}
			c.close()
			c = nil
			continue
		}
		time.Sleep(floodPause)
	}
	if c != nil {
		c.close()
	}
}

// badClient sends the same line, which can't be read, at full speed, and reads what is sent to it.
func (p *play) badClient(address string, until time.Time) {
	line := queryMessage(strings.Repeat("select what nobody can read ", floodLine/28))
	var lines []byte
	for len(lines) < 1<<20 {
		lines = append(lines, line...)
	}
	for time.Now().Before(until) {
		c, err := dialClient(address)
		if err != nil {
			p.rec.linef("bad client: no connection: %v", err)
			time.Sleep(floodPause)
			continue
		}
		var errors sync.WaitGroup
		var answered int64
		errors.Go(func() { answered, _ = io.Copy(io.Discard, c.reader) })
		began, sent := time.Now(), 0
		_ = c.conn.SetWriteDeadline(until)
		for time.Now().Before(until) {
			n, err := c.conn.Write(lines)
			sent += n
			if err != nil {
				p.rec.linef("bad client: %v", err)
				break
			}
		}
		sentFor := time.Since(began)
		reset(c.conn.(*net.TCPConn))
		errors.Wait()
		p.rec.linef("bad client: sent %d bytes in %d ms on one connection, got %d bytes of errors", sent, sentFor.Milliseconds(), answered)
	}
}
