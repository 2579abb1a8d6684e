package disk

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func TestReopenedLogReturnsLatestEntries(t *testing.T) {
	dir, l := writtenLog(t, Options{SegmentSize: 2048}, 100)
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(150, 2)}); err != nil { // replaces entry 150 and all later ones
		t.Fatal(err)
	}
	if l.Segments() < 4 {
		t.Fatalf("%d segments, want at least 4", l.Segments())
	}
	must(t, l.Close())
	again, got, err := OpenLog(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(got.Entries); n != 150 || got.Entries[149].GetTerm() != 2 || got.HardState.GetCommit() != 198 || got.TornBytes != 0 {
		t.Errorf("%d entries, hard state %v, %d bytes truncated; want 150 entries, commit 198, 0 bytes", n, got.HardState, got.TornBytes)
	}
	if err := again.Release(100); err != nil {
		t.Fatal(err)
	}
	must(t, again.Close())
	if _, got, err = OpenLog(dir, Options{}); err != nil || got.Entries[0].GetIndex() > 101 || got.HardState.GetCommit() != 198 {
		t.Errorf("after Release(100): %v, first entry %v, hard state %v", err, got.Entries[0].GetIndex(), got.HardState)
	}
}

func TestWriteCanBeRetriedAfterFullDiskButNotAfterFailedSync(t *testing.T) {
	dir := openTemp(t)
	if _, err := OpenDir(dir.path); err == nil {
		t.Error("a directory that is in use was opened again")
	}
	f := &faultyDir{Dir: dir}
	l, err := CreateLog(f, Options{SegmentSize: 256})
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i < 20; i++ {
		f.full = true
		if err := l.Save(nil, nil, []*raftpb.Entry{entry(i, 1)}); !errors.Is(err, ErrFull) {
			t.Fatalf("a write to a full disk: %v, want ErrFull", err)
		}
		f.full = false
		if err := l.Save(nil, nil, []*raftpb.Entry{entry(i, 1)}); err != nil {
			t.Fatalf("the same write after the disk has space again: %v", err)
		}
	}
	f.failSync = true
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(20, 1)}); err == nil {
		t.Fatal("a failed sync was ignored")
	}
	f.failSync = false
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(20, 1)}); err == nil {
		t.Fatal("the log accepts writes after a failed sync")
	}
	must(t, l.Close())
	if _, got, err := OpenLog(dir, Options{}); err != nil || len(got.Entries) < 19 {
		t.Errorf("reopening the log: %v, %d entries, want at least 19", err, len(got.Entries))
	}
}
