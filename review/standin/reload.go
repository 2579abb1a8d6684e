package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// The scenario "reload": an operator commits revisions of the document "gateway" that move discovery, and sends SIGHUP at
// about the same time. After each the gateway must follow discovery at the address of the newest revision.

const reloadFor = 80 * time.Second

func init() { cases["reload"] = reloadCase }

func reloadCase(r *rig) (int, error) {
	l := &learnedRig{rig: r}
	defer l.stopStore()
	hosts, g := startGroup(r.rec, "db1", "db2")
	for _, h := range hosts {
		if err := h.start("127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	g.setPrimary(hosts[0])
	var watched [2]atomic.Int64 // open watches
	var connected [2]atomic.Int64
	agents := [2]*agent{}
	for i := range agents {
		agents[i] = newAgent(instances(1, hosts, hosts[0]))
		agents[i].watched = func(d int64) {
			watched[i].Add(d)
			if d > 0 {
				connected[i].Store(time.Now().UnixMicro())
			}
		}
		if err := agents[i].start("127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	if err := l.startStore(); err != nil {
		return 0, err
	}
	program := filepath.Join(r.root, "bin", "cloverrock")
	second := exec.Command(program, "store", "serve", "--settings", filepath.Join(l.storeDir, "b.json"))
	if err := second.Start(); err != nil {
		return 0, err
	}
	defer func() {
		_ = second.Process.Kill()
		_ = second.Wait()
	}()
	conf, err := r.configuration(nil)
	if err != nil {
		return 0, err
	}
	gw, err := r.startGateway("a", agents[0].address, conf, "CLOVERROCK_SETTINGS="+filepath.Join(l.storeDir, "a.json"))
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	document := filepath.Join(r.temp, "document.json")
	end := time.Now().Add(reloadFor)
	stale, revisions := 0, 0
	mean := 40 * time.Millisecond
	for n := 1; time.Now().Before(end); n++ {
		to := n % 2
		if err := os.WriteFile(document, fmt.Appendf(nil, `{"discovery":%q}`, agents[to].address), 0o600); err != nil {
			return 0, err
		}
		put := exec.Command(program, "store", "put", "gateway", "--file", document, "--as", filepath.Join(l.storeDir, "operator.json"))
		started := time.Now()
		if r.trouble {
			offset := mean + time.Duration(n%21-10)*200*time.Microsecond
			time.AfterFunc(offset, func() { _ = gw.cmd.Process.Signal(syscall.SIGHUP) })
		}
		if out, err := put.CombinedOutput(); err != nil {
			return 0, fmt.Errorf("store put: %w: %s", err, out)
		}
		revisions++
		time.Sleep(150 * time.Millisecond)
		took := time.UnixMicro(connected[to].Load()).Sub(started)
		if took > 0 && took < time.Second {
			mean += (took - mean) / 8
		}
		if watched[to].Load() < 1 {
			stale++
			r.rec.line("revision %d names agent %d; open watches: %d and %d", n, to, watched[0].Load(), watched[1].Load())
		}
	}
	if !gw.running() {
		return 0, errors.New("the gateway has ended")
	}
	r.rec.say("revisions %d, after which the gateway follows the address of the revision before: %d; mean %v", revisions, stale, mean)
	if stale > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
