package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one entry of the list of hosts.
type instance struct {
	ID      string  `json:"instanceId"`
	Address string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
	Rank    string  `json:"rank,omitempty"`
}

type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the agent that tells a gateway the list of hosts.
type discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	generation int64
	instances  []instance
	changed    chan struct{} // closed at the next change
}

func newDiscovery(instances []instance) (*discovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, generation: 41, instances: instances, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) close() { _ = d.server.Close() }

// update replaces the list.
func (d *discovery) update(change func(instances []instance) []instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = change(d.instances)
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) current() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.generation, true, append([]instance{}, d.instances...)}, d.changed
}

// serve answers a call for the list, or a watch. A watch gets the whole list at each change.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	now, changed := d.current()
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("stream") == "" {
		_ = json.NewEncoder(w).Encode(now)
		return
	}
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	flusher := w.(http.Flusher)
	if index == now.Generation {
		now = list{now.Generation, false, []instance{}}
	}
	_ = json.NewEncoder(w).Encode(now)
	flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			now, changed = d.current()
			_ = json.NewEncoder(w).Encode(now)
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		}
		flusher.Flush()
	}
}
