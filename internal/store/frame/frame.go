// Package frame is what goes over a store's connections: a length, a kind, and a body. A length is believed only as
// far as bytes come, so that a peer that claims much costs no more than it sends.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

// Max bounds a frame's body.
const Max = 16 << 20

// Kind of a frame. An unknown kind is passed over: a newer build may say more than an older one takes.
type Kind byte

const (
	HelloKind    Kind = 'h'
	WelcomeKind  Kind = 'w'
	RaftKind     Kind = 'r'
	ChunkKind    Kind = 'p'
	ChunkAckKind Kind = 'g'
	RequestKind  Kind = 'q'
	ResponseKind Kind = 'a'
)

// ErrTooLong says that a frame claims more than Max.
var ErrTooLong = errors.New("store: a frame is longer than allowed")

// Hello is the first frame of whoever connects.
type Hello struct {
	Form    uint8  `msgpack:"f"`
	Peer    bool   `msgpack:"p"` // an instance that will send what it has for this one; else a client
	Cluster uint64 `msgpack:"c"`
	ID      uint64 `msgpack:"i"`
	Address string `msgpack:"a"`
}

// Welcome answers it.
type Welcome struct {
	Form    uint8  `msgpack:"f"`
	Error   string `msgpack:"e,omitempty"`
	Final   bool   `msgpack:"x,omitempty"` // the error will not go away: removed, another cluster
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
	if len(body) > Max {
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

// Read reads one frame. The body is valid until the next call with the same buffer.
func Read(r io.Reader, buf []byte, most int) (Kind, []byte, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buf, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n > uint32(most) {
		return 0, buf, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLong, n, most)
	}
	buf = buf[:0]
	for left := int(n); left > 0; { // room grows with what has come
		step := min(left, max(64<<10, cap(buf)-len(buf)))
		at := len(buf)
		for cap(buf) < at+step {
			buf = append(buf[:cap(buf)], 0)
		}
		buf = buf[:at+step]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return 0, buf, err
		}
		left -= step
	}
	return Kind(head[4]), buf, nil
}

// Value reads a msgpack body.
func Value(body []byte, v any) error {
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

// Envelope reads one back. It reports false for a kind that is not one.
func Envelope(kind Kind, body []byte, from, to uint64) (core.Envelope, bool, error) {
	e := core.Envelope{From: from, To: to}
	var err error
	switch kind {
	case RaftKind:
		e.Raft = &raftpb.Message{}
		err = proto.Unmarshal(body, e.Raft)
	case ChunkKind:
		e.Chunk = &core.SnapshotChunk{}
		err = Value(body, e.Chunk)
	case ChunkAckKind:
		e.Ack = &core.ChunkAck{}
		err = Value(body, e.Ack)
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
	Limit   int              `msgpack:"l,omitempty"`
	Stale   bool             `msgpack:"s,omitempty"`
	After   int64            `msgpack:"r,omitempty"`
	Node    uint64           `msgpack:"d,omitempty"`
	Name    string           `msgpack:"m,omitempty"`
	Address string           `msgpack:"a,omitempty"`
	Token   string           `msgpack:"t,omitempty"`
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
	CodeOK      = ""
	CodeRetry   = "retry"   // nothing was done; another instance may know better
	CodeUnknown = "unknown" // it may have been done: again under the same sequence number
	CodeRefused = "refused" // not allowed, or not sensible
	CodeFailed  = "failed"
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
