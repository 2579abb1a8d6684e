package crdt

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Message is a message of an anti-entropy round, or a broadcast of single entries. In a round the gateway that starts
// it sends the hashes of its digest groups. The answer has the bucket hashes of the groups that differ. Then both send
// the entries of the buckets that still differ. Each message is self-contained: lost, late and duplicated ones are
// harmless.
type Message struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // makes the encoder write an array
	GroupDigests    []uint64 // first message of a round: a hash for each group
	DifferingGroups []int    // numbers of the groups that differ
	BucketDigests   []uint64 // their bucket hashes, group after group
	WantedBuckets   []int    // requests the entries of buckets, each numbered group x bucketsPerGroup + bucket
	Entries         []Entry
	Identical       bool // answer to a first message: no group differs
	Final           bool // last message with wanted entries: the member that started the round has caught up
	Round           uint64
}

// MessageError reports a message that can't be decoded.
type MessageError struct {
	From string
	Err  error
}

func (e *MessageError) Error() string { return fmt.Sprintf("message from %s: %v", e.From, e.Err) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *MessageError) Remedy() string {
	return "check that all gateways run compatible versions, and that nothing else sends to this address"
}

// Encode returns a message's bytes on the wire.
func Encode(m *Message) ([]byte, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("crdt: encode message: %w", err)
	}
	return b, nil
}

// Decode decodes a message of a member. Its error is a *MessageError.
func Decode(from string, b []byte) (*Message, error) {
	m := &Message{}
	if err := msgpack.Unmarshal(b, m); err != nil {
		return nil, &MessageError{from, err}
	}
	hasGroups := len(m.GroupDigests) == 0 || len(m.GroupDigests) == digestGroups
	hasBuckets := len(m.BucketDigests) == bucketsPerGroup*len(m.DifferingGroups)
	if !hasGroups || !hasBuckets {
		return nil, &MessageError{from, fmt.Errorf("%d group digests and %d bucket digests do not match the numbers of groups and buckets", len(m.GroupDigests), len(m.BucketDigests))}
	}
	return m, nil
}
