package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is a head of headSize bytes, a payload, and zeros up to a multiple of recordAlignment. The head consists of
// the magic number, the length of the payload, the kind of the record, and a checksum over length, kind and payload.
// After a damaged record, a reader searches for later batches by the magic number: it finds some if the middle of the log
// is damaged, and none after an interrupted write.
const (
	magic    = 0x6b43526c
	headSize = 16 // bytes
	// recordAlignment is the number of bytes of which each record's offset is a multiple; a power of 2.
	recordAlignment = 8
	// MaxRecord bounds the length in bytes of a record's payload.
	MaxRecord = 64 << 20
)

type recordKind uint32

const (
	headRecord         recordKind = iota + 1 // head of a segment: format version and sequence number; also holds the sync position
	entryRecord                              // one raft entry
	hardStateRecord                          // raft's hard state: term, vote and commit index
	snapshotMetaRecord                       // metadata of an installed snapshot, after which the log continues
	imageRecord                              // a part of the image in a snapshot file
	endRecord                                // the end of a snapshot file or of a batch
	beginRecord                              // the beginning of a batch, with its offset
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(kind recordKind, payload []byte) uint32 {
	var head [8]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(kind))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	return crc32.Update(crc32.Update(0, castagnoli, head[:]), castagnoli, payload)
}

func appendRecord(b []byte, kind recordKind, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, uint32(kind))
	b = binary.LittleEndian.AppendUint32(b, checksum(kind, payload))
	b = append(b, payload...)
	for len(b)%recordAlignment != 0 {
		b = append(b, 0)
	}
	return b
}

// nextRecord decodes the record at an offset and returns the offset after it. It reports false if the record is
// incomplete or does not match its checksum.
func nextRecord(b []byte, at int) (kind recordKind, payload []byte, next int, ok bool) {
	if at+headSize > len(b) || binary.LittleEndian.Uint32(b[at:]) != magic {
		return 0, nil, at, false
	}
	size := int(binary.LittleEndian.Uint32(b[at+4:]))
	kind = recordKind(binary.LittleEndian.Uint32(b[at+8:]))
	end := at + headSize + size
	if size > MaxRecord || end > len(b) {
		return 0, nil, at, false
	}
	payload = b[at+headSize : end]
	if binary.LittleEndian.Uint32(b[at+12:]) != checksum(kind, payload) {
		return 0, nil, at, false
	}
	aligned := (end + recordAlignment - 1) &^ (recordAlignment - 1)
	return kind, payload, min(aligned, len(b)), true
}

// laterBatchFollows reports whether a batch begins after a damaged record. Each batch is synced before the next one is
// written, so in that case the damaged record was synced and is not the result of an interrupted write.
func laterBatchFollows(b []byte, at int) bool {
	for at = at&^(recordAlignment-1) + recordAlignment; at+headSize <= len(b); at += recordAlignment {
		if binary.LittleEndian.Uint32(b[at:]) != magic {
			continue
		}
		if kind, _, _, ok := nextRecord(b, at); ok && kind == beginRecord {
			return true
		}
	}
	return false
}

// CorruptError reports damaged data in a file. An instance with damaged data does not start.
type CorruptError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is damaged at offset %d: %s; restore the file, or remove the data directory and join again",
		e.File, e.Offset, e.Reason)
}
