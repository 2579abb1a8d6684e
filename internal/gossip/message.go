package gossip

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A message is a head and facts, in network order:
//
//	head  version 1, time of sending 4 (milliseconds since 1970, the low half)
//	fact  host 3 (a hash of its id), age 2 (milliseconds from its position to the sending; all ones: not known),
//	      role and share 1
//
// Hosts go by hashes, since a list's order differs between gateways that have been told different lists. Of two known
// hosts with the same hash nothing is believed. A message is short, since most hold one fact and go to everybody.
const (
	// MaxMessage is the longest message that may be sent.
	MaxMessage = 256
	// MaxFacts is how many facts a message has room for.
	MaxFacts = (MaxMessage - headSize) / factSize

	version  = 1
	unknown  = math.MaxUint16
	headSize = 5
	factSize = 6
	// early is how far ahead of our clock a sender's may be. All gateways read the same clock, but read it at other
	// moments; a position beyond that is no position, and to believe it would have a replica serve whatever it holds.
	early = 50_000
)

// code is a host on the wire, in 24 bits.
func code(host string) uint32 { return uint32(xxhash.Sum64String(host) >> 40) }

// coded is a fact as it is read: its host is known by its code.
type coded struct {
	Fact
	code uint32
}

// Encode writes a message. A position of more than 65 s ago, or one ahead of the clock, is left out; so are facts that
// find no room.
func Encode(now int64, facts []Fact) []byte {
	b := make([]byte, 0, headSize+factSize*len(facts))
	sent := now / 1000
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(sent))
	for _, f := range facts {
		age := sent - f.Position/1000 // the position is rounded down
		if f.Position <= 0 || age < 0 || age > unknown {
			age = unknown
		}
		if len(b)+factSize > MaxMessage {
			break
		}
		c := code(f.Host)
		b = append(b, byte(c>>16), byte(c>>8), byte(c), byte(age>>8), byte(age), byte(f.Role)<<6|share(f))
	}
	return b
}

// failing stands for errors in place of a share.
const failing = 63

// share packs a share into 6 bits: 0 if it is not known, else eight steps for each doubling, with 1 in the middle.
func share(f Fact) byte {
	if f.Failing {
		return failing
	}
	if f.Share <= 0 || math.IsNaN(f.Share) {
		return 0
	}
	return byte(min(max(math.Round(8*math.Log2(f.Share))+32, 1), failing-1))
}

var errMessage = errors.New("not a message of gateways")

// decode reads a message. Any part that can't be so makes all of it unreadable.
func decode(now int64, b []byte) ([]coded, error) {
	if len(b) < headSize || len(b) > MaxMessage || b[0] != version || (len(b)-headSize)%factSize != 0 {
		return nil, errMessage
	}
	// The time that ends in these bits and lies nearest to now: off by days is off by more than any message lives.
	sent := now / 1000
	sent += int64(int32(binary.BigEndian.Uint32(b[1:]) - uint32(sent)))
	if sent*1000 > now+early {
		return nil, errMessage
	}
	var facts []coded
	for b = b[headSize:]; len(b) > 0; b = b[factSize:] {
		f := coded{code: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])}
		if age := int64(binary.BigEndian.Uint16(b[3:])); age != unknown {
			f.Position, f.Role = (sent-age)*1000, Role(b[5]>>6)
		}
		switch packed := b[5] & 63; packed {
		case 0:
		case failing:
			f.Failing = true
		default:
			f.Share = math.Exp2((float64(packed) - 32) / 8)
		}
		if b[5]>>6 > byte(Replica) || f.Position < 0 {
			return nil, errMessage
		}
		facts = append(facts, f)
	}
	return facts, nil
}
