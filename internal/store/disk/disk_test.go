package disk

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(strings.Repeat("x", int(index%50)))}
}

func hard(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(commit)}
}

// written makes a log of some batches in a directory.
func written(t *testing.T, o Options, batches int) (*Dir, *Log) {
	t.Helper()
	dir, err := OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dir.Close() })
	l, err := CreateLog(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	for i := range batches {
		n := uint64(2 * i)
		if err := l.Save(hard(1, n), nil, []*raftpb.Entry{entry(n+1, 1), entry(n+2, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { l.Close() })
	return dir, l
}

func TestLogComesBack(t *testing.T) {
	dir, l := written(t, Options{Segment: 2048}, 100)
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(150, 2)}); err != nil { // replaces 150 and all behind it
		t.Fatal(err)
	}
	if l.Segments() < 4 {
		t.Fatalf("%d segments", l.Segments())
	}
	l.Close()
	again, got, err := OpenLog(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if n := len(got.Entries); n != 150 || got.Entries[149].GetTerm() != 2 || got.Hard.GetCommit() != 198 || got.Cut != 0 {
		t.Errorf("%d entries, hard state %v, cut %d", n, got.Hard, got.Cut)
	}
	if err := again.Release(100); err != nil {
		t.Fatal(err)
	}
	again.Close()
	if _, got, err = OpenLog(dir, Options{}); err != nil || got.Entries[0].GetIndex() > 101 || got.Hard.GetCommit() != 198 {
		t.Errorf("after the release: %v, first %v, %v", err, got.Entries[0].GetIndex(), got.Hard)
	}
}

// A log cut at any byte of its last batch comes back without that batch; nothing before it is lost.
func TestTornEndIsCut(t *testing.T) {
	dir, l := written(t, Options{}, 5)
	whole, _ := dir.Read(segmentName(1))
	before := l.size
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(11, 1), entry(12, 1)}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	all, _ := dir.Read(segmentName(1))
	_ = dir.Remove(markName) // the machine lost power: the note of the last sync is an old one, or none
	for cut := len(whole); cut < len(all); cut++ {
		if err := os.WriteFile(dir.Name(segmentName(1)), all[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		log, got, err := OpenLog(dir, Options{})
		if err != nil || len(got.Entries) != 10 || log.size != before {
			t.Fatalf("cut at %d: %v, %d entries", cut, err, len(got.Entries))
		}
		if err := log.Save(nil, nil, []*raftpb.Entry{entry(11, 2)}); err != nil {
			t.Fatal(err)
		}
		log.Close()
		_ = dir.Remove(markName)
		if _, got, err = OpenLog(dir, Options{}); err != nil || len(got.Entries) != 11 {
			t.Fatalf("cut at %d, written on: %v", cut, err)
		}
		_ = dir.Remove(markName)
	}
}

// A bit that flips anywhere in what was synced is found, and the message names the file; padding alone is harmless.
func TestDamageIsNamed(t *testing.T) {
	dir, l := written(t, Options{Segment: 1500}, 30)
	l.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	seqs, _ := segments(dir)
	found := 0
	for range 300 {
		name := segmentName(seqs[rng.IntN(len(seqs))])
		b, _ := dir.Read(name)
		at, bit := rng.IntN(len(b)), byte(1)<<rng.IntN(8)
		b[at] ^= bit
		_ = os.WriteFile(dir.Name(name), b, 0o600)
		_, got, err := readLog(dir, Options{})
		var bad *CorruptError
		switch {
		case errors.As(err, &bad):
			found++
			if bad.File != dir.Name(name) || bad.Offset > int64(at) || !strings.Contains(err.Error(), "offset") {
				t.Errorf("a bit at %d of %s: %v", at, name, err)
			}
		case err != nil:
			t.Errorf("a bit at %d of %s: %v", at, name, err)
		case len(got.Entries) != 60 || got.Hard.GetCommit() != 58:
			t.Errorf("a bit at %d of %s went unseen: %d entries", at, name, len(got.Entries))
		}
		b[at] ^= bit
		_ = os.WriteFile(dir.Name(name), b, 0o600)
	}
	if found < 200 {
		t.Errorf("%d of 300 flips found", found)
	}
	_ = dir.Remove(segmentName(seqs[1]))
	if _, _, err := OpenLog(dir, Options{}); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("a segment is missing: %v", err)
	}
	for _, s := range seqs {
		_ = dir.Remove(segmentName(s))
	}
	if _, _, err := OpenLog(dir, Options{}); err == nil {
		t.Error("a lost log was taken for an empty one")
	}
}

// failing is a directory whose writes and syncs can fail.
type failing struct {
	*Dir
	full, sync bool
}

type failingFile struct {
	File
	d *failing
}

func (f *failing) Create(name string) (File, error) {
	if f.full {
		return nil, ErrFull
	}
	file, err := f.Dir.Create(name)
	return &failingFile{file, f}, err
}

func (f *failingFile) Write(b []byte) (int, error) {
	if f.d.full {
		return 0, ErrFull
	}
	return f.File.Write(b)
}

func (f *failingFile) Sync() error {
	if f.d.sync {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func TestFullDiskIsTriedAgainAndFailedSyncIsNot(t *testing.T) {
	dir, err := OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	if _, err := OpenDir(dir.path); err == nil {
		t.Error("two processes in one directory")
	}
	f := &failing{Dir: dir}
	l, err := CreateLog(f, Options{Segment: 256})
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i < 20; i++ {
		f.full = true
		if err := l.Save(nil, nil, []*raftpb.Entry{entry(i, 1)}); !errors.Is(err, ErrFull) {
			t.Fatalf("a full disk: %v", err)
		}
		f.full = false
		if err := l.Save(nil, nil, []*raftpb.Entry{entry(i, 1)}); err != nil {
			t.Fatalf("room again: %v", err)
		}
	}
	f.sync = true
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(20, 1)}); err == nil {
		t.Fatal("a failed sync was passed over")
	}
	f.sync = false
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(20, 1)}); err == nil {
		t.Fatal("after a failed sync the log goes on")
	}
	l.Close()
	if _, got, err := OpenLog(dir, Options{}); err != nil || len(got.Entries) < 19 {
		t.Errorf("%v, %d entries", err, len(got.Entries))
	}
}

