package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is a head of headSize bytes, its payload, and zeros up to a multiple of recordAlignment: magic, length of the payload,
// kind, and a checksum over all three and the payload. The magic lets a reader search for later batches after a
// damaged record: there are some if the middle of the log is damaged, and none after an interrupted write.
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
	headRecord  recordKind = iota + 1 // first of a segment
	entryRecord                       // one raft entry
	hardRecord                        // term, vote, commit
	snapRecord                        // metadata of an installed snapshot, after which the log continues
	imageRecord                       // a piece of a snapshot file
	endRecord                         // the end of a snapshot file or of a batch
	beginRecord                       // the beginning of a batch, with its offset
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

// nextRecord decodes the record at an offset and returns the offset of the next one. It reports false for a record that
// is incomplete or does not match its checksum.
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

// laterBatchFollows reports whether a batch begins after a damaged record. Each batch is synced before the next is
// written, so the damaged one was synced and cannot be the result of an interrupted write.
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

// CorruptError reports damaged data in a file. An instance does not start with damaged data.
type CorruptError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is damaged at offset %d: %s; restore the file, or remove the data directory and join again",
		e.File, e.Offset, e.Reason)
}
