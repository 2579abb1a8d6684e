// Package fleet is the part of the program that lets gateways decide together: it puts the pure cores (replica, accord, zonal)
// beside a running gateway.
//
// A thread for each duty: the gateway's own goroutine observes how attempts end; the core merges what others say and
// decides; the exchange sends; what is in force is applied by a view that the gateway reads. They are joined by rings of a
// fixed size: one that is full loses its oldest, counted, and nobody waits. No request waits for any of it.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/agreement"
	"cloverrock/internal/app"
	"cloverrock/internal/config"
	"cloverrock/internal/crdt"
	"cloverrock/internal/gateway"
	"cloverrock/internal/membership"
	"cloverrock/internal/settings"
	"cloverrock/internal/zonefailover"
)

// The kinds of entries, on the wire.
const (
	votes   crdt.Kind = 1
	decided crdt.Kind = 2
)

const (
	second  = int64(1e6)
	beat    = 100 * time.Millisecond
	rounds  = 2500 * time.Millisecond
	stalled = 2 * time.Second // a gap in the core's own time after which it knows nothing of the others until it has asked
	ends    = 4096            // of the ring of ends of attempts
	letters = 1024            // of the rings of messages in and out
)

// ZonesError is a deployment that has no zones to leave.
type ZonesError struct{ Zones int }

func (e *ZonesError) Error() string {
	return fmt.Sprintf("fleet.zones: the configuration names %d zones", e.Zones)
}

// Remedy says what an operator can do.
func (e *ZonesError) Remedy() string {
	return "take fleet.zones out of the settings file, or name two zones or more in settings.zones of the configuration"
}

// PinError is a pin on a zone that there is not.
type PinError struct {
	Zone  string
	Known []string
}

func (e *PinError) Error() string {
	return fmt.Sprintf("fleet.zones.pin.%s: no such zone; there are %v", e.Zone, e.Known)
}

// Remedy says what an operator can do.
func (e *PinError) Remedy() string { return "correct the name in the settings file, and send SIGHUP" }

// ring is a channel that loses its oldest when it is full.
type ring[T any] struct {
	c    chan T
	lost atomic.Int64
}

func newRing[T any](size int) *ring[T] { return &ring[T]{c: make(chan T, size)} }

func (r *ring[T]) put(v T) {
	for {
		select {
		case r.c <- v:
			return
		default:
		}
		select {
		case <-r.c:
			r.lost.Add(1)
		default:
		}
	}
}

// letter is a message from or to a member; one without a name is for all.
type letter struct {
	name, key string
	b         []byte
}

// end is how an attempt or a probe ended, as the gateway saw it.
type end struct {
	host   string
	class  int
	result balance.Result
	took   int64
	at     time.Time
}

// view is what is in force, for the gateway to read.
type view struct{ shares atomic.Pointer[[]byte] }

// ReadShare implements balance.View.
func (v *view) ReadShare(zone int) float64 {
	if s := v.shares.Load(); zone < len(*s) {
		return float64((*s)[zone]) / zonefailover.FullShare
	}
	return 1
}

// Component is the fleet beside one gateway, round another part.
type Component struct {
	app.Component
	set    *settings.Fleet
	reread func() (*settings.Settings, error)
	log    zerolog.Logger
	conf   *config.Config
	units  []string // zones, or regions, by number
	unit   []int    // by zone
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	ends *ring[end]
	in   *ring[letter]
	out  *ring[letter]
	pins chan map[string]string
	view view

	gateway app.Gateway
	members *membership.Members

	// What follows belongs to the core's goroutine.
	state   *crdt.State
	council *agreement.Participant
	zonal   *zonefailover.State
	sight   *zonefailover.EvidenceCollector
	hosts   map[string]place
	round   uint64
	behind  bool
	late    int
}

// place is where a host is.
type place struct {
	unit  int
	group int64
}

