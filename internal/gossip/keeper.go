package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	candidates = 8         // gateways that may keep a group, in the order in which they are asked
	passOver   = 5_000_000 // one that did not answer is asked again after about this time
	delay      = 40_000    // about what a report and a digest take on their way, and in waiting for company
	least      = 40_000    // digests of a group are no closer: news are no fresher
	calm       = 2         // a digest waits until requests have paid so many times its price, if nothing presses
	press      = 5         // it is pressing after two of these parts of Within: positions grow too old to be used
	askEarn    = 0.1       // hosts asked for each attempt at a replica: knowledge must not cost more than it brings
	askBurst   = 8.0       // enough for all of a group at its start
	unsure     = 1_000_000 // the rate of attempts is not known before: digests come as pressing ones do
)

// circle is a group of hosts and its keeper.
type circle struct {
	code  uint32
	books []*book
	short map[uint16]*book // by the part of the code that digests have
	order []int            // gateways that may keep it

	asked int64 // since when a report waits for a digest; 0 if none does
	of    int   // whom it was sent

	reported     bool    // as its keeper: there is something to tell
	heardAt      int64   // when that was reported last
	asks         float64 // that may be named by Ask
	begun        int     // attempts reported since the last digest
	since        int64   // the first report ever
	last, nextAt int64

	rate  float64 // attempts at replicas in a second
	at    int64   // sending of the digest that was heard last; 0 if none was
	every int64   // when the next was to follow it
}

// circle returns the group's, made when first asked for.
func (s *State) circle(group int64) *circle {
	id := uint32(xxhash.Sum64String("group "+strconv.FormatInt(group, 10)) >> 40)
	if c := s.groups[id]; c != nil { // two groups with one code share a keeper; hosts are told apart by their own codes
		return c
	}
	c := &circle{code: id, asks: askBurst, short: map[uint16]*book{}, order: order(id, s.conf.Gateways)}
	s.circles = append(s.circles, c)
	s.groups[id] = c
	return c
}

// order ranks gateways for a group by rendezvous hashing: each finds the same order, groups spread evenly, and one that
// is passed over moves only what it kept.
func order(id uint32, gateways int) []int {
	type ranked struct {
		hash    uint64
		ordinal int
	}
	var best []ranked
	var b [8]byte
	binary.BigEndian.PutUint32(b[:], id)
	for o := range gateways {
		binary.BigEndian.PutUint32(b[4:], uint32(o))
		r := ranked{xxhash.Sum64(b[:]), o}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ordinal, b.ordinal))
		})
		if best = slices.Insert(best, i, r); len(best) > candidates {
			best = best[:candidates]
		}
	}
	var os []int
	for _, r := range best {
		os = append(os, r.ordinal)
	}
	return os
}

// keeper is the first candidate that is not known to be silent.
func (s *State) keeper(now int64, c *circle) int {
	for _, o := range c.order {
		if o == s.conf.Ordinal || s.dead[o] <= now {
			return o
		}
	}
	return c.order[0]
}

// chance returns a number from 0 on and below 1.
func (s *State) chance() float64 { return float64(s.rand.Below(1<<30)) / (1 << 30) }

// heard tells whether a digest came lately.
func (c *circle) heard(now int64) bool { return c.at != 0 && now-c.at <= max(forget, 2*c.every) }

// wait notes that a report goes to a keeper, which is to be heard of.
func (c *circle) wait(now int64, to int) {
	if c.asked == 0 || c.of != to {
		c.asked, c.of = now, to
	}
}

// giveUp passes over a keeper that was told and tells nothing.
func (s *State) giveUp(now int64, c *circle) {
	if c.asked != 0 && now-c.asked > max(s.conf.FreshnessWindow, c.every)+s.conf.FreshnessWindow/2 {
		s.dead[c.of] = now + passOver/2 + s.rand.Below(passOver)
		c.asked = 0
	}
}

// MaxReportDelay is how long the fleet may have nothing to tell of a host that answers somebody.
func (s *State) MaxReportDelay(host string) int64 {
	b := s.hosts[host]
	if b == nil || b.circle.at == 0 {
		return 0
	}
	return b.circle.every + 2*delay
}

// take is the keeper's part: it takes in what a gateway has reported of a host.
func (s *State) take(now, sent int64, from int, b *book, r *report) {
	c := b.circle
	c.reported, c.heardAt = true, now
	if r.Role == Primary && b.best.Role != Primary && r.Position > b.best.Position { // writes wait for it
		c.nextAt = now
	}
	b.improve(now, r.HostFact)
	if r.LatencyShare > 0 || r.Failing {
		b.all.add(r.LatencyShare, r.Failing)
	}
	if b.best.Role != Primary { // reads go to one replica or another; what goes to the primary has no choice
		c.begun += r.begun
		c.asks = min(askBurst, c.asks+askEarn*float64(r.begun))
	}
	if b.count == nil {
		b.count = make([]count, s.conf.Gateways)
	}
	n := &b.count[from]
	if sent < n.at || now-sent > forget { // overtaken, or from before a stall
		return
	}
	b.held += r.out - n.n
	*n = count{r.out, sent}
}

// improve takes what is known later of a host's log.
func (b *book) improve(now int64, f HostFact) {
	if f.Position > b.best.Position {
		b.best, b.seen = HostFact{Host: b.id, Position: f.Position, Role: f.Role}, now
	}
}

