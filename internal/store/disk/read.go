package disk

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// OpenLog reads a log and opens it for appending. An incomplete last batch is truncated. For any other damage the error
// is a *CorruptError with the position.
func OpenLog(fs FS, o Options) (*Log, *Loaded, error) {
	l, loaded, err := readLog(fs, o)
	if err != nil {
		return nil, nil, err
	}
	name := segmentName(l.seq)
	if l.size == 0 { // not even the first records of the segment are complete
		l.segments = l.segments[:len(l.segments)-1]
		if err := l.beginSegment(l.seq); err != nil {
			return nil, nil, err
		}
		return l, loaded, nil
	}
	if loaded.TornBytes > 0 {
		if err := fs.Truncate(name, l.size); err != nil {
			return nil, nil, fmt.Errorf("store: truncate the incomplete end of %s: %w", fs.Name(name), err)
		}
	}
	if l.file, err = fs.Append(name); err != nil {
		return nil, nil, fmt.Errorf("store: open %s: %w", fs.Name(name), err)
	}
	// The data may not be synced: if the previous process was killed, it may be only in the page cache.
	if err := l.syncFile(l.file); err != nil {
		return nil, nil, fmt.Errorf("store: sync %s: %w", fs.Name(name), err)
	}
	if err := l.writeSyncPosition(); err != nil {
		return nil, nil, err
	}
	return l, loaded, nil
}

// readLog reads all segments without changing them.
func readLog(fs FS, o Options) (*Log, *Loaded, error) {
	seqs, err := listSegments(fs)
	if err != nil {
		return nil, nil, err
	}
	if len(seqs) == 0 {
		return nil, nil, fmt.Errorf("store: %s has an identity but no log: the log was lost; remove the data directory and join again", fs.Name(""))
	}
	l := newLog(fs, o)
	loaded := &Loaded{HardState: &raftpb.HardState{}}
	syncedSeq, syncedSize := readSyncPosition(fs)
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, nil, &CorruptError{File: fs.Name(segmentName(seqs[i-1] + 1)), Reason: "the segment is missing"}
		}
		synced := int64(-1) // unknown
		if seq == syncedSeq {
			synced = syncedSize
		}
		if err := l.readSegment(seq, i == len(seqs)-1, synced, loaded); err != nil {
			return nil, nil, err
		}
	}
	l.seq = seqs[len(seqs)-1]
	if syncedSeq > l.seq {
		return nil, nil, &CorruptError{File: fs.Name(segmentName(syncedSeq)), Reason: "the segment is missing, but had been synced"}
	}
	l.hardState = loaded.HardState
	return l, loaded, nil
}

// readSegment reads one segment. synced is the number of bytes at its start that are known to be synced; -1: unknown. An
// incomplete end is accepted only in the last segment and only after those bytes.
func (l *Log) readSegment(seq uint64, isLast bool, synced int64, loaded *Loaded) error {
	name := segmentName(seq)
	data, err := l.fs.Read(name)
	if err != nil {
		return fmt.Errorf("store: read %s: %w", l.fs.Name(name), err)
	}
	reader := &segmentReader{file: l.fs.Name(name), seq: seq, data: data, loaded: loaded}
	if err := reader.readRecords(); err != nil {
		return err
	}
	l.segments = append(l.segments, segment{seq, loaded.lastIndex()})
	l.size = int64(reader.complete)
	if reader.complete == len(data) && len(data) > 0 {
		return nil
	}
	if err := reader.checkTornEnd(isLast, synced); err != nil {
		return err
	}
	loaded.TornBytes = int64(len(data) - reader.complete)
	return nil
}

// segmentReader reads the records of a segment. The records of a batch are used only if its end record is there: without
// it, the batch was never acknowledged.
type segmentReader struct {
	file     string
	seq      uint64
	data     []byte
	at       int // offset of the current record
	complete int // bytes of complete batches
	batch    []batchRecord
	loaded   *Loaded
}

// batchRecord is a record of a batch whose end was not read yet. Exactly one of entry, hardState and snapshotMeta is set.
type batchRecord struct {
	at           int
	entry        *raftpb.Entry
	hardState    *raftpb.HardState
	snapshotMeta *raftpb.SnapshotMetadata
}

func (r *segmentReader) corrupt(at int, reason string) error {
	return &CorruptError{r.file, int64(at), reason}
}

