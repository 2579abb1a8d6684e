package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// instance is one entry of discovery's list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Rank        string  `json:"rank"`
}

type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// agent is discovery's agent at one gateway. It holds the list and all of its changes.
type agent struct {
	address  string
	watched  func(int64) // called with 1 and -1 as a watch begins and ends; may be nil
	silent   atomic.Bool // discovery is down: the agent says nothing
	mu       sync.Mutex
	changed  chan struct{} // closed at each change
	base     list          // complete, at its generation
	changes  []list        // since base
	listener net.Listener
	server   *http.Server
}

func newAgent(instances []instance) *agent {
	return &agent{base: list{Generation: 1, Reset: true, Instances: instances}, changed: make(chan struct{})}
}

func (a *agent) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	a.listener = listener
	a.address = listener.Addr().String()
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(listener) }()
	return nil
}

// change tells new entries.
func (a *agent) change(entries ...instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	generation := a.base.Generation + int64(len(a.changes)) + 1
	a.changes = append(a.changes, list{Generation: generation, Instances: entries})
	close(a.changed)
	a.changed = make(chan struct{})
}

// complete returns the complete list.
func (a *agent) complete() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	full := list{Generation: a.base.Generation, Reset: true}
	full.Instances = append(full.Instances, a.base.Instances...)
	for _, change := range a.changes {
		full.Generation = change.Generation
		for _, entry := range change.Instances {
			full.put(entry)
		}
	}
	return full
}

func (l *list) put(entry instance) {
	for i := range l.Instances {
		if l.Instances[i].InstanceID == entry.InstanceID {
			if entry.Lifecycle == "DELETED" {
				l.Instances = append(l.Instances[:i:i], l.Instances[i+1:]...)
				return
			}
			l.Instances[i] = entry
			return
		}
	}
	if entry.Lifecycle != "DELETED" {
		l.Instances = append(l.Instances, entry)
	}
}

func (a *agent) since(generation int64) (news []list, changed chan struct{}, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if generation < a.base.Generation {
		return nil, a.changed, false
	}
	for _, change := range a.changes {
		if change.Generation > generation {
			news = append(news, change)
		}
	}
	return news, a.changed, true
}

func (a *agent) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	for a.silent.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("stream") == "" {
		_ = encoder.Encode(a.complete())
		return
	}
	if a.watched != nil {
		a.watched(1)
		defer a.watched(-1)
	}
	flush := w.(http.Flusher).Flush
	generation, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	for {
		news, changed, known := a.since(generation)
		if !known {
			full := a.complete()
			news = []list{full}
		}
		for _, change := range news {
			if encoder.Encode(change) != nil {
				return
			}
			generation = change.Generation
		}
		flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flush()
		case <-r.Context().Done():
			return
		}
	}
}
