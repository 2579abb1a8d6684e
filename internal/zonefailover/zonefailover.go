// Package zonal decides when a fleet leaves a zone that fails, and by which steps it returns. Where zones belong to regions,
// what is called a zone here is a region: all of its hosts are one.
//
// Each gateway judges each zone by what it sees of it itself (sight.go) and says so as a vote. A zone is left when most of
// the gateways that lie outside it, see each other and have a view of it find it bad, and only as far as the other zones
// bear its load; it is returned to by steps of share, each agreed on like the leaving, at a pace that hosts which
// have started cold bear, and taken back when answers worsen. Agreement is accord's: one epoch, one moment for all.
// Nothing here does I/O, reads a clock or starts anything.
package zonefailover

import (
	"fmt"
	"slices"
	"time"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
)

// Whole is the share of a zone that is used in full, in hundredths.
const Whole = 100

// Config says how zones are left. Times are microseconds.
type Config struct {
	Zones []string // by index
	Own   int      // this gateway's zone; -1: none

	AtOnce  int     // zones that may be left at a time
	Bad     float64 // of the gateways with a view, the part that must find a zone bad
	Views   int     // gateways that must have a view at the least
	Bear    float64 // of their limit, what the other zones may be loaded to
	Steps   []byte  // shares of a return, rising, the last Whole
	Step    int64   // a step's least time
	Away    int64   // how long a zone is left for at the least; doubled with each return that was taken back
	AwayMax int64
	Calm    int64 // after so long in full use, Away is as at first

	// What an experiment takes away, to see that it is missed.
	Pace, Capacity bool
}

// Pin is what an operator wants of a zone, whatever is seen.
type Pin uint8

// Pins.
const (
	Free Pin = iota
	Kept
	Left
)

// View is what one gateway finds of one zone.
type View struct {
	Verdict Verdict
	Used    byte   // of their aim, what answers there take: hundredths, 255 at the most
	Load    uint16 // requests of late, in tenths a second
}

// Verdict is what a gateway finds.
type Verdict byte

// Verdicts.
const (
	Unseen Verdict = iota // too little was seen of it
	Good
	Bad
)

const each = 4 // bytes of a view

// encode is a vote's body: the gateway's zone, 255 if none, and its view of each.
func encode(own int, views []View) []byte {
	b := []byte{byte(own)}
	for _, v := range views {
		b = append(b, byte(v.Verdict), v.Used, byte(v.Load>>8), byte(v.Load))
	}
	return b
}

// decode reads of a vote's body what it says of one zone.
func decode(b []byte, zone int) (own int, v View, ok bool) {
	if at := 1 + zone*each; len(b) >= at+each && b[at] <= byte(Bad) {
		return int(b[0]), View{Verdict(b[at]), b[at+1], uint16(b[at+2])<<8 | uint16(b[at+3])}, true
	}
	return 0, v, false
}

// changed tells that views say something else than those that were told last. What others add up needs no more than a
// third; a verdict always counts.
func changed(was, now []View) bool {
	apart := func(a, b float64) bool { return max(a, b) > 1.33*min(a, b)+10 }
	for i := range now {
		if i >= len(was) || was[i].Verdict != now[i].Verdict || apart(float64(was[i].Used), float64(now[i].Used)) ||
			apart(float64(was[i].Load), float64(now[i].Load)) {
			return true
		}
	}
	return false
}

// Line is a thing for operators to read.
type Line struct {
	Zone, Text string
	Epoch      uint64
	Share      byte
	Next       time.Duration // until the next step may come; 0 if none does
}

// State is what a gateway holds of all zones.
type State struct {
	conf    Config
	council *agreement.Participant
	zones   []zone
	epoch   uint64 // as last noted
	whole   []byte // all zones in full use
	lines   []Line
	said    []View
	calm    []float64        // the least that answers of a zone took of their aim, on the mean
	votes   []agreement.Vote // of the round that is being decided
}

type zone struct {
	pin   Pin
	share byte
	since int64 // when it took effect
	away  int64 // how long it is left for at the least, the next time
}

// New returns a state in which all zones are whole.
func New(conf Config, council *agreement.Participant) *State {
	s := &State{conf: conf, council: council, zones: make([]zone, len(conf.Zones)), calm: make([]float64, len(conf.Zones)), whole: slices.Repeat([]byte{Whole}, len(conf.Zones))}
	for i := range s.zones {
		s.zones[i] = zone{share: Whole, away: conf.Away}
	}
	return s
}