// Join puts the fleet round another part. It starts when the gateway is attached.
func Join(inner app.Component, set *settings.Fleet, reread func() (*settings.Settings, error), log zerolog.Logger) *Component {
	p := &Component{Component: inner, set: set, reread: reread, log: log.With().Str("part", "fleet").Logger(), hosts: map[string]place{},
		ends: newRing[end](ends), in: newRing[letter](letters), out: newRing[letter](letters), pins: make(chan map[string]string, 1)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// OverlayConfig implements app.Part.
func (p *Component) OverlayConfig(c *config.Config) *config.Config {
	p.conf = p.Component.OverlayConfig(c)
	return p.conf
}

// ReloadConfig implements app.Part: pins are read again with the configuration.
func (p *Component) ReloadConfig() (*config.Config, error) {
	if set, err := p.reread(); err != nil {
		p.log.Error().Err(err).Msg("the settings stay as they were")
	} else if set.Fleet != nil && set.Fleet.Zones != nil {
		select {
		case p.pins <- set.Fleet.Zones.Pin:
		default:
		}
	}
	return p.Component.ReloadConfig()
}

// Attach implements app.Part.
func (p *Component) Attach(g app.Gateway) {
	p.Component.Attach(g)
	p.gateway = g
	z := p.set.Zones
	if z == nil {
		return
	}
	p.chart(z.Regions)
	if len(p.units) < 2 {
		err := &ZonesError{len(p.units)}
		p.log.Warn().Err(err).Str("remedy", err.Remedy()).Msg("zones can't be left here: this part stays off")
		return
	}
	var err error
	if p.members, err = membership.Open(membership.Config{Name: p.conf.Name, Listen: p.set.Listen, Join: p.set.Join, Relay: p.set.Relay, Log: p.log,
		OnMessage: func(from string, b []byte) { p.in.put(letter{name: from, b: b}) }}); err != nil {
		log := p.log.Error().Err(err)
		if r, ok := err.(interface{ Remedy() string }); ok {
			log = log.Str("remedy", r.Remedy())
		}
		log.Msg("the fleet can't be joined; the gateway serves without it")
		return
	}
	p.start(z)
	whole := slices.Repeat([]byte{zonefailover.FullShare}, len(p.unit))
	p.view.shares.Store(&whole)
	g.SetZoneShares(&p.view)
	g.ObserveOutcomes(func(host string, class int, o gateway.Outcome) {
		p.ends.put(end{host, class, o.Result, o.Latency, time.Now()})
	})
	p.wg.Go(p.exchange)
	p.wg.Go(p.core)
	p.log.Info().Strs("zones", p.units).Str("listen", p.set.Listen).Msg("decides with its fleet which zones are used")
}

// chart gives each zone its unit: its region, or itself.
func (p *Component) chart(regions map[string]string) {
	for _, zone := range p.conf.Names.Zones {
		name := zone
		if r := regions[zone]; r != "" {
			name = r
		}
		i := slices.Index(p.units, name)
		if i < 0 {
			i, p.units = len(p.units), append(p.units, name)
		}
		p.unit = append(p.unit, i)
	}
}

func (p *Component) start(z *settings.Zones) {
	taken := func(what string) bool { return slices.Contains(z.Without, what) }
	incarnation := uint64(time.Now().UnixMicro())
	hold := 10 * 60 * second
	p.state = crdt.New(crdt.Config{Self: p.conf.Name, Incarnation: incarnation, MaxClockSkew: 5 * second, Kinds: map[crdt.Kind]crdt.KindConfig{
		votes:   {Name: "votes", Rule: crdt.LastWriterWins, TTL: 60 * second, MaxValueSize: 1 + 4*255},
		decided: {Name: "decided", Rule: crdt.HighestEpoch, TTL: hold, MaxValueSize: 1024},
	}})
	p.council = agreement.New(agreement.Config{Self: p.conf.Name, VoteKind: votes, DecisionKind: decided, EffectDelay: int64(z.DelayMS) * 1000, ProposerDelay: 200_000,
		VoteTTL: 30 * second, DecisionTTL: hold, RequireQuorum: !taken("quorum")}, p.state)
	own := -1
	if p.conf.Settings.Zone < len(p.unit) {
		own = p.unit[p.conf.Settings.Zone]
	}
	conf := zonefailover.Config{Zones: p.units, OwnZone: own, MaxEvacuated: z.AtOnce, RequiredShare: 0.6, MinViews: min(3, max(1, p.conf.Gateways/3)), MaxLatencyShare: 0.6,
		RecoverySteps: []byte{2, 5, 10, 20, 40, 70, zonefailover.FullShare}, StepDuration: int64(z.StepMS) * 1000, EvacuationTime: int64(z.AwayMS) * 1000, MaxEvacuationTime: 300 * second, BackoffReset: 600 * second,
		PacedRecovery: !taken("pace"), CheckCapacity: !taken("capacity")}
	if z.StepMS == 0 { // as many steps as a host takes to be warm
		conf.StepDuration = max(second, p.conf.Settings.SlowStartDuration/int64(len(conf.RecoverySteps)))
	}
	if taken("quorum") {
		conf.MinViews = 1
	}
	p.zonal = zonefailover.New(conf, p.council)
	p.sight = zonefailover.NewEvidenceCollector(zonefailover.EvidenceConfig{Zones: len(p.units), Window: 4 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
	p.pin(z.Pin)
}

func (p *Component) pin(pins map[string]string) {
	for i := range p.units {
		p.zonal.SetOverride(i, zonefailover.NoOverride)
	}
	for zone, how := range pins {
		i := slices.Index(p.units, zone)
		if i < 0 {
			err := &PinError{zone, p.units}
			p.log.Error().Err(err).Str("remedy", err.Remedy()).Msg("the pin is passed over")
			continue
		}
		p.zonal.SetOverride(i, map[string]zonefailover.Override{"kept": zonefailover.ForceInUse, "left": zonefailover.ForceEvacuated}[how])
		p.log.Info().Str("zone", zone).Str("pin", how).Msg("pinned")
	}
}

// Close implements app.Part.
func (p *Component) Close() {
	p.stop()
	p.wg.Wait()
	if p.members != nil {
		p.members.Close()
	}
	p.Component.Close()
}

// exchange sends. A member that does not answer holds up what is for others, so no more than the ring is kept for it.
func (p *Component) exchange() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case l := <-p.out.c:
			if l.name == "" {
				p.members.Broadcast(l.key, l.b)
			} else if err := p.members.Send(l.name, l.b); err != nil {
				p.log.Debug().Err(err).Msg("a message was not sent")
			}
		}
	}
}

// core merges, decides and applies. It alone owns the state.
func (p *Component) core() {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	last, asked, listed := time.Now(), time.Time{}, time.Time{}
	for n := 0; ; {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.ends.c:
			p.see(e)
			continue
		case l := <-p.in.c:
			p.hear(l)
			continue
		case pins := <-p.pins:
			p.pin(pins)
		case <-tick.C:
		}
		now := time.Now()
		if gap := now.Sub(last); gap > stalled { // what it last knew of the others is old, and what it saw was its own stop
			p.log.Warn().Dur("gap_ms", gap).Msg("this process stood still: it says nothing before it has caught up")
			p.behind, asked = true, time.Time{}
			p.sight = zonefailover.NewEvidenceCollector(zonefailover.EvidenceConfig{Zones: len(p.units), Window: 4 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
		}
		last = now
		if now.Sub(listed) > time.Second {
			listed = now
			p.list()
		}
		roll := p.members.Snapshot()
		if wait := rounds; now.Sub(asked) > wait || p.behind && now.Sub(asked) > wait/5 {
			asked = now
			p.ask(roll)
		}
		if p.behind && (p.state.CaughtUpRound() == p.round || roll.AliveCount() < 2) {
			p.behind = false
			p.log.Info().Msg("caught up")
		}
		if n++; n%2 == 0 && !p.behind {
			p.decide(now.UnixMicro(), roll)
		}
		p.apply(now.UnixMicro())
	}
}

// list takes over where hosts are.
func (p *Component) list() {
	_, l, ok := p.gateway.Snapshot()
	if !ok {
		return
	}
	clear(p.hosts)
	for _, e := range l.Endpoints {
		if e.Zone < len(p.unit) {
			p.hosts[e.Host] = place{p.unit[e.Zone], e.Group}
		}
	}
}

func (p *Component) see(e end) {
	at, known := p.hosts[e.host]
	if !known {
		return
	}
	seen := zonefailover.Observation{Host: e.host, Zone: at.unit, Group: at.group, HealthCheck: e.class == gateway.HealthCheckClass, At: e.at.UnixMicro()}
	switch e.result {
	case balance.Succeeded:
		if !seen.HealthCheck && e.class < len(p.conf.Settings.Classes) {
			seen.LatencyShare = float64(e.took) / float64(p.conf.Settings.Classes[e.class].LatencyObjective)
		}
	case balance.NotPrimary, balance.Overloaded: // it is there, and says so
	case balance.Failed, balance.TimedOut, balance.ConnectionRefused, balance.ConnectionReset:
		seen.Failed = true
	default: // ended from this side
		return
	}
	p.sight.Observe(seen)
}

func (p *Component) hear(l letter) {
	m, err := crdt.Decode(l.name, l.b)
	if err != nil {
		p.log.Debug().Err(err).Msg("a message can't be read")
		return
	}
	now := time.Now().UnixMicro()
	answers, changed := p.state.Receive(now, m)
	for _, d := range p.council.Apply(now, changed) {
		ahead := d.EffectiveAt - now
		p.log.Info().Uint64("epoch", d.Epoch).Ints("shares", ints(d.Value)).Str("by", d.Proposer).Int64("ahead_ms", ahead/1000).Msg("agreed")
	}
	if len(m.GroupDigests) == 0 && m.Round == 0 { // news: the others hear it from here, too
		p.tell(changed...)
	}
	for _, a := range answers {
		p.send(l.name, a)
	}
	if f := p.state.TakeConflictingOrigin(); f != nil {
		p.log.Error().Err(f).Str("remedy", f.Remedy()).Msg("a name is used twice")
	}
}

func ints(b []byte) (all []int) {
	for _, n := range b {
		all = append(all, int(n))
	}
	return all
}

// tell spreads entries to all.
func (p *Component) tell(entries ...crdt.Entry) {
	for _, e := range entries {
		if b, err := crdt.Encode(&crdt.Message{Entries: []crdt.Entry{e}}); err == nil {
			p.out.put(letter{key: fmt.Sprint(e.Kind, "/", e.Name, "/", e.Origin), b: b})
		}
	}
}

func (p *Component) send(name string, m *crdt.Message) {
	if b, err := crdt.Encode(m); err == nil {
		p.out.put(letter{name: name, b: b})
	}
}

// ask begins a round with a member drawn at random.
func (p *Component) ask(roll agreement.Members) {
	var others []string
	for name, alive := range roll {
		if alive && name != p.conf.Name {
			others = append(others, name)
		}
	}
	if len(others) > 0 {
		p.round++
		p.send(others[rand.IntN(len(others))], p.state.StartRound(p.round))
	}
}

func (p *Component) decide(now int64, roll agreement.Members) {
	if e, ok := p.zonal.Vote(now, p.sight.Assess(now, p.zonal.OwnZone())); ok {
		p.tell(e)
	}
	p.tell(p.zonal.Decide(now, roll)...)
	p.state.Expire(now)
	for _, l := range p.zonal.TakeLog() {
		ev := p.log.Info().Str("zone", l.Zone).Uint64("epoch", l.Epoch).Int("share", int(l.Share)).Int("members", len(roll)).Int("alive", roll.AliveCount())
		if l.NextStepIn > 0 {
			ev = ev.Dur("next_ms", l.NextStepIn)
		}
		ev.Msg(l.Message)
	}
	if lost := int(p.ends.lost.Load() + p.in.lost.Load() + p.out.lost.Load()); lost > p.late {
		p.log.Warn().Int("lost", lost-p.late).Msg("rings were full: the oldest of what was in them is lost")
		p.late = lost
	}
}

// apply puts what is in force before the gateway.
func (p *Component) apply(now int64) {
	shares := make([]byte, len(p.unit))
	for zone, unit := range p.unit {
		shares[zone] = p.zonal.Share(now, unit)
	}
	was := p.view.shares.Load()
	if !slices.Equal(*was, shares) {
		_, epoch := p.zonal.InEffect(now)
		p.view.shares.Store(&shares)
		p.log.Info().Ints("shares", ints(shares)).Uint64("epoch", epoch).Int64("late_ms", p.zonal.InEffectFor(now)/1000).Msg("in force")
	}
}
