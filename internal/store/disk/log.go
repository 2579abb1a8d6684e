package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// DefaultSegmentSize is the size in bytes after which the log begins a new segment.
	DefaultSegmentSize = 16 << 20

	syncPositionName = "synced"
	segmentFormat    = 1       // format version of the segment files
	maxKeptBuffer    = 4 << 20 // bytes; a larger buffer is released instead of reused for the next batch
)

// Log is raft's durable log: batches of records in segment files. A batch is durable once it is synced. A Log is not
// safe for concurrent use.
type Log struct {
	fs           FS
	segmentSize  int64 // bytes after which a new segment is begun
	noSync       bool
	file         File   // of the current segment
	seq          uint64 // of the current segment
	size         int64  // of the current segment in bytes
	segments     []segment
	hardState    *raftpb.HardState // as last saved
	syncPosition File              // written by writeSyncPosition; nil until then
	buf          []byte            // of the encoded batch, reused
	payload      []byte            // of one encoded record, reused
	failure      error             // first final error of Save, which all later calls return
}

// segment is one file of the log. lastIndex is the highest index of an entry or snapshot up to the end of the file.
type segment struct {
	seq, lastIndex uint64
}

// Loaded is the content of a log when it was opened.
type Loaded struct {
	HardState    *raftpb.HardState
	SnapshotMeta *raftpb.SnapshotMetadata // of the latest snapshot that the log records; nil if none
	Entries      []*raftpb.Entry          // consecutive, following SnapshotMeta
	TornBytes    int64                    // bytes of an incomplete last batch, which was truncated
}

// Options of a log.
type Options struct {
	SegmentSize int64 // bytes after which a new segment is begun; 0: DefaultSegmentSize
	NoSync      bool  // skip all syncs; only for fault-injection tests
}

func segmentName(seq uint64) string { return fmt.Sprintf("log-%016x", seq) }

