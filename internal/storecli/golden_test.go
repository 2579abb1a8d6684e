package storecli

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

	"cloverrock/internal/settings"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
)

// update writes the golden files anew, for a change of a form that is meant.
var update = flag.Bool("update", false, "write the golden files anew")

// held compares lines, one named case each, with a golden file, and returns the file's cases by name.
func held(t *testing.T, file string, lines []string) map[string]string {
	t.Helper()
	path, now := filepath.Join("testdata", file), strings.Join(lines, "\n")+"\n"
	if *update {
		if err := errors.Join(os.MkdirAll("testdata", 0o755), os.WriteFile(path, []byte(now), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(golden) != len(lines) {
		t.Errorf("%s has %d cases, now there are %d", path, len(golden), len(lines))
	}
	cases := map[string]string{}
	for i, line := range golden {
		name, value, _ := strings.Cut(line, " ")
		cases[name] = value
		if i < len(lines) && lines[i] != line {
			t.Errorf("%s, line %d:\nheld %s\nnow  %s", path, i+1, line, lines[i])
		}
	}
	return cases
}

// foundAnew is apart from update: the directory is worth most as long as an older build wrote it.
var foundAnew = flag.Bool("update-founded", false, "write the founded data directory anew")

// serve opens the instance's directory as "store serve" does; 0 entries between snapshots is the default.
func (r *rig) serve(snapshotEntries uint64) *node.Node {
	r.t.Helper()
	set, err := settings.Load(filepath.Join(r.dir, "store", "a.json"))
	if err != nil {
		r.t.Fatal(err)
	}
	conf, err := set.Store.Node()
	if err != nil {
		r.t.Fatal(err)
	}
	conf.SnapshotEntries = snapshotEntries
	instance, err := openOrJoin(context.Background(), set.Store, conf, "", zerolog.Nop())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { instance.Close() })
	return instance
}

// stop ends the instance and its files.
func (r *rig) stop(instance *node.Node) {
	r.t.Helper()
	if err := instance.Close(); err != nil {
		r.t.Fatal(err)
	}
}

// copyFiles copies a flat directory without the lock.
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

// notes lists the test's own keys, one line each.
func (r *rig) notes() (lines []string) {
	r.t.Helper()
	var listed struct{ Keys []machine.KV }
	if err := json.Unmarshal([]byte(r.run(0, "store key list notes --output json")), &listed); err != nil {
		r.t.Fatal(err)
	}
	for _, kv := range listed.Keys {
		lines = append(lines, fmt.Sprintf("key/%s %s created %d modified %d version %d", kv.Key, kv.Value, kv.Created, kv.Modified, kv.Version))
	}
	return lines
}

// writeFounded founds a store of one, writes until snapshots are taken, stops, writes more behind them, and keeps the
// directory: what it holds comes back partly from a snapshot and partly from the log.
func writeFounded(t *testing.T, to string) {
	r := newRig(t)
	instance := r.serve(4)
	r.put(`{"discovery":"127.0.0.1:7"}`, 0)
	r.put(`{"discovery":"127.0.0.1:8","instances":{"a":{"discovery":"127.0.0.1:9"}}}`, 0)
	r.run(0, "store key put notes first one")
	r.run(0, "store key put notes second two")
	r.run(0, "store key put notes second two-again")
	r.run(0, "store key put notes gone three")
	r.run(0, "store key delete notes gone")
	r.stop(instance)
	instance = r.serve(0)
	r.run(0, "store rollback gateway 1 --note back")
	r.run(0, "store key put notes third four")
	r.stop(instance)
	copyFiles(t, filepath.Join(r.dir, "store", "a-data"), to)
}

// TestFoundedDirectoryOpens holds that a data directory which an earlier build founded and wrote is read by this one,
// which goes on from there. The certificates are made now and are not in the directory: no verdict depends on the date.
func TestFoundedDirectoryOpens(t *testing.T) {
	kept := filepath.Join("testdata", "founded")
	if *foundAnew {
		writeFounded(t, kept)
	}
	r := newRig(t)
	copyFiles(t, kept, filepath.Join(r.dir, "store", "a-data"))
	instance := r.serve(0)
	lines := r.notes()
	lines = append(lines, "history "+strings.TrimSpace(r.run(0, "store history gateway --output json")))
	for _, number := range []string{"1", "2", "3"} {
		lines = append(lines, "gateway/"+number+" "+strings.TrimSpace(r.run(0, "store get gateway --output json --revision "+number)))
	}
	held(t, "founded.txt", lines)

	if out := r.put(`{"discovery":"127.0.0.1:10"}`, 0); !strings.Contains(out, "gateway is at revision 4") {
		t.Errorf("the next document: %s", out)
	}
	r.run(0, "store key put notes fourth five --version 0")
	before := r.notes()
	if len(before) != 4 {
		t.Errorf("keys: %q", before)
	}
	r.stop(instance)
	r.serve(0)
	if after := r.notes(); strings.Join(after, "\n") != strings.Join(before, "\n") {
		t.Errorf("opened again: %q, before %q", after, before)
	}
}

// TestInitWritesTheSameFiles holds names, modes and text of what "store init" writes; identities and keys are random.
func TestInitWritesTheSameFiles(t *testing.T) {
	defer syscall.Umask(syscall.Umask(0o022)) // modes are held, so they may not depend on who runs the test
	r := &rig{t: t, dir: t.TempDir(), getenv: func(string) string { return "" }}
	dir := filepath.Join(r.dir, "store")
	r.run(0, "store init --dir "+dir+" --member a=127.0.0.1:7001 --member b=127.0.0.1:7002 --member c=127.0.0.1:7003")
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
		b, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		text := "PEM"
		if filepath.Ext(entry.Name()) == ".json" {
			text = fmt.Sprintf("%q", number.ReplaceAllString(string(b), "${1}N"))
		}
		lines = append(lines, fmt.Sprintf("%s %v %s", entry.Name(), info.Mode(), text))
	}
	held(t, "init.txt", lines)
}
