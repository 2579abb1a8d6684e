package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The case "learned": two gateways keep what they have learned in the replicated store. Discovery gives them different
// addresses for the same hosts. One of them is killed and comes back with its last list while discovery is down.

const (
	listSpread  = 300 * time.Millisecond // how much earlier the other gateway is told of a change; up to 350 ms
	killAfter   = 2 * time.Second        // from the change to the kill
	comesBack   = 4 * time.Second        // 3.2 to 7.5 s after the kill
	settleStore = 3 * time.Second        // for the store to elect a leader and the gateways to write what they know
)

func init() { cases["learned"] = learnedCase }

type learnedRig struct {
	*rig
	hosts    [4]*host // two of group 1, two of group 2; the first of each is its primary
	sidecars [4]*sidecar
	agents   map[string]*agent
	confs    map[string]map[string]any
	running  map[string]*gateway
	storeDir string
	store    *exec.Cmd
}

// routes says to which host each address leads a gateway.
var routes = map[string][4]int{"a": {2, 3, 0, 1}, "b": {0, 1, 2, 3}}

func learnedCase(r *rig) (int, error) {
	l := &learnedRig{rig: r, agents: map[string]*agent{}, confs: map[string]map[string]any{}, running: map[string]*gateway{}}
	defer l.stopStore()
	if err := l.start(); err != nil {
		return 0, err
	}
	time.Sleep(settleStore)
	if err := l.requests("a", "first"); err != nil {
		return 0, err
	}
	if err := l.requests("b", "first"); err != nil {
		return 0, err
	}
	l.changeAndKill()
	time.Sleep(comesBack)
	l.agents["a"].silent.Store(l.trouble)
	l.rec.line("gateway a starts again with its last list, of generation 1; discovery down: %v", l.trouble)
	if err := l.startGateway("a"); err != nil {
		return 0, err
	}
	if err := l.requests("a", "again"); err != nil {
		return 0, err
	}
	return l.judge()
}

func (l *learnedRig) start() error {
	groups := [2]*group{{}, {}}
	for i := range l.hosts {
		l.hosts[i] = &host{id: fmt.Sprintf("db%d", i+1), group: groups[i/2], rec: l.rec}
		l.hosts[i].work = func(*statement) time.Duration { return 50 * time.Millisecond }
		if err := l.hosts[i].start("127.0.0.1:0"); err != nil {
			return err
		}
	}
	groups[0].setPrimary(l.hosts[0])
	groups[1].setPrimary(l.hosts[2])
	for i := range l.sidecars {
		l.sidecars[i] = &sidecar{rec: l.rec, dialer: l.dialer, routes: map[string]*host{}}
		for name, route := range routes {
			l.sidecars[i].routes[name] = l.hosts[route[i]]
		}
		if err := l.sidecars[i].start(); err != nil {
			return err
		}
	}
	if err := l.startStore(); err != nil {
		return err
	}
	for _, name := range []string{"a", "b"} {
		l.agents[name] = newAgent(l.entries(name))
		if err := l.agents[name].start("127.0.0.1:0"); err != nil {
			return err
		}
		if err := l.startGateway(name); err != nil {
			return err
		}
	}
	return nil
}

// entries returns the list with the addresses of one gateway.
func (l *learnedRig) entries(name string) []instance {
	entries := make([]instance, len(l.hosts))
	for i, to := range routes[name] {
		entries[to] = entry(1+to/2, l.hosts[to], to%2 == 0)
		entries[to].HostPort = l.sidecars[i].address
	}
	for _, e := range entries {
		l.rec.line("discovery tells gateway %s: %s of group %d at %s", name, e.InstanceID, e.Cell, e.HostPort)
	}
	return entries
}

// dialer returns the name of the gateway that holds a socket.
func (l *learnedRig) dialer(inode string) string {
	for name, g := range l.running {
		if g.running() && holdsSocket(g.cmd.Process.Pid, inode) {
			return name
		}
	}
	return ""
}

