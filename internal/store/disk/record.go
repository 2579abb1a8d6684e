package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is a head of 16 bytes, its payload, and zeros up to a multiple of 8: magic, length of the payload,
// kind, and a checksum over all three and the payload. The magic lets a reader look for later batches behind a
// record that is damaged: behind a torn end there are none, behind a damaged middle there are.
const (
	magic    = 0x6b43526c
	headSize = 16 // bytes
	// MaxRecord bounds the length in bytes that a record may claim.
	MaxRecord = 64 << 20
)

type recordKind uint32

const (
	headRecord  recordKind = iota + 1 // first of a segment
	entryRecord                       // one raft entry
	hardRecord                        // term, vote, commit
	snapRecord                        // a snapshot was installed: the log goes on behind it
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
	for len(b)%8 != 0 {
		b = append(b, 0)
	}
	return b
}

// nextRecord reads the record at an offset and returns where the next one begins.
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
	return kind, payload, min((end+7)&^7, len(b)), true
}

// laterBatchFollows tells whether a batch was begun behind a broken record. Each batch is synced before the next is
// written, so the broken one was synced then, and is not a torn end.
func laterBatchFollows(b []byte, at int) bool {
	for at = (at &^ 7) + 8; at+headSize <= len(b); at += 8 {
		if binary.LittleEndian.Uint32(b[at:]) != magic {
			continue
		}
		if kind, _, _, ok := nextRecord(b, at); ok && kind == beginRecord {
			return true
		}
	}
	return false
}

// CorruptError names the place of damage. An instance that meets one does not start.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is damaged at offset %d: %s; restore the file, or remove the data directory and join anew",
		e.File, e.Offset, e.Reason)
}
