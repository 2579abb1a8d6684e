package app

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/pgwire"
)

// buildProgram builds the gateway and returns the path of the program.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cloverrock")
	if b, err := exec.Command("go", "build", "-o", path, "cloverrock/cmd/cloverrock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	return path
}

// logBuffer receives the log of a process.
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

// reserveAddress returns an address for the process to listen at. No other program listens there. The address also does
// not become the source of a connection before the process listens, as may happen to a free port of 127.0.0.1.
func reserveAddress(t *testing.T) string {
	t.Helper()
	addresses, err := loopback.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	return addresses[0]
}

// processMemoryMB is the memory limit in the configuration of the processes, in MiB.
const processMemoryMB = 64

// startProcess runs the gateway as a process that may open the given number of descriptors. known tells whether its
// configuration has a known endpoint list.
func (gw *harness) startProcess(sockets int, known bool) (*exec.Cmd, *logBuffer) {
	t := gw.t
	t.Helper()
	gw.address = reserveAddress(t)
	gw.configPath = filepath.Join(t.TempDir(), "config.json")
	conf := string(gw.configFile(gw.discoveryListener.Addr()))
	limits := fmt.Sprintf(`{"listen":%q,"limits":{"memory_mb":%d,"sockets":%d}`, gw.address, processMemoryMB, sockets)
	conf = strings.Replace(conf, `{"listen":"127.0.0.1:0"`, limits, 1)
	if !known {
		conf = strings.Replace(conf, `"known"`, `"unknown"`, 1)
	}
	if err := os.WriteFile(gw.configPath, []byte(conf), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, buildProgram(t)))
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+gw.configPath)
	log := &logBuffer{}
	cmd.Stderr = log
	if gw.processLog != nil {
		cmd.Stderr = gw.processLog
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	gw.processEnded = ended
	go func() {
		defer close(ended)
		gw.processError = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended already
		<-ended
	})
	return cmd, log
}

// sendSignals sends signals to a process.
func sendSignals(t *testing.T, cmd *exec.Cmd, signals ...os.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// wantProcessEnded waits until the process has ended, and fails the test unless its exit code is 0.
func (gw *harness) wantProcessEnded(log *logBuffer) {
	gw.t.Helper()
	select {
	case <-gw.processEnded:
		if gw.processError != nil {
			gw.t.Errorf("%v:\n%s", gw.processError, log)
		}
	case <-time.After(testTimeout):
		gw.t.Fatalf("the process does not end:\n%s", log)
	}
}

// waitUntilReady waits until the gateway has an endpoint list.
func (gw *harness) waitUntilReady() {
	gw.t.Helper()
	client := gw.connect()
	for got := ""; got != "empty"; got = client.answer() {
		client.query("")
	}
	client.close()
}

// A process that receives SIGTERM before it has an endpoint list drains: it answers requests. Further SIGTERM and SIGHUP
// signals do not change this.
func TestProcessDrainsBeforeItIsReady(t *testing.T) {
	gw := newHarness(t, 0)
	cmd, log := gw.startProcess(1024, false)
	gw.nextCall()
	client := gw.connect()
	sendSignals(t, cmd, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	client.query("")
	client.want("error 57P03")
	client.query(queryText(writeFormat, 1))
	client.want("error 53300 after 1000")
	client.want("closed")
	client.close()
	gw.wantProcessEnded(log)
	if n := strings.Count(log.String(), "app: draining"); n != 1 {
		t.Errorf("%d log lines with \"app: draining\", want 1:\n%s", n, log)
	}
}

// SIGHUP never terminates the process, also not during its graceful shutdown: that would count as a crash.
func TestReloadSignalsWhileEndingDoNotKill(t *testing.T) {
	gw := newHarness(t, 0)
	cmd, log := gw.startProcess(1024, true)
	gw.nextCall()
	gw.waitUntilReady()
	sendSignals(t, cmd, syscall.SIGTERM)
	for ended := false; !ended; {
		select {
		case <-gw.processEnded:
			ended = true
		default:
			_ = cmd.Process.Signal(syscall.SIGHUP) // it may have ended meanwhile
		}
	}
	gw.wantProcessEnded(log)
}

// A reload that waits for a stalled disk does not delay the handling of a SIGTERM.
func TestStalledReloadDoesNotDelayTheShutdown(t *testing.T) {
	gw := newHarness(t, 0)
	cmd, log := gw.startProcess(1024, true)
	gw.nextCall()
	gw.waitUntilReady()
	if err := os.Remove(gw.configPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(gw.configPath, 0o600); err != nil { // opening it for reading waits for a writer
		t.Fatal(err)
	}
	sendSignals(t, cmd, syscall.SIGHUP)
	file, err := os.OpenFile(gw.configPath, os.O_WRONLY, 0) // waits until the process has opened it for reading
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	sendSignals(t, cmd, syscall.SIGTERM)
	gw.wantProcessEnded(log)
}

// A process may have 128 descriptors open. Its discovery service does not answer, and many more than 128 clients
// connect and send nothing or stop within their startup. The process still calls discovery, dials hosts, and serves
// clients that send requests.
func TestIdleClientsLeaveDescriptorsForHostsAndDiscovery(t *testing.T) {
	const idle = 1000
	gw := newHarness(t, 0)
	_, log := gw.startProcess(128, true)
	gw.nextCall()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for i := range idle {
		gw.dial().write(startup[:i%len(startup)])
	}
	for range 3 {
		gw.nextCall()
	}
	gw.exchange(gw.connect(), 1, "v")
	if s := log.String(); strings.Contains(s, "too many open files") {
		t.Errorf("the process ran out of descriptors:\n%s", s)
	}
}

// A faulty configuration ends the program at its start. The error names the faulty key and the exit code is ExitFailed.
func TestFaultyConfigurationEndsTheStart(t *testing.T) {
	gw := newHarness(t, 0)
	program := buildProgram(t)
	valid := string(gw.configFile(gw.discoveryListener.Addr()))
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:0"`, `"lisen":"127.0.0.1:0"`, "listen: missing"},
		{`"tickMs":5`, `"tickMs":"soon"`, "settings.tickMs"},
		{`"deadlineMs":60000,"repeat":"non_idempotent"`, `"deadlineMs":-1,"repeat":"non_idempotent"`, "settings.classes[2].deadlineMs"},
		{`["recent","own_writes","update"]`, `["recent","own_writes","update","update"]`, "settings.extra.classRead"},
		{`"lifecycle":"SERVING"`, `"lifecycle":"AWAY"`, "known: list of hosts: instances[0].lifecycle"},
		{`"settings":{`, `"settings":`, "EDGE_CONFIG"},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		if text == valid {
			t.Fatalf("the configuration does not contain %s", c.old)
		}
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		cmd := exec.CommandContext(ctx, program)
		cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file)
		output, err := cmd.CombinedOutput()
		cancel()
		exit, ok := errors.AsType[*exec.ExitError](err)
		if !ok || exit.ExitCode() != ExitFailed || !strings.Contains(string(output), c.key) {
			t.Errorf("%s: %v, output %s", c.new, err, output)
		}
	}
}

// peakMemoryMB returns the peak resident memory of a process in MiB.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kib int
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		t.Fatal(err)
	}
	return kib >> 10
}

