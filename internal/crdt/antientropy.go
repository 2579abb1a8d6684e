package crdt

// maxMessageSize is the approximate size of the entries in one message, in bytes; more entries take more messages.
const maxMessageSize = 32 << 10

// entryHeaderSize is the approximate size of an encoded entry without its strings, in bytes.
const entryHeaderSize = 32

// StartRound returns the first message of an anti-entropy round, to be sent to any other member.
func (s *State) StartRound(round uint64) *Message {
	m := &Message{Round: round}
	for group := range digestGroups {
		m.GroupDigests = append(m.GroupDigests, s.groupDigest(group))
	}
	return m
}

// groupDigest returns the hash of a group's buckets. It includes the index of each bucket, since otherwise two swapped
// buckets would give the same hash.
func (s *State) groupDigest(group int) (sum uint64) {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / phi, the multiplier of Fibonacci hashing
	for bucket, hash := range s.digest[group] {
		sum ^= (hash + uint64(bucket) + 1) * goldenRatio
	}
	return sum
}

// Receive applies a message. It returns the answers to its sender, and the entries that changed the state.
func (s *State) Receive(now int64, m *Message) (answers []*Message, changed []Entry) {
	s.counts.Messages++
	changed = s.Merge(now, m.Entries...)
	if m.Identical || m.Final {
		s.recordCaughtUp(m.Round)
	}
	if len(m.GroupDigests) == digestGroups {
		answers = append(answers, s.compareGroups(m))
	}
	if len(m.DifferingGroups) > 0 {
		answers = append(answers, s.compareBuckets(m)...)
	}
	if len(m.WantedBuckets) > 0 {
		answers = append(answers, s.collectEntries(m.WantedBuckets, nil, m.Round)...)
		answers[len(answers)-1].Final = true
	}
	return answers, changed
}

// CaughtUpRound returns the number of the latest round that was started here and has completed. This state then contains
// all entries that the other member had.
func (s *State) CaughtUpRound() uint64 { return s.caughtUpRound }

// recordCaughtUp records that a round started here has completed.
func (s *State) recordCaughtUp(round uint64) { s.caughtUpRound = max(s.caughtUpRound, round) }

// compareGroups answers the first message of a round with the bucket hashes of the groups that differ.
func (s *State) compareGroups(m *Message) *Message {
	answer := &Message{Round: m.Round}
	for group, hash := range m.GroupDigests {
		if hash != s.groupDigest(group) {
			answer.DifferingGroups = append(answer.DifferingGroups, group)
			answer.BucketDigests = append(answer.BucketDigests, s.digest[group][:]...)
		}
	}
	answer.Identical = len(answer.DifferingGroups) == 0
	return answer
}

// compareBuckets answers with the entries of the buckets that differ, and requests the other member's entries of them.
func (s *State) compareBuckets(m *Message) []*Message {
	var differing, wanted []int
	for i, group := range m.DifferingGroups {
		if group < 0 || group >= digestGroups {
			continue
		}
		for bucket := range bucketsPerGroup {
			hash := m.BucketDigests[i*bucketsPerGroup+bucket]
			if hash == s.digest[group][bucket] {
				continue
			}
			number := group*bucketsPerGroup + bucket
			differing = append(differing, number)
			if hash != 0 {
				wanted = append(wanted, number)
			}
		}
	}
	if len(wanted) == 0 {
		s.recordCaughtUp(m.Round)
	}
	return s.collectEntries(differing, wanted, m.Round)
}

// collectEntries returns messages with the entries of buckets; the last message requests the wanted ones.
func (s *State) collectEntries(numbers, wanted []int, round uint64) []*Message {
	included := map[int]bool{}
	for _, number := range numbers {
		included[number] = true
	}
	last, size := &Message{Round: round}, 0
	messages := []*Message{last}
	add := func(_ string, e *Entry) bool {
		group, bucket := bucketOf(e.Key())
		if !included[group*bucketsPerGroup+bucket] {
			return true
		}
		entrySize := len(e.Name) + len(e.Origin) + len(e.Value) + entryHeaderSize
		if size+entrySize > maxMessageSize {
			last, size = &Message{Round: round}, 0
			messages = append(messages, last)
		}
		size += entrySize
		last.Entries = append(last.Entries, *e)
		return true
	}
	if len(numbers) > 0 {
		s.entries.Scan(add)
	}
	last.WantedBuckets = wanted
	return messages
}
