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

// DefaultSegment is the size at which a segment of the log is ended.
const DefaultSegment = 16 << 20

const markName = "synced"

// Log is the durable log: segments of records, each batch synced before it counts.
type Log struct {
	fs      FS
	limit   int64
	file    File
	mark    File
	seq     uint64
	size    int64 // of the segment that is written
	segs    []segment
	hard    *raftpb.HardState
	buf     []byte
	payload []byte
	noSync  bool
	broken  error // the first failure that may not be tried again
}

// segment is one file; last is the highest index in it.
type segment struct {
	seq, last uint64
}

// Loaded is what a log held when it was opened.
type Loaded struct {
	Hard    *raftpb.HardState
	Snap    *raftpb.SnapshotMetadata // the latest snapshot that the log names; nil if none
	Entries []*raftpb.Entry          // without a gap, behind Snap
	Cut     int64                    // bytes of a torn end that were cut
}

// Options of a log.
type Options struct {
	Segment int64
	NoSync  bool // for rehearsals only: what a crash loses then is to be found out by them
}

func segmentName(seq uint64) string { return fmt.Sprintf("log-%016x", seq) }

// segments lists the log's files.
func segments(fs FS) ([]uint64, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: list the data directory: %w", err)
	}
	var seqs []uint64
	for _, n := range names {
		if digits, ok := strings.CutPrefix(n, "log-"); ok && len(digits) == 16 {
			var seq uint64
			if _, err := fmt.Sscanf(digits, "%016x", &seq); err == nil {
				seqs = append(seqs, seq)
			}
		}
	}
	slices.Sort(seqs)
	return seqs, nil
}

// CreateLog begins a log in a directory that has none.
func CreateLog(fs FS, o Options) (*Log, error) {
	seqs, err := segments(fs)
	if err != nil {
		return nil, err
	}
	if len(seqs) > 0 {
		return nil, fmt.Errorf("store: %s is there already", fs.Name(segmentName(seqs[0])))
	}
	l := newLog(fs, o)
	if err := l.begin(1); err != nil {
		return nil, err
	}
	return l, nil
}

func newLog(fs FS, o Options) *Log {
	if o.Segment == 0 {
		o.Segment = DefaultSegment
	}
	return &Log{fs: fs, limit: o.Segment, noSync: o.NoSync, hard: &raftpb.HardState{}}
}

// begin opens a new segment. Its head repeats the hard state, so that older segments can go.
func (l *Log) begin(seq uint64) error {
	name := segmentName(seq)
	f, err := l.fs.Create(name)
	if err != nil {
		return fmt.Errorf("store: begin %s: %w", l.fs.Name(name), err)
	}
	head := binary.LittleEndian.AppendUint64([]byte{1}, seq)
	b := appendRecord(nil, headRecord, head)
	hard, err := proto.Marshal(l.hard)
	if err != nil {
		return fmt.Errorf("store: encode the hard state: %w", err)
	}
	b = appendRecord(appendRecord(b, hardRecord, hard), endRecord, nil)
	if _, err := f.Write(b); err != nil {
		f.Close()
		return fmt.Errorf("store: begin %s: %w", l.fs.Name(name), err)
	}
	if err := l.sync(f); err != nil {
		f.Close()
		return fmt.Errorf("store: sync %s: %w", l.fs.Name(name), err)
	}
	if !l.noSync {
		if err := l.fs.SyncDir(); err != nil {
			f.Close()
			return fmt.Errorf("store: sync the data directory: %w", err)
		}
	}
	if l.file != nil {
		l.file.Close()
	}
	last := uint64(0)
	if n := len(l.segs); n > 0 {
		last = l.segs[n-1].last
	}
	l.file, l.seq, l.size, l.segs = f, seq, int64(len(b)), append(l.segs, segment{seq, last})
	return l.note()
}

func (l *Log) sync(f File) error {
	if l.noSync {
		return nil
	}
	return f.Sync()
}

// note writes down how far the log is synced. The note itself is not synced: when the process dies, it is there
// and tells a damaged end from a torn one; when the machine dies, an older note tells it of less.
func (l *Log) note() error {
	if l.noSync {
		return nil
	}
	if l.mark == nil {
		f, err := l.fs.Create(markName)
		if err != nil {
			return fmt.Errorf("store: %s: %w", l.fs.Name(markName), err)
		}
		l.mark = f
	}
	b := binary.LittleEndian.AppendUint64(nil, l.seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(l.size))
	if _, err := l.mark.WriteAt(appendRecord(nil, headRecord, b), 0); err != nil && !errors.Is(err, ErrFull) {
		return fmt.Errorf("store: %s: %w", l.fs.Name(markName), err)
	}
	return nil
}

