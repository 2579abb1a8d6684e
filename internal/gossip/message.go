package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Messages are in network byte order. Reports and digests begin with the version (1 byte) and the sending time (4
// bytes: the low half of the milliseconds since 1970). The numbers below are sizes in bytes unless bits are stated.
//
//	report  for each host: hash of its id 3, age 2 (milliseconds from its position to the sending time; all ones:
//	        unknown), role 2 bits and latency share 6 bits, the sender's attempts in flight 1, and the attempts
//	        started since its last report 1
//	digest  hash of the group 3, interval until the next digest 1 (in 20 ms), flag for the first entry being the
//	        primary 1 bit, rate of attempts 7 bits; for each host: short hash 2, age 1 (in 4 ms; all ones: unknown),
//	        load 5 bits and latency share 3 bits
//
// Hosts are identified by hashes, because indexes into a list differ between gateways that have different lists. Ages
// are rounded up, so that a position is never overstated.
const (
	// MaxMessage is the size of the longest message, in bytes.
	MaxMessage = 256

	reportVersion    = 3 // versions 1 and 2 are rejected as malformed
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
	primaryFirstBit = 0x80
	maxByteCount    = math.MaxUint8

	// Latency shares and attempt rates are sent as logarithms; code 0 means unknown.
	codesPerDoubling = 8
	codeOfShareOne   = 32 // the 6-bit code of a latency share of 1
	codeOfRateOne    = 24 // the 7-bit code of one attempt per second
	shareMask        = 63 // the low 6 bits of the byte that also holds the role
	roleShift        = 6  // bits
	loadShift        = 3  // bits
	shareBandMask    = 7  // the low 3 bits of the byte that also holds the load

	// maxClockLead is how far ahead of this gateway's clock, in microseconds, a sender's clock may be. A position
	// further ahead is invalid: if it were accepted, a replica would serve reads whatever its real position.
	maxClockLead = 50_000
)

// Errors of receive: a message that cannot be decoded, and a message from a gateway outside the fleet.
var (
	errMalformedMessage = errors.New("gossip: malformed message")
	errUnknownSender    = errors.New("gossip: sender is not a gateway of the fleet")
)

// hostHash identifies a host on the wire, in 24 bits.
func hostHash(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 40) }

// shortHash identifies a host in digests, within its group.
func shortHash(hash uint32) uint16 { return uint16(hash) }

func readUint24(b []byte) uint32 { return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]) }

func appendUint24(b []byte, v uint32) []byte { return append(b, byte(v>>16), byte(v>>8), byte(v)) }

// newMessage returns a message that contains only the header.
func newMessage(now int64, version byte) []byte {
	return binary.BigEndian.AppendUint32([]byte{version}, uint32(now/millisecond))
}

// readHeader decodes the version and the sending time, in microseconds.
func readHeader(now int64, b []byte) (version byte, sentAt int64, body []byte, err error) {
	if len(b) < headerSize || len(b) > MaxMessage {
		return 0, 0, nil, fmt.Errorf("%w: %d bytes, outside the permitted range", errMalformedMessage, len(b))
	}
	version = b[0]
	if version != reportVersion && version != digestVersion {
		return 0, 0, nil, fmt.Errorf("%w: unknown version %d", errMalformedMessage, version)
	}
	// The low bits repeat every 49 days. Of all times with these low bits, the one nearest to now is the sending time.
	nowMillis := now / millisecond
	lead := int32(binary.BigEndian.Uint32(b[1:]) - uint32(nowMillis))
	sentAt = (nowMillis + int64(lead)) * millisecond
	if sentAt > now+maxClockLead {
		return 0, 0, nil, fmt.Errorf("%w: sent too far in the future", errMalformedMessage)
	}
	return version, sentAt, b[headerSize:], nil
}

// report is the part of a report message about one host.
type report struct {
	HostFact
	hash              uint32
	inFlight, started int // attempts
}

// appendReport encodes one host. A position more than 65 s old or ahead of the clock is encoded as unknown.
func appendReport(b []byte, now int64, r *report) []byte {
	age := now/millisecond - r.Position/millisecond // both rounded down, as the sending time is
	if r.Position <= 0 || age < 0 || age > unknownAge {
		age = unknownAge
	}
	b = appendUint24(b, r.hash)
	b = binary.BigEndian.AppendUint16(b, uint16(age))
	b = append(b, byte(r.Role)<<roleShift|packLatencyShare(r.HostFact))
	return append(b, byte(min(r.inFlight, maxByteCount)), byte(min(r.started, maxByteCount)))
}

func readReport(sentAt int64, b []byte) (report, error) {
	r := report{hash: readUint24(b), inFlight: int(b[6]), started: int(b[7])}
	role := Role(b[5] >> roleShift)
	if age := int64(binary.BigEndian.Uint16(b[3:])); age != unknownAge {
		r.Position = sentAt - age*millisecond
		r.Role = role
	}
	switch packed := b[5] & shareMask; packed {
	case 0:
	case failingLatencyShare:
		r.Failing = true
	default:
		r.LatencyShare = math.Exp2((float64(packed) - codeOfShareOne) / codesPerDoubling)
	}
	if role > Replica {
		return r, fmt.Errorf("%w: unknown role %d", errMalformedMessage, role)
	}
	if r.Position < 0 {
		return r, fmt.Errorf("%w: negative position %d", errMalformedMessage, r.Position)
	}
	return r, nil
}