// topic is that of all votes and decisions. One for all zones: a gateway has one thing to say, and what has to hold of
// the zones together, that so many are left at a time and the others bear it, holds of each decision by itself.
const topic = "zones"

// Vote says what this gateway sees, if that is new or was said long ago; the entry is to be told to the others.
func (s *State) Vote(now int64, views []View) (crdt.Entry, bool) {
	if !changed(s.said, views) {
		views = s.said
	}
	e, ok := s.council.Vote(now, topic, encode(s.conf.Own, views))
	if ok {
		s.said = slices.Clone(views)
	}
	return e, ok
}

// Pin sets what operators want of a zone.
func (s *State) Pin(zone int, p Pin) { s.zones[zone].pin = p }

// Share is how much of a zone is used now, in hundredths.
func (s *State) Share(now int64, zone int) byte {
	switch s.zones[zone].pin {
	case Kept:
		return Whole
	case Left:
		return 0
	}
	shares, _ := s.council.InEffect(now, topic, s.whole)
	return of(shares, zone)
}

// Own is this gateway's zone; -1: none.
func (s *State) Own() int { return s.conf.Own }

// Epoch is what is in force.
func (s *State) Epoch(now int64) (shares []byte, epoch uint64) {
	return s.council.InEffect(now, topic, s.whole)
}

// Late is how long what is in force has been so.
func (s *State) Late(now int64) int64 {
	if d, ok := s.council.Latest(topic); ok && now >= d.EffectiveAt {
		return now - d.EffectiveAt
	}
	return 0
}

// of is a zone's share in a decision. One that was made with other zones in mind says nothing of those it lacks.
func of(shares []byte, zone int) byte {
	if zone < len(shares) {
		return min(shares[zone], Whole)
	}
	return Whole
}

// Lines returns what operators should read since they were last asked for.
func (s *State) Lines() []Line {
	l := s.lines
	s.lines = nil
	return l
}

func (s *State) say(i int, z *zone, next int64, format string, a ...any) {
	s.lines = append(s.lines, Line{Zone: s.conf.Zones[i], Text: fmt.Sprintf(format, a...), Epoch: s.epoch, Share: z.share,
		Next: time.Duration(next) * time.Microsecond})
}

// tally is what the votes on a zone come to.
type tally struct {
	good, bad, unseen int
	used              float64 // mean of those that find it good
}

func (t tally) views() int { return t.good + t.bad }

// count adds up the votes of gateways that lie outside a zone. All gateways of a zone may be cut off with it, and then see
// everybody else as bad: those inside have no say.
func (s *State) count(i int) (t tally) {
	for _, v := range s.votes {
		own, view, ok := decode(v.Body, i)
		if !ok || own == i {
			continue
		}
		switch view.Verdict {
		case Good:
			t.good++
			t.used += float64(view.Used) / 100
		case Bad:
			t.bad++
		case Unseen:
			t.unseen++
		}
	}
	if t.good > 0 {
		t.used /= float64(t.good)
	}
	return t
}

// Decide looks at all zones, and returns what is to be told to the others: a proposal whose turn has come.
func (s *State) Decide(now int64, members agreement.Members) (told []crdt.Entry) {
	s.votes = s.council.Votes(now, topic, members)
	s.note(now)
	s.measure()
	next := make([]byte, len(s.zones))
	any := false
	for i := range s.zones {
		next[i] = s.zones[i].share
		if d, ok := s.council.Latest(topic); ok {
			next[i] = of(d.Value, i)
		}
	}
	for i := range s.zones {
		if share, due := s.due(now, i, next); due {
			next[i], any = share, true
		}
	}
	if !any {
		s.council.Withdraw(topic)
		if e, ok := s.council.Resend(now, topic, members); ok {
			told = append(told, e)
		}
	} else if e, ok := s.council.Propose(now, topic, next, s.whole, members); ok {
		told = append(told, e)
		for i, share := range next {
			if t := s.count(i); share != s.zones[i].share {
				s.say(i, &s.zones[i], 0, "proposed share %d: %d gateways find it bad, %d good, %d have no view", share, t.bad, t.good, t.unseen)
			}
		}
	}
	return told
}

