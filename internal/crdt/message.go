package crdt

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// maxMessageSize bounds the entries of one message; what is left goes in the next ones.
const maxMessageSize = 32 << 10

// Message is what gateways send one another to become alike. A round is begun with Ask by whoever wants to hear what it
// lacks: the first level of its digest; the answer has the second level of what differs; then both send the entries of the
// buckets that still differ. Each message stands for itself: one that is lost, late or doubled does no harm.
type Message struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // the form on the wire
	GroupDigests    []uint64 // the first level, of a round's first message
	DifferingGroups []int    // the groups that differ
	BucketDigests   []uint64 // and their second level, one after the other
	WantedBuckets   []int    // buckets of which the entries are wanted, by group x 16 + bucket
	Entries         []Entry
	Identical       bool // the answer to a first message that found no difference
	Final           bool // the last of what was wanted: whoever began the round has caught up
	Round           uint64
}

// MessageError is a message that cannot be read.
type MessageError struct {
	From string
	Err  error
}

func (e *MessageError) Error() string { return fmt.Sprintf("message of %s: %v", e.From, e.Err) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// Remedy says what an operator can do.
func (e *MessageError) Remedy() string {
	return "see that all gateways run versions that can speak to one another, and that nothing else sends to this address"
}

// Encode is a message's form on the wire.
func Encode(m *Message) ([]byte, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return b, nil
}

// Decode reads a message.
func Decode(from string, b []byte) (*Message, error) {
	m := &Message{}
	if err := msgpack.Unmarshal(b, m); err != nil {
		return nil, &MessageError{from, err}
	}
	if len(m.GroupDigests) != 0 && len(m.GroupDigests) != digestGroups || len(m.BucketDigests) != bucketsPerGroup*len(m.DifferingGroups) {
		return nil, &MessageError{from, fmt.Errorf("a digest of %d and %d parts", len(m.GroupDigests), len(m.BucketDigests))}
	}
	return m, nil
}

// StartRound begins a round.
func (s *State) StartRound(round uint64) *Message {
	m := &Message{Round: round}
	for g := range digestGroups {
		m.GroupDigests = append(m.GroupDigests, s.groupDigest(g))
	}
	return m
}

func (s *State) groupDigest(g int) (sum uint64) {
	for b, h := range s.digest[g] {
		sum ^= (h + uint64(b) + 1) * 0x9e3779b97f4a7c15 // its place counts, else two that were swapped would cancel out
	}
	return sum
}

// Receive takes a message in, and returns what to answer and which entries changed what is known.
func (s *State) Receive(now int64, m *Message) (answers []*Message, changed []Entry) {
	s.counts.Messages++
	changed = s.Merge(now, m.Entries...)
	if m.Identical || m.Final {
		s.caughtUpRound = max(s.caughtUpRound, m.Round)
	}
	if len(m.GroupDigests) == digestGroups {
		a := &Message{Round: m.Round}
		for g, h := range m.GroupDigests {
			if h != s.groupDigest(g) {
				a.DifferingGroups = append(a.DifferingGroups, g)
				a.BucketDigests = append(a.BucketDigests, s.digest[g][:]...)
			}
		}
		a.Identical = len(a.DifferingGroups) == 0
		answers = append(answers, a)
	}
	var want, give []int
	for i, g := range m.DifferingGroups {
		if g < 0 || g >= digestGroups {
			continue
		}
		for b := range bucketsPerGroup {
			if h := m.BucketDigests[i*bucketsPerGroup+b]; h != s.digest[g][b] {
				give = append(give, g*bucketsPerGroup+b)
				if h != 0 {
					want = append(want, g*bucketsPerGroup+b)
				}
			}
		}
	}
	if len(m.DifferingGroups) > 0 {
		answers = append(answers, s.collectEntries(give, want, m.Round)...)
		if len(want) == 0 {
			s.caughtUpRound = max(s.caughtUpRound, m.Round)
		}
	}
	if len(m.WantedBuckets) > 0 {
		answers = append(answers, s.collectEntries(m.WantedBuckets, nil, m.Round)...)
		answers[len(answers)-1].Final = true
	}
	return answers, changed
}

// CaughtUpRound is the latest round of this gateway's own after which it knew all that the other did.
func (s *State) CaughtUpRound() uint64 { return s.caughtUpRound }

// collectEntries puts the entries of buckets into messages; the last asks for what is wanted.
func (s *State) collectEntries(give, want []int, round uint64) []*Message {
	wanted := map[int]bool{}
	for _, i := range give {
		wanted[i] = true
	}
	m, size := &Message{Round: round}, 0
	all := []*Message{m}
	if len(give) > 0 {
		s.entries.Scan(func(_ string, e *Entry) bool {
			if g, b := s.bucketOf(e.Key()); wanted[g*bucketsPerGroup+b] {
				if n := len(e.Name) + len(e.Origin) + len(e.Value) + 32; size+n > maxMessageSize {
					m, size = &Message{Round: round}, n
					all = append(all, m)
				} else {
					size += n
				}
				m.Entries = append(m.Entries, *e)
			}
			return true
		})
	}
	m.WantedBuckets = want
	return all
}
