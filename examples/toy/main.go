// Command toy is for trying out a gateway by hand. It emulates a discovery service and a group of three database hosts,
// which share small objects in memory. Nothing is stored on disk, and replicas never lag.
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

const (
	discoveryAddress = "127.0.0.1:8500"
	hostCount        = 3
	// heartbeat is the longest time between two lines of a stream of endpoint lists.
	heartbeat = 2 * time.Second
)

// The two statements that the hosts execute.
var (
	insertStatement = regexp.MustCompile(`(?i)INSERT INTO objects.*VALUES \('([^']*)', '([^']*)'\)`)
	lookupStatement = regexp.MustCompile(`(?i)WHERE oid = '([^']*)'`)
)

// group is the three hosts and the objects that they share.
type group struct {
	mu         sync.Mutex
	changed    *sync.Cond        // signaled at each new generation and at heartbeats
	generation int               // of the endpoint list
	primary    string            // id of the primary
	addresses  map[string]string // by id; not changed once discovery is served
	objects    map[string]string // values by key
}

func main() {
	g := &group{generation: 1, primary: "toy-1", objects: map[string]string{}, addresses: map[string]string{}}
	g.changed = sync.NewCond(&g.mu)
	for i := 1; i <= hostCount; i++ {
		id := fmt.Sprint("toy-", i)
		address := fmt.Sprint("127.0.0.1:700", i)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			log.Fatal(err)
		}
		g.addresses[id] = address
		go g.listen(id, listener)
	}
	http.HandleFunc("GET /api/targets", g.targets)
	http.HandleFunc("POST /promote/{id}", g.promote)
	log.Printf("hosts toy-1 to toy-3 on 127.0.0.1:7001 to :7003, discovery on %s", discoveryAddress)
	log.Fatal(http.ListenAndServe(discoveryAddress, nil))
}

// promote makes the host in the path the primary.
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
	_, _ = fmt.Fprintln(w, id, "is the primary now") // an error means that the client has disconnected
}

// list returns the endpoint list in the JSON form of the discovery service. The caller holds g.mu.
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
	b, _ := json.Marshal(map[string]any{"generation": g.generation, "reset": true, "instances": all}) // cannot fail
	return append(b, '\n')
}

// targets answers with the endpoint list. With stream=1, it then sends the list at each change, and an empty line at
// heartbeats.
func (g *group) targets(w http.ResponseWriter, r *http.Request) {
	stream := r.FormValue("stream") == "1"
	sentGeneration := 0
	heartbeatTimer := time.AfterFunc(heartbeat, g.changed.Broadcast)
	defer heartbeatTimer.Stop()
	for r.Context().Err() == nil {
		g.mu.Lock()
		line := []byte("\n")
		if g.generation != sentGeneration {
			line = g.list()
			sentGeneration = g.generation
		}
		g.mu.Unlock()
		if _, err := w.Write(line); err != nil || !stream {
			return
		}
		w.(http.Flusher).Flush()
		heartbeatTimer.Reset(heartbeat)
		g.mu.Lock()
		g.changed.Wait()
		g.mu.Unlock()
	}
}

// listen accepts and serves the connections to a host.
func (g *group) listen(id string, listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go g.serve(id, accepted)
	}
}

// connection is a connection from the gateway.
type connection struct {
	net.Conn
	unparsed []byte // bytes that were read and do not form a whole message yet
}

// readMore reads more bytes. It returns false at the end of the connection.
func (c *connection) readMore() bool {
	chunk := make([]byte, 4096)
	n, err := c.Read(chunk)
	c.unparsed = append(c.unparsed, chunk[:n]...)
	return err == nil
}

// serve serves one connection to a host. It supports the part of the PostgreSQL protocol that the gateway uses.
func (g *group) serve(id string, accepted net.Conn) {
	c := &connection{Conn: accepted}
	defer func() { _ = c.Close() }() // nothing depends on the error of Close
	if !c.start() {
		return
	}
	for {
		message, rest, complete, err := pgwire.Next(c.unparsed)
		if err != nil {
			return
		}
		if !complete {
			if !c.readMore() {
				return
			}
			continue
		}
		c.unparsed = rest
		if message.Type != 'Q' {
			return
		}
		statement := strings.TrimSuffix(string(message.Body), "\x00")
		if _, err := c.Write(g.query(id, statement)); err != nil {
			return
		}
	}
}

// start answers startup messages until one requests version 3 of the protocol, and declines TLS. It returns false if
// the connection ends first.
func (c *connection) start() bool {
	for {
		startup, rest, complete, err := pgwire.NextStartup(c.unparsed)
		if err != nil {
			return false
		}
		if !complete {
			if !c.readMore() {
				return false
			}
			continue
		}
		c.unparsed = rest
		if startup.Code == pgwire.ProtocolVersion {
			_, err = c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil)))
			return err == nil
		}
		if _, err := c.Write([]byte{'N'}); err != nil {
			return false
		}
	}
}

// query executes a statement at a host and returns the messages of its answer, with the role and position of the host.
func (g *group) query(id, statement string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	position := time.Now().UnixMilli()
	rank := "copy"
	role := 0
	if id == g.primary {
		rank = "source"
		role = 1
	}
	vitals := fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role)
	var b []byte
	if statement == "SHOW vitals" {
		b = singleRow(vitals)
	} else {
		b = g.execute(id, statement)
	}
	b = pgwire.AppendParameterStatus(b, "rank", rank)
	b = pgwire.AppendParameterStatus(b, "as_of", strconv.FormatInt(position, 10))
	b = pgwire.AppendParameterStatus(b, "vitals", vitals)
	return pgwire.AppendReadyForQuery(b)
}

// execute executes an INSERT or SELECT of one object. The caller holds g.mu.
func (g *group) execute(id, statement string) []byte {
	insert := insertStatement.FindStringSubmatch(statement)
	lookup := lookupStatement.FindStringSubmatch(statement)
	switch {
	case insert != nil && id != g.primary:
		return queryError(pgwire.CodeReadOnly, "not the primary")
	case insert != nil:
		key, value := insert[1], insert[2]
		g.objects[key] = value
		log.Printf("%s wrote %s", id, key)
		return singleRow(value)
	case lookup != nil:
		key := lookup[1]
		log.Printf("%s read %s", id, key)
		return singleRow(g.objects[key])
	default:
		return queryError(pgwire.CodeSyntaxError, "the toy has two statements")
	}
}

// singleRow returns the messages of an answer with one value.
func singleRow(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

func queryError(code, message string) []byte {
	return pgwire.AppendError(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}
