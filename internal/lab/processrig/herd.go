package processrig

// Layout of a gossip digest as far as forgeDigest needs it. Package gossip defines it in message.go.
const (
	digestVersion         = 4
	digestHeaderSize      = 10   // size of the header, in bytes
	digestRateOffset      = 9    // offset of the byte with the rate of attempts and the bit below
	digestPrimaryFirstBit = 0x80 // set if the first entry is the primary
	entrySize             = 4
	entryAgeOffset        = 2         // offset, within an entry, of the age of the host's position
	entryLoadOffset       = 3         // offset, within an entry, of the load (5 high bits) and latency share (3 low bits)
	loadShift             = 3         // bits
	unknownAge            = 255       // the host's position is unknown
	lowestLoadAndLatency  = 1         // load 0, shortest latency
	highestLoadAndLatency = 31<<3 | 6 // highest load, longest latency
	lowestAttemptRate     = 1         // lowest rate of attempts that a digest can encode
)

// forgeDigest modifies a digest so that it reports the least loaded replica as idle and all others as overloaded. Every
// gateway that receives it then sends its requests to that one replica.
func forgeDigest(digest []byte) {
	if len(digest) < digestHeaderSize || digest[0] != digestVersion {
		return
	}
	primaryFirst := digest[digestRateOffset] & digestPrimaryFirstBit
	first := digestHeaderSize
	if primaryFirst != 0 {
		first += entrySize // the primary
	}
	least := leastLoaded(digest, first)
	for entry := first; entry+entrySize <= len(digest); entry += entrySize {
		if entry == least {
			digest[entry+entryLoadOffset] = lowestLoadAndLatency
		} else {
			digest[entry+entryLoadOffset] = highestLoadAndLatency
		}
	}
	digest[digestRateOffset] = primaryFirst | lowestAttemptRate
}

// leastLoaded returns the offset of the entry of the least loaded replica with a known position, or 0 if there is none.
// The replicas' entries begin at offset first.
func leastLoaded(digest []byte, first int) int {
	least := 0
	for entry := first; entry+entrySize <= len(digest); entry += entrySize {
		if digest[entry+entryAgeOffset] == unknownAge {
			continue
		}
		if least == 0 || digest[entry+entryLoadOffset]>>loadShift < digest[least+entryLoadOffset]>>loadShift {
			least = entry
		}
	}
	return least
}
