package app

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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

// A process that may hold 128 descriptors, with discovery silent, and many more clients than that which say nothing or
// stop in their startup: the watch is begun again and again, hosts are dialled, and the clients that ask are served.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets, idle = 128, 1000
	r := play(t, 0)
	r.address = unused(t)
	file := filepath.Join(t.TempDir(), "config.json")
	conf := strings.Replace(string(r.file(r.disc.Addr())), `{"listen":"127.0.0.1:0"`, fmt.Sprintf(`{"listen":%q,"limits":{"memory_mb":64,"sockets":%d}`, r.address, sockets), 1)
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
	asked := func() {
		t.Helper()
		select {
		case <-r.conns: // and not answered
		case <-time.After(limit):
			t.Fatalf("discovery is not asked any more:\n%s", log)
		}
	}
	asked()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for i := range idle {
		cl := r.dial()
		cl.write(startup[:i%len(startup)])
	}
	for range 3 {
		asked()
	}
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next().answer("v")
	cl.want("value v")
	if s := log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("out of descriptors:\n%s", s)
	}
}
