// Command toy plays what the gateway needs around it, to try it by hand: discovery and a group of three database
// hosts that keep small objects in memory. It is a toy: nothing is stored and replicas never lag.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"cloverrock/internal/pgwire"
)

const discovery = "127.0.0.1:8500"

// group is the three hosts with the objects that they share.
type group struct {
	mu         sync.Mutex
	changed    *sync.Cond
	generation int
	primary    string
	addresses  map[string]string
	objects    map[string]string

	insert, lookup *regexp.Regexp
}

func main() {
	g := &group{
		generation: 1, primary: "toy-1", objects: map[string]string{}, addresses: map[string]string{},
		insert: regexp.MustCompile(`(?i)INSERT INTO objects.*VALUES \('([^']*)', '([^']*)'\)`),
		lookup: regexp.MustCompile(`(?i)WHERE oid = '([^']*)'`),
	}
	g.changed = sync.NewCond(&g.mu)
	for i := 1; i <= 3; i++ {
		id, address := fmt.Sprint("toy-", i), fmt.Sprint("127.0.0.1:700", i)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			log.Fatal(err)
		}
		g.addresses[id] = address
		go g.listen(id, ln)
	}
	http.HandleFunc("GET /api/targets", g.targets)
	http.HandleFunc("POST /promote/{id}", g.promote)
	log.Printf("hosts toy-1 to toy-3 on 127.0.0.1:7001 to :7003, discovery on %s", discovery)
	log.Fatal(http.ListenAndServe(discovery, nil))
}

// promote makes another host the primary.
func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := r.PathValue("id")
	if g.addresses[id] == "" {
		http.Error(w, "no host "+id, http.StatusNotFound)
		return
	}
	g.primary = id
	g.generation++
	g.changed.Broadcast()
	_, _ = fmt.Fprintln(w, id, "is the primary now") // the client may be gone
}

// list is the hosts in discovery's form.
func (g *group) list() []byte {
	type instance struct {
		ID        string  `json:"instanceId"`
		Address   string  `json:"hostPort"`
		Cell      int     `json:"cell"`
		Lifecycle string  `json:"lifecycle"`
		Weight    float64 `json:"weight"`
		Rank      string  `json:"rank"`
	}
	var all []instance
	for id, address := range g.addresses {
		rank := "copy"
		if id == g.primary {
			rank = "source"
		}
		all = append(all, instance{id, address, 1, "SERVING", 1, rank})
	}
	b, _ := json.Marshal(map[string]any{"generation": g.generation, "reset": true, "instances": all})
	return append(b, '\n')
}

// targets answers with the list; a stream goes on with each change, and an empty line every 2 s.
func (g *group) targets(w http.ResponseWriter, r *http.Request) {
	stream, last := r.FormValue("stream") == "1", 0
	beat := time.AfterFunc(2*time.Second, g.changed.Broadcast)
	defer beat.Stop()
	for r.Context().Err() == nil {
		g.mu.Lock()
		line := []byte("\n")
		if g.generation != last {
			line, last = g.list(), g.generation
		}
		g.mu.Unlock()
		if _, err := w.Write(line); err != nil || !stream {
			return
		}
		w.(http.Flusher).Flush()
		beat.Reset(2 * time.Second)
		g.mu.Lock()
		g.changed.Wait()
		g.mu.Unlock()
	}
}

func (g *group) listen(id string, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go g.serve(id, c)
	}
}

// connection is one of the gateway's, with what was read and not yet handled.
type connection struct {
	net.Conn
	unread []byte
}

// readMore adds what the gateway sends next; it returns false at the end of the connection.
func (c *connection) readMore() bool {
	chunk := make([]byte, 4096)
	n, err := c.Read(chunk)
	c.unread = append(c.unread, chunk[:n]...)
	return err == nil
}

// serve speaks as much of PostgreSQL's protocol as the gateway uses.
func (g *group) serve(id string, accepted net.Conn) {
	c := &connection{Conn: accepted}
	defer func() { _ = c.Close() }() // the connection is over either way
	if !c.start() {
		return
	}
	for {
		message, rest, complete, err := pgwire.Next(c.unread)
		if err != nil {
			return
		}
		if !complete {
			if !c.readMore() {
				return
			}
			continue
		}
		c.unread = rest
		if message.Type != 'Q' {
			return
		}
		if _, err := c.Write(g.query(id, strings.TrimSuffix(string(message.Body), "\x00"))); err != nil {
			return
		}
	}
}

// start answers startup messages, declining TLS, until one asks for the protocol's version.
func (c *connection) start() bool {
	for {
		startup, rest, complete, err := pgwire.NextStartup(c.unread)
		if err != nil {
			return false
		}
		if !complete {
			if !c.readMore() {
				return false
			}
			continue
		}
		c.unread = rest
		if startup.Code == pgwire.ProtocolVersion {
			_, err = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil)))
			return err == nil
		}
		if _, err := c.Write([]byte{'N'}); err != nil {
			return false
		}
	}
}

// query answers one statement, and says what the host's role and position are.
func (g *group) query(id, text string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now().UnixMilli()
	rank := "copy"
	role := 0
	if id == g.primary {
		rank = "source"
		role = 1
	}
	vitals := fmt.Sprintf("x0=%d.%03d,x1=%d", now/1000, now%1000, role)
	row := func(value string) []byte {
		return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
	}
	var b []byte
	insert := g.insert.FindStringSubmatch(text)
	lookup := g.lookup.FindStringSubmatch(text)
	switch {
	case text == "SHOW vitals":
		b = row(vitals)
	case insert != nil && id != g.primary:
		b = queryError(pgwire.CodeReadOnly, "not the primary")
	case insert != nil:
		oid, body := insert[1], insert[2]
		g.objects[oid] = body
		b = row(body)
		log.Printf("%s wrote %s", id, oid)
	case lookup != nil:
		b = row(g.objects[lookup[1]])
		log.Printf("%s read %s", id, lookup[1])
	default:
		b = queryError(pgwire.CodeSyntaxError, "the toy knows two statements")
	}
	for _, p := range [...][2]string{{"rank", rank}, {"as_of", strconv.FormatInt(now, 10)}, {"vitals", vitals}} {
		b = pgwire.AppendParameterStatus(b, p[0], p[1])
	}
	return pgwire.AppendReadyForQuery(b)
}

func queryError(code, message string) []byte {
	return pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: code, Message: message})
}
