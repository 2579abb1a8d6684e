// Package frame is the wire format of the store's connections: a length of 4 bytes (big endian), a kind of one byte, and
// a body. Memory is taken as bytes arrive, so that a peer that claims a long frame costs no more than it sends.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

const (
	// MaxSize bounds a frame's body in bytes.
	MaxSize = 16 << 20

	headSize = 5        // bytes: length and kind
	readStep = 64 << 10 // bytes by which the buffer grows at least while a body arrives
)

// Kind of a frame. An unknown kind is ignored: a newer build may send what an older one does not know.
type Kind byte

// The kinds of frames, and what their bodies are.
const (
	HelloKind    Kind = 'h' // Hello
	WelcomeKind  Kind = 'w' // Welcome
	RaftKind     Kind = 'r' // raftpb.Message, as protobuf
	ChunkKind    Kind = 'p' // core.SnapshotChunk
	ChunkAckKind Kind = 'g' // core.ChunkAck
	RequestKind  Kind = 'q' // Request
	ResponseKind Kind = 'a' // Response
)

// ErrTooLong says that a frame claims more than Max.
var ErrTooLong = errors.New("store: a frame is longer than allowed")

// Hello is the first frame of whoever connects.
type Hello struct {
	Form    uint8  `msgpack:"f"`
	Peer    bool   `msgpack:"p"` // an instance, which sends messages for this one; else a client
	Cluster uint64 `msgpack:"c"`
	ID      uint64 `msgpack:"i"`
	Address string `msgpack:"a"`
}

// Welcome answers a Hello.
type Welcome struct {
	Form    uint8  `msgpack:"f"`
	Error   string `msgpack:"e,omitempty"`
	Final   bool   `msgpack:"x,omitempty"` // no retry helps: the peer was removed, or is of another cluster
	Cluster uint64 `msgpack:"c"`
	Name    string `msgpack:"n"`
}

// Append adds a frame.
func Append(b []byte, kind Kind, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, byte(kind)), body...)
}

// AppendValue adds a frame with a msgpack body.
func AppendValue(b []byte, kind Kind, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return b, fmt.Errorf("store: encode frame: %w", err)
	}
	if len(body) > MaxSize {
		return b, ErrTooLong
	}
	return Append(b, kind, body), nil
}

// Write writes one frame with a msgpack body.
func Write(w io.Writer, kind Kind, v any) error {
	b, err := AppendValue(nil, kind, v)
	if err == nil {
		_, err = w.Write(b)
	}
	return err
}

// Read reads one frame with a body of at most maxSize bytes. The body is valid until the next call with the same buffer.
func Read(r io.Reader, buf []byte, maxSize int) (Kind, []byte, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > uint32(maxSize) {
		return 0, buf, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLong, size, maxSize)
	}
	body, err := readBody(r, buf[:0], int(size))
	if err != nil {
		return 0, body, err
	}
	return Kind(head[4]), body, nil
}

// readBody appends a number of bytes to the buffer, which grows as they arrive.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	for left := size; left > 0; {
		step := min(left, max(readStep, cap(buf)-len(buf)))
		at := len(buf)
		buf = slices.Grow(buf, step)[:at+step]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return buf, err
		}
		left -= step
	}
	return buf, nil
}

// DecodeValue reads a msgpack body.
func DecodeValue(body []byte, v any) error {
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("store: read frame: %w", err)
	}
	return nil
}

// AppendEnvelope adds a message between instances.
func AppendEnvelope(b []byte, e core.Envelope) ([]byte, error) {
	switch {
	case e.Chunk != nil:
		return AppendValue(b, ChunkKind, e.Chunk)
	case e.Ack != nil:
		return AppendValue(b, ChunkAckKind, e.Ack)
	}
	body, err := proto.Marshal(e.Raft)
	if err != nil {
		return b, fmt.Errorf("store: encode message: %w", err)
	}
	return Append(b, RaftKind, body), nil
}

// DecodeEnvelope reads a message between instances. It reports false for a kind that is none.
func DecodeEnvelope(kind Kind, body []byte, from, to uint64) (core.Envelope, bool, error) {
	e := core.Envelope{From: from, To: to}
	var err error
	switch kind {
	case RaftKind:
		e.Raft = &raftpb.Message{}
		err = proto.Unmarshal(body, e.Raft)
	case ChunkKind:
		e.Chunk = &core.SnapshotChunk{}
		err = DecodeValue(body, e.Chunk)
	case ChunkAckKind:
		e.Ack = &core.ChunkAck{}
		err = DecodeValue(body, e.Ack)
	default:
		return e, false, nil
	}
	return e, err == nil, err
}

// Request is a client's call.
type Request struct {
	ID      uint64           `msgpack:"i"`
	Op      string           `msgpack:"o"`
	Command *machine.Command `msgpack:"c,omitempty"`
	NS      string           `msgpack:"n,omitempty"`
	Key     string           `msgpack:"k,omitempty"`
	Limit   int              `msgpack:"l,omitempty"` // of keys, -1: all; or the revision to roll a document back to
	Stale   bool             `msgpack:"s,omitempty"`
	After   int64            `msgpack:"r,omitempty"` // a revision: of the state, or the base of a document's change
	NodeID  uint64           `msgpack:"d,omitempty"`
	Name    string           `msgpack:"m,omitempty"`
	Address string           `msgpack:"a,omitempty"`
	Token   string           `msgpack:"t,omitempty"` // by which an instance joins, or the note of a document's change
	Body    []byte           `msgpack:"b,omitempty"`
}

// The operations of a Request.
const (
	OpPropose  = "propose"
	OpRead     = "read" // a key, or with Limit not 0 a prefix
	OpWatch    = "watch"
	OpStatus   = "status"
	OpJoin     = "join"
	OpRemove   = "remove"
	OpTransfer = "transfer"
	OpBackup   = "backup"
	OpDocument = "document"
)

// Codes of a Response that a client acts on.
const (
	CodeOK             = ""
	CodeRetry          = "retry"   // nothing was done; another instance may know better
	CodeOutcomeUnknown = "unknown" // it may have been done: again under the same sequence number
	CodeRefused        = "refused" // not allowed, or not sensible
	CodeFailed         = "failed"
)

// Response answers a Request; with More set, others follow.
type Response struct {
	ID     uint64          `msgpack:"i"`
	Code   string          `msgpack:"c,omitempty"`
	Error  string          `msgpack:"e,omitempty"`
	Result machine.Result  `msgpack:"r"`
	Events []machine.Event `msgpack:"v,omitempty"`
	AgeMS  int64           `msgpack:"a,omitempty"` // how far behind the state may be; -1: not known
	More   bool            `msgpack:"m,omitempty"`
	Body   []byte          `msgpack:"b,omitempty"`
}
