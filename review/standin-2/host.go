package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one write that a primary has executed.
type commit struct {
	position int64 // milliseconds since 1970, rounded up
	key, id  string
}

// group is a primary with its replicas, which hold the same data.
type group struct {
	number int
	rec    *record

	mu      sync.Mutex
	commits []commit
	hosts   []*host
	runs    map[string]int // executions by request id
}

func newGroup(number int, rec *record) *group {
	return &group{number: number, rec: rec, runs: map[string]int{}}
}

// lastCommit returns the latest commit of a key up to a position; false if there is none.
func (g *group) lastCommit(key string, upTo int64) (commit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.commits) - 1; i >= 0; i-- {
		if c := g.commits[i]; c.key == key && c.position <= upTo {
			return c, true
		}
	}
	return commit{}, false
}

func (g *group) addCommit(key, id string) commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	position := time.Now().UnixMilli() + 1
	if n := len(g.commits); n > 0 && g.commits[n-1].position >= position {
		position = g.commits[n-1].position + 1
	}
	c := commit{position, key, id}
	g.commits = append(g.commits, c)
	return c
}

func (g *group) countRun(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id]++
	return g.runs[id]
}

// Where a host cuts a connection in the middle of an answer.
const (
	noCut       = iota
	cutAfterTag // after CommandComplete, before the status that follows it
)

// host is a database host as the protocol page describes it.
type host struct {
	id    string
	group *group
	rec   *record
	work  time.Duration

	mu       sync.Mutex
	listener net.Listener
	address  string
	conns    map[net.Conn]struct{}
	primary  bool
	hanging  bool
	lag      time.Duration
	applied  int64                                 // the latest position
	cut      func(text string) int                 // where to cut the answer to a statement; nil: nowhere
	value    func(text, value string) []byte       // replaces the value of a read; nil: the value itself
	write    func(c net.Conn, answer []byte) error // writes an answer; nil: at once
}

func newHost(g *group, id string, work time.Duration) (*host, error) {
	h := &host{id: id, group: g, rec: g.rec, work: work, lag: 8 * time.Millisecond, conns: map[net.Conn]struct{}{}}
	if err := h.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	g.hosts = append(g.hosts, h)
	return h, nil
}

func (h *host) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listener = listener
	h.address = listener.Addr().String()
	h.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = struct{}{}
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	return nil
}

// die closes the listener and resets all connections, as when a process dies.
func (h *host) die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.listener.Close()
	for c := range h.conns {
		reset(c)
		delete(h.conns, c)
	}
	if h.primary {
		h.applied = max(h.applied, time.Now().UnixMilli()+2)
	}
	h.primary = false
}

func (h *host) set(change func(h *host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

// state returns the role and the position in milliseconds since 1970, rounded down. A position never decreases.
func (h *host) state() (primary bool, position int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.primary {
		h.applied = max(h.applied, time.Now().UnixMilli())
	} else {
		h.applied = max(h.applied, time.Now().Add(-h.lag).UnixMilli())
	}
	return h.primary, h.applied
}

// demote makes the host a replica that has all that it has committed.
func (h *host) demote() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.primary {
		h.applied = max(h.applied, time.Now().UnixMilli()+2)
	}
	h.primary = false
}

func (h *host) isHanging() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hanging
}

func roleName(primary bool) string {
	if primary {
		return "source"
	}
	return "copy"
}

func vitals(primary bool, position int64) string {
	role := 0
	if primary {
		role = 1
	}
	return fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role)
}

func (h *host) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	if readStartup(reader) != nil {
		return
	}
	if _, err := c.Write(appendReady(appendMessage(nil, 'R', []byte{0, 0, 0, 0}))); err != nil {
		return
	}
	for {
		m, err := readMessage(reader)
		if err != nil || m.kind != 'Q' {
			return
		}
		if !h.answer(c, strings.TrimRight(string(m.body), "\x00")) {
			return
		}
	}
}

// answer handles one statement. It returns false if the connection was ended.
func (h *host) answer(c net.Conn, text string) bool {
	if h.isHanging() {
		if id := commentValue(text, "id"); id != "" {
			h.rec.linef("host %s takes %s and hangs", h.id, id)
		}
		return true
	}
	if !strings.Contains(text, "/*") {
		primary, position := h.state()
		var b []byte
		switch {
		case strings.HasPrefix(text, "SHOW vitals"):
			b = appendRow(nil, "vitals", []byte(vitals(primary, position)))
		case strings.HasPrefix(text, "SELECT 1"):
			b = appendRow(nil, "one", []byte("1"))
		default:
			b = appendMessage(nil, 'I', nil)
		}
		_, err := c.Write(appendReady(b))
		return err == nil
	}
	return h.answerRequest(c, text)
}

func (h *host) answerRequest(c net.Conn, text string) bool {
	id, key := commentValue(text, "id"), quotedKey(text)
	cut := noCut
	if h.cut != nil {
		cut = h.cut(text)
	}
	var value, completed []byte
	var asOf int64
	if strings.Contains(text, "INSERT") {
		if primary, position := h.state(); !primary {
			h.rec.linef("host %s misses write %s", h.id, id)
			b := appendError(nil, "ERROR", "25006", "this is no primary")
			b = appendParameter(appendParameter(b, "rank", "copy"), "as_of", strconv.FormatInt(position, 10))
			_, err := c.Write(appendReady(b))
			return err == nil
		}
		time.Sleep(h.work)
		if h.isHanging() {
			return true
		}
		made := h.group.addCommit(key, id)
		run := h.group.countRun(id)
		h.rec.linef("host %s runs write %s of %s, run %d, commit %d", h.id, id, key, run, made.position)
		asOf = made.position
		value = fmt.Appendf(nil, "id=%s written=%d", id, made.position)
	} else {
		time.Sleep(h.work)
		_, asOf = h.state()
		seen, _ := h.group.lastCommit(key, asOf)
		h.rec.linef("host %s runs read %s of %s at %d, sees commit %d", h.id, id, key, asOf, seen.position)
		text := fmt.Sprintf("id=%s host=%s at=%d seen=%d", id, h.id, asOf, seen.position)
		value = []byte(text)
		if h.value != nil {
			value = h.value(text, text)
		}
	}
	completed = appendRow(nil, "body", value)
	primary, position := h.state()
	if cut == cutAfterTag {
		_, _ = c.Write(completed)
		h.rec.linef("host %s answers %s up to its completion and resets the connection", h.id, id)
		time.Sleep(2 * time.Millisecond)
		reset(c)
		return false
	}
	completed = appendParameter(completed, "rank", roleName(primary))
	completed = appendParameter(completed, "as_of", strconv.FormatInt(asOf, 10))
	completed = appendReady(appendParameter(completed, "vitals", vitals(primary, position)))
	write := func(c net.Conn, answer []byte) error { _, err := c.Write(answer); return err }
	if h.write != nil {
		write = h.write
	}
	return write(c, completed) == nil
}
