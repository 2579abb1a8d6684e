package disk

import (
	"errors"
	"fmt"
	"io"

	"go.etcd.io/raft/v3/raftpb"
)

// Store is an instance's data directory: its identity, its newest snapshot and the log after it.
type Store struct {
	FS       FS
	Log      *Log
	Identity Identity
}

// Opened is the content of a directory when it was opened.
type Opened struct {
	Snapshot     []byte // encoded; nil for an instance that has joined and not received one yet
	SnapshotName string // path of the snapshot's file
	Loaded       *Loaded
}

// ErrEmpty is the error for a directory without an identity. Its instance must join first.
var ErrEmpty = errors.New("store: the data directory is empty")

// Create creates an instance's files in a directory. It first removes the files of an earlier attempt that was
// interrupted. It writes the identity last, because a directory without an identity counts as empty. snapshot is nil for
// an instance that joins; otherwise index is the index of the snapshot.
func Create(fs FS, id Identity, index uint64, snapshot []byte, o Options) error {
	owner, err := LoadIdentity(fs)
	if err != nil {
		return err
	}
	if owner != nil {
		return fmt.Errorf("store: %s belongs to instance %s already", fs.Name(""), owner.Name)
	}
	names, err := fs.List()
	if err != nil {
		return fmt.Errorf("store: list the data directory: %w", err)
	}
	for _, name := range names { // left by an earlier attempt
		if err := fs.Remove(name); err != nil {
			return fmt.Errorf("store: remove %s: %w", fs.Name(name), err)
		}
	}
	if snapshot != nil {
		if err := SaveSnapshot(fs, index, writeAll(snapshot)); err != nil {
			return err
		}
	}
	if err := createFirstLog(fs, snapshot, o); err != nil {
		return err
	}
	return SaveIdentity(fs, id)
}

// createFirstLog creates the log of a new directory, starting after its snapshot if there is one.
func createFirstLog(fs FS, snapshot []byte, o Options) error {
	log, err := CreateLog(fs, o)
	if err != nil {
		return err
	}
	if snapshot != nil {
		meta, _, err := DecodeSnapshot("the first snapshot", snapshot)
		if err == nil {
			err = log.Save(nil, meta, nil)
		}
		if err != nil {
			return errors.Join(err, log.Close())
		}
	}
	if err := log.Close(); err != nil {
		return fmt.Errorf("store: close the log: %w", err)
	}
	return nil
}

// writeAll returns a function that writes data, for SaveSnapshot and replaceFile.
func writeAll(data []byte) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	}
}

// Open reads a directory and opens its log for appending. If the snapshot is newer than the end of the log or contradicts
// the log, it was received from the leader just before a crash, and the log is continued after it. The error is ErrEmpty
// if the directory has no identity, and a *CorruptError if its data is damaged.
func Open(fs FS, o Options) (*Store, *Opened, error) {
	id, err := LoadIdentity(fs)
	if err != nil {
		return nil, nil, err
	}
	if id == nil {
		return nil, nil, ErrEmpty
	}
	opened := &Opened{}
	if opened.Snapshot, opened.SnapshotName, err = LoadSnapshot(fs); err != nil {
		return nil, nil, err
	}
	log, loaded, err := OpenLog(fs, o)
	if err != nil {
		return nil, nil, err
	}
	opened.Loaded = loaded
	store := &Store{fs, log, *id}
	if err := store.matchSnapshot(opened); err != nil {
		return nil, nil, errors.Join(err, log.Close())
	}
	return store, opened, nil
}

// matchSnapshot brings the log into agreement with the newest snapshot, and removes obsolete files.
func (s *Store) matchSnapshot(opened *Opened) error {
	loaded := opened.Loaded
	if opened.Snapshot == nil {
		if loaded.SnapshotMeta != nil || len(loaded.Entries) > 0 {
			return fmt.Errorf("store: %s has a log but no snapshot: the snapshot was lost; remove the data directory and join again", s.FS.Name(""))
		}
		return nil
	}
	meta, _, err := DecodeSnapshot(opened.SnapshotName, opened.Snapshot)
	if err != nil {
		return err
	}
	if err := s.reconcile(meta, loaded); err != nil {
		return err
	}
	return RemoveObsolete(s.FS, meta.GetIndex())
}

// reconcile drops the loaded entries that the snapshot covers, or all entries if the log contradicts the snapshot.
func (s *Store) reconcile(meta *raftpb.SnapshotMetadata, loaded *Loaded) error {
	index := meta.GetIndex()
	if loaded.SnapshotMeta.GetIndex() > index {
		return fmt.Errorf("store: the log continues after the snapshot at index %d, but the newest snapshot is at index %d", loaded.SnapshotMeta.GetIndex(), index)
	}
	agrees := loaded.SnapshotMeta.GetIndex() == index && loaded.SnapshotMeta.GetTerm() == meta.GetTerm()
	for _, e := range loaded.Entries {
		agrees = agrees || e.GetIndex() == index && e.GetTerm() == meta.GetTerm()
	}
	if !agrees {
		// If older segments were removed, the log may begin directly after the snapshot.
		beginsAfterSnapshot := len(loaded.Entries) > 0 && loaded.Entries[0].GetIndex() == index+1
		if beginsAfterSnapshot && loaded.SnapshotMeta == nil {
			return nil
		}
		loaded.Entries = nil
		return s.Log.Save(loaded.HardState, meta, nil)
	}
	for len(loaded.Entries) > 0 && loaded.Entries[0].GetIndex() <= index {
		loaded.Entries = loaded.Entries[1:]
	}
	return nil
}

// SaveSnapshot writes the file of a snapshot that was received from the leader. The caller records it in the log with the
// next Log.Save.
func (s *Store) SaveSnapshot(meta *raftpb.SnapshotMetadata, data []byte) error {
	return SaveSnapshot(s.FS, meta.GetIndex(), writeAll(data))
}

// Close closes the log.
func (s *Store) Close() error { return s.Log.Close() }

// Inspection is the result of Inspect.
type Inspection struct {
	Opened
	Identity Identity
	Segments int
}

// Inspect reads and verifies a directory without changing it. Its errors are those of Open.
func Inspect(fs FS) (*Inspection, error) {
	id, err := LoadIdentity(fs)
	if err != nil {
		return nil, err
	}
	if id == nil {
		return nil, ErrEmpty
	}
	found := &Inspection{Identity: *id}
	if found.Snapshot, found.SnapshotName, err = LoadSnapshot(fs); err != nil {
		return nil, err
	}
	if found.Snapshot != nil {
		if _, _, err := DecodeSnapshot(found.SnapshotName, found.Snapshot); err != nil {
			return nil, err
		}
	}
	log, loaded, err := readLog(fs, Options{})
	if err != nil {
		return nil, err
	}
	found.Loaded = loaded
	found.Segments = len(log.segments)
	return found, nil
}

// DiscardUnsynced simulates a loss of power: it removes the part of the log that is not known to be synced. No process
// may be using the directory. Fault-injection tests need it because written data survives a kill of the process.
func DiscardUnsynced(fs FS) error {
	seq, size := readSyncPosition(fs)
	seqs, err := listSegments(fs)
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