// HostsToCheck returns the hosts that this gateway, as their keeper, wants to be asked for their position. One that nobody has
// heard of for a while gets no bounded reads, and without reads nobody hears of it: of a group the first hosts that are
// known would take all. Those that lag by long are asked seldom, and so is everybody where the group is idle.
func (s *State) HostsToCheck(now int64) (hosts []string) {
	gap := s.conf.FreshnessWindow / 2
	for _, c := range s.circles {
		if c.heardAt == 0 || now-c.heardAt > gap || s.keeper(now, c) != s.conf.Ordinal {
			continue
		}
		for _, b := range c.books {
			lag := max(b.seen-b.best.Position, 0)
			if b.best.Role != Primary && now-b.seen > gap && now-b.asked > max(gap, min(lag, maxEvery)/4) && c.asks >= 1 {
				c.asks--
				b.asked = now
				hosts = append(hosts, b.id)
			}
		}
	}
	return hosts
}

// others is how many attempts the other gateways have out, as they have reported.
func (s *State) others(now int64, b *book) int {
	if b.count == nil {
		return 0
	}
	if now-b.swept > forget/4 { // gateways that died, and reports that were lost
		b.swept = now
		for i := range b.count {
			if n := &b.count[i]; n.n > 0 && now-n.at > forget && i != s.conf.Ordinal {
				b.held -= n.n
				n.n = 0
			}
		}
	}
	return b.held - b.count[s.conf.Ordinal].n
}

// deaf tells whether this gateway hears nobody, or all too late for what it hears to be used. As a keeper it would tell
// of what it has seen itself, and be taken for one that knows; silent, it is passed over. Where nobody else has
// anything to report, nobody misses it.
func (s *State) deaf(now int64) bool { return now-s.newest > s.conf.FreshnessWindow }

// digest returns what the keeper of a group tells all others now, or nil.
func (s *State) digest(now int64, c *circle) []byte {
	if !c.reported || now < c.nextAt || s.deaf(now) {
		return nil
	}
	if c.last == 0 {
		c.since, c.last = now, now-unsure/4
	}
	elapsed := float64(now-c.last) / 1e6
	c.rate += min(1, max(elapsed, unsure/1e6-float64(now-c.since)/1e6)) * (float64(c.begun)/elapsed - c.rate)
	c.begun, c.last, c.reported = 0, now, false

	// The primary goes first; who says later that it is one is.
	var primary *book
	for _, b := range c.books {
		if b.best.Role == Primary && (primary == nil || b.best.Position > primary.best.Position) {
			primary = b
		}
	}
	var entries []byte
	add := func(b *book) {
		load := float64(s.others(now, b) + b.out)
		if c.heard(now) {
			load = max(load, b.load) // another tells of the group, too, and some can't hear it
		}
		f := b.best
		b.all.put(&f)
		told := f.Position > b.told && f.Role != Unknown && (b == primary || f.Role == Replica)
		if load == 0 && b.all.n == 0 && !told || c.short[uint16(b.code)] != b || digestHead+len(entries)+entrySize > MaxMessage {
			return
		}
		if !told {
			f.Position = 0
		} else {
			b.told = f.Position
		}
		if b == primary {
			b.crowd.learn(f.LatencyShare, load, s.chance())
		}
		b.all = samples{}
		entries = appendEntry(entries, now, b.code, f, load)
	}
	leads := false
	if primary != nil {
		add(primary)
		leads = len(entries) > 0
	}
	for _, b := range c.books {
		if b != primary {
			add(b)
		}
	}
	cost := float64((digestHead + len(entries)) * (s.conf.Gateways - 1))
	paid := maxEvery * 2.0
	if c.rate > 0 {
		paid = min(paid, cost/(c.rate*s.conf.BytesPerRequest)*1e6)
	}
	pressing := float64(s.conf.FreshnessWindow) * 2 / press
	if now-c.since >= unsure {
		pressing = max(pressing, paid)
	}
	every := int64(min(max(calm*paid, least), pressing))
	c.nextAt = now + every
	return append(appendDigestHead(head(now, digestVersion), c.code, every, c.rate, leads), entries...)
}

// hearReport takes a report, as a keeper; the gateway itself learns by it, too.
func (s *State) hearReport(now, sent int64, from int, body []byte) ([]HostFact, error) {
	if len(body)%reportSize != 0 {
		return nil, errMessage
	}
	reports := make([]report, 0, len(body)/reportSize)
	for ; len(body) > 0; body = body[reportSize:] {
		r, err := readReport(sent, body)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	var facts []HostFact
	for _, r := range reports {
		if b := s.codes[r.code]; b != nil {
			r.Host = b.id
			s.take(now, sent, from, b, &r)
			facts = append(facts, r.HostFact)
		}
	}
	return facts, nil
}

// hearDigest takes a digest. Loads are believed of the keeper that this gateway reports to; another, which some others
// report to while they can't hear the first, knows a part of them only.
func (s *State) hearDigest(now, sent int64, from int, body []byte) ([]HostFact, error) {
	d, err := readDigest(sent, body)
	if err != nil {
		return nil, err
	}
	c := s.groups[d.group]
	if c == nil {
		return nil, nil
	}
	if c.of == from {
		c.asked = 0
	}
	followed := (s.keeper(now, c) == from || s.keeper(now, c) == s.conf.Ordinal) && sent > c.at
	if followed {
		c.at, c.every, c.rate = sent, d.every, d.rate
		for _, b := range c.books { // of whom nothing is said, nothing is out
			b.load, b.mine = 0, 0
		}
	}
	var facts []HostFact
	for _, e := range d.entries {
		b := c.short[e.code]
		if b == nil {
			continue
		}
		if followed {
			b.load, b.mine = e.load, b.said
		}
		b.improve(now, e.HostFact)
		if followed && b.best.Role == Primary { // one that answers nothing more is told of without its role
			b.crowd.learn(e.LatencyShare, e.load, s.chance())
		}
		if e.Position > 0 || e.LatencyShare > 0 || e.Failing {
			e.Host = b.id
			facts = append(facts, e.HostFact)
		}
	}
	return facts, nil
}
