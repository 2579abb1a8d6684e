package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Messages are in network byte order. Both kinds begin with the version (1 byte) and the time of sending (4 bytes: the
// low half of the milliseconds since 1970). The numbers below are sizes in bytes unless they say bits.
//
//	report  for each host: hash of its id 3, age 2 (milliseconds from its position to the sending; all ones: not
//	        known), role 2 bits and latency share 6 bits, the sender's attempts in flight 1, and the attempts
//	        started since its last report 1
//	digest  hash of the group 3, interval until the next digest 1 (in 20 ms), first entry is the primary 1 bit,
//	        rate of attempts 7 bits; for each host: short hash 2, age 1 (in 4 ms; all ones: not known), load
//	        5 bits and latency share 3 bits
//
// Hosts are named by hashes, since indexes into a list differ between gateways that hold different lists. Ages are
// rounded up, so that a position is never overstated.
const (
	// MaxMessage is the size of the longest message, in bytes.
	MaxMessage = 256

	reportVersion    = 3 // versions 1 and 2 are no longer read
	digestVersion    = 4
	headerSize       = 5 // bytes
	reportSize       = 8 // bytes
	digestHeaderSize = headerSize + 5
	entrySize        = 4 // bytes

	millisecond     = 1_000 // microseconds
	unknownAge      = math.MaxUint16
	digestAgeStep   = 4_000 // microseconds
	maxDigestAge    = math.MaxUint8 - 1
	intervalStep    = 20_000 // microseconds
	maxInterval     = maxDigestAge * intervalStep
	primaryLeadsBit = 0x80
	maxByteCount    = math.MaxUint8
	// maxClockLead is how far ahead of our clock, in microseconds, a sender's may be. A position further ahead is
	// invalid: if it were believed, a replica would serve reads whatever its real position.
	maxClockLead = 50_000
)

// errMalformedMessage is a message that can't be read; errUnknownSender one of a gateway outside the fleet.
var (
	errMalformedMessage = errors.New("gossip: malformed message")
	errUnknownSender    = errors.New("gossip: sender is not a gateway of the fleet")
)

// hostHash is a host's name on the wire, in 24 bits.
func hostHash(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 40) }

// shortHash is a host's name in digests, unique within its group only.
func shortHash(hash uint32) uint16 { return uint16(hash) }

func readUint24(b []byte) uint32 { return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]) }

func appendUint24(b []byte, v uint32) []byte { return append(b, byte(v>>16), byte(v>>8), byte(v)) }

// newMessage returns a message that consists of its header.
func newMessage(now int64, version byte) []byte {
	return binary.BigEndian.AppendUint32([]byte{version}, uint32(now/millisecond))
}

// readHeader reads the version and the time of sending in microseconds.
func readHeader(now int64, b []byte) (version byte, sentAt int64, body []byte, err error) {
	if len(b) < headerSize || len(b) > MaxMessage {
		return 0, 0, nil, fmt.Errorf("%w: %d bytes", errMalformedMessage, len(b))
	}
	version = b[0]
	if version != reportVersion && version != digestVersion {
		return 0, 0, nil, fmt.Errorf("%w: version %d", errMalformedMessage, version)
	}
	// Of the times with these low bits the one nearest to now is meant; messages do not live for days.
	nowMillis := now / millisecond
	lead := int32(binary.BigEndian.Uint32(b[1:]) - uint32(nowMillis))
	sentAt = (nowMillis + int64(lead)) * millisecond
	if sentAt > now+maxClockLead {
		return 0, 0, nil, fmt.Errorf("%w: sent in the future", errMalformedMessage)
	}
	return version, sentAt, b[headerSize:], nil
}

// report is one host in a report.
type report struct {
	HostFact
	hash              uint32
	inFlight, started int
}

// appendReport writes one host. A position of more than 65 s ago, or one ahead of the clock, is left out.
func appendReport(b []byte, now int64, r *report) []byte {
	age := now/millisecond - r.Position/millisecond // both rounded down, as the time of sending is
	if r.Position <= 0 || age < 0 || age > unknownAge {
		age = unknownAge
	}
	b = appendUint24(b, r.hash)
	b = binary.BigEndian.AppendUint16(b, uint16(age))
	b = append(b, byte(r.Role)<<6|packShare(r.HostFact))
	return append(b, byte(min(r.inFlight, maxByteCount)), byte(min(r.started, maxByteCount)))
}

func readReport(sentAt int64, b []byte) (report, error) {
	r := report{hash: readUint24(b), inFlight: int(b[6]), started: int(b[7])}
	role := Role(b[5] >> 6)
	if age := int64(binary.BigEndian.Uint16(b[3:])); age != unknownAge {
		r.Position = sentAt - age*millisecond
		r.Role = role
	}
	switch packed := b[5] & 63; packed {
	case 0:
	case failingShare:
		r.Failing = true
	default:
		r.LatencyShare = math.Exp2((float64(packed) - 32) / 8)
	}
	if role > Replica {
		return r, fmt.Errorf("%w: role %d", errMalformedMessage, role)
	}
	if r.Position < 0 {
		return r, fmt.Errorf("%w: position %d", errMalformedMessage, r.Position)
	}
	return r, nil
}