// readRecords reads the records up to the end, or up to the first one that is incomplete or does not match its checksum.
func (r *segmentReader) readRecords() error {
	for r.at < len(r.data) {
		kind, payload, next, ok := nextRecord(r.data, r.at)
		if !ok {
			return nil
		}
		if err := r.process(kind, payload, next); err != nil {
			return err
		}
		r.at = next
	}
	return nil
}

// process handles one record; next is the offset after it.
func (r *segmentReader) process(kind recordKind, payload []byte, next int) error {
	switch kind {
	case headRecord:
		if !r.isOwnHead(payload) {
			return r.corrupt(r.at, "a segment head with the wrong offset, format version or sequence number")
		}
	case beginRecord:
		if len(r.batch) > 0 || len(payload) != 8 || binary.LittleEndian.Uint64(payload) != uint64(r.at) {
			return r.corrupt(r.at, "a batch begins at the wrong offset or inside another batch")
		}
	case entryRecord:
		entry := &raftpb.Entry{}
		return r.decode(payload, entry, batchRecord{at: r.at, entry: entry})
	case hardStateRecord:
		hard := &raftpb.HardState{}
		return r.decode(payload, hard, batchRecord{at: r.at, hardState: hard})
	case snapshotMetaRecord:
		snap := &raftpb.SnapshotMetadata{}
		return r.decode(payload, snap, batchRecord{at: r.at, snapshotMeta: snap})
	case endRecord:
		r.complete = next
		return r.commitBatch()
	default:
		return r.corrupt(r.at, "a record of an unknown kind")
	}
	return nil
}

func (r *segmentReader) isOwnHead(payload []byte) bool {
	return r.at == 0 && len(payload) == 9 && payload[0] == segmentFormat && binary.LittleEndian.Uint64(payload[1:]) == r.seq
}

func (r *segmentReader) decode(payload []byte, message proto.Message, record batchRecord) error {
	if err := proto.Unmarshal(payload, message); err != nil {
		return r.corrupt(r.at, err.Error())
	}
	r.batch = append(r.batch, record)
	return nil
}

// commitBatch adds the records of a complete batch to the loaded content.
func (r *segmentReader) commitBatch() error {
	for _, record := range r.batch {
		switch {
		case record.entry != nil:
			if !r.loaded.addEntry(record.entry) {
				reason := fmt.Sprintf("entry %d leaves a gap after the entries before it", record.entry.GetIndex())
				return r.corrupt(record.at, reason)
			}
		case record.hardState != nil:
			r.loaded.HardState = record.hardState
		case record.snapshotMeta != nil:
			r.loaded.SnapshotMeta = record.snapshotMeta
			r.loaded.Entries = nil
		}
	}
	r.batch = nil
	return nil
}

// checkTornEnd returns a *CorruptError if the bytes after the complete batches are damaged data. It returns nil if they
// are a write that a crash interrupted.
func (r *segmentReader) checkTornEnd(isLast bool, synced int64) error {
	switch {
	case !isLast:
		return r.corrupt(r.at, "a record does not match its checksum, and further segments follow")
	case int64(r.complete) < synced:
		return r.corrupt(r.at, fmt.Sprintf("a record does not match its checksum, but the segment was synced up to offset %d", synced))
	case laterBatchFollows(r.data, r.at):
		return r.corrupt(r.at, "a record does not match its checksum, and a later batch follows")
	}
	return nil
}

// lastIndex returns the index of the last entry, or of the snapshot if there are no entries.
func (l *Loaded) lastIndex() uint64 {
	if len(l.Entries) > 0 {
		return l.Entries[len(l.Entries)-1].GetIndex()
	}
	return l.SnapshotMeta.GetIndex()
}

// addEntry appends an entry. An entry with an existing index replaces that entry and all later ones, as raft requires.
// addEntry reports false for an entry that would leave a gap.
func (l *Loaded) addEntry(entry *raftpb.Entry) bool {
	index := entry.GetIndex()
	first := index
	switch {
	case len(l.Entries) > 0:
		first = l.Entries[0].GetIndex()
	case l.SnapshotMeta != nil:
		if index <= l.SnapshotMeta.GetIndex() {
			return true
		}
		first = l.SnapshotMeta.GetIndex() + 1
	}
	if l.SnapshotMeta == nil && (len(l.Entries) == 0 || index < first) {
		// Older segments were removed because a snapshot covers their entries. The entries read so far may have been
		// replaced later by a batch that begins at a lower index, which a removed segment held. The list then starts
		// anew with that batch.
		first = index
		l.Entries = nil
	}
	if index < first || index > first+uint64(len(l.Entries)) {
		return false
	}
	l.Entries = append(l.Entries[:index-first], entry)
	return true
}
