// Package restart rehearses the return of a gateway that was killed: discovery is silent, and the list that it comes
// back with names a primary that hangs. It is played with a store and without one.
package restart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/settings"
)

// Options of a rehearsal.
type Options struct {
	Seed    uint64
	Program string
	Rate    float64
	Replace int  // hosts that were replaced by new ones since the list on file
	Forget  bool // the store is there and nothing is kept in it: the check must see no gain
	Log     func(format string, a ...any)
}

// Side is what came of one way.
type Side struct {
	Share    float64            `json:"share"` // of the worth asked for in the 5 s after the return
	ByClass  map[string]float64 `json:"by_class"`
	Requests int                `json:"requests"`
	ReadyMS  int64              `json:"ready_ms"` // from the start of the process to its first accepted connection
}

// Result of both.
type Result struct {
	Seed         uint64  `json:"seed"`
	With         float64 `json:"with_store"`
	Without      float64 `json:"without_store"`
	WithDetail   Side    `json:"with"`
	WithoutBasis Side    `json:"without"`
}

const (
	hosts = 5
	after = 5 * time.Second
)

// Run plays both ways, the one without the store first.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	without, err := play(ctx, o, false)
	if err != nil {
		return nil, fmt.Errorf("without the store: %w", err)
	}
	with, err := play(ctx, o, true)
	if err != nil {
		return nil, fmt.Errorf("with the store: %w", err)
	}
	return &Result{o.Seed, with.Share, without.Share, *with, *without}, nil
}

// stage is the processes and stand-ins of one play.
type stage struct {
	Options
	dir, listen, config, settings string
	store                         bool
	hosts                         []*emulator.Host
	running                       []*exec.Cmd
}

func (s *stage) start(env []string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(s.Program, args...)
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Env, cmd.Stderr = append(os.Environ(), env...), log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.running = append(s.running, cmd)
	return cmd, nil
}

// end ends all that was started.
func (s *stage) end() {
	for _, cmd := range s.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, h := range s.hosts {
		h.Close()
	}
}

func (s *stage) gateway() (*exec.Cmd, error) {
	args := []string{"serve"}
	if s.store {
		args = append(args, "--settings", s.settings)
	}
	return s.start([]string{"EDGE_CONFIG=" + s.config}, args...)
}