func TestSnapshotIsWholeOrNotThere(t *testing.T) {
	dir, err := OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(9), Term: proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
	image := []byte(strings.Repeat("state", 500000))
	write := func(w io.Writer) error {
		return EncodeSnapshot(w, meta, func(w io.Writer) error { _, err := w.Write(image); return err })
	}
	if err := SaveSnapshot(dir, 9, write); err != nil {
		t.Fatal(err)
	}
	broken := errors.New("the disk went away")
	if err := SaveSnapshot(dir, 10, func(w io.Writer) error { _ = write(w); return broken }); !errors.Is(err, broken) {
		t.Fatal(err)
	}
	b, name, err := LoadSnapshot(dir)
	if err != nil {
		t.Fatal(err)
	}
	got, rd, err := DecodeSnapshot(name, b)
	if err != nil || got.GetIndex() != 9 {
		t.Fatalf("%v, %v", got, err)
	}
	if read, _ := io.ReadAll(rd); string(read) != string(image) {
		t.Error("another image came back")
	}
	for _, at := range []int{5, len(b) / 2, len(b) - 3} {
		spoilt := append([]byte(nil), b...)
		spoilt[at] ^= 4
		var bad *CorruptError
		if _, _, err := DecodeSnapshot(name, spoilt); !errors.As(err, &bad) {
			t.Errorf("a bit at %d: %v", at, err)
		}
		if _, _, err := DecodeSnapshot(name, b[:at]); !errors.As(err, &bad) {
			t.Errorf("cut at %d: %v", at, err)
		}
	}
}
