// Package frame defines the wire format of the store's connections: a length of 4 bytes (big endian), a kind of 1 byte, and
// a body. Memory is allocated as bytes arrive, and not by the announced length, so that a peer cannot exhaust it cheaply.
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
	readStep = 64 << 10 // smallest number of bytes by which the buffer grows while a body arrives
)

// Kind is the kind of a frame. Readers ignore unknown kinds, which a newer version of the program may send.
type Kind byte

// The kinds of frames, each with the type of its body.
const (
	HelloKind    Kind = 'h' // Hello
	WelcomeKind  Kind = 'w' // Welcome
	RaftKind     Kind = 'r' // raftpb.Message, as protobuf
	ChunkKind    Kind = 'p' // core.SnapshotChunk
	ChunkAckKind Kind = 'g' // core.ChunkAck
	RequestKind  Kind = 'q' // Request
	ResponseKind Kind = 'a' // Response
)

// ErrTooLong is the error for a frame whose body is longer than allowed.
var ErrTooLong = errors.New("store: a frame is longer than allowed")

// Hello is the first frame on a connection, sent by the end that dialed.
type Hello struct {
	Format  uint8  `msgpack:"f"` // format version
	Peer    bool   `msgpack:"p"` // true: an instance that will send messages; false: a client
	Cluster uint64 `msgpack:"c"`
	ID      uint64 `msgpack:"i"` // of a peer
	Address string `msgpack:"a"` // HOST:PORT at which a peer is reachable
}

// Welcome answers a Hello.
type Welcome struct {
	Format  uint8  `msgpack:"f"`           // format version
	Error   string `msgpack:"e,omitempty"` // why a peer is refused; empty: it is accepted
	Final   bool   `msgpack:"x,omitempty"` // a retry cannot succeed: the peer was removed, or is of another cluster
	Cluster uint64 `msgpack:"c"`
	Name    string `msgpack:"n"`
}

// Append appends a frame to b.
func Append(b []byte, kind Kind, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, byte(kind)), body...)
}

// AppendValue appends a frame with a msgpack body to b. The error is ErrTooLong for a body of more than MaxSize bytes.
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

// Read reads one frame with a body of at most maxSize bytes; for a longer one the error wraps ErrTooLong. The body reuses
// buf if that is large enough, and is then valid until the next call with the same buffer.
func Read(r io.Reader, buf []byte, maxSize int) (Kind, []byte, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > uint32(maxSize) {
		return 0, buf, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrTooLong, size, maxSize)
	}
	body, err := readBody(r, buf[:0], int(size))
	if err != nil {
		return 0, body, err
	}
	return Kind(head[4]), body, nil
}

// readBody appends size bytes to the buffer, which grows as the bytes arrive.
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

// DecodeValue decodes a msgpack body into v.
func DecodeValue(body []byte, v any) error {
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("store: decode frame: %w", err)
	}
	return nil
}

// AppendEnvelope appends the frame of a message between instances to b.
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

// DecodeEnvelope decodes a message between instances. It reports false if the frame is of another kind.
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

// Request is a client's call. Op determines which other fields are used.
type Request struct {
	ID      uint64           `msgpack:"i"` // unique on the connection
	Op      string           `msgpack:"o"`
	Command *machine.Command `msgpack:"c,omitempty"`
	NS      string           `msgpack:"n,omitempty"`
	Key     string           `msgpack:"k,omitempty"`
	Limit   int              `msgpack:"l,omitempty"` // maximum number of keys, -1: all; or the revision to roll a document back to
	Stale   bool             `msgpack:"s,omitempty"` // read the local state of the instance
	After   int64            `msgpack:"r,omitempty"` // revision of the state, or revision on which a document's change is based
	NodeID  uint64           `msgpack:"d,omitempty"`
	Name    string           `msgpack:"m,omitempty"`
	Address string           `msgpack:"a,omitempty"`
	Token   string           `msgpack:"t,omitempty"` // join token of an instance, or the note of a document's change
	Body    []byte           `msgpack:"b,omitempty"`
}

// The operations of a Request.
const (
	OpPropose  = "propose"
	OpRead     = "read" // a key; if Limit is not 0, the keys with a prefix
	OpWatch    = "watch"
	OpStatus   = "status"
	OpJoin     = "join"
	OpRemove   = "remove"
	OpTransfer = "transfer"
	OpBackup   = "backup"
	OpDocument = "document"
)

// The codes of a Response, which tell a client whether to retry.
const (
	CodeOK             = ""
	CodeRetry          = "retry"   // nothing was done; retry at another instance
	CodeOutcomeUnknown = "unknown" // it may have been done: retry only with the same sequence number
	CodeRefused        = "refused" // not allowed or invalid; a retry cannot succeed
	CodeFailed         = "failed"
)

// Response answers a Request. With More set, further responses to the same request follow.
type Response struct {
	ID          uint64          `msgpack:"i"` // of the request
	Code        string          `msgpack:"c,omitempty"`
	Error       string          `msgpack:"e,omitempty"`
	Result      machine.Result  `msgpack:"r"`
	Events      []machine.Event `msgpack:"v,omitempty"`
	StalenessMS int64           `msgpack:"a,omitempty"` // upper bound on how far the state is behind; -1: unknown
	More        bool            `msgpack:"m,omitempty"`
	Body        []byte          `msgpack:"b,omitempty"`
}
