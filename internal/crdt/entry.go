// Package replica is what the gateways of a fleet know together: a small map of entries that each holds whole, merges from
// whatever reaches it, in any order and any number of times, and catches up on when it was away.
//
// The merge of two entries of one key is the greater of them by a total order, so it is commutative, associative and
// idempotent whatever the kind (a join); the kinds differ in their order. Entries are worth something for a stated time
// after the evidence that they rest on and are dropped then, by everybody for itself: so nothing has to be taken back
// over dead links, and memory is bounded. Nothing here does I/O, reads a clock or starts anything.
package crdt

import (
	"bytes"
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is what an entry is about; the numbers are on the wire.
type Kind uint8

// MergeRule is the order of a kind's entries.
type MergeRule uint8

const (
	// LastWriterWins is for what one writer says of itself: the later incarnation, then the later sequence.
	LastWriterWins MergeRule = iota
	// MaxValue is for numbers that only rise, whoever says them, such as positions: the value, of 8 bytes, is compared.
	MaxValue
	// HighestEpoch is for what was agreed on: the sequence is the epoch. Of two that were proposed at once for one epoch the
	// lesser value is taken; what proposes has to lay values out so that the more careful one is less.
	HighestEpoch
)

// KindConfig describes a kind.
type KindConfig struct {
	Name         string
	Rule         MergeRule
	TTL          int64 // how long after its stamp an entry counts, in microseconds
	MaxValueSize int   // bytes of a value
}

// Key names an entry. Of kinds that are about one truth, whoever says it, Origin is empty.
type Key struct {
	Kind   Kind
	Name   string
	Origin string
}

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name), cmp.Compare(k.Origin, o.Origin))
}

// Entry is one piece of knowledge. One that is dead says that there is none any more.
type Entry struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // the form on the wire
	Kind        Kind
	Name        string
	Origin      string
	Incarnation uint64 // of the origin's process: it rises with each start
	Sequence    uint64
	Timestamp   int64 // when the evidence was taken; microseconds since 1970
	Deleted     bool
	Value       []byte
}

// Key is the entry's.
func (e *Entry) Key() Key { return Key{e.Kind, e.Name, e.Origin} }

// numericValue is the value as a number that only rises.
func (e *Entry) numericValue() uint64 {
	if len(e.Value) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(e.Value)
}

// compare orders two entries of one key: above 0 if e is the one to keep. It is total: 0 is for equal entries alone.
func compare(rule MergeRule, e, o *Entry) int {
	var first int
	switch rule {
	case LastWriterWins:
		first = cmp.Or(cmp.Compare(e.Incarnation, o.Incarnation), cmp.Compare(e.Sequence, o.Sequence))
	case MaxValue:
		first = cmp.Compare(e.numericValue(), o.numericValue())
	case HighestEpoch:
		first = cmp.Or(cmp.Compare(e.Sequence, o.Sequence), bytes.Compare(o.Value, e.Value))
	}
	// The rest makes it total. Two writers under one name, or a spoilt copy, may bring what differs there alone.
	return cmp.Or(first, cmp.Compare(e.Timestamp, o.Timestamp), deletedOrder(e)-deletedOrder(o), cmp.Compare(e.Incarnation, o.Incarnation),
		cmp.Compare(e.Sequence, o.Sequence), bytes.Compare(e.Value, o.Value))
}

func deletedOrder(e *Entry) int {
	if e.Deleted {
		return 1
	}
	return 0
}

// hash stands for an entry in digests.
func (e *Entry) hash() uint64 {
	d := xxhash.New()
	var b [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	number(e.Key().hash())
	number(e.Incarnation)
	number(e.Sequence)
	number(uint64(e.Timestamp))
	number(uint64(deletedOrder(e)))
	_, _ = d.Write(e.Value)
	return d.Sum64()
}

func (k Key) hash() uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{byte(k.Kind), byte(len(k.Name))})
	_, _ = d.WriteString(k.Name)
	_, _ = d.WriteString(k.Origin)
	return d.Sum64()
}