// flood has clients send complete requests, messages that never end, and noise. done is closed once all have
// disconnected.
func (gw *harness) flood(clients int) (done <-chan struct{}) {
	gw.t.Helper()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	large := strings.Replace(queryText(writeFormat, 7), "VALUES", strings.Repeat(" ", 256<<10)+"VALUES", 1)
	floods := [][]byte{
		bytes.Repeat(pgwire.AppendQuery(nil, large), 32),
		append([]byte("Q\x00\x0f\xff\xff"), bytes.Repeat([]byte("x"), 8<<20)...),
		bytes.Repeat([]byte("\xff\x00GET / HTTP/1.1\r\n"), 1<<19),
	}
	var sending sync.WaitGroup
	for i := range clients {
		client := gw.dial()
		sending.Go(func() {
			sent := append(bytes.Clone(startup), floods[i%len(floods)]...)
			_, _ = client.conn.Write(sent) // fails when the gateway closes the connection
			_ = client.conn.Close()
		})
	}
	ended := make(chan struct{})
	go func() {
		sending.Wait()
		close(ended)
	}()
	return ended
}

// Clients that send large amounts of data and disconnect do not make the gateway exceed its memory limit. Meanwhile a
// client that sends valid requests gets each answer within the request's deadline.
func TestFloodsStayWithinTheMemoryLimit(t *testing.T) {
	const deadline = 3 * time.Second // of each request; it would be rejected later
	gw := newHarness(t, 0)
	cmd, log := gw.startProcess(1024, true)
	gw.nextCall()
	gw.waitUntilReady()
	flood := gw.flood(48)
	go func() {
		for query := range gw.hosts[0].queries {
			query.answer("v")
		}
	}()
	client := gw.connect()
	sent := 0
	longest := time.Duration(0)
	for flooding := true; flooding || sent < 20; sent++ {
		began := time.Now()
		client.query(fmt.Sprintf(writeFormat, 100+sent, deadline.Milliseconds()))
		if got := client.answer(); got != "value v" {
			t.Fatalf("request %d was answered %q:\n%s", sent, got, log)
		}
		longest = max(longest, time.Since(began))
		select {
		case <-flood:
			flooding = false
		default:
		}
	}
	mb := peakMemoryMB(t, cmd.Process.Pid)
	if mb > processMemoryMB {
		t.Errorf("peak memory of %d MiB exceeds the limit of %d MiB after %d requests:\n%s", mb, processMemoryMB, sent, log)
	}
	t.Logf("peak memory of %d MiB with a limit of %d MiB; %d requests were answered meanwhile, the slowest in %v", mb, processMemoryMB, sent, longest)
}