// note follows the shares that are in force.
func (s *State) note(now int64) {
	shares, epoch := s.council.InEffect(now, topic, s.whole)
	from := now
	if d, ok := s.council.Latest(topic); ok && d.Epoch == epoch {
		from = d.EffectiveAt
	}
	news := epoch != s.epoch
	s.epoch = epoch
	for i := range s.zones {
		z := &s.zones[i]
		share, was := of(shares, i), z.share
		if !news || share == was {
			if share == Whole && now-z.since > s.conf.Calm {
				z.away = s.conf.Away
			}
			continue
		}
		z.share, z.since = share, from
		switch {
		case share < was && was < Whole: // a return was taken back
			z.away = min(2*z.away, s.conf.AwayMax)
			s.say(i, z, z.away, "return taken back at %d of 100", was)
		case share < was:
			s.say(i, z, z.away, "left")
		case share == Whole:
			s.say(i, z, 0, "in full use again")
		default:
			s.say(i, z, s.conf.Step, "returning")
		}
	}
}

// due is the share of a zone that should be agreed on next, if that is another; next has what is to be of the others.
func (s *State) due(now int64, i int, next []byte) (share byte, due bool) {
	z := &s.zones[i]
	t := s.count(i)
	bad := t.views() >= s.conf.Views && float64(t.bad) >= s.conf.Bad*float64(t.views())
	good := t.views() >= 1 && float64(t.bad) <= (1-s.conf.Bad)*float64(t.views())
	switch {
	case bad && z.share == Whole:
		if away(i, next) >= s.conf.AtOnce {
			return 0, false
		}
		share = s.bearable(i)
		return share, share < Whole
	case z.share == Whole:
		return 0, false
	case bad && z.share > 0: // but not for what was sent before the step
		share = s.bearable(i)
		return share, share < z.share && now-z.since > s.conf.Step/4
	case !good:
		return 0, false
	case z.share == 0 && now-z.since < z.away, z.share > 0 && now-z.since < s.conf.Step && s.conf.Pace:
		return 0, false
	case z.share > 0 && t.used > s.conf.Bear && s.conf.Pace: // answers worsen: the step is held
		return 0, false
	}
	for _, step := range s.conf.Steps {
		if step > z.share && (s.conf.Pace || step == Whole) {
			return step, true
		}
	}
	return Whole, true
}

// away counts the other zones that are left or on their way back.
func away(i int, next []byte) (n int) {
	for o, share := range next {
		if o != i && share < Whole {
			n++
		}
	}
	return n
}

// weigh adds up what all gateways send to a zone, and the mean of what its answers take of their aim, by n of them.
func (s *State) weigh(zone int) (load, used float64, n int) {
	for _, v := range s.votes {
		if _, view, ok := decode(v.Body, zone); ok {
			load += float64(view.Load)
			if view.Verdict == Good && view.Used > 0 {
				used += float64(view.Used) / 100
				n++
			}
		}
	}
	return load, used / float64(max(n, 1)), n
}

// measure notes how little answers of each zone take when it has least to do.
func (s *State) measure() {
	for i := range s.zones {
		if _, used, n := s.weigh(i); n > 0 && (s.calm[i] == 0 || used < s.calm[i]) {
			s.calm[i] = used
		}
	}
}

// measured tells that another zone than i has been seen at work, so that what it bears is known at all.
func (s *State) measured(i int) bool {
	for o, calm := range s.calm {
		if _, used, n := s.weigh(o); o != i && n > 0 && used > calm {
			return true
		}
	}
	return false
}

// bearable is the share of a zone that has to stay for the others to bear what it gives up. Answers of a host in use u take
// 1/(1-u) times what they take of a calm one (processor sharing), so u follows from what they take now and took at
// the least; at Bear of their aim no more is to be given.
func (s *State) bearable(i int) byte {
	if !s.conf.Capacity {
		return 0
	}
	var load, room float64
	for o := range s.zones {
		here, used, n := s.weigh(o)
		if o == i {
			load = here
			continue
		}
		calm := s.calm[o]
		if n == 0 || here == 0 || calm == 0 || used <= calm {
			continue
		}
		use, most := 1-calm/used, 1-calm/s.conf.Bear
		room += here * max(most/use-1, 0)
	}
	if load == 0 || room >= load || len(s.zones) < 2 || !s.measured(i) {
		return 0
	}
	return byte(Whole * (1 - room/load)) // steps of the return go on from there
}
