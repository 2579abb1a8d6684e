package disk

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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

// goldenEntry is one entry of the log with bytes that tell it from others.
func goldenEntry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Type: raftpb.EntryNormal.Enum(), Data: []byte(data)}
}

// goldenSnapshot is an encoded snapshot of an image that is only text.
func goldenSnapshot(t *testing.T, index uint64) []byte {
	t.Helper()
	var b strings.Builder
	meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{11, 12}, Learners: []uint64{13}}}
	if err := EncodeSnapshot(&b, meta, func(w io.Writer) error { _, err := io.WriteString(w, "the image"); return err }); err != nil {
		t.Fatal(err)
	}
	return []byte(b.String())
}

// directoryLines shows each file of a directory.
func directoryLines(t *testing.T, prefix string, fs FS) (lines []string) {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		b, err := fs.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s/%s %x", prefix, name, b))
	}
	return lines
}

// openedLine opens a directory and tells what it held.
func openedLine(t *testing.T, fs FS) string {
	t.Helper()
	store, opened, err := Open(fs, Options{Segment: 300})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	meta, image, err := DecodeSnapshot(opened.Name, opened.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(image)
	if err != nil {
		t.Fatal(err)
	}
	id, loaded := store.Identity, opened.Loaded
	line := fmt.Sprintf("opened cluster %d node %d name %s voters %v; snapshot %d/%d of %v and %v: %s; term %d vote %d commit %d; cut %d;", id.Cluster, id.Node, id.Name, id.Voters,
		meta.GetIndex(), meta.GetTerm(), meta.GetConfState().GetVoters(), meta.GetConfState().GetLearners(), text,
		loaded.Hard.GetTerm(), loaded.Hard.GetVote(), loaded.Hard.GetCommit(), loaded.Cut)
	for _, entry := range loaded.Entries {
		line += fmt.Sprintf(" %d/%d %s", entry.GetIndex(), entry.GetTerm(), entry.GetData())
	}
	return line
}

// TestDirectoryKeepsItsBytes holds every file of a data directory (identity, snapshots, segments with all kinds of
// records, the note of what is synced), and that files of the golden bytes open to the same state.
func TestDirectoryKeepsItsBytes(t *testing.T) {
	dir, err := OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(Create(dir, Identity{Cluster: 77, Node: 11, Name: "a", Voters: []uint64{11, 12}}, 1, goldenSnapshot(t, 1), Options{Segment: 300}))
	lines := directoryLines(t, "founded", dir)
	store, _, err := Open(dir, Options{Segment: 300})
	must(err)
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(11), Commit: proto.Uint64(1)}
	must(store.Log.Save(hardState, nil, []*raftpb.Entry{goldenEntry(2, 1, "two"), goldenEntry(3, 1, "three")}))
	must(store.Log.Save(&raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(12), Commit: proto.Uint64(3)}, nil, []*raftpb.Entry{goldenEntry(4, 1, "replaced")}))
	must(store.Log.Save(nil, nil, []*raftpb.Entry{goldenEntry(4, 2, "four"), goldenEntry(5, 2, "five")}))
	must(SaveSnapshot(dir, 3, func(w io.Writer) error { _, err := w.Write(goldenSnapshot(t, 3)); return err }))
	must(store.Close())
	lines = append(lines, directoryLines(t, "written", dir)...)
	lines = append(lines, openedLine(t, dir))
	golden := held(t, "directory.txt", lines)

	again, err := OpenDir(t.TempDir())
	must(err)
	defer again.Close()
	for name, value := range golden {
		if file, ok := strings.CutPrefix(name, "written/"); ok {
			b, err := hex.DecodeString(value)
			must(err)
			must(os.WriteFile(again.Name(file), b, 0o600))
		}
	}
	if line := openedLine(t, again); line != "opened "+golden["opened"] {
		t.Errorf("the golden files open as\n%s, want\n%s", line, golden["opened"])
	}
}