// failingLatencyShare is the code, in place of a share, for a host of which most answers were errors.
const failingLatencyShare = 63

// packLatencyShare encodes a share in 6 bits: 0 if it is unknown, otherwise eight codes for each doubling, with a
// share of 1 in the middle.
func packLatencyShare(fact HostFact) byte {
	if fact.Failing {
		return failingLatencyShare
	}
	if fact.LatencyShare <= 0 || math.IsNaN(fact.LatencyShare) {
		return 0
	}
	code := math.Round(codesPerDoubling*math.Log2(fact.LatencyShare)) + codeOfShareOne
	return byte(min(max(code, 1), failingLatencyShare-1))
}

// digest is a decoded digest.
type digest struct {
	group       uint32  // hash of the group
	interval    int64   // microseconds until the next digest
	attemptRate float64 // attempts at replicas, per second
	entries     []entry
}

// entry is the part of a digest about one host.
type entry struct {
	HostFact
	shortHash uint16
	load      float64 // attempts of all gateways in flight
}

func appendDigestHeader(b []byte, group uint32, interval int64, attemptRate float64, primaryFirst bool) []byte {
	packedRate := byte(0)
	if attemptRate > 0 {
		code := math.Round(codesPerDoubling*math.Log2(attemptRate)) + codeOfRateOne
		packedRate = byte(min(max(code, 1), primaryFirstBit-1))
	}
	if primaryFirst {
		packedRate |= primaryFirstBit
	}
	steps := min((interval+intervalStep-1)/intervalStep, maxDigestAge+1)
	return append(appendUint24(b, group), byte(steps), packedRate)
}

// latencyShareBands are the shares that the 3-bit codes stand for. They are closest together where decisions depend on
// them.
var latencyShareBands = [...]float64{0, 0.08, 0.18, 0.26, 0.36, 0.55, 1}

// failingBand is the code, in place of a share, for a host of which most answers were errors.
const failingBand = 7

func appendEntry(b []byte, now int64, hash uint32, fact HostFact, load float64) []byte {
	age := int64(maxDigestAge + 1)
	if fact.Position > 0 && fact.Position <= now {
		sentAt := now / millisecond * millisecond // as in the header
		age = min((sentAt-fact.Position+digestAgeStep-1)/digestAgeStep, maxDigestAge+1)
	}
	b = binary.BigEndian.AppendUint16(b, shortHash(hash))
	return append(b, byte(max(age, 0)), packLoad(load)<<loadShift|packShareBand(fact))
}

// packShareBand returns the code of the band that is nearest to a fact's share, by ratio.
func packShareBand(fact HostFact) byte {
	if fact.Failing {
		return failingBand
	}
	if fact.LatencyShare <= 0 || math.IsNaN(fact.LatencyShare) {
		return 0
	}
	band := 1
	for band+1 < len(latencyShareBands) && fact.LatencyShare > math.Sqrt(latencyShareBands[band]*latencyShareBands[band+1]) {
		band++
	}
	return byte(band)
}

// packLoad encodes a number of attempts in 5 bits: exactly up to 15, then in steps of 4.
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
	return 16 + float64(4*float64(b-16))
}

// readDigest decodes the body of a digest message.
func readDigest(sentAt int64, b []byte) (digest, error) {
	const bodyHeader = digestHeaderSize - headerSize
	if len(b) < bodyHeader || (len(b)-bodyHeader)%entrySize != 0 {
		return digest{}, fmt.Errorf("%w: digest of %d bytes is not a header and whole entries", errMalformedMessage, len(b))
	}
	d := digest{group: readUint24(b), interval: int64(b[3]) * intervalStep}
	if packedRate := b[4] &^ primaryFirstBit; packedRate > 0 {
		d.attemptRate = math.Exp2((float64(packedRate) - codeOfRateOne) / codesPerDoubling)
	}
	isPrimary := b[4]&primaryFirstBit != 0
	for b = b[bodyHeader:]; len(b) > 0; b = b[entrySize:] {
		e := readEntry(sentAt, b, isPrimary)
		if e.Position < 0 {
			return digest{}, fmt.Errorf("%w: negative position %d", errMalformedMessage, e.Position)
		}
		d.entries = append(d.entries, e)
		isPrimary = false
	}
	return d, nil
}

func readEntry(sentAt int64, b []byte, isPrimary bool) entry {
	e := entry{shortHash: binary.BigEndian.Uint16(b), load: unpackLoad(b[3] >> loadShift)}
	if age := int64(b[2]); age <= maxDigestAge {
		e.Position = sentAt - age*digestAgeStep
		e.Role = Replica
		if isPrimary {
			e.Role = Primary
		}
	}
	if band := b[3] & shareBandMask; band == failingBand {
		e.Failing = true
	} else {
		e.LatencyShare = latencyShareBands[band]
	}
	return e
}
