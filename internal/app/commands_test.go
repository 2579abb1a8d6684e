package app

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// noExtension is an Extension without commands and components.
type noExtension struct{}

func (noExtension) Commands(func(string) string) []*cobra.Command { return nil }
func (noExtension) Check(string) error                            { return nil }
func (noExtension) ExitCode(error) int                            { return ExitFailed }
func (noExtension) Open(string, func(string) string, zerolog.Logger) (Component, error) {
	return nil, errors.New("no such component")
}

func TestCommandsExitWithTheirCodes(t *testing.T) {
	env := func(string) string { return "" }
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"version", 0, "cloverrock "},
		{"help", 0, "Usage"},
		{"check", 1, "EDGE_CONFIG"},
		{"serve", 1, "EDGE_CONFIG"},
		{"", 1, "EDGE_CONFIG"},
		{"serve -x", 2, "Usage"},
		{"version now", 2, "no arguments"},
		{"unknown", 2, "Usage"},
	} {
		var out bytes.Buffer
		code := Main(strings.Fields(c.args), env, &out, &out, noExtension{})
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: exit code %d, output %q", c.args, code, out.String())
		}
	}
}

// logLines receives the log lines of a program.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// waitFor waits for a line that contains a text and returns it.
func (l logLines) waitFor(t *testing.T, text string) string {
	t.Helper()
	for {
		select {
		case line := <-l:
			if strings.Contains(line, text) {
				return line
			}
		case <-time.After(testTimeout):
			t.Fatalf("no log line contains %q", text)
		}
	}
}

// signalSelf sends a signal to the test's own process.
func signalSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
}

// runMain runs the program within this process with a configuration file. It returns the program's log and a channel
// that receives its exit code.
func (gw *harness) runMain(t *testing.T, path string) (log logLines, code <-chan int) {
	t.Helper()
	variables := map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": gw.discoveryListener.Addr().String()}
	getenv := func(key string) string { return variables[key] }
	log = make(logLines, 1024)
	ended := make(chan int, 1)
	go func() { ended <- Main(nil, getenv, io.Discard, log, noExtension{}) }()
	_, rest, _ := strings.Cut(log.waitFor(t, `"app: serving"`), `"listen":"`)
	gw.address, _, _ = strings.Cut(rest, `"`)
	return log, ended
}

// On SIGHUP the configuration file is read again. A faulty file changes nothing and its faulty key is logged. A valid
// file moves the watch to the new address of discovery, from the current generation on, also while a request is in
// flight. A SIGTERM that arrives together with a SIGHUP still drains the gateway.
func TestSignalsReloadAndDrain(t *testing.T) {
	gw := newHarness(t, 0)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(gw.configFile(gw.discoveryListener.Addr()))
	log, code := gw.runMain(t, path)
	gw.nextWatch().writeChunk(`{"generation":8,"instances":` + gw.instances() + `}`)
	client := gw.connect()
	client.query(queryText(writeFormat, 1))
	held := gw.hosts[0].nextQuery()

	write([]byte(`{"listen":7}`))
	signalSelf(t, syscall.SIGHUP)
	log.waitFor(t, "listen: is a number")
	if err := gw.discoveryListener.Close(); err != nil {
		t.Fatal(err)
	}
	write(gw.configFile(gw.listenDiscovery().Addr()))
	signalSelf(t, syscall.SIGHUP)
	request := gw.nextWatch().request
	if !strings.HasPrefix(request, "GET /api/targets?stream=1&index=") || strings.Contains(request, "index=0 ") {
		t.Errorf("requested %q", request)
	}
	held.answer("v")
	client.want("value v")
	client.query(queryText(writeFormat, 2))
	held = gw.hosts[0].nextQuery()
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGTERM)
	log.waitFor(t, "app: draining")
	held.answer("w")
	client.want("value w")
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("exit code %d, want 0", c)
		}
	case <-time.After(testTimeout):
		t.Fatal("the program does not end")
	}
}
