package gossip

// Beside facts, gateways tell one another how many attempts each has out at a host, since each alone has none or one at
// most of the many that a host holds. It is a count and no change of one, so that a lost message is mended by the next.
// A load message is short and soon forgotten:
//
//	head  version 2, 1 byte
//	load  20 bits of the host's hash, 4 of the count (15: that or more), together 3
//
// It costs more than all facts together, and is worth most where hosts are busy.
const (
	loadVersion = 2
	loadSize    = 3
	mostOut     = 15
	loadParts   = 10        // loads wait for company for this part of Within, half of it to all of it
	forget      = 1_000_000 // a count that was not told again for so long stands for nothing
)

// count is what another gateway has out at a host.
type count struct {
	n  int
	at int64
}

// Out takes how many attempts this gateway has out at a host now, and whether the hosts that it is compared with are busy:
// all of these are to be told of, or none, for what is not told looks idle.
func (s *State) Out(now int64, host string, n int, busy bool) {
	b := s.hosts[host]
	if b == nil || n == b.out {
		return
	}
	b.out = n
	if !busy && b.toldOut == 0 || s.shorts[b.code>>4] != b || b.moved {
		return
	}
	b.moved = true
	s.moved = append(s.moved, b)
	if wait := s.conf.Within / loadParts; s.loadAt == 0 {
		s.loadAt = now + wait/2 + s.rand.Below(wait/2)
	}
}

// DueLoad returns the load message that is to go to all others now, or nil. Facts are paid for first.
func (s *State) DueLoad(now int64) []byte {
	if s.loadAt == 0 || now < s.loadAt {
		return nil
	}
	s.loadAt = 0
	m := []byte{loadVersion}
	for _, b := range s.moved {
		b.moved = false
		if b.out == b.toldOut || len(m)+loadSize > MaxMessage {
			continue
		}
		b.toldOut = b.out
		c := b.code >> 4
		m = append(m, byte(c>>12), byte(c>>4), byte(c<<4)|byte(min(b.out, mostOut)))
	}
	s.moved = s.moved[:0]
	cost := float64(len(m) * (s.conf.Gateways - 1))
	if len(m) == 1 || s.pay < cost+burst*s.conf.Earn/2 {
		return nil
	}
	s.pay -= cost
	return m
}

// hearLoad takes a load message.
func (s *State) hearLoad(now int64, from int, data []byte) bool {
	if from < 0 || from >= s.conf.Gateways || len(data) > MaxMessage || (len(data)-1)%loadSize != 0 {
		return false
	}
	for b := data[1:]; len(b) > 0; b = b[loadSize:] {
		known := s.shorts[uint32(b[0])<<12|uint32(b[1])<<4|uint32(b[2]>>4)]
		if known == nil {
			continue
		}
		if known.others == nil {
			known.others = make([]count, s.conf.Gateways)
		}
		c := &known.others[from]
		known.held += int(b[2]&mostOut) - c.n
		*c = count{int(b[2] & mostOut), now}
	}
	return true
}

// Load is how many attempts the others have out at a host, as far as they have told.
func (s *State) Load(now int64, host string) int {
	b := s.hosts[host]
	if b == nil || b.held == 0 {
		return 0
	}
	if now-b.swept > forget/4 { // gateways that died, and messages that were lost
		b.swept = now
		for i := range b.others {
			if c := &b.others[i]; c.n > 0 && now-c.at > forget {
				b.held -= c.n
				c.n = 0
			}
		}
	}
	return b.held
}
