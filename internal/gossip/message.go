package gossip

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Messages, in network order. Both begin with the version 1 and the time of sending 4 (milliseconds since 1970, the low
// half), then
//
//	report  for each host: its code 3 (a hash of its id), age 2 (milliseconds from its position to the sending; all
//	        ones: not known), role and share 1, the sender's attempts out 1, and begun since its last report 1
//	digest  group 3 (a hash), until the next one 1 (20 ms), rate of attempts 1, its first bit set if a primary leads;
//	        for each host: code 2, age 1 (4 ms; all ones: not known), load 5 bits and share 3 bits
//
// Hosts go by hashes, since a list's order differs between gateways that have been told different lists. Ages are
// rounded up: a position is never told to be further than it is.
const (
	// MaxMessage is the longest message that may be sent.
	MaxMessage = 256

	reportVersion    = 3 // 1 and 2 were facts and loads that went to everybody
	digestVersion    = 4
	headerSize       = 5
	reportSize       = 8
	digestHeaderSize = headerSize + 5
	entrySize        = 4

	unknownAge      = math.MaxUint16
	digestAgeStep   = 4_000
	maxDigestAge    = math.MaxUint8 - 1
	intervalStep    = 20_000
	maxInterval     = maxDigestAge * intervalStep
	primaryLeadsBit = 0x80
	maxByteCount    = math.MaxUint8
	// maxClockLead is how far ahead of our clock a sender's may be. All gateways read the same clock, but read it at other
	// moments; a position beyond that is no position, and to believe it would have a replica serve whatever it holds.
	maxClockLead = 50_000
)

var errMalformedMessage = errors.New("not a message of gateways")

// hostHash is a host on the wire, in 24 bits.
func hostHash(host string) uint32 { return uint32(xxhash.Sum64String(host) >> 40) }

func newMessage(now int64, version byte) []byte {
	return binary.BigEndian.AppendUint32([]byte{version}, uint32(now/1000))
}

// readHeader reads the head.
func readHeader(now int64, b []byte) (version byte, sent int64, body []byte, err error) {
	if len(b) < headerSize || len(b) > MaxMessage || b[0] != reportVersion && b[0] != digestVersion {
		return 0, 0, nil, errMalformedMessage
	}
	// The time that ends in these bits and lies nearest to now: off by days is off by more than any message lives.
	sent = now / 1000
	sent += int64(int32(binary.BigEndian.Uint32(b[1:]) - uint32(sent)))
	if sent*1000 > now+maxClockLead {
		return 0, 0, nil, errMalformedMessage
	}
	return b[0], sent * 1000, b[headerSize:], nil
}

type report struct {
	HostFact
	hash              uint32
	inFlight, started int
}

// appendReport writes of one host. A position of more than 65 s ago, or one ahead of the clock, is left out.
func appendReport(b []byte, now int64, r *report) []byte {
	age := now/1000 - r.Position/1000 // both rounded down: as of the sending that the head tells
	if r.Position <= 0 || age < 0 || age > unknownAge {
		age = unknownAge
	}
	return append(b, byte(r.hash>>16), byte(r.hash>>8), byte(r.hash), byte(age>>8), byte(age), byte(r.Role)<<6|packShare(r.HostFact),
		byte(min(r.inFlight, maxByteCount)), byte(min(r.started, maxByteCount)))
}

func readReport(sent int64, b []byte) (report, error) {
	r := report{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), inFlight: int(b[6]), started: int(b[7])}
	if age := int64(binary.BigEndian.Uint16(b[3:])); age != unknownAge {
		r.Position, r.Role = sent-age*1000, Role(b[5]>>6)
	}
	switch packed := b[5] & 63; packed {
	case 0:
	case failingShare:
		r.Failing = true
	default:
		r.LatencyShare = math.Exp2((float64(packed) - 32) / 8)
	}
	if b[5]>>6 > byte(Replica) || r.Position < 0 {
		return r, errMalformedMessage
	}
	return r, nil
}

// failingShare stands for errors in place of a share.
const failingShare = 63

// packShare packs a share into 6 bits: 0 if it is not known, else eight steps for each doubling, with 1 in the middle.
func packShare(f HostFact) byte {
	if f.Failing {
		return failingShare
	}
	if f.LatencyShare <= 0 || math.IsNaN(f.LatencyShare) {
		return 0
	}
	return byte(min(max(math.Round(8*math.Log2(f.LatencyShare))+32, 1), failingShare-1))
}

type entry struct {
	HostFact
	shortHash uint16
	load      float64
}

type digest struct {
	group       uint32
	interval    int64
	attemptRate float64
	entries     []entry
}

func appendDigestHead(b []byte, group uint32, every int64, rate float64, leads bool) []byte {
	r := byte(0)
	if rate > 0 {
		r = byte(min(max(math.Round(8*math.Log2(rate))+24, 1), primaryLeadsBit-1)) // from an eighth a second on
	}
	if leads {
		r |= primaryLeadsBit
	}
	return append(b, byte(group>>16), byte(group>>8), byte(group), byte(min((every+intervalStep-1)/intervalStep, maxDigestAge+1)), r)
}

// shareBands are what 3 bits stand for: nothing, then parts of the aim; the last means errors. They lie apart where the
// module's limits do.
var shareBands = [...]float64{0, 0.08, 0.18, 0.26, 0.36, 0.55, 1}

const failingBand = 7

func appendEntry(b []byte, now int64, code uint32, f HostFact, load float64) []byte {
	age := int64(maxDigestAge + 1)
	if f.Position > 0 && f.Position <= now {
		age = min((now/1000*1000-f.Position+digestAgeStep-1)/digestAgeStep, maxDigestAge+1)
	}
	share := byte(0)
	if f.Failing {
		share = failingBand
	} else if f.LatencyShare > 0 {
		share = 1
		for i := 2; i < len(shareBands) && f.LatencyShare > math.Sqrt(shareBands[i-1]*shareBands[i]); i++ {
			share = byte(i)
		}
	}
	return append(b, byte(code>>8), byte(code), byte(max(age, 0)), packLoad(load)<<3|share)
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

func readDigest(sent int64, b []byte) (digest, error) {
	if len(b) < digestHeaderSize-headerSize || (len(b)-digestHeaderSize+headerSize)%entrySize != 0 {
		return digest{}, errMalformedMessage
	}
	d := digest{group: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), interval: int64(b[3]) * intervalStep}
	if r := b[4] &^ primaryLeadsBit; r > 0 {
		d.attemptRate = math.Exp2((float64(r) - 24) / 8)
	}
	leads := b[4]&primaryLeadsBit != 0
	for b = b[digestHeaderSize-headerSize:]; len(b) > 0; b = b[entrySize:] {
		e := entry{shortHash: binary.BigEndian.Uint16(b), load: unpackLoad(b[3] >> 3)}
		if b[2] <= maxDigestAge {
			e.Position, e.Role = sent-int64(b[2])*digestAgeStep, Replica
			if leads {
				e.Role = Primary
			}
		}
		leads = false
		switch band := b[3] & 7; band {
		case failingBand:
			e.Failing = true
		default:
			e.LatencyShare = shareBands[band]
		}
		if e.Position < 0 {
			return digest{}, errMalformedMessage
		}
		d.entries = append(d.entries, e)
	}
	return d, nil
}
