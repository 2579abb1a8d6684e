package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["again"] = playAgain }

// againBurst is the number of requests for TLS that the bad client sends at once.
const againBurst = 200

// playAgain lets usual clients send requests, and one bad client ask for TLS again and again, although it is turned away.
func playAgain(p *play) error {
	return p.besideBadClients(1, func(address string, until time.Time) {
		for time.Now().Before(until) {
			p.askForTLS(address, until)
			time.Sleep(floodPause)
		}
	})
}

// askForTLS sends requests for TLS on one connection until that ends, and reads the answers. BYTES_PER_SECOND limits how
// many it sends.
func (p *play) askForTLS(address string, until time.Time) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		p.rec.linef("bad client: no connection: %v", err)
		return
	}
	var answers sync.WaitGroup
	var answered int64
	answers.Go(func() { answered, _ = io.Copy(io.Discard, c) })
	requests := bytes.Repeat([]byte{0, 0, 0, 8, 4, 210, 22, 47}, againBurst)
	perSecond := 0
	_, _ = fmt.Sscanf(os.Getenv("BYTES_PER_SECOND"), "%d", &perSecond)
	began, sent := time.Now(), 0
	_ = c.SetWriteDeadline(until)
	for time.Now().Before(until) {
		n, err := c.Write(requests)
		sent += n
		if err != nil {
			p.rec.linef("bad client: %v", err)
			break
		}
		if perSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(perSecond) * float64(time.Second)))))
		}
	}
	sentFor := time.Since(began)
	reset(c)
	answers.Wait()
	p.rec.linef("bad client: sent %d bytes in %d ms on one connection, was turned away %d times", sent, sentFor.Milliseconds(), answered)
}
