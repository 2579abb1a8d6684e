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

// program builds the gateway.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cloverrock")
	if b, err := exec.Command("go", "build", "-o", path, "cloverrock/cmd/cloverrock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	return path
}

// record is a process's log.
type record struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *record) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *record) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// unused is an address at which nobody listens.
func unused(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// process is a gateway of the rig's as a program of its own, with so many descriptors.
func (r *rig) process(sockets int, known bool) (*exec.Cmd, *record) {
	t := r.t
	t.Helper()
	r.address = unused(t)
	file := filepath.Join(t.TempDir(), "config.json")
	conf := strings.Replace(string(r.file(r.disc.Addr())), `{"listen":"127.0.0.1:0"`, fmt.Sprintf(`{"listen":%q,"limits":{"memory_mb":64,"sockets":%d}`, r.address, sockets), 1)
	if !known {
		conf = strings.Replace(conf, `"known"`, `"unknown"`, 1)
	}
	if err := os.WriteFile(file, []byte(conf), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, program(t)))
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	log := &record{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return cmd, log
}

// asked waits for the next call to discovery, which is not answered.
func (r *rig) asked() {
	r.t.Helper()
	select {
	case <-r.conns:
	case <-time.After(limit):
		r.t.Fatal("discovery is not asked")
	}
}

// ready waits until the gateway goes by a list.
func (r *rig) ready() {
	r.t.Helper()
	cl := r.connect()
	for got := ""; got != "empty"; got = cl.answer() {
		cl.query("")
	}
	cl.c.Close()
}

// A process that is told to end before it has a list, told so again, and told to read its configuration meanwhile, ends in
// order: what was asked of it is answered.
func TestEndsBeforeItIsReady(t *testing.T) {
	r := play(t, 0)
	cmd, log := r.process(1024, false)
	r.asked()
	cl := r.connect()
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	cl.query("")
	cl.want("error 57P03")
	cl.query(text(writeText, 1))
	cl.want("error 53300 after 1000")
	cl.want("closed")
	cl.c.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v:\n%s", err, log)
	}
	if n := strings.Count(log.String(), "told to end"); n != 1 {
		t.Errorf("told to end %d times:\n%s", n, log)
	}
}

// A process that may hold 128 descriptors, with discovery silent, and many more clients than that which say nothing or
// stop in their startup: the watch is begun again and again, hosts are dialled, and the clients that ask are served.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const idle = 1000
	r := play(t, 0)
	_, log := r.process(128, true)
	r.asked()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for i := range idle {
		r.dial().write(startup[:i%len(startup)])
	}
	for range 3 {
		r.asked()
	}
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next().answer("v")
	cl.want("value v")
	if s := log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("out of descriptors:\n%s", s)
	}
}

// A configuration with a fault ends the program at its start, with the faulty key named and a code that is not 0.
func TestBadConfigurationEndsTheStart(t *testing.T) {
	r, bin := play(t, 0), program(t)
	good := string(r.file(r.disc.Addr()))
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
		ctx, cancel := context.WithTimeout(t.Context(), limit)
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

// peak is the most memory that a process has held, in MB.
func peak(t *testing.T, pid int) int {
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
func TestFloods(t *testing.T) {
	const answered = 3 * time.Second // the time that a request has: later it would be refused
	r := play(t, 0)
	cmd, log := r.process(1024, true)
	r.asked()
	r.ready()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	large := strings.Replace(text(writeText, 7), "VALUES", strings.Repeat(" ", 256<<10)+"VALUES", 1)
	floods := [][]byte{
		bytes.Repeat(pgwire.AppendQuery(nil, large), 32),
		append([]byte("Q\x00\x0f\xff\xff"), bytes.Repeat([]byte("x"), 8<<20)...),
		bytes.Repeat([]byte("\xff\x00GET / HTTP/1.1\r\n"), 1<<19),
	}
	var side sync.WaitGroup
	for i := range 48 {
		cl := r.dial()
		side.Go(func() {
			_, _ = cl.c.Write(append(bytes.Clone(startup), floods[i%len(floods)]...)) // until it is cut off, or all was taken
			cl.c.Close()
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
		cl.query(fmt.Sprintf(writeText, 100+asked, answered.Milliseconds()))
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
	if mb := peak(t, cmd.Process.Pid); mb > 64 {
		t.Errorf("%d MB of 64 after %d requests:\n%s", mb, asked, log)
	} else {
		t.Logf("%d MB of 64, %d requests answered meanwhile, the slowest in %v", mb, asked, longest)
	}
}
