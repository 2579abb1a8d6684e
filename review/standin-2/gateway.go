package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is a program of the project, started by the run command of the deploy file.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// start runs a command line from the root of the repository.
func start(root, line, logPath string, env ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = log.Close()
	p := &process{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// start starts a process with a log in the folder of the run. Whatever still runs at the end of the run is killed.
func (p *play) start(line, log string, env ...string) (*process, error) {
	started, err := start(p.root, line, filepath.Join(p.dir, log), env...)
	if err == nil {
		p.mu.Lock()
		p.started = append(p.started, started)
		p.mu.Unlock()
	}
	return started, err
}

// end kills all processes that still run.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.started {
		started.kill()
	}
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// runCommand returns the run command of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// deployment describes the settings of a small deployment.
type deployment struct {
	tokens   string // "client" or "router"
	memoryMB int
	sockets  int
}

func class(name string, aim, deadline int, worth, late float64, repeat string) map[string]any {
	return map[string]any{
		"name": name, "aimMs": aim, "deadlineMs": deadline, "worth": worth, "lateWorth": late,
		"repeat": repeat, "group": "all", "windowMs": 5000, "streamed": false,
	}
}

// configuration returns the gateway's file, with the classes and figures of the pages for the first deployment.
func (d deployment) configuration(name, listen, discovery string, known []instance) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"known":  list{41, true, known},
		"settings": map[string]any{
			"tickMs": 5.0, "discovery": "automatic", "balancers": 1, "ordinal": 0,
			"classes": []any{
				class("zone-lookup", 300, 750, 1, 0, "read_like"),
				class("own-zone-read", 200, 800, 1, 0, "read_like"),
				class("zone-change", 500, 3000, 3, 0.7, "non_idempotent"),
			},
			"extra": map[string]any{
				"classRead": []string{"recent", "own_writes", "update"}, "stalenessBoundMs": []int{500, 0, 0},
				"serverChecks": "none", "tokens": d.tokens, "commitWaits": true, "positions": true,
				"roleInList": "delayed",
			},
			"report": map[string]any{"fields": []string{"x0", "x1"}, "source": "answers"},
			"limits": map[string]any{
				"cancel": true, "probes": true, "dialTimeoutMs": 250, "idleCloseMs": 30000, "maxAttempts": 10,
				"maxRetryAfterMs": 1000, "retryAfter": true, "mayDuplicate": false, "mayTell": false,
			},
			"obligations": map[string]any{
				"coldFrom": 0.25, "coldMs": 16000, "drainGraceMs": 1000, "fallMultiple": 4, "overloadForMs": 1500,
				"answerSlackMs": 20, "askEveryMs": 10000,
			},
			"zones": []string{"regina-dc1"}, "hostTypes": []string{"std-4core"}, "zone": 0,
		},
	}
}

// gateway is a running gateway.
type gateway struct {
	*process
	listen string
}

// startGateway writes the configuration, starts the gateway and waits until it answers an empty query.
func (p *play) startGateway(conf map[string]any) (*gateway, error) {
	text, err := json.Marshal(conf)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	line, err := runCommand(p.root)
	if err != nil {
		return nil, err
	}
	listen := conf["listen"].(string)
	started, err := p.start(line, "gateway.log",
		"EDGE_CONFIG="+path, "EDGE_NAME="+conf["name"].(string), "EDGE_LISTEN="+listen,
		"EDGE_DISCOVERY="+conf["discovery"].(string), "TMPDIR="+p.dir)
	if err != nil {
		return nil, err
	}
	g := &gateway{started, listen}
	for range 300 {
		if c, err := dialClient(listen); err == nil {
			answer := c.do("")
			c.close()
			if answer.kind == "empty" {
				return g, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("the gateway at %s was not ready in time", listen)
}
