// Package crdt is a small replicated map (a state-based CRDT) that the gateways of a fleet share. Each gateway holds
// all entries, merges what it receives in any order and any number of times, and catches up by anti-entropy rounds
// after it was disconnected.
//
// Of two entries with one key, the merge keeps the greater by a total order. It is therefore commutative, associative
// and idempotent for each kind of entry; kinds differ in their order (MergeRule). Each gateway drops an entry by itself
// when the entry's time to live, counted from its timestamp, has passed: nothing has to be retracted over broken links,
// and memory is bounded. The package does no I/O, reads no clock and starts no goroutine.
//
// See Shapiro, Preguiça, Baquero, Zawirski: Conflict-free Replicated Data Types (2011).
package crdt

import (
	"bytes"
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of an entry; the numbers are on the wire.
type Kind uint8

// MergeRule is the total order that decides which of two entries of one key is kept.
type MergeRule uint8

const (
	// LastWriterWins is for entries with a single writer. The later incarnation wins, then the later sequence.
	LastWriterWins MergeRule = iota
	// MaxValue is for numbers with any number of writers that only increase, such as positions. The value is a
	// big-endian number of 8 bytes.
	MaxValue
	// HighestEpoch is for agreed values. The sequence is the epoch, and the higher epoch wins. Of two values proposed for
	// one epoch the lesser is kept, so values must be encoded such that the safer one is less.
	HighestEpoch
)

// KindConfig describes a kind.
type KindConfig struct {
	Name         string
	Rule         MergeRule
	TTL          int64 // microseconds from its timestamp until an entry is dropped
	MaxValueSize int   // bytes
}

// Key names an entry. Origin is empty for kinds without a single writer.
type Key struct {
	Kind   Kind
	Name   string
	Origin string
}

// Compare orders keys.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name), cmp.Compare(k.Origin, other.Origin))
}

// Entry is one replicated value, or a tombstone.
type Entry struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // makes the encoder write an array
	Kind        Kind
	Name        string
	Origin      string
	Incarnation uint64 // of the origin's process; increases with each start
	Sequence    uint64
	Timestamp   int64 // when what the entry states was observed; microseconds since 1970
	Deleted     bool  // a tombstone
	Value       []byte
}

// Key returns the entry's key.
func (e *Entry) Key() Key { return Key{e.Kind, e.Name, e.Origin} }

// numericSize is the size of the value of a MaxValue entry, in bytes.
const numericSize = 8

// numericValue returns the value of a MaxValue entry; 0 if it is malformed.
func (e *Entry) numericValue() uint64 {
	if len(e.Value) != numericSize {
		return 0
	}
	return binary.BigEndian.Uint64(e.Value)
}

// compare orders two entries of one key: above 0 if e is the one to keep. The order is total: only equal entries give 0.
func compare(rule MergeRule, e, other *Entry) int {
	var byRule int
	switch rule {
	case LastWriterWins:
		byRule = cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence))
	case MaxValue:
		byRule = cmp.Compare(e.numericValue(), other.numericValue())
	case HighestEpoch:
		byRule = cmp.Or(cmp.Compare(e.Sequence, other.Sequence), bytes.Compare(other.Value, e.Value))
	}
	// The rest makes the order total, for entries of conflicting writers under one name and for corrupted copies.
	return cmp.Or(byRule,
		cmp.Compare(e.Timestamp, other.Timestamp),
		deletedOrder(e)-deletedOrder(other),
		cmp.Compare(e.Incarnation, other.Incarnation),
		cmp.Compare(e.Sequence, other.Sequence),
		bytes.Compare(e.Value, other.Value))
}

// deletedOrder makes a tombstone win over an otherwise equal entry.
func deletedOrder(e *Entry) int {
	if e.Deleted {
		return 1
	}
	return 0
}

// hash returns the hash of an entry in digests. It is part of the protocol and must not change.
func (e *Entry) hash() uint64 {
	digest := xxhash.New()
	var buf [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = digest.Write(buf[:]) // never fails
	}
	writeNumber(e.Key().hash())
	writeNumber(e.Incarnation)
	writeNumber(e.Sequence)
	writeNumber(uint64(e.Timestamp))
	writeNumber(uint64(deletedOrder(e)))
	_, _ = digest.Write(e.Value)
	return digest.Sum64()
}

// hash returns the hash that decides a key's bucket. It is part of the protocol and must not change.
func (k Key) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.Write([]byte{byte(k.Kind), byte(len(k.Name))}) // writing to it never fails
	_, _ = digest.WriteString(k.Name)
	_, _ = digest.WriteString(k.Origin)
	return digest.Sum64()
}
