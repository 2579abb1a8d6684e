package processrig

// Layout of a gossip digest, as far as spoilDigest needs it (internal/gossip, message.go).
const (
	digestVersion  = 4
	digestHead     = 10
	digestRate     = 9 // byte of the rate of attempts
	digestLeads    = 0x80
	entryBytes     = 4
	entryAge       = 2 // byte of a host's age
	entryLoad      = 3 // byte of a host's load and share
	loadShift      = 3
	unknownAge     = 255
	idleAndFast    = 1         // load 0, shortest latency
	fullAndLate    = 31<<3 | 6 // greatest load, longest latency
	slowestAttempt = 1         // the lowest rate of attempts that a digest can state
)

// spoilDigest changes a digest to report one replica as idle and all others as overloaded, so that every gateway uses the
// one that was last reported as least loaded.
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

// leastLoaded returns the offset of the least loaded replica with a known position, or 0.
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
