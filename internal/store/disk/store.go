package disk

import (
	"errors"
	"fmt"
	"io"

	"go.etcd.io/raft/v3/raftpb"
)

// Store is an instance's directory: identity, newest snapshot, and the log behind it.
type Store struct {
	FS       FS
	Log      *Log
	Identity Identity
}

// Opened is what a directory held.
type Opened struct {
	Snapshot []byte // encoded; nil for an instance that has joined and was sent nothing yet
	Name     string // of the snapshot's file
	Loaded   *Loaded
}

// ErrEmpty says that the directory has no identity: an instance there is nobody, and may only join.
var ErrEmpty = errors.New("store: the data directory is empty")

// Create makes a directory an instance's. The identity comes last: without it, whatever else is there counts for
// nothing. The snapshot is nil for an instance that joins.
func Create(fs FS, id Identity, index uint64, snapshot []byte, o Options) error {
	if was, err := LoadIdentity(fs); err != nil {
		return err
	} else if was != nil {
		return fmt.Errorf("store: %s belongs to instance %s already", fs.Name(""), was.Name)
	}
	names, err := fs.List()
	if err != nil {
		return fmt.Errorf("store: list the data directory: %w", err)
	}
	for _, n := range names { // of an attempt that did not come to its end
		if err := fs.Remove(n); err != nil {
			return fmt.Errorf("store: remove %s: %w", fs.Name(n), err)
		}
	}
	if snapshot != nil {
		if err := SaveSnapshot(fs, index, func(w io.Writer) error { _, err := w.Write(snapshot); return err }); err != nil {
			return err
		}
	}
	l, err := CreateLog(fs, o)
	if err != nil {
		return err
	}
	if snapshot != nil {
		meta, _, err := DecodeSnapshot("the first snapshot", snapshot)
		if err == nil {
			err = l.Save(nil, meta, nil)
		}
		if err != nil {
			l.Close()
			return err
		}
	}
	if err := l.Close(); err != nil {
		return fmt.Errorf("store: close the log: %w", err)
	}
	return SaveIdentity(fs, id)
}

// Open reads a directory. A snapshot that is newer than the log's end, or that the log disagrees with, came from the
// leader just before a crash: the log goes on behind it.
func Open(fs FS, o Options) (*Store, *Opened, error) {
	id, err := LoadIdentity(fs)
	if err != nil {
		return nil, nil, err
	}
	if id == nil {
		return nil, nil, ErrEmpty
	}
	got := &Opened{}
	if got.Snapshot, got.Name, err = LoadSnapshot(fs); err != nil {
		return nil, nil, err
	}
	l, loaded, err := OpenLog(fs, o)
	if err != nil {
		return nil, nil, err
	}
	got.Loaded = loaded
	s := &Store{fs, l, *id}
	if got.Snapshot == nil {
		if loaded.Snap != nil || len(loaded.Entries) > 0 {
			l.Close()
			return nil, nil, fmt.Errorf("store: %s has a log and no snapshot: it was lost; remove the data directory and join anew", fs.Name(""))
		}
		return s, got, nil
	}
	meta, _, err := DecodeSnapshot(got.Name, got.Snapshot)
	if err == nil {
		err = s.settle(meta, loaded)
	}
	if err == nil {
		err = Tidy(fs, meta.GetIndex())
	}
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return s, got, nil
}

func (s *Store) settle(meta *raftpb.SnapshotMetadata, l *Loaded) error {
	at := meta.GetIndex()
	if l.Snap.GetIndex() > at {
		return fmt.Errorf("store: the log goes on behind snapshot %d, and the newest one here is %d", l.Snap.GetIndex(), at)
	}
	agrees := l.Snap.GetIndex() == at && l.Snap.GetTerm() == meta.GetTerm()
	for _, e := range l.Entries {
		agrees = agrees || e.GetIndex() == at && e.GetTerm() == meta.GetTerm()
	}
	if !agrees {
		// Where older segments were dropped, the log may begin right behind the snapshot.
		if len(l.Entries) > 0 && l.Snap == nil && l.Entries[0].GetIndex() == at+1 {
			return nil
		}
		l.Entries = nil
		return s.Log.Save(l.Hard, meta, nil)
	}
	for len(l.Entries) > 0 && l.Entries[0].GetIndex() <= at {
		l.Entries = l.Entries[1:]
	}
	return nil
}

// Install saves a snapshot that the leader sent: first the file, then the log's word of it.
func (s *Store) Install(meta *raftpb.SnapshotMetadata, b []byte) error {
	return SaveSnapshot(s.FS, meta.GetIndex(), func(w io.Writer) error { _, err := w.Write(b); return err })
}

// Close closes the log.
func (s *Store) Close() error { return s.Log.Close() }

// Look is what Inspect found.
type Look struct {
	Opened
	Identity Identity
	Segments int
}

// Inspect reads a directory whole and changes nothing in it.
func Inspect(fs FS) (*Look, error) {
	id, err := LoadIdentity(fs)
	if err != nil {
		return nil, err
	}
	if id == nil {
		return nil, ErrEmpty
	}
	l := &Look{Identity: *id}
	if l.Snapshot, l.Name, err = LoadSnapshot(fs); err != nil {
		return nil, err
	}
	if l.Snapshot != nil {
		if _, _, err := DecodeSnapshot(l.Name, l.Snapshot); err != nil {
			return nil, err
		}
	}
	log, loaded, err := readLog(fs, Options{})
	if err != nil {
		return nil, err
	}
	l.Loaded, l.Segments = loaded, len(log.segs)
	return l, nil
}

// Forget drops from a directory that no process uses what its log was not sure to hold on the disk, as a loss of power
// may do. Rehearsals use it: a process that is killed leaves its writes with the kernel, which loses none of them.
func Forget(fs FS) error {
	seq, size := readMark(fs)
	seqs, err := segments(fs)
	if err != nil || seq == 0 {
		return err
	}
	for _, s := range seqs {
		if s > seq {
			err = errors.Join(err, fs.Remove(segmentName(s)))
		}
	}
	if err == nil {
		err = fs.Truncate(segmentName(seq), size)
	}
	return err
}
