package storecmd_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"cloverrock/internal/daemon"
	"cloverrock/internal/golden"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/storecmd/storetest"
)

// fixture is a store whose instance runs in this process.
type fixture struct{ *storetest.Fixture }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{storetest.New(t, daemon.Extension{})}
}

// updateFounded is separate from -update, because the directory tests compatibility only if an older version of the
// program has written it.
var updateFounded = flag.Bool("update-founded", false, "write the data directory in testdata again")

// serve opens the instance's directory as "store serve" does. With 0 snapshotEntries the default applies.
func (f *fixture) serve(snapshotEntries uint64) *node.Node {
	f.T.Helper()
	set, err := settings.Load(f.Path("store", "a.json"))
	if err != nil {
		f.T.Fatal(err)
	}
	conf, err := set.Store.NodeConfig()
	if err != nil {
		f.T.Fatal(err)
	}
	conf.SnapshotEntries = snapshotEntries
	conf.Log = zerolog.Nop()
	instance, err := node.OpenOrJoin(context.Background(), conf, node.JoinOptions{Addresses: set.Store.Join})
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(func() { _ = instance.Close() }) // stop checks the error
	return instance
}

// stop closes the instance and checks for an error.
func (f *fixture) stop(instance *node.Node) {
	f.T.Helper()
	if err := instance.Close(); err != nil {
		f.T.Fatal(err)
	}
}

// copyFiles copies the files of a directory, except for the lock file.
func copyFiles(t *testing.T, from, to string) {
	t.Helper()
	entries, err := os.ReadDir(from)
	if err = errors.Join(err, os.RemoveAll(to), os.MkdirAll(to, 0o700)); err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.Name() == "lock" {
			continue
		}
		b, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err = errors.Join(err, os.WriteFile(filepath.Join(to, entry.Name()), b, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
}

// noteLines returns a line for each key in the namespace "notes".
func (f *fixture) noteLines() (lines []string) {
	f.T.Helper()
	var listed struct{ Keys []machine.KV }
	if err := json.Unmarshal([]byte(f.Run(0, "store key list notes --output json")), &listed); err != nil {
		f.T.Fatal(err)
	}
	for _, kv := range listed.Keys {
		lines = append(lines, fmt.Sprintf("key/%s %s created %d modified %d version %d", kv.Key, kv.Value, kv.Created, kv.Modified, kv.Version))
	}
	return lines
}

// writeFounded creates a store of one instance, writes until snapshots are taken, restarts the instance, writes more, and
// copies the data directory. The content of that directory is partly in a snapshot and partly in the log.
func writeFounded(t *testing.T, to string) {
	t.Helper()
	f := newFixture(t)
	instance := f.serve(4)
	f.PutDocument(`{"discovery":"127.0.0.1:7"}`, 0)
	f.PutDocument(`{"discovery":"127.0.0.1:8","instances":{"a":{"discovery":"127.0.0.1:9"}}}`, 0)
	f.Run(0, "store key put notes first one")
	f.Run(0, "store key put notes second two")
	f.Run(0, "store key put notes second two-again")
	f.Run(0, "store key put notes gone three")
	f.Run(0, "store key delete notes gone")
	f.stop(instance)
	instance = f.serve(0)
	f.Run(0, "store rollback gateway 1 --note back")
	f.Run(0, "store key put notes third four")
	f.stop(instance)
	copyFiles(t, f.Path("store", "a-data"), to)
}

// A data directory that an older version of the program has written must be readable, and writable from then on. The test
// creates the certificates, which are not part of the directory, so that the result does not depend on the date.
func TestFoundedDirectoryOpens(t *testing.T) {
	kept := filepath.Join("testdata", "founded")
	if *updateFounded {
		writeFounded(t, kept)
	}
	f := newFixture(t)
	copyFiles(t, kept, f.Path("store", "a-data"))
	instance := f.serve(0)
	lines := f.noteLines()
	lines = append(lines, "history "+strings.TrimSpace(f.Run(0, "store history gateway --output json")))
	for _, number := range []string{"1", "2", "3"} {
		lines = append(lines, "gateway/"+number+" "+strings.TrimSpace(f.Run(0, "store get gateway --output json --revision "+number)))
	}
	golden.CheckLines(t, "founded.txt", lines)

	if out := f.PutDocument(`{"discovery":"127.0.0.1:10"}`, 0); !strings.Contains(out, "gateway is at revision 4") {
		t.Errorf("the next revision of the document: %s", out)
	}
	f.Run(0, "store key put notes fourth five --version 0")
	before := f.noteLines()
	if len(before) != 4 {
		t.Errorf("keys: %q, want 4", before)
	}
	f.stop(instance)
	f.serve(0)
	if after := f.noteLines(); strings.Join(after, "\n") != strings.Join(before, "\n") {
		t.Errorf("keys after reopening: %q, before %q", after, before)
	}
}

// The names, modes and text of the files that "store init" writes must not change, except for random ids and keys.
func TestInitWritesTheSameFiles(t *testing.T) {
	defer syscall.Umask(syscall.Umask(0o022)) // the golden file has the modes for this umask
	f := &fixture{storetest.Empty(t, daemon.Extension{})}
	dir := f.Path("store")
	f.Run(0, "store init --dir "+dir+" --member a=127.0.0.1:7001 --member b=127.0.0.1:7002 --member c=127.0.0.1:7003")
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	number := regexp.MustCompile(`("(?:cluster|id)": )\d+`)
	var lines []string
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		b := f.Read(filepath.Join(dir, entry.Name()))
		text := "PEM"
		if filepath.Ext(entry.Name()) == ".json" {
			text = fmt.Sprintf("%q", number.ReplaceAllString(string(b), "${1}N"))
		}
		lines = append(lines, fmt.Sprintf("%s %v %s", entry.Name(), info.Mode(), text))
	}
	golden.CheckLines(t, "init.txt", lines)
}