func readMark(fs FS) (seq uint64, size int64) {
	b, err := fs.Read(markName)
	if err != nil {
		return 0, 0
	}
	_, p, _, ok := nextRecord(b, 0)
	if !ok || len(p) != 16 {
		return 0, 0
	}
	return binary.LittleEndian.Uint64(p), int64(binary.LittleEndian.Uint64(p[8:]))
}

// Save writes entries and a hard state, either of which may be missing, and returns when they are on the disk. After
// ErrFull nothing was written and the call may be made again; any other error is final.
func (l *Log) Save(hard *raftpb.HardState, snap *raftpb.SnapshotMetadata, entries []*raftpb.Entry) error {
	if l.broken != nil {
		return l.broken
	}
	if snap == nil && hard == nil && len(entries) == 0 {
		return nil
	}
	if l.size > l.limit {
		if err := l.begin(l.seq + 1); err != nil {
			if !errors.Is(err, ErrFull) {
				l.broken = err
			}
			return err
		}
	}
	l.buf = appendRecord(l.buf[:0], beginRecord, binary.LittleEndian.AppendUint64(nil, uint64(l.size)))
	add := func(kind recordKind, m proto.Message) (err error) {
		if l.payload, err = (proto.MarshalOptions{}).MarshalAppend(l.payload[:0], m); err == nil {
			l.buf = appendRecord(l.buf, kind, l.payload)
		}
		return err
	}
	var err error
	if snap != nil {
		err = add(snapRecord, snap)
	}
	for i := 0; i < len(entries) && err == nil; i++ {
		err = add(entryRecord, entries[i])
	}
	if hard != nil && err == nil {
		err = add(hardRecord, hard)
	}
	if err != nil {
		l.broken = fmt.Errorf("store: encode for the log: %w", err)
		return l.broken
	}
	l.buf = appendRecord(l.buf, endRecord, nil)
	if _, err := l.file.Write(l.buf); err != nil {
		err = fmt.Errorf("store: write %s: %w", l.fs.Name(segmentName(l.seq)), err)
		if !errors.Is(err, ErrFull) {
			l.broken = err
		}
		return err
	}
	if err := l.sync(l.file); err != nil {
		// What the kernel has dropped after a failed sync, a second one would call synced.
		l.broken = fmt.Errorf("store: sync %s: %w", l.fs.Name(segmentName(l.seq)), err)
		return l.broken
	}
	l.size += int64(len(l.buf))
	cur := &l.segs[len(l.segs)-1]
	if snap != nil {
		cur.last = snap.GetIndex()
	}
	if n := len(entries); n > 0 {
		cur.last = max(cur.last, entries[n-1].GetIndex())
	}
	if hard != nil {
		l.hard = hard
	}
	if cap(l.buf) > 4<<20 {
		l.buf = nil
	}
	if err := l.note(); err != nil {
		l.broken = err
		return err
	}
	return nil
}

// Release drops segments all of whose entries have an index of at most upTo. The caller has a snapshot of them.
func (l *Log) Release(upTo uint64) error {
	n := 0
	for n < len(l.segs)-1 && l.segs[n].last <= upTo {
		if err := l.fs.Remove(segmentName(l.segs[n].seq)); err != nil {
			return fmt.Errorf("store: remove an old segment: %w", err)
		}
		n++
	}
	l.segs = slices.Delete(l.segs, 0, n)
	return nil
}

// Segments is the number of files.
func (l *Log) Segments() int { return len(l.segs) }

// Close closes the files.
func (l *Log) Close() error {
	if l.mark != nil {
		l.mark.Close()
	}
	if l.file != nil {
		return l.file.Close()
	}
	return nil
}

// OpenLog reads a log from the disk and goes on at its end. A torn end is cut; any other damage is an error that
// names its place.
func OpenLog(fs FS, o Options) (*Log, *Loaded, error) {
	l, got, err := readLog(fs, o)
	if err != nil {
		return nil, nil, err
	}
	name := segmentName(l.seq)
	if l.size == 0 { // the segment's own beginning was torn
		l.segs = l.segs[:len(l.segs)-1]
		if err := l.begin(l.seq); err != nil {
			return nil, nil, err
		}
		return l, got, nil
	}
	if got.Cut > 0 {
		if err := fs.Truncate(name, l.size); err != nil {
			return nil, nil, fmt.Errorf("store: cut the torn end of %s: %w", fs.Name(name), err)
		}
	}
	if l.file, err = fs.Append(name); err != nil {
		return nil, nil, fmt.Errorf("store: open %s: %w", fs.Name(name), err)
	}
	// What was read may never have been synced: a process that died leaves it with the kernel. It counts from now on.
	if err := l.sync(l.file); err != nil {
		return nil, nil, fmt.Errorf("store: sync %s: %w", fs.Name(name), err)
	}
	if err := l.note(); err != nil {
		return nil, nil, err
	}
	return l, got, nil
}