// failingShare marks, in place of a share, that most answers were errors.
const failingShare = 63

// packShare packs a share into 6 bits: 0 if it is not known, else eight steps for each doubling, with 1 in the middle.
func packShare(fact HostFact) byte {
	if fact.Failing {
		return failingShare
	}
	if fact.LatencyShare <= 0 || math.IsNaN(fact.LatencyShare) {
		return 0
	}
	return byte(min(max(math.Round(8*math.Log2(fact.LatencyShare))+32, 1), failingShare-1))
}

// digest is what a coordinator broadcasts about its group.
type digest struct {
	group       uint32 // hash
	interval    int64  // microseconds until the next digest
	attemptRate float64
	entries     []entry
}

// entry is one host in a digest.
type entry struct {
	HostFact
	shortHash uint16
	load      float64
}

func appendDigestHeader(b []byte, group uint32, interval int64, attemptRate float64, primaryLeads bool) []byte {
	packedRate := byte(0)
	if attemptRate > 0 { // in eight steps for each doubling, from an eighth per second on
		packedRate = byte(min(max(math.Round(8*math.Log2(attemptRate))+24, 1), primaryLeadsBit-1))
	}
	if primaryLeads {
		packedRate |= primaryLeadsBit
	}
	steps := min((interval+intervalStep-1)/intervalStep, maxDigestAge+1)
	return append(appendUint24(b, group), byte(steps), packedRate)
}

// shareBands are what the 3 bits of a share stand for. They are closest together where decisions depend on them.
var shareBands = [...]float64{0, 0.08, 0.18, 0.26, 0.36, 0.55, 1}

// failingBand marks, in place of a share, that most answers were errors.
const failingBand = 7

func appendEntry(b []byte, now int64, hash uint32, fact HostFact, load float64) []byte {
	age := int64(maxDigestAge + 1)
	if fact.Position > 0 && fact.Position <= now {
		sentAt := now / millisecond * millisecond // as the header says
		age = min((sentAt-fact.Position+digestAgeStep-1)/digestAgeStep, maxDigestAge+1)
	}
	b = binary.BigEndian.AppendUint16(b, shortHash(hash))
	return append(b, byte(max(age, 0)), packLoad(load)<<3|packBand(fact))
}

// packBand returns the band nearest to a fact's share, by ratio.
func packBand(fact HostFact) byte {
	if fact.Failing {
		return failingBand
	}
	if fact.LatencyShare <= 0 || math.IsNaN(fact.LatencyShare) {
		return 0
	}
	band := 1
	for band+1 < len(shareBands) && fact.LatencyShare > math.Sqrt(shareBands[band]*shareBands[band+1]) {
		band++
	}
	return byte(band)
}

// packLoad packs a count into 5 bits: exact up to 15, then in steps of 4.
func packLoad(n float64) byte {
	if n < 16 {
		return byte(max(math.Round(n), 0))
	}
	return byte(min(16+math.Round((n-16)/4), 31))
}

func unpackLoad(b byte) float64 {
	if b < 16 {
		return float64(b)
	}
	return 16 + 4*float64(b-16)
}

// readDigest reads a message's body.
func readDigest(sentAt int64, b []byte) (digest, error) {
	const bodyHeader = digestHeaderSize - headerSize
	if len(b) < bodyHeader || (len(b)-bodyHeader)%entrySize != 0 {
		return digest{}, fmt.Errorf("%w: digest of %d bytes", errMalformedMessage, len(b))
	}
	d := digest{group: readUint24(b), interval: int64(b[3]) * intervalStep}
	if packedRate := b[4] &^ primaryLeadsBit; packedRate > 0 {
		d.attemptRate = math.Exp2((float64(packedRate) - 24) / 8)
	}
	isPrimary := b[4]&primaryLeadsBit != 0
	for b = b[bodyHeader:]; len(b) > 0; b = b[entrySize:] {
		e := readEntry(sentAt, b, isPrimary)
		if e.Position < 0 {
			return digest{}, fmt.Errorf("%w: position %d", errMalformedMessage, e.Position)
		}
		d.entries = append(d.entries, e)
		isPrimary = false
	}
	return d, nil
}

func readEntry(sentAt int64, b []byte, isPrimary bool) entry {
	e := entry{shortHash: binary.BigEndian.Uint16(b), load: unpackLoad(b[3] >> 3)}
	if age := int64(b[2]); age <= maxDigestAge {
		e.Position = sentAt - age*digestAgeStep
		e.Role = Replica
		if isPrimary {
			e.Role = Primary
		}
	}
	if band := b[3] & 7; band == failingBand {
		e.Failing = true
	} else {
		e.LatencyShare = shareBands[band]
	}
	return e
}
