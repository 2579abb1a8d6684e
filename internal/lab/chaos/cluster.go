// Package chaos rehearses the store with real processes: it kills them, cuts their lines, restarts all together, and
// checks what clients were told against what is there afterwards.
package chaos

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/lab/relay"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/pki"
)

// cluster is the processes with the lines between them.
type cluster struct {
	dir, program string
	lost         bool
	all          []*process
	lines        map[[2]int]*relay.Relay // from, to
}

// process is one instance.
type process struct {
	name, address, settings, data string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	gone                          chan struct{}
	down                          bool // on purpose
	unasked                       int  // times it ended by itself
	log                           *os.File
}

// found prepares so many instances in a directory.
func found(dir, program string, instances int, lost bool) (*cluster, error) {
	c := &cluster{dir: dir, program: program, lost: lost, lines: map[[2]int]*relay.Relay{}}
	addresses, err := loopback.Reserve(instances)
	if err != nil {
		return nil, err
	}
	args := []string{"store", "init", "--dir", dir, "--local"}
	for i, a := range addresses {
		name := fmt.Sprint("n", i)
		args = append(args, "--member", name+"="+a)
		c.all = append(c.all, &process{name: name, address: a, settings: filepath.Join(dir, name+".json"), data: filepath.Join(dir, name+"-data")})
	}
	if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("store init: %w: %s", err, bytes.TrimSpace(out))
	}
	for i, p := range c.all {
		routes := map[string]string{}
		for j, q := range c.all {
			if i == j {
				continue
			}
			r, err := relay.New(q.address)
			if err != nil {
				return nil, err
			}
			c.lines[[2]int{i, j}] = r
			routes[q.name] = r.Address()
		}
		set, err := settings.Load(p.settings)
		if err != nil {
			return nil, err
		}
		set.Store.Routes, set.Store.SnapshotEntries, set.Store.TickMS = routes, 2000, 20
		b, err := json.Marshal(set)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(p.settings, b, 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log == nil {
		f, err := os.Create(filepath.Join(c.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = f
	}
	args := []string{"store", "serve", "--settings", p.settings}
	if c.lost {
		args = append(args, "--rehearse-lost-syncs")
	}
	p.cmd, p.gone, p.down = exec.Command(c.program, args...), make(chan struct{}), false
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the rehearsal
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		p.mu.Lock()
		if !p.down {
			p.unasked++
		}
		p.mu.Unlock()
		close(gone)
	}(p.cmd, p.gone)
	return nil
}

// kill ends a process at once. With power set, its machine loses what was not synced, too.
func (p *process) kill(power bool) error {
	p.mu.Lock()
	p.down = true
	cmd, gone := p.cmd, p.gone
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Kill()
	<-gone
	if !power {
		return nil
	}
	dir, err := disk.OpenDir(p.data)
	if err != nil {
		return err
	}
	defer dir.Close()
	return disk.DiscardUnsynced(dir)
}

// end ends all that was started.
func (c *cluster) end() {
	for _, p := range c.all {
		_ = p.kill(false)
		if p.log != nil {
			p.log.Close()
		}
	}
	for _, r := range c.lines {
		r.Close()
	}
}

// client connects as the operator; pinned to the first endpoint or roaming.
func (c *cluster) client(first int, pinned bool, try time.Duration) (*client.Client, error) {
	conf, err := pki.LoadTLS(pki.Files{Certificate: filepath.Join(c.dir, "operator.pem"), Key: filepath.Join(c.dir, "operator-key.pem"),
		Authority: filepath.Join(c.dir, "authority.pem")})
	if err != nil {
		return nil, err
	}
	var endpoints []string
	for i := range c.all {
		endpoints = append(endpoints, c.all[(first+i)%len(c.all)].address)
	}
	return client.New(client.Config{Endpoints: endpoints, TLS: conf, SingleEndpoint: pinned, AttemptTimeout: try}), nil
}

var errProgram = errors.New("the program under rehearsal is missing; build it beside this one")

// Beside finds the gateway's program next to this one.
func Beside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "cloverrock")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%w: %w", errProgram, err)
	}
	return path, nil
}

func decode(b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