// readLog reads all segments and changes nothing.
func readLog(fs FS, o Options) (*Log, *Loaded, error) {
	seqs, err := segments(fs)
	if err != nil {
		return nil, nil, err
	}
	if len(seqs) == 0 {
		return nil, nil, fmt.Errorf("store: %s has an identity and no log: it was lost; remove the data directory and join anew", fs.Name(""))
	}
	l := newLog(fs, o)
	got := &Loaded{Hard: &raftpb.HardState{}}
	markSeq, markSize := readMark(fs)
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, nil, &CorruptError{fs.Name(segmentName(seqs[i-1] + 1)), 0, "the segment is missing"}
		}
		synced := int64(-1)
		if seq == markSeq {
			synced = markSize
		}
		if err := l.load(seq, i == len(seqs)-1, synced, got); err != nil {
			return nil, nil, err
		}
	}
	l.seq = seqs[len(seqs)-1]
	if markSeq > l.seq {
		return nil, nil, &CorruptError{fs.Name(segmentName(markSeq)), 0, "the segment is missing, and was synced"}
	}
	l.hard = got.Hard
	return l, got, nil
}

// load reads one segment. Records count batch by batch: what has no end record was never answered for.
func (l *Log) load(seq uint64, last bool, synced int64, got *Loaded) error {
	name := segmentName(seq)
	b, err := l.fs.Read(name)
	if err != nil {
		return fmt.Errorf("store: read %s: %w", l.fs.Name(name), err)
	}
	corrupt := func(at int, why string) error { return &CorruptError{l.fs.Name(name), int64(at), why} }
	l.segs = append(l.segs, segment{seq: seq})
	at, whole := 0, 0
	var batch []func() error
	for at < len(b) {
		kind, payload, next, ok := nextRecord(b, at)
		if !ok {
			break
		}
		begins := at
		switch kind {
		case headRecord:
			if at != 0 || len(payload) != 9 || payload[0] != 1 || binary.LittleEndian.Uint64(payload[1:]) != seq {
				return corrupt(at, "the head is not that of this segment")
			}
		case beginRecord:
			if len(batch) > 0 || len(payload) != 8 || binary.LittleEndian.Uint64(payload) != uint64(at) {
				return corrupt(at, "a batch that does not belong there")
			}
		case entryRecord:
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(payload, e); err != nil {
				return corrupt(at, err.Error())
			}
			batch = append(batch, func() error { return got.entry(e, begins, corrupt) })
		case hardRecord:
			h := &raftpb.HardState{}
			if err := proto.Unmarshal(payload, h); err != nil {
				return corrupt(at, err.Error())
			}
			batch = append(batch, func() error { got.Hard = h; return nil })
		case snapRecord:
			s := &raftpb.SnapshotMetadata{}
			if err := proto.Unmarshal(payload, s); err != nil {
				return corrupt(at, err.Error())
			}
			batch = append(batch, func() error { got.Snap, got.Entries = s, nil; return nil })
		case endRecord:
			for _, f := range batch {
				if err := f(); err != nil {
					return err
				}
			}
			batch, whole = nil, next
		default:
			return corrupt(at, "a record of an unknown kind")
		}
		at = next
	}
	cur := &l.segs[len(l.segs)-1]
	if n := len(got.Entries); n > 0 {
		cur.last = got.Entries[n-1].GetIndex()
	} else if got.Snap != nil {
		cur.last = got.Snap.GetIndex()
	}
	if whole == len(b) && whole > 0 {
		l.size = int64(whole)
		return nil
	}
	switch {
	case !last:
		return corrupt(at, "a record does not match its checksum, and segments follow")
	case int64(whole) < synced:
		return corrupt(at, fmt.Sprintf("a record does not match its checksum, and the log was synced up to %d", synced))
	case beginsBehind(b, at):
		return corrupt(at, "a record does not match its checksum, and a later batch follows")
	}
	got.Cut, l.size = int64(len(b)-whole), int64(whole)
	return nil
}

// entry adds one entry. One whose index is there already replaces it and all behind it, as raft decided.
func (g *Loaded) entry(e *raftpb.Entry, at int, corrupt func(int, string) error) error {
	first := e.GetIndex()
	if len(g.Entries) > 0 {
		first = g.Entries[0].GetIndex()
	} else if g.Snap != nil {
		if e.GetIndex() <= g.Snap.GetIndex() {
			return nil
		}
		first = g.Snap.GetIndex() + 1
	}
	if g.Snap == nil && (len(g.Entries) == 0 || e.GetIndex() < first) {
		// Older segments were dropped: a snapshot has what was in them. What is left may begin with entries that were
		// replaced from an index on which stood in a dropped one.
		first, g.Entries = e.GetIndex(), nil
	}
	if e.GetIndex() < first || e.GetIndex() > first+uint64(len(g.Entries)) {
		return corrupt(at, fmt.Sprintf("entry %d does not follow the one before it", e.GetIndex()))
	}
	g.Entries = append(g.Entries[:e.GetIndex()-first], e)
	return nil
}
