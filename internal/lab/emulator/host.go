// Package emulator plays database hosts and clients on loopback addresses, in the words of PostgreSQL's wire protocol.
package emulator

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cloverrock/internal/pgwire"
)

// Host is a database host: primary or replica, at work, hanging or dead.
type Host struct {
	ID      string
	ln      net.Listener
	primary atomic.Bool
	hanging atomic.Bool
	door    net.Listener // a second way in
	shut    atomic.Bool  // and whether it is silent
	lag     time.Duration
	work    time.Duration
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	wg      sync.WaitGroup
	Writes  atomic.Int64

	cold    atomic.Pointer[cold]
	fell    atomic.Bool
	cores   chan struct{}
	inside  atomic.Int32
	arrived func(before int)
}

// Limit gives the host so many cores: requests beyond wait for one, and their work varies. arrived is told of each how
// many were there before it. It is called before the first connection.
func (h *Host) Limit(cores int, arrived func(before int)) {
	h.cores, h.arrived = make(chan struct{}, cores), arrived
}

// cold is a start: what the host can do grows from a part of its capacity to all of it. More than so many times that, over a
// span, and it falls over.
type cold struct {
	at, until time.Time
	part      float64
	capacity  float64 // requests a second, warm
	multiple  float64
	span      time.Duration
	mu        sync.Mutex
	came      []time.Time
}

// Chill has the host start cold now.
func (h *Host) Chill(d time.Duration, part, capacity, multiple float64, span time.Duration) {
	now := time.Now()
	h.cold.Store(&cold{at: now, until: now.Add(d), part: part, capacity: capacity, multiple: multiple, span: span})
}

// Fell tells that the host was pushed over while it was cold.
func (h *Host) Fell() bool { return h.fell.Load() }

// ramp is the part of its capacity that a cold host has, and takes note of a request there.
func (h *Host) ramp() float64 {
	c := h.cold.Load()
	now := time.Now()
	if c == nil || now.After(c.until) {
		return 1
	}
	part := c.part + (1-c.part)*float64(now.Sub(c.at))/float64(c.until.Sub(c.at))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.came = append(c.came, now)
	for now.Sub(c.came[0]) > c.span {
		c.came = c.came[1:]
	}
	if n := c.multiple * part * c.capacity * c.span.Seconds(); float64(len(c.came)) > n+2*math.Sqrt(n)+2 {
		h.fell.Store(true)
		h.hanging.Store(true)
	}
	return part
}

// toil takes the time of a request.
func (h *Host) toil() {
	if h.cores == nil {
		time.Sleep(h.work)
		return
	}
	h.arrived(int(h.inside.Add(1)) - 1)
	part := h.ramp()
	h.cores <- struct{}{}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(h.work) / part))
	<-h.cores
	h.inside.Add(-1)
}

// Connections is how many are open.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// NewHost listens; each request takes so much work, and a replica's data is so old.
func NewHost(id string, work, lag time.Duration) (*Host, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, ln: ln, work: work, lag: lag, conns: map[net.Conn]struct{}{}}
	h.wg.Go(func() { h.accept(ln, &h.hanging) })
	return h, nil
}

// Door opens a second way in, and returns its address.
func (h *Host) Door() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h.door = ln
	h.wg.Go(func() { h.accept(ln, &h.shut) })
	return ln.Addr().String(), nil
}

// Shut has what comes by the second way get no answer, from now on or no longer.
func (h *Host) Shut(is bool) { h.shut.Store(is) }

func (h *Host) accept(ln net.Listener, silent *atomic.Bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = struct{}{}
		h.mu.Unlock()
		h.wg.Go(func() {
			defer func() {
				_ = c.Close() // the connection is over either way
				h.mu.Lock()
				delete(h.conns, c)
				h.mu.Unlock()
			}()
			h.serve(c, silent)
		})
	}
}

// Address is where the host listens.
func (h *Host) Address() string { return h.ln.Addr().String() }

