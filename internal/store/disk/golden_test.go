package disk

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/golden"
)

// goldenEntry returns a log entry with the given data.
func goldenEntry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: new(index), Term: new(term), Type: raftpb.EntryNormal.Enum(), Data: []byte(data)}
}

// goldenSnapshot returns an encoded snapshot whose image is a text.
func goldenSnapshot(t *testing.T, index uint64) []byte {
	t.Helper()
	var b strings.Builder
	meta := &raftpb.SnapshotMetadata{Index: new(index), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{11, 12}, Learners: []uint64{13}}}
	if err := EncodeSnapshot(&b, meta, func(w io.Writer) error { _, err := io.WriteString(w, "the image"); return err }); err != nil {
		t.Fatal(err)
	}
	return []byte(b.String())
}

// directoryLines returns a line with the content of each file of a directory.
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

// openedLine opens a directory and describes its content.
func openedLine(t *testing.T, fs FS) string {
	t.Helper()
	store, opened, err := Open(fs, Options{SegmentSize: 300})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { must(t, store.Close()) }()
	meta, image, err := DecodeSnapshot(opened.SnapshotName, opened.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(image)
	if err != nil {
		t.Fatal(err)
	}
	id := store.Identity
	loaded := opened.Loaded
	line := fmt.Sprintf("opened cluster %d node %d name %s voters %v; snapshot %d/%d of %v and %v: %s; term %d vote %d commit %d; cut %d;", id.Cluster, id.Node, id.Name, id.Voters,
		meta.GetIndex(), meta.GetTerm(), meta.GetConfState().GetVoters(), meta.GetConfState().GetLearners(), text,
		loaded.HardState.GetTerm(), loaded.HardState.GetVote(), loaded.HardState.GetCommit(), loaded.TornBytes)
	var entries strings.Builder
	for _, entry := range loaded.Entries {
		fmt.Fprintf(&entries, " %d/%d %s", entry.GetIndex(), entry.GetTerm(), entry.GetData())
	}
	line += entries.String()
	return line
}

// The bytes of every file of a data directory must not change: identity, snapshots, segments with all kinds of records,
// and the sync position. A directory with the golden bytes must open to the same state.
func TestDirectoryKeepsItsBytes(t *testing.T) {
	dir := openTemp(t)
	must(t, Create(dir, Identity{Cluster: 77, Node: 11, Name: "a", Voters: []uint64{11, 12}}, 1, goldenSnapshot(t, 1), Options{SegmentSize: 300}))
	lines := directoryLines(t, "founded", dir)
	store, _, err := Open(dir, Options{SegmentSize: 300})
	must(t, err)
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(11), Commit: proto.Uint64(1)}
	must(t, store.Log.Save(hardState, nil, []*raftpb.Entry{goldenEntry(2, 1, "two"), goldenEntry(3, 1, "three")}))
	must(t, store.Log.Save(&raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(12), Commit: proto.Uint64(3)}, nil, []*raftpb.Entry{goldenEntry(4, 1, "replaced")}))
	must(t, store.Log.Save(nil, nil, []*raftpb.Entry{goldenEntry(4, 2, "four"), goldenEntry(5, 2, "five")}))
	must(t, SaveSnapshot(dir, 3, func(w io.Writer) error { _, err := w.Write(goldenSnapshot(t, 3)); return err }))
	must(t, store.Close())
	lines = append(lines, directoryLines(t, "written", dir)...)
	lines = append(lines, openedLine(t, dir))
	stored := golden.CheckLines(t, "directory.txt", lines)

	again := openTemp(t)
	for name, value := range stored {
		if file, ok := strings.CutPrefix(name, "written/"); ok {
			b, err := hex.DecodeString(value)
			must(t, err)
			must(t, os.WriteFile(again.Name(file), b, 0o600))
		}
	}
	if line := openedLine(t, again); line != "opened "+stored["opened"] {
		t.Errorf("the golden files open as\n%s, want\n%s", line, stored["opened"])
	}
}
