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
	"time"
)

// gateway is one process of the program, started by the command run of the deploy file.
type gateway struct {
	name   string
	listen string
	cmd    *exec.Cmd
	ended  chan struct{}
	log    *os.File
}

// rig holds what a case has started.
type rig struct {
	root, folder, temp string
	rec                *record
	trouble            bool
	gateways           []*gateway
}

// newRig prepares a case. The root is the folder above that of the case that has the deploy file.
func newRig(folder string) (*rig, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	root := folder
	for {
		if _, err := os.Stat(filepath.Join(root, "deploy", "balancer.toml")); err == nil {
			break
		}
		if root == filepath.Dir(root) {
			return nil, errors.New("no deploy file above the case")
		}
		root = filepath.Dir(root)
	}
	rec, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("disruption: %v", trouble)
	old, _ := filepath.Glob(filepath.Join(folder, "gateway-*.log"))
	for _, path := range old {
		_ = os.Remove(path)
	}
	return &rig{root: root, folder: folder, temp: temp, rec: rec, trouble: trouble}, nil
}

func (r *rig) close() {
	for _, g := range r.gateways {
		g.stop()
	}
	_ = os.RemoveAll(r.temp)
	r.rec.close()
}

// runCommand returns the command run of the deploy file.
func (r *rig) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = \""); ok {
			return strings.TrimSuffix(value, "\""), nil
		}
	}
	return "", errors.New("the deploy file has no command run")
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// configuration returns the complete example configuration of the project with some keys replaced.
func (r *rig) configuration(change func(conf, settings map[string]any)) (map[string]any, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "examples", "config.json"))
	if err != nil {
		return nil, err
	}
	var conf map[string]any
	if err := json.Unmarshal(text, &conf); err != nil {
		return nil, err
	}
	settings, _ := conf["settings"].(map[string]any)
	if change != nil {
		change(conf, settings)
	}
	return conf, nil
}

// startGateway starts a gateway and waits until it answers an empty query. The environment gets further variables.
func (r *rig) startGateway(name, discovery string, conf map[string]any, environment ...string) (*gateway, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	conf["name"] = name
	conf["listen"] = listen
	conf["discovery"] = discovery
	path := filepath.Join(r.temp, name+".json")
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	run, err := r.runCommand()
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, listen: listen, ended: make(chan struct{})}
	logPath := filepath.Join(r.folder, "gateway-"+name+".log")
	g.log, err = os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir = r.root
	g.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME="+name, "EDGE_LISTEN="+listen,
		"EDGE_DISCOVERY="+discovery, "TMPDIR="+r.temp)
	g.cmd.Env = append(g.cmd.Env, environment...)
	g.cmd.Stdout = g.log
	g.cmd.Stderr = g.log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	r.gateways = append(r.gateways, g)
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	return g, g.awaitReady()
}

func (g *gateway) awaitReady() error {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		c, err := dialClient(g.listen)
		if err != nil {
			continue
		}
		answer, err := c.query("", time.Second)
		c.close()
		if err == nil && answer.served {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after 10 s", g.name)
}

func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// stop ends the process, if it still runs.
func (g *gateway) stop() {
	if g.running() {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	_ = g.log.Close()
}
