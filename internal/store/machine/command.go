package machine

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the newest format of commands that this build understands. A command says which format a reader must
// know; fields that an older reader may ignore do not raise it.
const Format = 1

// Kind names what a command does.
type Kind uint8

// The kinds of commands. Their numbers are part of the format.
const (
	TransactionKind  Kind = iota + 1 // compare, then one of two lists of operations
	OpenSessionKind                  // open a session; its id is the result's
	GrantLeaseKind                   // grant a lease of Amount milliseconds; its id is the result's
	KeepAliveKind                    // restart the time of a lease
	RevokeLeaseKind                  // end a lease now
	AdvanceClockKind                 // advance the logical clock by Amount milliseconds
	CompactKind                      // forget events up to a revision
	RaiseFormatKind                  // raise the agreed format of commands
	lastKind         = RaiseFormatKind
)

// Command is one record of the replicated log. The short names in the log are part of the format.
type Command struct {
	Format    uint8     `msgpack:"v"`
	Kind      Kind      `msgpack:"k"`
	RequestID uint64    `msgpack:"r,omitempty"` // the proposer's own number, by which it finds its answer
	Session   uint64    `msgpack:"s,omitempty"` // with Seq: the same pair is applied once
	Seq       uint64    `msgpack:"q,omitempty"`
	If        []Compare `msgpack:"i,omitempty"`
	Then      []Op      `msgpack:"t,omitempty"`
	Else      []Op      `msgpack:"e,omitempty"`
	Lease     uint64    `msgpack:"l,omitempty"`
	Amount    int64     `msgpack:"a,omitempty"` // milliseconds, a revision, or a format, by the kind
}

// Target is what a comparison looks at.
type Target uint8

// The targets of comparisons. Their numbers are part of the format.
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

// The kinds of operations. Their numbers are part of the format.
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

// KV is a key with its value and its versions.
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
	KV       *KV   `msgpack:"k" json:"kv"` // as it is after a Put, or was before a Delete
}

// Code says why a command did nothing. It is the same at every instance.
type Code uint8

// The codes of results. Their numbers are part of the format.
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

// Result is the outcome of a command.
type Result struct {
	Code     Code   `msgpack:"c,omitempty"`
	Holds    bool   `msgpack:"h,omitempty"` // the comparisons held
	Revision int64  `msgpack:"r"`           // after the command
	ID       uint64 `msgpack:"i,omitempty"` // of a session or lease
	KVs      []KV   `msgpack:"k,omitempty"` // found by Get and List, in their order
}

// ErrUnknownRecord says that a record cannot be applied by this build. Passing over it would make this instance's
// state another than the others', so it stops applying instead.
var ErrUnknownRecord = errors.New("store: a record that this build does not know")

// Encode gives a command its form in the log.
func Encode(command *Command) ([]byte, error) {
	if command.Format == 0 {
		command.Format = 1
	}
	data, err := msgpack.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("store: encode command: %w", err)
	}
	return data, nil
}

// Decode reads a command. One of a newer build than the format's is reported as ErrUnknownRecord.
func Decode(data []byte, format uint8) (*Command, error) {
	var command Command
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownRecord, err)
	}
	knownFormat := command.Format != 0 && command.Format <= format
	knownKind := command.Kind != 0 && command.Kind <= lastKind
	if !knownFormat || !knownKind {
		return nil, fmt.Errorf("%w: form %d (this build: %d), kind %d", ErrUnknownRecord, command.Format, format, command.Kind)
	}
	return &command, nil
}
