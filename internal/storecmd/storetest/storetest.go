// Package storetest helps tests of the store's commands: it creates a store of one instance on this machine, and runs
// commands on it. Only tests import it.
package storetest

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cloverrock/internal/app"
	"cloverrock/internal/lab/loopback"
)

// gatewayConfig is a valid configuration of a gateway with one class of requests.
const gatewayConfig = `{"name":"a","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"tickMs":5,
		"classes":[{"name":"x","aimMs":1,"deadlineMs":1,"repeat":"read_like"}],"extra":{"classRead":["loose"]},"limits":{"maxAttempts":1}}}`

// Fixture is the directory and the environment in which a test runs commands. New puts a store into it.
type Fixture struct {
	T         *testing.T
	Dir       string              // the subdirectory "store" holds the settings, certificates and data of the store
	Getenv    func(string) string // returns the environment variables of the commands
	extension app.Extension
}

// New creates a store whose only instance is "a", with its certificates, settings and data directory, and the
// configuration file of a gateway, whose discovery address the environment overrides. It does not start the instance.
func New(t *testing.T, extension app.Extension) *Fixture {
	t.Helper()
	f := Empty(t, extension)
	addresses, err := loopback.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	configPath := filepath.Join(f.Dir, "config.json")
	f.Write(configPath, []byte(gatewayConfig))
	f.Getenv = func(key string) string {
		return map[string]string{"EDGE_CONFIG": configPath, "EDGE_DISCOVERY": "127.0.0.1:3"}[key]
	}
	f.Run(0, "store init --dir "+f.Path("store")+" --local --member a="+addresses[0])
	return f
}

// Empty returns a fixture with an empty directory and no environment variables.
func Empty(t *testing.T, extension app.Extension) *Fixture {
	t.Helper()
	return &Fixture{T: t, Dir: t.TempDir(), Getenv: func(string) string { return "" }, extension: extension}
}

// Path returns a path below Dir.
func (f *Fixture) Path(names ...string) string {
	return filepath.Join(append([]string{f.Dir}, names...)...)
}

// Write writes a file.
func (f *Fixture) Write(path string, data []byte) {
	f.T.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.T.Fatal(err)
	}
}

// Read reads a file.
func (f *Fixture) Read(path string) []byte {
	f.T.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		f.T.Fatal(err)
	}
	return data
}

// Run runs the command whose arguments are the words of line, as the operator, and returns its output. If the exit code
// is not wantCode, the test fails. "store init" gets no --as flag, because it creates the operator's file.
func (f *Fixture) Run(wantCode int, line string) string {
	f.T.Helper()
	var out bytes.Buffer
	args := strings.Fields(line)
	if !strings.Contains(line, "init") {
		args = append(args, "--as", f.Path("store", "operator.json"))
	}
	if got := app.Main(args, f.Getenv, &out, &out, f.extension); got != wantCode {
		f.T.Fatalf("%s: unexpected exit code %d, output: %s", line, got, out.String())
	}
	return out.String()
}

// PutDocument commits body as a revision of the document "gateway" and returns the output of the command. If the exit
// code is not wantCode, the test fails.
func (f *Fixture) PutDocument(body string, wantCode int) string {
	f.T.Helper()
	path := f.Path("doc.json")
	f.Write(path, []byte(body))
	return f.Run(wantCode, "store put gateway --file "+path)
}
