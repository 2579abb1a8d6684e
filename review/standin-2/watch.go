package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// storeCluster is a store of three instances, each a process, of which b can be cut off from the others.
type storeCluster struct {
	p         *play
	line, dir string
	addresses map[string]string
	running   map[string]*process
	relays    []*relay
}

func startStore(p *play) (*storeCluster, error) {
	line, err := runCommand(p.root)
	if err != nil {
		return nil, err
	}
	s := &storeCluster{p: p, line: line, dir: filepath.Join(p.dir, "store"), addresses: map[string]string{}, running: map[string]*process{}}
	members := ""
	for _, name := range []string{"a", "b", "c"} {
		s.addresses[name] = freeAddress()
		members += fmt.Sprintf(" --member %s=%s", name, s.addresses[name])
	}
	if out, err := s.command(fmt.Sprintf("store init --dir %s --local%s", s.dir, members)); err != nil {
		return nil, fmt.Errorf("store init: %w: %s", err, out)
	}
	for _, name := range []string{"a", "b", "c"} {
		routes := map[string]string{}
		for _, other := range []string{"a", "b", "c"} {
			if other != name && (other == "b" || name == "b") {
				r, err := newRelay(s.addresses[other])
				if err != nil {
					return nil, err
				}
				s.relays = append(s.relays, r)
				routes[other] = r.address()
			}
		}
		path := filepath.Join(s.dir, name+".json")
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var settings map[string]map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			return nil, err
		}
		settings["store"]["routes"] = routes
		if text, err = json.Marshal(settings); err != nil {
			return nil, err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		if s.running[name], err = p.start(fmt.Sprintf("%s store serve --settings %s", line, path), "store-"+name+".log"); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// command runs one command of the program and returns what it prints.
func (s *storeCluster) command(arguments string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", s.line+" "+arguments)
	cmd.Dir = s.p.root
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

func (s *storeCluster) operator() string { return "--as " + filepath.Join(s.dir, "operator.json") }

// put writes a key until the store acknowledges the write, with a value that no other write has.
func (s *storeCluster) put(key, value string) error {
	for range 10 {
		out, err := s.command(fmt.Sprintf("store key put notes %s %s %s", key, value, s.operator()))
		s.p.rec.linef("put %s=%s: %s", key, value, out)
		if err == nil {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the store acknowledges no write")
}

func (s *storeCluster) setCut(cut bool) {
	for _, r := range s.relays {
		r.setCut(cut)
	}
}

// watchEvent is one line of the command watch.
type watchEvent struct {
	Revision int64 `json:"revision"`
	KV       struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"kv"`
}

func readWatch(path string) (events []watchEvent, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var event watchEvent
		if json.Unmarshal(lines.Bytes(), &event) == nil && event.Revision > 0 {
			events = append(events, event)
		}
	}
	return events, lines.Err()
}

// awaitEvents waits until a watch has printed a value.
func awaitEvents(path, value string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		events, _ := readWatch(path)
		for _, event := range events {
			if string(event.KV.Value) == value {
				return nil
			}
		}
	}
	return fmt.Errorf("the watch has not printed %s within %s", value, within)
}

func init() { cases["watch"] = playWatch }

// playWatch watches a store whose instance b is cut off, and ends the instance that the watch is connected to.
func playWatch(p *play) error {
	s, err := startStore(p)
	if err != nil {
		return err
	}
	if err := s.put("fee", "v0"); err != nil {
		return err
	}
	output := filepath.Join(p.dir, "watch.log")
	if _, err := p.start(fmt.Sprintf("%s store watch notes %s", s.line, s.operator()), "watch.log"); err != nil {
		return err
	}
	time.Sleep(time.Second)
	write := func(from, to int) error {
		for i := from; i <= to; i++ {
			if err := s.put("fee", fmt.Sprintf("v%d", i)); err != nil {
				return err
			}
		}
		return awaitEvents(output, fmt.Sprintf("v%d", to), 10*time.Second)
	}
	if err := write(1, 3); err != nil {
		return err
	}
	if p.trouble {
		p.rec.linef("instance b is cut off from the others")
		s.setCut(true)
	}
	time.Sleep(time.Second)
	if err := write(4, 8); err != nil {
		return err
	}
	p.rec.linef("instance a is killed")
	s.running["a"].kill()
	time.Sleep(3 * time.Second)
	if p.trouble {
		p.rec.linef("the cut ends")
		s.setCut(false)
	}
	if err := write(9, 9); err != nil {
		return err
	}
	time.Sleep(time.Second)
	events, err := readWatch(output)
	if err != nil {
		return err
	}
	last := watchEvent{}
	for _, event := range events {
		p.rec.linef("watch: revision %d, %s=%s", event.Revision, event.KV.Key, event.KV.Value)
		if event.Revision <= last.Revision {
			p.breach("the watch goes from revision %d (%s) back to revision %d (%s)", last.Revision, last.KV.Value, event.Revision, event.KV.Value)
		}
		last = event
	}
	return nil
}
