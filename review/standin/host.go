package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// group is a group of database hosts with one log of commits. Positions are Unix times in milliseconds.
type group struct {
	mu      sync.Mutex
	log     []commit
	primary *host
	last    int64 // position of the last commit
}

type commit struct {
	position int64
	oid      string
	value    []byte
}

// write appends a commit and returns its position.
func (g *group) write(oid string, value []byte) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = max(g.last+1, nowMS()+1) // rounded up
	g.log = append(g.log, commit{g.last, oid, value})
	return g.last
}

// read returns the value of an object as of a position.
func (g *group) read(oid string, position int64) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range slices.Backward(g.log) {
		if c.oid == oid && c.position <= position {
			return c.value
		}
	}
	return nil
}

func (g *group) isPrimary(h *host) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == h
}

func (g *group) setPrimary(h *host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primary = h
}

// host is a database host. Its hooks are set before it listens, and may be nil.
type host struct {
	id      string
	address string
	group   *group
	rec     *record

	// work returns how long a statement takes at this host.
	work func(s *statement) time.Duration
	// position returns the position that the host has applied; nil: a primary stands at the present and a replica a few
	// milliseconds behind it.
	position func() int64
	// hanging reports whether the host takes requests and answers none.
	hanging func() bool
	// late returns how late a connection comes up, by its number from 0.
	late func(number int) time.Duration
	// closes reports whether the host closes each connection after a request, as it may.
	closes bool
	// begun is called when the last byte of a statement has arrived.
	begun func(h *host, s *statement)
	// answered is called after an answer was written, with the role and position in it.
	answered func(h *host, s *statement, role string, position int64)
	// full reports whether the host turns a statement away, because its queue is full.
	full func(s *statement) bool
	// after returns bytes that the host sends right behind an answer.
	after func(s *statement, answer []byte) []byte

	// pieceGap is the least time between two pieces of a connection at the gateway.
	pieceGap time.Duration

	mu       sync.Mutex
	executed map[string]int // by request id: how often it ran
	listener net.Listener
}

func (h *host) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	h.listener = listener
	h.address = listener.Addr().String()
	h.executed = map[string]int{}
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn, number)
		}
	}()
	return nil
}

func (h *host) applied() int64 {
	if h.group.isPrimary(h) {
		return nowMS()
	}
	if h.position != nil {
		return h.position()
	}
	return nowMS() - 5
}

func (h *host) role() string {
	if h.group.isPrimary(h) {
		return "source"
	}
	return "copy"
}

func (h *host) serve(conn net.Conn, number int) {
	raw := conn
	if h.pieceGap > 0 {
		conn = inPieces(conn, h.pieceGap)
	}
	defer func() { _ = conn.Close() }()
	if h.late != nil {
		late := h.late(number)
		h.rec.line("host %s: connection %d comes up after %v", h.id, number, late)
		time.Sleep(late)
	}
	r := bufio.NewReaderSize(conn, 1<<16)
	if readStartup(r) != nil {
		return
	}
	hello := message('R', []byte{0, 0, 0, 0})
	hello = append(hello, h.status()...)
	if _, err := conn.Write(append(hello, readyForQuery()...)); err != nil {
		return
	}
	for {
		m, err := readMessage(r)
		if err != nil || m.kind == 'X' {
			return
		}
		if m.kind != 'Q' || len(m.body) == 0 {
			h.rec.line("host %s: message %q ends the connection", h.id, m.kind)
			return
		}
		for h.hanging != nil && h.hanging() {
			time.Sleep(5 * time.Millisecond)
		}
		answer, s := h.answer(string(m.body[:len(m.body)-1]))
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if h.after != nil && s != nil && r.Buffered() == 0 && !inputWaits(raw) {
			if _, err := conn.Write(h.after(s, answer)); err != nil {
				return
			}
		}
		if h.closes && bytes.HasPrefix(m.body, []byte("/*")) {
			return
		}
	}
}

// inputWaits reports whether the next request has reached the host already.
func inputWaits(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	waits := true
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = !errors.Is(err, syscall.EAGAIN)
	})
	return waits
}

func (h *host) status() []byte {
	return append(parameterStatus("rank", h.role()), parameterStatus("as_of", strconv.FormatInt(h.applied(), 10))...)
}

func (h *host) vitals() string {
	primary := 0
	if h.group.isPrimary(h) {
		primary = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d", float64(h.applied())/1000, primary)
}

// answer executes a statement and returns its answer, and the statement if it was a request that has run.
func (h *host) answer(text string) (answer []byte, ran *statement) {
	switch text {
	case "":
		return append(message('I', nil), readyForQuery()...), nil
	case "SELECT 1":
		return append(rowAnswer([]byte("1"), "SELECT 1"), readyForQuery()...), nil
	case "SHOW vitals":
		return append(rowAnswer([]byte(h.vitals()), "SHOW"), readyForQuery()...), nil
	}
	s, err := parseStatement(text)
	if err != nil {
		h.rec.line("host %s: statement void: %v: %.120s", h.id, err, text)
		return append(errorMessage("ERROR", "08P01", "void"), readyForQuery()...), nil
	}
	if h.begun != nil {
		h.begun(h, &s)
	}
	if s.write && !h.group.isPrimary(h) {
		h.rec.line("host %s: %s turned away untouched: no primary", h.id, s.id)
		answer = append(errorMessage("ERROR", "25006", "no primary"), h.status()...)
		return append(answer, readyForQuery()...), nil
	}
	if h.full != nil && h.full(&s) {
		h.rec.line("host %s: %s turned away, queue full", h.id, s.id)
		answer = append(errorMessage("ERROR", "53300", "queue full"), h.status()...)
		return append(answer, readyForQuery()...), nil
	}
	if h.work != nil {
		time.Sleep(h.work(&s))
	}
	role := h.role()
	var value []byte
	var position int64
	tag := "SELECT 1"
	if s.write {
		value, _ = hex.DecodeString(s.body)
		position = h.group.write(s.oid, value)
		tag = "INSERT 0 1"
	} else {
		position = h.applied()
		value = h.group.read(s.oid, position)
	}
	h.mu.Lock()
	h.executed[s.id]++
	h.mu.Unlock()
	h.rec.line("host %s (%s): ran %s %s oid %s as of %d, value %.40q", h.id, role, s.class, s.id, s.oid, position, value)
	answer = rowAnswer(value, tag)
	answer = append(answer, parameterStatus("rank", role)...)
	answer = append(answer, parameterStatus("as_of", strconv.FormatInt(position, 10))...)
	answer = append(answer, readyForQuery()...)
	if h.answered != nil {
		h.answered(h, &s, role, position)
	}
	return answer, &s
}

func (h *host) ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executed[id]
}