// listSegments returns the sequence numbers of the log's files in ascending order.
func listSegments(fs FS) ([]uint64, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: list the data directory: %w", err)
	}
	var seqs []uint64
	for _, name := range names {
		digits, isSegment := strings.CutPrefix(name, "log-")
		if !isSegment || len(digits) != 16 {
			continue
		}
		var seq uint64
		if _, err := fmt.Sscanf(digits, "%016x", &seq); err == nil {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs, nil
}

// CreateLog creates a log in a directory that has none.
func CreateLog(fs FS, o Options) (*Log, error) {
	seqs, err := listSegments(fs)
	if err != nil {
		return nil, err
	}
	if len(seqs) > 0 {
		return nil, fmt.Errorf("store: create the log: %s exists already", fs.Name(segmentName(seqs[0])))
	}
	l := newLog(fs, o)
	if err := l.beginSegment(1); err != nil {
		return nil, err
	}
	return l, nil
}

func newLog(fs FS, o Options) *Log {
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	return &Log{fs: fs, segmentSize: o.SegmentSize, noSync: o.NoSync, hardState: &raftpb.HardState{}}
}

// beginSegment creates a segment and makes it the current one. The segment begins with a copy of the hard state, so that
// older segments can be removed.
func (l *Log) beginSegment(seq uint64) error {
	name := segmentName(seq)
	file, err := l.fs.Create(name)
	if err != nil {
		return fmt.Errorf("store: create segment %s: %w", l.fs.Name(name), err)
	}
	size, err := l.writeHead(file, seq)
	if err != nil {
		_ = file.Close() // the first error is returned
		return err
	}
	if l.file != nil {
		_ = l.file.Close() // all its data is synced
	}
	last := uint64(0)
	if len(l.segments) > 0 {
		last = l.segments[len(l.segments)-1].lastIndex
	}
	l.file = file
	l.seq = seq
	l.size = size
	l.segments = append(l.segments, segment{seq, last})
	return l.writeSyncPosition()
}

// writeHead writes and syncs a segment's first records, and returns their size in bytes.
func (l *Log) writeHead(file File, seq uint64) (int64, error) {
	name := l.fs.Name(segmentName(seq))
	hard, err := proto.Marshal(l.hardState)
	if err != nil {
		return 0, fmt.Errorf("store: encode the hard state: %w", err)
	}
	records := appendRecord(nil, headRecord, binary.LittleEndian.AppendUint64([]byte{segmentFormat}, seq))
	records = appendRecord(records, hardStateRecord, hard)
	records = appendRecord(records, endRecord, nil)
	if _, err := file.Write(records); err != nil {
		return 0, fmt.Errorf("store: write the head of %s: %w", name, err)
	}
	if err := l.syncFile(file); err != nil {
		return 0, fmt.Errorf("store: sync %s: %w", name, err)
	}
	if !l.noSync {
		if err := l.fs.SyncDir(); err != nil {
			return 0, fmt.Errorf("store: sync the data directory: %w", err)
		}
	}
	return int64(len(records)), nil
}

func (l *Log) syncFile(f File) error {
	if l.noSync {
		return nil
	}
	return f.Sync()
}

// writeSyncPosition writes the position up to which the log is synced to a file, which is not synced itself. After a crash
// of the process, the position distinguishes a damaged end of the log from an incomplete write. After a crash of the
// machine, the file may hold an older position, which covers less of the log.
func (l *Log) writeSyncPosition() error {
	if l.noSync {
		return nil
	}
	if l.syncPosition == nil {
		file, err := l.fs.Create(syncPositionName)
		if err != nil {
			return fmt.Errorf("store: %s: %w", l.fs.Name(syncPositionName), err)
		}
		l.syncPosition = file
	}
	position := binary.LittleEndian.AppendUint64(nil, l.seq)
	position = binary.LittleEndian.AppendUint64(position, uint64(l.size))
	_, err := l.syncPosition.WriteAt(appendRecord(nil, headRecord, position), 0)
	if err != nil && !errors.Is(err, ErrFull) {
		return fmt.Errorf("store: %s: %w", l.fs.Name(syncPositionName), err)
	}
	return nil
}

// readSyncPosition returns the last segment that is known to be synced, and up to which size in bytes it is; zeros if
// unknown.
func readSyncPosition(fs FS) (seq uint64, size int64) {
	data, err := fs.Read(syncPositionName)
	if err != nil {
		return 0, 0
	}
	_, position, _, ok := nextRecord(data, 0)
	if !ok || len(position) != 16 {
		return 0, 0
	}
	return binary.LittleEndian.Uint64(position), int64(binary.LittleEndian.Uint64(position[8:]))
}

// Save appends a batch and returns once the batch is durable. A batch consists of a hard state, the metadata of an
// installed snapshot and entries; each of them may be missing. After ErrFull nothing was written and the call may be
// repeated. Any other error is final: all later calls return it.
func (l *Log) Save(hard *raftpb.HardState, snap *raftpb.SnapshotMetadata, entries []*raftpb.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if snap == nil && hard == nil && len(entries) == 0 {
		return nil
	}
	if l.size > l.segmentSize {
		if err := l.beginSegment(l.seq + 1); err != nil {
			return l.fail(err)
		}
	}
	if err := l.encodeBatch(hard, snap, entries); err != nil {
		return l.fail(fmt.Errorf("store: encode a batch for the log: %w", err))
	}
	if _, err := l.file.Write(l.buf); err != nil {
		return l.fail(fmt.Errorf("store: write %s: %w", l.fs.Name(segmentName(l.seq)), err))
	}
	if err := l.syncFile(l.file); err != nil {
		// After a failed sync the kernel may drop the data, and a second sync would report it as written.
		l.failure = fmt.Errorf("store: sync %s: %w", l.fs.Name(segmentName(l.seq)), err)
		return l.failure
	}
	l.size += int64(len(l.buf))
	current := &l.segments[len(l.segments)-1]
	if snap != nil {
		current.lastIndex = snap.GetIndex()
	}
	if len(entries) > 0 {
		current.lastIndex = max(current.lastIndex, entries[len(entries)-1].GetIndex())
	}
	if hard != nil {
		l.hardState = hard
	}
	if cap(l.buf) > maxKeptBuffer {
		l.buf = nil
	}
	if err := l.writeSyncPosition(); err != nil {
		l.failure = err
		return err
	}
	return nil
}

// fail returns an error, and records it as final unless it is ErrFull.
func (l *Log) fail(err error) error {
	if !errors.Is(err, ErrFull) {
		l.failure = err
	}
	return err
}

// encodeBatch encodes a batch into l.buf.
func (l *Log) encodeBatch(hard *raftpb.HardState, snap *raftpb.SnapshotMetadata, entries []*raftpb.Entry) error {
	l.buf = appendRecord(l.buf[:0], beginRecord, binary.LittleEndian.AppendUint64(nil, uint64(l.size)))
	if snap != nil {
		if err := l.encode(snapshotMetaRecord, snap); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := l.encode(entryRecord, entry); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := l.encode(hardStateRecord, hard); err != nil {
			return err
		}
	}
	l.buf = appendRecord(l.buf, endRecord, nil)
	return nil
}

// encode appends one record to l.buf.
func (l *Log) encode(kind recordKind, message proto.Message) (err error) {
	l.payload, err = proto.MarshalOptions{}.MarshalAppend(l.payload[:0], message)
	if err != nil {
		return err
	}
	l.buf = appendRecord(l.buf, kind, l.payload)
	return nil
}

// Release removes the segments before the current one that contain no entry after upTo. The caller must have a snapshot
// of the entries up to there.
func (l *Log) Release(upTo uint64) error {
	n := 0
	for n < len(l.segments)-1 && l.segments[n].lastIndex <= upTo {
		if err := l.fs.Remove(segmentName(l.segments[n].seq)); err != nil {
			return fmt.Errorf("store: remove an old segment: %w", err)
		}
		n++
	}
	l.segments = slices.Delete(l.segments, 0, n)
	return nil
}

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the files.
func (l *Log) Close() error {
	if l.syncPosition != nil {
		_ = l.syncPosition.Close() // the log can be read without the sync position
	}
	if l.file != nil {
		return l.file.Close()
	}
	return nil
}
