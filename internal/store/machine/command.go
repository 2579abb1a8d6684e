package machine

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the newest format of commands that this build supports. Each command states the oldest format that a reader
// must support to apply it. A new field that older readers may ignore does not raise that format.
const Format = 1

// Kind is the kind of a command.
type Kind uint8

// The kinds of commands. Their numbers are part of the format.
const (
	TransactionKind  Kind = iota + 1 // compare, then one of two lists of operations
	OpenSessionKind                  // open a session; the result has its id
	GrantLeaseKind                   // grant a lease of Amount milliseconds; the result has its id
	KeepAliveKind                    // extend a lease by its full duration from now
	RevokeLeaseKind                  // end a lease now
	AdvanceClockKind                 // advance the logical clock by Amount milliseconds
	CompactKind                      // drop the events up to revision Amount
	RaiseFormatKind                  // raise the agreed format of commands to Amount
	lastKind         = RaiseFormatKind
)

// Command is one record of the replicated log. The short names in the log are part of the format.
type Command struct {
	Format    uint8     `msgpack:"v"`
	Kind      Kind      `msgpack:"k"`
	RequestID uint64    `msgpack:"r,omitempty"` // chosen by the proposing instance, to match the result with its proposal
	Session   uint64    `msgpack:"s,omitempty"` // 0: none; a command with the same Session and Seq is applied once
	Seq       uint64    `msgpack:"q,omitempty"` // increases with each command of a session
	If        []Compare `msgpack:"i,omitempty"` // the transaction's conditions, all of which must hold
	Then      []Op      `msgpack:"t,omitempty"` // executed if all conditions hold
	Else      []Op      `msgpack:"e,omitempty"` // executed otherwise
	Lease     uint64    `msgpack:"l,omitempty"` // to extend or revoke
	Amount    int64     `msgpack:"a,omitempty"` // milliseconds, a revision, or a format, depending on the kind
}

// Target is the property of a key that a comparison reads.
type Target uint8

// The targets of comparisons. Their numbers are part of the format.
const (
	Version  Target = iota // writes since the key was created; 0: it does not exist
	Modified               // revision of the last write; 0: the key does not exist
	Value                  // the key's value; does not hold for a key that does not exist
)

// Compare is a condition on a key. It holds if the target equals Number. The target Value is compared with the field
// Value instead.
type Compare struct {
	NS     string `msgpack:"n"`
	Key    string `msgpack:"k"`
	Target Target `msgpack:"t,omitempty"`
	Number int64  `msgpack:"i,omitempty"`
	Value  []byte `msgpack:"v,omitempty"`
}

// OpKind is the kind of an operation of a transaction.
type OpKind uint8

// The kinds of operations. Their numbers are part of the format.
const (
	Put OpKind = iota + 1
	Delete
	Get
	List   // keys with a prefix
	lastOp = List
)

// Writes reports whether the operation changes a key. The zero kind is invalid and never applied; it counts as a write,
// so that the permission checks for writes cover it too.
func (k OpKind) Writes() bool { return k <= Delete }

// Op is one operation. A key that is written with a lease is deleted when the lease ends.
type Op struct {
	Kind  OpKind `msgpack:"o"`
	NS    string `msgpack:"n"`
	Key   string `msgpack:"k"` // List: the prefix
	Value []byte `msgpack:"v,omitempty"`
	Lease uint64 `msgpack:"l,omitempty"`
	Limit int    `msgpack:"m,omitempty"` // List: at most this many keys; 0: all
}

// KV is a key with its value and its versions.
type KV struct {
	NS       string `msgpack:"n" json:"namespace"`
	Key      string `msgpack:"k" json:"key"`
	Value    []byte `msgpack:"v" json:"value"`
	Created  int64  `msgpack:"c" json:"created"`  // revision that created it
	Modified int64  `msgpack:"m" json:"modified"` // revision of the last write
	Version  int64  `msgpack:"w" json:"version"`  // writes since it was created
	Lease    uint64 `msgpack:"l,omitempty" json:"lease,omitempty"`
}

// Event is one change of one key.
type Event struct {
	Revision int64 `msgpack:"r" json:"revision"`
	Deleted  bool  `msgpack:"d,omitempty" json:"deleted,omitempty"`
	KV       *KV   `msgpack:"k" json:"kv"` // the key after a Put, or before a Delete
}

// Code is the reason why a command had no effect. It is the same at every instance.
type Code uint8

// The codes of results. Their numbers are part of the format.
const (
	OK                Code = iota
	NoSession              // unknown session: never opened, or dropped because there were too many
	OldSeq                 // a later command of the session was already applied
	NoLease                // unknown lease: never granted, or ended
	Malformed              // an unknown operation, or an invalid name
	RevisionCompacted      // the revision is one that was compacted already
	BadAmount              // a time, revision or format out of bounds
	LeaseNotAllowed        // a lease in an operation other than Put
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
	Holds    bool   `msgpack:"h,omitempty"` // all conditions held
	Revision int64  `msgpack:"r"`           // after the command
	ID       uint64 `msgpack:"i,omitempty"` // of a session or lease
	KVs      []KV   `msgpack:"k,omitempty"` // found by Get and List, in their order
}

// ErrUnknownRecord is the error for a record that this build cannot decode. An instance that skipped the record would
// have another state than the other instances, so it must stop applying commands instead.
var ErrUnknownRecord = errors.New("store: a record that this build does not support")

// Encode encodes a command for the log. It sets the format of a command that has none.
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

// Decode decodes a command. The error wraps ErrUnknownRecord if the command cannot be decoded, has a newer format than
// the given one, or has an unknown kind.
func Decode(data []byte, format uint8) (*Command, error) {
	var command Command
	if err := msgpack.Unmarshal(data, &command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownRecord, err)
	}
	knownFormat := command.Format != 0 && command.Format <= format
	knownKind := command.Kind != 0 && command.Kind <= lastKind
	if !knownFormat || !knownKind {
		return nil, fmt.Errorf("%w: command of format %d (supported: 1 to %d) and kind %d", ErrUnknownRecord, command.Format, format, command.Kind)
	}
	return &command, nil
}
