// Package gossip decides what the gateways of a fleet tell one another of the hosts, when, and what of it is believed.
//
// Many gateways see each host seldom, but together often. What one hears from a host goes to all others in one short
// message, unless somebody else has told it meanwhile: every gateway waits for a random while before it speaks, and what
// it hears in that time it does not say again. So the number of messages follows the hosts and not the gateways, and
// all of it is paid for by the requests that a gateway takes, at a price in the settings.
//
// Only what stays true is told: a host had applied its log up to a position, and was primary or replica at that time.
// A message that is lost, late, repeated or out of order therefore does no harm. Nothing here does I/O, reads a clock or
// starts anything; the same calls give the same messages.
package gossip

import (
	"cmp"
	"slices"

	"cloverrock/internal/random"
)

// Role is the part that a host was seen to play.
type Role uint8

// The roles of a host.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Fact is what is known of a host. Times are microseconds since 1970, positions are times of the log.
type Fact struct {
	Host     string
	Position int64   // applied at least up to here; 0 if not known
	Role     Role    // as of Position
	Share    float64 // of their aim that answers took of late; 0 if not told
	Failing  bool    // most answers of late were errors
}

// Config describes the fleet.
type Config struct {
	Gateways int     // of the tier, this one included
	Earn     float64 // bytes, each counted once for each receiver, that a request pays for
	Within   int64   // what is told is wanted by others within this time of its being so
}

// on tells whether there is anybody to tell.
func (c *Config) on() bool { return c.Gateways > 1 && c.Earn > 0 && c.Within > 0 }

const (
	burst         = 64 // requests whose pay may be saved up: enough for a few messages after a calm time
	complainEvery = 10_000_000
	holdPart      = 16 // part of Within by which a fact waits for company, half of it to all of it
	ageParts      = 6  // a host is told of again when what the fleet knows of it is older than this part of Within
)

// book is what is known of one host.
type book struct {
	id     string
	code   uint32
	own    Fact  // heard from the host itself
	told   int64 // the position that the fleet has been told, by anybody
	role   Role  // and the role, as of then
	due    bool  // own waits to be told
	shared int64 // when the fleet was told last

	sum       float64 // of the shares of answers since we told or heard of it
	n, errors int
	share     float64 // as the fleet was told last
	failing   bool

	out, toldOut int     // attempts of this gateway, and as the others know
	moved        bool    // that has changed
	others       []count // by gateway
	held         int     // all of these
	swept        int64
}

// State is one gateway's part in the exchange. It is not safe for concurrent use.
type State struct {
	conf   Config
	rand   random.Source
	hosts  map[string]*book
	codes  map[uint32]*book // nil where two hosts share a code: nothing is believed of either
	shorts map[uint32]*book // the same by the part of the code that loads have
	due    []*book
	moved  []*book
	loadAt int64   // when the next load message goes out; 0 while none is due
	at     int64   // when the next message goes out; 0 while nothing is due
	pay    float64 // bytes that may be sent

	dropped, complained int // messages that could not be read, and how many of these Complaint has told
	complainedAt        int64
}

// New returns a state that knows no host.
func New(c Config, seed uint64) *State {
	return &State{conf: c, rand: random.Source(seed), hosts: map[string]*book{}, codes: map[uint32]*book{}, shorts: map[uint32]*book{}, pay: burst * c.Earn}
}

// Quiet is how long the fleet may have nothing to tell of a host that answers somebody.
func (s *State) Quiet() int64 {
	if !s.conf.on() {
		return 0
	}
	return 3*s.conf.Within/ageParts/2 + s.conf.Within/holdPart
}

// Add makes a host known, so that what others tell of it is understood.
func (s *State) Add(host string) {
	if !s.conf.on() || s.hosts[host] != nil {
		return
	}
	b := &book{id: host, code: code(host)}
	s.hosts[host] = b
	for m, c := range map[*map[uint32]*book]uint32{&s.codes: b.code, &s.shorts: b.code >> 4} {
		if _, taken := (*m)[c]; taken {
			(*m)[c] = nil
		} else {
			(*m)[c] = b
		}
	}
}

// Remove forgets a host: nothing more is said or believed of it.
func (s *State) Remove(host string) {
	b := s.hosts[host]
	if b == nil {
		return
	}
	delete(s.hosts, host)
	if s.codes[b.code] == b { // one that shares its code stays marked: whom an old message means is not known
		delete(s.codes, b.code)
	}
	if s.shorts[b.code>>4] == b {
		delete(s.shorts, b.code>>4)
	}
	s.due = slices.DeleteFunc(s.due, func(d *book) bool { return d == b })
	s.moved = slices.DeleteFunc(s.moved, func(d *book) bool { return d == b })
}

// Dropped is the number of messages that could not be read.
func (s *State) Dropped() int { return s.dropped }

// Complaint tells how many messages could not be read since the last time, at most once in ten seconds: whoever sends
// them is not to fill a log.
func (s *State) Complaint(now int64) int {
	n := s.dropped - s.complained
	if n == 0 || s.complainedAt != 0 && now-s.complainedAt < complainEvery {
		return 0
	}
	s.complained, s.complainedAt = s.dropped, now
	return n
}

