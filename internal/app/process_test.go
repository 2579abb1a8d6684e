package app

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cloverrock/internal/pgwire"
)

// buildProgram builds the gateway.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cloverrock")
	if b, err := exec.Command("go", "build", "-o", path, "cloverrock/cmd/cloverrock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	return path
}

// logBuffer is a process's log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// unusedAddress is an address at which nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startProcess is a gateway of the rig's as a program of its own, with so many descriptors.
func (r *harness) startProcess(sockets int, known bool) (*exec.Cmd, *logBuffer) {
	t := r.t
	t.Helper()
	r.address = unusedAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	conf := strings.Replace(string(r.configFile(r.discoveryListener.Addr())), `{"listen":"127.0.0.1:0"`, fmt.Sprintf(`{"listen":%q,"limits":{"memory_mb":64,"sockets":%d}`, r.address, sockets), 1)
	if !known {
		conf = strings.Replace(conf, `"known"`, `"unknown"`, 1)
	}
	if err := os.WriteFile(file, []byte(conf), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, buildProgram(t)))
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	log := &logBuffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return cmd, log
}

// expectDiscoveryCall waits for the next call to discovery, which is not answered.
func (r *harness) expectDiscoveryCall() {
	r.t.Helper()
	select {
	case <-r.discoveryCalls:
	case <-time.After(testTimeout):
		r.t.Fatal("discovery is not asked")
	}
}

// waitUntilReady waits until the gateway goes by a list.
func (r *harness) waitUntilReady() {
	r.t.Helper()
	cl := r.connect()
	for got := ""; got != "empty"; got = cl.answer() {
		cl.query("")
	}
	cl.conn.Close()
}

// A process that is told to end before it has a list, told so again, and told to read its configuration meanwhile, ends in
// order: what was asked of it is answered.
func TestProcessDrainsBeforeItIsReady(t *testing.T) {
	r := newHarness(t, 0)
	cmd, log := r.startProcess(1024, false)
	r.expectDiscoveryCall()
	cl := r.connect()
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	cl.query("")
	cl.want("error 57P03")
	cl.query(queryText(writeForm, 1))
	cl.want("error 53300 after 1000")
	cl.want("closed")
	cl.conn.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v:\n%s", err, log)
	}
	if n := strings.Count(log.String(), "app: draining"); n != 1 {
		t.Errorf("%d lines say that it drains:\n%s", n, log)
	}
}

// A process that may hold 128 descriptors, with discovery silent, and many more clients than that which say nothing or
// stop in their startup: the watch is begun again and again, hosts are dialled, and the clients that ask are served.
func TestIdleClientsLeaveDescriptorsForHostsAndDiscovery(t *testing.T) {
	const idle = 1000
	r := newHarness(t, 0)
	_, log := r.startProcess(128, true)
	r.expectDiscoveryCall()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for i := range idle {
		r.dial().write(startup[:i%len(startup)])
	}
	for range 3 {
		r.expectDiscoveryCall()
	}
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	r.hosts[0].nextQuery().answer("v")
	cl.want("value v")
	if s := log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("out of descriptors:\n%s", s)
	}
}

// A configuration with a fault ends the program at its start, with the faulty key named and a code that is not 0.
func TestFaultyConfigurationEndsTheStart(t *testing.T) {
	r, bin := newHarness(t, 0), buildProgram(t)
	good := string(r.configFile(r.discoveryListener.Addr()))
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:0"`, `"lisen":"127.0.0.1:0"`, "listen: missing"},
		{`"tickMs":5`, `"tickMs":"soon"`, "settings.tickMs"},
		{`"aimMs":30000,"deadlineMs":60000,"repeat":"non_idempotent"`, `"aimMs":30000,"deadlineMs":-1,"repeat":"non_idempotent"`, "settings.classes[2].deadlineMs"},
		{`["recent","own_writes","update"]`, `["recent","own_writes","update","update"]`, "settings.extra.classRead"},
		{`"lifecycle":"SERVING"`, `"lifecycle":"AWAY"`, "known: list of hosts: instances[0].lifecycle"},
		{`"settings":{`, `"settings":`, "EDGE_CONFIG"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("no %s in the file", c.old)
		}
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		cmd := exec.CommandContext(ctx, bin)
		cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file)
		b, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != ExitFailed || !strings.Contains(string(b), c.key) {
			t.Errorf("%s: %v, %s", c.new, err, b)
		}
		cancel()
	}
}

// peakMemoryMB is the most memory that a process has held, in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var kb int
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// Many clients that send much and go, whole requests, endless ones and what is none, take no more memory than there is, and
// who asks in due form is answered meanwhile, each time within the request's own time.
func TestFloodsStayWithinTheMemoryLimit(t *testing.T) {
	const answered = 3 * time.Second // the time that a request has: later it would be refused
	r := newHarness(t, 0)
	cmd, log := r.startProcess(1024, true)
	r.expectDiscoveryCall()
	r.waitUntilReady()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	large := strings.Replace(queryText(writeForm, 7), "VALUES", strings.Repeat(" ", 256<<10)+"VALUES", 1)
	floods := [][]byte{
		bytes.Repeat(pgwire.AppendQuery(nil, large), 32),
		append([]byte("Q\x00\x0f\xff\xff"), bytes.Repeat([]byte("x"), 8<<20)...),
		bytes.Repeat([]byte("\xff\x00GET / HTTP/1.1\r\n"), 1<<19),
	}
	var side sync.WaitGroup
	for i := range 48 {
		cl := r.dial()
		side.Go(func() {
			_, _ = cl.conn.Write(append(bytes.Clone(startup), floods[i%len(floods)]...)) // until it is cut off, or all was taken
			cl.conn.Close()
		})
	}
	over := make(chan struct{})
	go func() { side.Wait(); close(over) }()
	go func() {
		for q := range r.hosts[0].queries {
			q.answer("v")
		}
	}()
	cl, asked, longest := r.connect(), 0, time.Duration(0)
	for done := false; !done || asked < 20; asked++ {
		began := time.Now()
		cl.query(fmt.Sprintf(writeForm, 100+asked, answered.Milliseconds()))
		if got := cl.answer(); got != "value v" {
			t.Fatalf("request %d was answered %q:\n%s", asked, got, log)
		}
		longest = max(longest, time.Since(began))
		select {
		case <-over:
			done = true
		default:
		}
	}
	if mb := peakMemoryMB(t, cmd.Process.Pid); mb > 64 {
		t.Errorf("%d MB of 64 after %d requests:\n%s", mb, asked, log)
	} else {
		t.Logf("%d MB of 64, %d requests answered meanwhile, the slowest in %v", mb, asked, longest)
	}
}
