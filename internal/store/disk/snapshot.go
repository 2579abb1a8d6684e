package disk

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// imageRecordSize is the size in bytes of the part of an image that one record holds.
const imageRecordSize = 1 << 20

func snapshotName(index uint64) string { return fmt.Sprintf("snap-%016x", index) }

// listSnapshots returns the names of the snapshot files, oldest first.
func listSnapshots(fs FS) ([]string, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: list the data directory: %w", err)
	}
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, "snap-") && len(name) == len("snap-")+16 {
			found = append(found, name)
		}
	}
	return found, nil
}

// recordWriter writes the data that is written to it as image records.
type recordWriter struct {
	w io.Writer
}

// Write implements io.Writer.
func (w *recordWriter) Write(b []byte) (int, error) {
	if _, err := w.w.Write(appendRecord(nil, imageRecord, b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// EncodeSnapshot writes a snapshot in the form in which it is stored and sent: the metadata, then the image in records.
func EncodeSnapshot(w io.Writer, meta *raftpb.SnapshotMetadata, image func(io.Writer) error) error {
	head, err := proto.Marshal(meta)
	if err != nil {
		return fmt.Errorf("store: encode snapshot: %w", err)
	}
	if _, err := w.Write(appendRecord(nil, snapshotMetaRecord, head)); err != nil {
		return err
	}
	pieces := bufio.NewWriterSize(&recordWriter{w: w}, imageRecordSize)
	if err := image(pieces); err != nil {
		return err
	}
	if err := pieces.Flush(); err != nil {
		return err
	}
	_, err = w.Write(appendRecord(nil, endRecord, nil))
	return err
}

// DecodeSnapshot verifies a snapshot's checksums and returns its metadata and image. name is for error messages. Errors
// are of type *CorruptError.
func DecodeSnapshot(name string, b []byte) (*raftpb.SnapshotMetadata, io.Reader, error) {
	corrupt := func(at int, why string) error { return &CorruptError{name, int64(at), why} }
	kind, payload, at, ok := nextRecord(b, 0)
	meta := &raftpb.SnapshotMetadata{}
	if !ok || kind != snapshotMetaRecord || proto.Unmarshal(payload, meta) != nil || meta.GetIndex() == 0 {
		return nil, nil, corrupt(0, "the first record does not hold valid snapshot metadata")
	}
	var pieces []io.Reader
	for {
		kind, payload, next, ok := nextRecord(b, at)
		switch {
		case !ok:
			return nil, nil, corrupt(at, "a record does not match its checksum")
		case kind == imageRecord:
			pieces = append(pieces, bytes.NewReader(payload))
		case kind == endRecord && next == len(b):
			return meta, io.MultiReader(pieces...), nil
		default:
			return nil, nil, corrupt(at, "a record of an unexpected kind")
		}
		at = next
	}
}

// SaveSnapshot writes the file of the snapshot with an index. The file is either complete and synced or does not exist.
func SaveSnapshot(fs FS, index uint64, write func(io.Writer) error) error {
	name := snapshotName(index)
	if err := replaceFile(fs, name, write); err != nil {
		return fmt.Errorf("store: save %s: %w", fs.Name(name), err)
	}
	return nil
}

// replaceFile writes a temporary file and renames it to name once it is complete and synced.
func replaceFile(fs FS, name string, write func(io.Writer) error) error {
	temp := "new-" + name
	f, err := fs.Create(temp)
	if err != nil {
		return err
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = fs.Rename(temp, name)
	}
	if err != nil {
		_ = fs.Remove(temp) // if that fails, RemoveObsolete removes the file later
		return err
	}
	return fs.SyncDir()
}

// LoadSnapshot returns the newest snapshot, encoded and not yet verified, and the path of its file; nil if there is none.
// It never falls back to an older snapshot, because the log entries that follow the older one may have been removed.
func LoadSnapshot(fs FS) ([]byte, string, error) {
	names, err := listSnapshots(fs)
	if err != nil || len(names) == 0 {
		return nil, "", err
	}
	name := names[len(names)-1]
	b, err := fs.Read(name)
	if err != nil {
		return nil, "", fmt.Errorf("store: read %s: %w", fs.Name(name), err)
	}
	return b, fs.Name(name), nil
}

// RemoveObsolete removes snapshots older than an index, and temporary files left behind by a crash.
func RemoveObsolete(fs FS, index uint64) error {
	names, err := fs.List()
	if err != nil {
		return fmt.Errorf("store: list the data directory: %w", err)
	}
	for _, name := range names {
		unfinished := strings.HasPrefix(name, "new-")
		outdated := strings.HasPrefix(name, "snap-") && name < snapshotName(index)
		if !unfinished && !outdated {
			continue
		}
		if err := fs.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("store: remove %s: %w", fs.Name(name), err)
		}
	}
	return nil
}
