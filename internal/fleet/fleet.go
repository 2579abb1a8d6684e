// Package fleet runs zone failover in a gateway: it connects the modules that decide (crdt, agreement, zonefailover)
// with the gateway and with the other members of its fleet (membership).
//
// The gateway's goroutine pushes the outcomes of attempts, the decision loop merges received messages and decides, and
// the send loop sends messages. They are connected by rings of a fixed size, which drop and count their oldest element
// when they are full. The shares in effect are published in an atomic value that the gateway reads. Requests never wait
// for any of this.
package fleet

import (
	"context"
	"errors"
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

// The kinds of replicated entries, on the wire.
const (
	voteKind     crdt.Kind = 1
	decisionKind crdt.Kind = 2
)

const (
	outcomeRingSize = 4096
	messageRingSize = 1024 // of the inbox, and of the outbox
)

// message is a message received from a member or to be sent to one. A message to be sent that names no member is a
// broadcast.
type message struct {
	member, key string
	data        []byte
}

// outcome is the outcome of an attempt or a health check.
type outcome struct {
	host    string
	class   int // of the request, or gateway.HealthCheckClass
	result  balance.Result
	latency int64 // microseconds
	at      time.Time
}

// zoneShares publishes the shares in effect, in hundredths by zone, to the gateway. Safe for concurrent use.
type zoneShares struct{ shares atomic.Pointer[[]byte] }

// ReadShare implements balance.ZoneShares.
func (s *zoneShares) ReadShare(zone int) float64 {
	if shares := *s.shares.Load(); zone >= 0 && zone < len(shares) {
		return float64(shares[zone]) / zonefailover.FullShare
	}
	return 1
}

// Component adds zone failover to another component of the program.
type Component struct {
	app.Component
	settings       *settings.Fleet
	rereadSettings func() (*settings.Settings, error)
	log            zerolog.Logger
	conf           *config.Config
	unitNames      []string // units of failover: zones, or regions for zones that have one
	unitOfZone     []int    // index into unitNames, by zone
	ctx            context.Context
	stop           context.CancelFunc
	wg             sync.WaitGroup

	outcomes   *ring[outcome]
	inbox      *ring[message]
	outbox     *ring[message]
	overrides  chan map[string]string // by unit, as in the settings file
	zoneShares zoneShares

	gateway app.Gateway
	members *membership.Members

	// The following is used by the decision loop only, once it runs.
	state          *crdt.State
	agreement      *agreement.Participant
	zones          *zonefailover.State
	evidence       *zonefailover.EvidenceCollector
	hosts          map[string]hostLocation
	round          uint64 // number of the last anti-entropy round started here
	catchingUp     bool   // true after a stall, until an anti-entropy round has completed
	loggedDrops    int64  // elements dropped from full rings that were already logged
	ticks          int
	lastTickAt     time.Time
	lastRoundAt    time.Time
	hostsUpdatedAt time.Time
}

// hostLocation is the unit and the group of a host.
type hostLocation struct {
	unit  int
	group int64
}

// Wrap returns a component that adds zone failover to another one. Zone failover starts in Attach. reread is called in
// ReloadConfig and returns the settings of the settings file as it is then.
func Wrap(inner app.Component, set *settings.Fleet, reread func() (*settings.Settings, error), log zerolog.Logger) *Component {
	ctx, stop := context.WithCancel(context.Background())
	return &Component{
		Component:      inner,
		settings:       set,
		rereadSettings: reread,
		log:            log.With().Str("part", "fleet").Logger(),
		ctx:            ctx,
		stop:           stop,
		outcomes:       newRing[outcome](outcomeRingSize),
		inbox:          newRing[message](messageRingSize),
		outbox:         newRing[message](messageRingSize),
		overrides:      make(chan map[string]string, 1),
		hosts:          map[string]hostLocation{},
	}
}

// OverlayConfig implements app.Component.
func (c *Component) OverlayConfig(conf *config.Config) *config.Config {
	c.conf = c.Component.OverlayConfig(conf)
	return c.conf
}

// ReloadConfig implements app.Component: it also reads the overrides of zones from the settings file again.
func (c *Component) ReloadConfig() (*config.Config, error) {
	set, err := c.rereadSettings()
	if err != nil {
		c.log.Error().Err(err).Msg("fleet: settings not reloaded, the previous ones stay in effect")
	} else if set.Fleet != nil && set.Fleet.Zones != nil {
		select {
		case c.overrides <- set.Fleet.Zones.Pin:
		default: // the previous reload has not been applied yet
		}
	}
	return c.Component.ReloadConfig()
}

// Attach implements app.Component: it joins the fleet and starts the loops. If that fails, it logs the error, and the
// gateway runs without zone failover.
func (c *Component) Attach(g app.Gateway) {
	c.Component.Attach(g)
	c.gateway = g
	set := c.settings.Zones
	if set == nil {
		return
	}
	c.assignUnits(set.Regions)
	if len(c.unitNames) < 2 {
		err := &ZonesError{len(c.unitNames)}
		c.log.Warn().Err(err).Str("remedy", err.Remedy()).Msg("fleet: zone failover is off")
		return
	}
	if err := c.join(); err != nil {
		c.logError(err, "fleet: joining failed, gateway runs without the fleet")
		return
	}
	c.startModules(set)
	full := slices.Repeat([]byte{zonefailover.FullShare}, len(c.unitOfZone))
	c.zoneShares.shares.Store(&full)
	g.SetZoneShares(&c.zoneShares)
	g.ObserveOutcomes(func(host string, class int, o gateway.Outcome) {
		c.outcomes.push(outcome{host, class, o.Result, o.Latency, time.Now()})
	})
	c.wg.Go(c.sendLoop)
	c.wg.Go(c.decisionLoop)
	c.log.Info().Strs("zones", c.unitNames).Str("listen", c.settings.Listen).Msg("fleet: zone failover is on")
}

// join opens the membership. Received messages go to the inbox.
func (c *Component) join() (err error) {
	c.members, err = membership.Open(membership.Config{
		Name:      c.conf.Name,
		Listen:    c.settings.Listen,
		Join:      c.settings.Join,
		Relay:     c.settings.Relay,
		Log:       c.log,
		OnMessage: func(from string, data []byte) { c.inbox.push(message{member: from, data: data}) },
	})
	return err
}

// logError logs an error with its remedy, if it has one.
func (c *Component) logError(err error, event string) {
	entry := c.log.Error().Err(err)
	var remedied interface{ Remedy() string }
	if errors.As(err, &remedied) {
		entry = entry.Str("remedy", remedied.Remedy())
	}
	entry.Msg(event)
}

// assignUnits assigns each zone its unit of failover: its region, or the zone itself.
func (c *Component) assignUnits(regions map[string]string) {
	for _, zone := range c.conf.Names.Zones {
		name := zone
		if region := regions[zone]; region != "" {
			name = region
		}
		unit := slices.Index(c.unitNames, name)
		if unit < 0 {
			unit = len(c.unitNames)
			c.unitNames = append(c.unitNames, name)
		}
		c.unitOfZone = append(c.unitOfZone, unit)
	}
}

// Close implements app.Component.
func (c *Component) Close() {
	c.stop()
	c.wg.Wait()
	if c.members != nil {
		c.members.Close()
	}
	c.Component.Close()
}

// sendLoop sends the messages in the outbox one after the other. A member that does not answer delays the messages to
// others; the outbox then drops its oldest ones.
func (c *Component) sendLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.outbox.ch:
			if m.member == "" {
				c.members.Broadcast(m.key, m.data)
			} else if err := c.members.Send(m.member, m.data); err != nil {
				c.log.Debug().Err(err).Str("member", m.member).Msg("fleet: message not sent")
			}
		}
	}
}