func (l *learnedRig) startStore() error {
	l.storeDir = filepath.Join(l.temp, "store")
	args := []string{"store", "init", "--dir", l.storeDir, "--local"}
	for _, name := range []string{"a", "b", "c"} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		args = append(args, "--member", name+"="+address)
	}
	program := filepath.Join(l.root, "bin", "cloverrock")
	if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
		return fmt.Errorf("store init: %w: %s", err, out)
	}
	for _, name := range []string{"a", "b"} { // as the operators' page says: the gateways store what they learn
		path := filepath.Join(l.storeDir, name+".json")
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var settings map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			return err
		}
		settings["learned"] = map[string]any{"write_ms": 100}
		if text, err = json.Marshal(settings); err != nil {
			return err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
	}
	log, err := os.Create(filepath.Join(l.folder, "gateway-store-c.log"))
	if err != nil {
		return err
	}
	l.store = exec.Command(program, "store", "serve", "--settings", filepath.Join(l.storeDir, "c.json"))
	l.store.Stdout = log
	l.store.Stderr = log
	return l.store.Start()
}

func (l *learnedRig) stopStore() {
	if l.store != nil && l.store.Process != nil {
		_ = l.store.Process.Kill()
		_ = l.store.Wait()
	}
}

// startGateway starts a gateway with the store and, as its last list, the one of generation 1.
func (l *learnedRig) startGateway(name string) error {
	conf, err := l.configuration(func(conf, _ map[string]any) {
		conf["known"] = list{Generation: 1, Reset: true, Instances: l.agents[name].base.Instances}
	})
	if err != nil {
		return err
	}
	settings := "CLOVERROCK_SETTINGS=" + filepath.Join(l.storeDir, name+".json")
	started := make(chan error, 1)
	before := len(l.gateways)
	go func() {
		_, err := l.rig.startGateway(name, l.agents[name].address, conf, settings)
		started <- err
	}()
	for range 200 { // the network must know the process before it dials
		time.Sleep(time.Millisecond)
		if len(l.gateways) > before {
			l.running[name] = l.gateways[before]
			break
		}
	}
	return <-started
}

// changeAndKill lets discovery tell a change, a host's new start, and kills gateway a after that.
func (l *learnedRig) changeAndKill() {
	for i, name := range []string{"b", "a"} {
		changed := l.entries(name)[3]
		changed.StartedAtMs = nowMS() - 2000
		time.AfterFunc(time.Duration(i)*listSpread, func() {
			l.agents[name].change(changed)
			l.rec.line("discovery tells the agent of gateway %s: %s has started again, generation 2", name, changed.InstanceID)
		})
	}
	time.Sleep(killAfter)
	l.running["a"].stop()
	l.rec.line("gateway a is killed")
}

// requests sends a write and some reads to each group by way of a gateway.
func (l *learnedRig) requests(name, when string) error {
	c, err := dialClient(l.running[name].listen)
	if err != nil {
		return err
	}
	defer c.close()
	for cell := 1; cell <= 2; cell++ {
		oid := "object" + fmt.Sprint(cell)
		for k := range 6 {
			id := fmt.Sprintf("%s-%s-g%d-%d", name, when, cell, k)
			text := readText(id, "zone-lookup", oid, 750, cell, 0)
			if k == 0 {
				text = writeText(id, "zone-change", oid, fmt.Appendf(nil, "of group %d", cell), 3000, cell)
			}
			answer, err := c.query(text, 5*time.Second)
			l.rec.line("client of gateway %s: %s: %v %v", name, id, answer, err)
			if err != nil {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// judge looks for requests that ran at a host of another group.
func (l *learnedRig) judge() (int, error) {
	if len(l.running) != 2 {
		return 0, errors.New("a gateway is missing")
	}
	wrong := 0
	for i, h := range l.hosts {
		h.mu.Lock()
		for id := range h.executed {
			if !strings.Contains(id, fmt.Sprintf("-g%d-", 1+i/2)) {
				wrong++
				l.rec.line("WRONG: %s ran at %s, a host of group %d", id, h.id, 1+i/2)
			}
		}
		h.mu.Unlock()
	}
	l.rec.say("requests that ran at a host of another group: %d", wrong)
	if wrong > 0 {
		l.rec.say("broken: gateway a sent requests to hosts that its own list does not name at these addresses")
		return exitBroken, nil
	}
	return exitHeld, nil
}
