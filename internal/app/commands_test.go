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

// noExtension is a gateway without the parts of a larger build.
type noExtension struct{}

func (noExtension) Commands(func(string) string) []*cobra.Command { return nil }
func (noExtension) Check(string) error                            { return nil }
func (noExtension) ExitCode(error) int                            { return ExitFailed }
func (noExtension) Open(string, func(string) string, zerolog.Logger) (Component, error) {
	return nil, errors.New("no such part")
}

func TestCommandsExitWithTheirCodes(t *testing.T) {
	env := func(string) string { return "" }
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"version", 0, "cloverrock "}, {"help", 0, "Usage"}, {"check", 1, "EDGE_CONFIG"}, {"serve", 1, "EDGE_CONFIG"},
		{"", 1, "EDGE_CONFIG"}, {"serve -x", 2, "Usage"}, {"version now", 2, "no arguments"}, {"dance", 2, "Usage"},
	} {
		var out bytes.Buffer
		if code := Main(strings.Fields(c.args), env, io.MultiWriter(&out), &out, noExtension{}); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: %d, %q", c.args, code, out.String())
		}
	}
}

// logLines hands on the log lines of a program.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// until waits for a line that holds a text.
func (l logLines) until(t *testing.T, text string) string {
	t.Helper()
	for {
		select {
		case line := <-l:
			if strings.Contains(line, text) {
				return line
			}
		case <-time.After(testTimeout):
			t.Fatalf("no line with %q", text)
		}
	}
}

// On SIGHUP the file is read again: a bad one changes nothing and its key is logged, a good one moves the watch on
// from the list as it stands, with a request under way. SIGTERM beside a SIGHUP still ends the program in order.
func TestSignalsReloadAndDrain(t *testing.T) {
	r := newHarness(t, 0)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(r.configFile(r.discoveryListener.Addr()))
	log, code := make(logLines, 1024), make(chan int, 1)
	go func() {
		code <- Main(nil, func(k string) string {
			return map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": r.discoveryListener.Addr().String()}[k]
		}, io.Discard, log, noExtension{})
	}()
	_, rest, _ := strings.Cut(log.until(t, `"app: serving"`), `"listen":"`)
	r.address, _, _ = strings.Cut(rest, `"`)
	r.nextWatch().writeChunk(`{"generation":8,"instances":` + r.instances() + `}`)
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()

	write([]byte(`{"listen":7}`))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.until(t, "listen: is a number")
	r.discoveryListener.Close()
	write(r.configFile(r.listenDiscovery().Addr()))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if a := r.nextWatch(); !strings.HasPrefix(a.request, "GET /api/targets?stream=1&index=") || strings.Contains(a.request, "index=0 ") {
		t.Errorf("asked %q", a.request)
	}
	held.answer("v")
	cl.want("value v")
	cl.query(queryText(writeForm, 2))
	held = r.hosts[0].nextQuery()
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.until(t, "app: draining")
	held.answer("w")
	cl.want("value w")
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("ended with %d", c)
		}
	case <-time.After(testTimeout):
		t.Fatal("does not end")
	}
}
