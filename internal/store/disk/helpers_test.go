package disk

import (
	"errors"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func openTemp(t *testing.T) *Dir {
	t.Helper()
	dir, err := OpenDir(t.TempDir())
	must(t, err)
	t.Cleanup(func() { must(t, dir.Close()) })
	return dir
}

func mustRead(t *testing.T, dir *Dir, name string) []byte {
	t.Helper()
	data, err := dir.Read(name)
	must(t, err)
	return data
}

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(strings.Repeat("x", int(index%50)))}
}

func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: new(term), Commit: new(commit)}
}

// writtenLog returns a new directory with a log of the given number of batches, each of two entries.
func writtenLog(t *testing.T, o Options, batches int) (*Dir, *Log) {
	t.Helper()
	dir := openTemp(t)
	l, err := CreateLog(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	for i := range batches {
		n := uint64(2 * i)
		if err := l.Save(hardState(1, n), nil, []*raftpb.Entry{entry(n+1, 1), entry(n+2, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = l.Close() }) // most tests close the log themselves
	return dir, l
}

// faultyDir is a directory whose writes and syncs can fail.
type faultyDir struct {
	*Dir
	full, failSync bool
}

type faultyFile struct {
	File
	dir *faultyDir
}

func (f *faultyDir) Create(name string) (File, error) {
	if f.full {
		return nil, ErrFull
	}
	file, err := f.Dir.Create(name)
	return &faultyFile{file, f}, err
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.dir.full {
		return 0, ErrFull
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if f.dir.failSync {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}