// accepts waits until the gateway takes connections.
func (s *stage) accepts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if c, err := net.DialTimeout("tcp4", s.listen, time.Second); err == nil {
			c.Close()
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return errors.New("the gateway does not come up")
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func play(ctx context.Context, o Options, store bool) (*Side, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 11))
	dir, err := os.MkdirTemp("", "restart-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &stage{Options: o, dir: dir, store: store}
	defer s.end()
	discovery, err := emulator.NewDiscovery()
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	if o.Replace < 0 || o.Replace > hosts-2 {
		return nil, fmt.Errorf("%d hosts replaced; 0 to %d", o.Replace, hosts-2)
	}
	if err := s.add(hosts, "s-"); err != nil {
		return nil, err
	}
	s.hosts[0].Primary(true)
	if err := s.configure(discovery.Address()); err != nil {
		return nil, err
	}
	if store {
		if err := s.found(); err != nil {
			return nil, err
		}
	}
	if _, err := s.gateway(); err != nil {
		return nil, err
	}
	if err := s.accepts(ctx); err != nil {
		return nil, err
	}
	load := &emulator.Load{Address: s.listen, Rate: o.Rate, Seed: o.Seed}
	work, stop := context.WithCancel(ctx)
	defer stop()
	samples := make(chan []emulator.Sample, 1)
	go func() { samples <- load.Run(work) }()
	if err := pause(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	// New hosts come and old ones go: discovery tells it, and the list on file does not have it.
	if err := s.add(o.Replace, "new-"); err != nil {
		return nil, err
	}
	for _, h := range s.hosts[1 : 1+o.Replace] {
		h.Close()
	}
	if o.Replace > 0 {
		line, err := json.Marshal(map[string]any{"generation": 8, "reset": true, "instances": s.list(append(s.hosts[:1:1], s.hosts[1+o.Replace:]...))})
		if err != nil {
			return nil, err
		}
		discovery.Tell(string(line))
	}
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	discovery.Mute()
	// The primary hangs, and another takes over: everybody but discovery and the list on file comes to know.
	next := s.hosts[1+rng.IntN(hosts-1)]
	if o.Replace > 0 {
		next = s.hosts[hosts+rng.IntN(o.Replace)]
	}
	o.Log("s-0 hangs, %s takes over", next.ID)
	s.hosts[0].Hang(true)
	if err := pause(ctx, 800*time.Millisecond); err != nil {
		return nil, err
	}
	s.hosts[0].Primary(false)
	next.Primary(true)
	if err := pause(ctx, time.Duration(2500+rng.IntN(1000))*time.Millisecond); err != nil {
		return nil, err
	}
	o.Log("the gateway is killed")
	gateway := s.running[len(s.running)-1]
	_ = gateway.Process.Kill()
	_ = gateway.Wait()
	if err := pause(ctx, time.Duration(200+rng.IntN(400))*time.Millisecond); err != nil {
		return nil, err
	}
	began := time.Now()
	if _, err := s.gateway(); err != nil {
		return nil, err
	}
	if err := s.accepts(ctx); err != nil {
		return nil, err
	}
	back := time.Now()
	if err := pause(ctx, after); err != nil {
		return nil, err
	}
	stop()
	return judge(<-samples, back, back.Sub(began)), nil
}

func judge(all []emulator.Sample, back time.Time, ready time.Duration) *Side {
	side := &Side{ByClass: map[string]float64{}, ReadyMS: ready.Milliseconds()}
	var earned, asked [len(emulator.Classes)]float64
	var sum, of float64
	for _, x := range all {
		if x.At.Before(back) || x.At.After(back.Add(after)) {
			continue
		}
		side.Requests++
		earned[x.Class] += x.Earned()
		asked[x.Class] += x.Asked()
		sum += x.Earned()
		of += x.Asked()
	}
	if of > 0 {
		side.Share = sum / of
	}
	for i, c := range emulator.Classes {
		if asked[i] > 0 {
			side.ByClass[c.Name] = earned[i] / asked[i]
		}
	}
	return side
}

// add starts so many hosts.
func (s *stage) add(n int, prefix string) error {
	for i := range n {
		h, err := emulator.NewHost(fmt.Sprint(prefix, i), 8*time.Millisecond, 20*time.Millisecond)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

// list is hosts in discovery's form; the first is said to be the primary.
func (s *stage) list(hosts []*emulator.Host) []map[string]any {
	var all []map[string]any
	for i, h := range hosts {
		rank := "copy"
		if i == 0 {
			rank = "source"
		}
		all = append(all, map[string]any{"instanceId": h.ID, "hostPort": h.Address(), "cell": 1, "lifecycle": "SERVING", "rank": rank})
	}
	return all
}

// configure writes the gateway's configuration, with a list that names s-0 as the primary.
func (s *stage) configure(discovery string) error {
	free, err := loopback.Reserve(1)
	if err != nil {
		return err
	}
	s.listen = free[0]
	type m = map[string]any
	b, err := json.MarshalIndent(m{"name": "a", "listen": s.listen, "discovery": discovery, "seed": fmt.Sprintf("%x", s.Seed),
		"limits": m{"memory_mb": 192, "sockets": 1024}, "known": m{"generation": 7, "reset": true, "instances": s.list(s.hosts)},
		"settings": m{"tickMs": 5.0, "classes": emulator.ClassSettings(), "extra": m{"classRead": []string{"recent", "own_writes", "update"},
			"stalenessBoundMs": []int{500, 0, 0}, "serverChecks": "none", "tokens": "client"},
			"report":      m{"fields": []string{"x0", "x1"}, "source": "answers"},
			"limits":      m{"cancel": true, "probes": true, "dialTimeoutMs": 250, "idleCloseMs": 30000, "maxAttempts": 10, "maxRetryAfterMs": 1000},
			"obligations": m{"coldFrom": 0.25, "coldMs": 16000, "drainGraceMs": 1000, "fallMultiple": 4, "overloadForMs": 1500}}}, "", "  ")
	if err != nil {
		return err
	}
	s.config = filepath.Join(s.dir, "config.json")
	return os.WriteFile(s.config, b, 0o600)
}

// found makes a store of three: the gateway's own instance, and two beside.
func (s *stage) found() error {
	args := []string{"store", "init", "--dir", s.dir, "--local"}
	names := []string{"a", "b", "c"}
	free, err := loopback.Reserve(len(names))
	if err != nil {
		return err
	}
	for i, n := range names {
		args = append(args, "--member", n+"="+free[i])
	}
	if out, err := exec.Command(s.Program, args...).CombinedOutput(); err != nil {
		return fmt.Errorf("store init: %w: %s", err, out)
	}
	s.settings = filepath.Join(s.dir, "a.json")
	set, err := settings.Load(s.settings)
	if err != nil {
		return err
	}
	if !s.Forget {
		set.WarmStart = &settings.WarmStart{}
	}
	b, err := json.Marshal(set)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.settings, b, 0o600); err != nil {
		return err
	}
	for _, n := range names[1:] {
		if _, err := s.start(nil, "store", "serve", "--settings", filepath.Join(s.dir, n+".json")); err != nil {
			return err
		}
	}
	return nil
}
