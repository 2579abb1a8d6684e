package machine

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the newest form of commands that this build understands. A command says in V which form a reader must
// know; fields that an older reader may pass over do not raise it.
const Format = 1

// Kind names what a command does.
type Kind uint8

const (
	TxnKind     Kind = iota + 1 // compare, then one of two lists of operations
	OpenKind                    // open a session; its id is the result's
	GrantKind                   // grant a lease of TTL; its id is the result's
	KeepKind                    // start a lease's time anew
	RevokeKind                  // end a lease now
	ClockKind                   // the logical clock goes on by Delta
	CompactKind                 // forget events up to a revision
	RaiseKind                   // raise the agreed form of commands
	lastKind    = RaiseKind
)

// Command is one record of the replicated log. Short names keep the log small; they are part of the format.
type Command struct {
	V       uint8     `msgpack:"v"`
	Kind    Kind      `msgpack:"k"`
	Request uint64    `msgpack:"r,omitempty"` // the proposer's own mark, by which it finds its answer
	Session uint64    `msgpack:"s,omitempty"` // with Seq: the same pair is applied once
	Seq     uint64    `msgpack:"q,omitempty"`
	If      []Compare `msgpack:"i,omitempty"`
	Then    []Op      `msgpack:"t,omitempty"`
	Else    []Op      `msgpack:"e,omitempty"`
	Lease   uint64    `msgpack:"l,omitempty"`
	Amount  int64     `msgpack:"a,omitempty"` // TTL or Delta in milliseconds, a revision, or a format
}

// Target is what a comparison looks at.
type Target uint8

const (
	Version  Target = iota // times the key was written since it came to be; 0: it does not exist
	Modified               // revision of the last write
	Value
)

// Compare holds if what it looks at equals what it names.
type Compare struct {
	NS     string `msgpack:"n"`
	Key    string `msgpack:"k"`
	Target Target `msgpack:"t,omitempty"`
	Number int64  `msgpack:"i,omitempty"`
	Value  []byte `msgpack:"v,omitempty"`
}

// OpKind names an operation of a transaction.
type OpKind uint8

const (
	Put OpKind = iota + 1
	Delete
	Get
	List   // keys with a prefix
	lastOp = List
)

// Writes reports whether the operation changes a key. The zero kind counts as one that does, so that what guards
// writes guards it too; it is never applied.
func (k OpKind) Writes() bool { return k <= Delete }

// Op is one operation. A Put with a lease ends with the lease.
type Op struct {
	Kind  OpKind `msgpack:"o"`
	NS    string `msgpack:"n"`
	Key   string `msgpack:"k"` // List: the prefix
	Value []byte `msgpack:"v,omitempty"`
	Lease uint64 `msgpack:"l,omitempty"`
	Limit int    `msgpack:"m,omitempty"` // List: at most so many; 0: all
}

// KV is a key with its value and history in numbers.
type KV struct {
	NS       string `msgpack:"n" json:"namespace"`
	Key      string `msgpack:"k" json:"key"`
	Value    []byte `msgpack:"v" json:"value"`
	Created  int64  `msgpack:"c" json:"created"`  // revision that made it
	Modified int64  `msgpack:"m" json:"modified"` // revision that wrote it last
	Version  int64  `msgpack:"w" json:"version"`  // writes since it was made
	Lease    uint64 `msgpack:"l,omitempty" json:"lease,omitempty"`
}

// Event is one change of one key.
type Event struct {
	Revision int64 `msgpack:"r" json:"revision"`
	Deleted  bool  `msgpack:"d,omitempty" json:"deleted,omitempty"`
	KV       *KV   `msgpack:"k" json:"kv"` // after a Put, or before a Delete
}

// Code says why a command did nothing. It is the same on every instance.
type Code uint8

const (
	OK           Code = iota
	NoSession         // the session is not known: never opened, or dropped for room
	OldSeq            // a later command of the session was applied already
	NoLease           // the lease has ended
	Malformed         // an operation that is not known
	IsCompacted       // the revision was compacted
	BadAmount         // a time, revision or format out of bounds
	BadLeaseName      // a lease that a command may not name
)

var codes = [...]string{"ok", "unknown session", "an old sequence number", "unknown lease", "malformed command",
	"revision was compacted", "amount out of bounds", "lease not allowed here"}

func (c Code) String() string {
	if int(c) < len(codes) {
		return codes[c]
	}
	return fmt.Sprintf("code %d", uint8(c))
}

// Result is what a command came to.
type Result struct {
	Code     Code   `msgpack:"c,omitempty"`
	Holds    bool   `msgpack:"h,omitempty"` // the comparisons held
	Revision int64  `msgpack:"r"`           // after the command
	ID       uint64 `msgpack:"i,omitempty"` // of a session or lease
	KVs      []KV   `msgpack:"k,omitempty"` // found by Get and List, in their order
}

// ErrUnknown says that a record cannot be applied by this build. Passing over it would make this instance's
// state another than the others', so it stops applying instead.
var ErrUnknown = errors.New("store: a record that this build does not know")

// Encode gives a command its form in the log.
func Encode(c *Command) ([]byte, error) {
	if c.V == 0 {
		c.V = 1
	}
	b, err := msgpack.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("store: encode command: %w", err)
	}
	return b, nil
}

// Decode reads a command. What a newer build made is told by ErrUnknown.
func Decode(b []byte, format uint8) (*Command, error) {
	var c Command
	if err := msgpack.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if c.V == 0 || c.V > format || c.Kind == 0 || c.Kind > lastKind {
		return nil, fmt.Errorf("%w: form %d (this build: %d), kind %d", ErrUnknown, c.V, format, c.Kind)
	}
	return &c, nil
}