// Earn takes the pay of one request.
func (s *State) Earn() { s.pay = min(s.pay+s.conf.Earn, burst*s.conf.Earn) }

// Learn takes what a host itself has told. It is told on if the fleet's knowledge of the host is old by now, or if the
// role is news.
func (s *State) Learn(now int64, f Fact) {
	b := s.hosts[f.Host]
	if b == nil || f.Position <= b.own.Position {
		return
	}
	b.own = f
	s.consider(now, b)
}

// Sample takes how much of its aim an answer of a host took, or that it was an error.
func (s *State) Sample(now int64, host string, share float64, failed bool) {
	b := s.hosts[host]
	if b == nil {
		return
	}
	b.n++
	b.sum += share
	if failed {
		b.errors++
	}
	s.consider(now, b)
}

// consider has a host told of, if there is news. The wait is short against what the news are good for, and random, so
// that one of those who have the same news speaks and the others hear it in time.
func (s *State) consider(now int64, b *book) {
	if s.codes[b.code] != b || b.due || !s.news(now, b) {
		return
	}
	b.due = true
	s.due = append(s.due, b)
	if hold := s.conf.Within / holdPart; s.at == 0 {
		s.at = now + hold/2 + s.rand.Below(hold/2)
	}
}

// now is the fact that stands for what was heard from the host itself.
func (b *book) fact() Fact {
	f := b.own
	f.Host = b.id
	if b.n > 0 {
		f.Share, f.Failing = b.sum/float64(b.n), 2*b.errors > b.n
	}
	return f
}

// changed tells whether the host's answers are clearly other than the fleet was told: an error, or twice as fast or slow.
func (b *book) changed() bool {
	f := b.fact()
	return b.n > 0 && (f.Failing != b.failing || f.Share > 2*b.share || 2*f.Share < b.share)
}

// spread notes that the fleet has been told a fact.
func (b *book) spread(now int64, f *Fact) {
	if f.Position >= b.told && f.Position > 0 {
		b.told, b.role = f.Position, f.Role // later evidence of the role goes before older
	}
	if f.Share > 0 || f.Failing {
		b.share, b.failing = f.Share, f.Failing
		b.sum, b.n, b.errors = 0, 0, 0
	}
	b.shared = max(b.shared, now)
}

// news tells whether what this gateway has heard of a host is worth telling. A host whose position stands still is told
// of no more: others learn nothing by it.
func (s *State) news(now int64, b *book) bool {
	gap := s.conf.Within / ageParts
	if b.changed() && now-b.shared >= gap/2 {
		return true
	}
	if b.n > 0 && now-b.shared >= 3*gap/2 {
		return true // also of a host that answers nothing any more: all are to go on hearing it
	}
	if b.own.Position <= b.told {
		return false
	}
	if b.own.Role != Unknown && b.own.Role != b.role {
		return true
	}
	return b.own.Position-b.told >= gap/2 && now-b.shared >= gap
}

// Due returns the message that is to go to all others now, or nil.
func (s *State) Due(now int64) []byte {
	if s.at == 0 || now < s.at {
		return nil
	}
	s.at = 0
	s.due = slices.DeleteFunc(s.due, func(b *book) bool { // others may have told it meanwhile
		b.due = s.news(now, b)
		return !b.due
	})
	if len(s.due) == 0 {
		return nil
	}
	// Roles first, since writes wait for them; then what the fleet has gone without for longest.
	slices.SortStableFunc(s.due, func(a, b *book) int {
		if an, bn := a.own.Role != a.role, b.own.Role != b.role; an != bn {
			if an {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.shared, b.shared)
	})
	most := min(len(s.due), MaxFacts)
	if can := int((s.pay/float64(s.conf.Gateways-1) - headSize) / factSize); can < most {
		most = can
	}
	if most < 1 { // no pay: later, when more has come in
		s.at = now + s.conf.Within/holdPart
		return nil
	}
	facts := make([]Fact, 0, most)
	for _, b := range s.due[:most] {
		b.due = false
		f := b.fact()
		b.spread(now, &f)
		facts = append(facts, f)
	}
	if s.due = slices.Delete(s.due, 0, most); len(s.due) > 0 {
		s.at = now + s.conf.Within/holdPart
	}
	m := Encode(now, facts)
	s.pay -= float64(len(m) * (s.conf.Gateways - 1))
	return m
}

// Hear takes a message of another gateway and returns what of it is news and may be believed. A message that can't be
// read in any part tells nothing.
func (s *State) Hear(now int64, from int, data []byte) []Fact {
	if !s.conf.on() {
		return nil
	}
	if len(data) > 0 && data[0] == loadVersion {
		if !s.hearLoad(now, from, data) {
			s.dropped++
		}
		return nil
	}
	facts, err := decode(now, data)
	if err != nil {
		s.dropped++
		return nil
	}
	var news []Fact
	for _, f := range facts {
		b := s.codes[f.code]
		if b == nil {
			continue
		}
		b.spread(now, &f.Fact)
		f.Host = b.id
		news = append(news, f.Fact)
	}
	return news
}
