package processrig

// Layout of a gossip digest as far as spoilDigest needs it. Package gossip defines it in message.go.
const (
	digestVersion  = 4
	digestHead     = 10   // size of the header, in bytes
	digestRate     = 9    // offset of the byte with the rate of attempts and the bit below
	digestLeads    = 0x80 // set if the first entry is the primary
	entryBytes     = 4
	entryAge       = 2         // offset, within an entry, of the age of the host's position
	entryLoad      = 3         // offset, within an entry, of the host's load (high 5 bits) and latency share (low 3 bits)
	loadShift      = 3         // bits
	unknownAge     = 255       // the host's position is unknown
	idleAndFast    = 1         // load 0, shortest latency
	fullAndLate    = 31<<3 | 6 // highest load, longest latency
	slowestAttempt = 1         // lowest rate of attempts that a digest can encode
)

// spoilDigest modifies a digest so that it reports the least loaded replica as idle and all others as overloaded. Every
// gateway that receives it then sends its requests to that one replica.
func spoilDigest(digest []byte) {
	if len(digest) < digestHead || digest[0] != digestVersion {
		return
	}
	leads := digest[digestRate] & digestLeads
	first := digestHead
	if leads != 0 {
		first += entryBytes // the primary
	}
	least := leastLoaded(digest, first)
	for entry := first; entry+entryBytes <= len(digest); entry += entryBytes {
		if entry == least {
			digest[entry+entryLoad] = idleAndFast
		} else {
			digest[entry+entryLoad] = fullAndLate
		}
	}
	digest[digestRate] = leads | slowestAttempt
}

// leastLoaded returns the offset of the entry of the least loaded replica with a known position, or 0 if there is none.
// The replicas' entries begin at offset first.
func leastLoaded(digest []byte, first int) int {
	least := 0
	for entry := first; entry+entryBytes <= len(digest); entry += entryBytes {
		if digest[entry+entryAge] == unknownAge {
			continue
		}
		if least == 0 || digest[entry+entryLoad]>>loadShift < digest[least+entryLoad]>>loadShift {
			least = entry
		}
	}
	return least
}