// Primary makes the host the primary, or a replica.
func (h *Host) Primary(is bool) { h.primary.Store(is) }

// Hang has the host take requests and answer none, from now on or no longer.
func (h *Host) Hang(is bool) { h.hanging.Store(is) }

// Close ends the host.
func (h *Host) Close() {
	_ = h.ln.Close() // the listener is over either way
	if h.door != nil {
		_ = h.door.Close() // the listener is over either way
	}
	h.mu.Lock()
	for c := range h.conns {
		_ = c.Close() // the connection is over either way
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// Read takes one message of the protocol off a stream.
func Read(rd *bufio.Reader) (pgwire.Message, error) {
	head, err := rd.Peek(5)
	if err != nil {
		return pgwire.Message{}, err
	}
	n := 1 + int(head[1])<<24 + int(head[2])<<16 + int(head[3])<<8 + int(head[4])
	if n < 5 || n > 1<<20 {
		return pgwire.Message{}, fmt.Errorf("standin: a message of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(rd, b); err != nil {
		return pgwire.Message{}, err
	}
	m, _, _, err := pgwire.Next(b)
	return m, err
}

func (h *Host) serve(c net.Conn, silent *atomic.Bool) {
	rd := bufio.NewReader(c)
	head, err := rd.Peek(4)
	if err != nil {
		return
	}
	if _, err := io.ReadFull(rd, make([]byte, int(head[2])<<8+int(head[3]))); err != nil {
		return
	}
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil))) // one that hangs does so much
	for {
		m, err := Read(rd)
		if err != nil || m.Type != 'Q' {
			return
		}
		if h.hanging.Load() || silent.Load() {
			continue // it has taken the request, and says nothing
		}
		text := string(m.Body)
		var b []byte
		switch write := strings.Contains(text, "INSERT"); {
		case strings.HasPrefix(text, "SHOW vitals"):
			role, position := h.says()
			b = answer(fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role))
		case write && !h.primary.Load():
			b = pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeReadOnly, Message: "not the primary"})
		default:
			h.toil()
			if write {
				h.Writes.Add(1)
			}
			b = answer("ok")
		}
		role, position := h.says()
		b = pgwire.AppendParameterStatus(b, "rank", [...]string{"copy", "source"}[role])
		b = pgwire.AppendParameterStatus(b, "as_of", fmt.Sprint(position))
		if _, err := c.Write(pgwire.AppendReadyForQuery(b)); err != nil {
			return
		}
	}
}

func answer(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

// says is the host's own account: its role, and its position in milliseconds.
func (h *Host) says() (role int, position int64) {
	if h.primary.Load() {
		return 1, time.Now().UnixMilli()
	}
	return 0, time.Now().Add(-h.lag).UnixMilli()
}

// Discovery takes watches. It tells each new one the last line that it was given, until it falls silent.
type Discovery struct {
	ln   net.Listener
	wg   sync.WaitGroup
	mu   sync.Mutex
	cs   []net.Conn
	line string
	mute bool
}

// NewDiscovery listens.
func NewDiscovery() (*Discovery, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.cs = append(d.cs, c)
			if !d.mute {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // the peer may be gone; it learns of it by the connection
				d.say(c)
			}
			d.mu.Unlock()
		}
	}()
	return d, nil
}

func (d *Discovery) say(c net.Conn) {
	if d.line != "" {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(d.line)+1, d.line) // the peer may be gone; it learns of it by the connection
	}
}

// Tell tells a list to those that watch and those that come.
func (d *Discovery) Tell(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.line = line
	for _, c := range d.cs {
		d.say(c)
	}
}

// Mute has it take connections and say nothing any more.
func (d *Discovery) Mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mute = true
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() {
	_ = d.ln.Close() // the listener is over either way
	d.wg.Wait()
	for _, c := range d.cs {
		_ = c.Close() // the connection is over either way
	}
}
