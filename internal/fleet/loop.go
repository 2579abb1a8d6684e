package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cloverrock/balance"
	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
	"cloverrock/internal/gateway"
	"cloverrock/internal/zonefailover"
)

const (
	tickInterval       = 100 * time.Millisecond
	ticksPerDecision   = 2
	hostUpdateInterval = time.Second
	roundInterval      = 2500 * time.Millisecond // between anti-entropy rounds
	catchUpInterval    = roundInterval / 5       // between rounds while catching up
	stallThreshold     = 2 * time.Second         // a longer gap between ticks means that this process was not running
)

// decisionLoop merges messages, decides and publishes shares. Only its goroutine uses the modules that decide.
func (c *Component) decisionLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.lastTickAt = time.Now()
	for {
		select {
		case <-c.ctx.Done():
			return
		case o := <-c.outcomes.ch:
			c.observe(o)
			continue
		case m := <-c.inbox.ch:
			c.receive(m)
			continue
		case pins := <-c.overrides:
			c.setOverrides(pins)
		case <-ticker.C:
		}
		c.tick(time.Now())
	}
}

// tick does the periodic work. It also runs after each change of the overrides.
func (c *Component) tick(now time.Time) {
	c.detectStall(now)
	if now.Sub(c.hostsUpdatedAt) > hostUpdateInterval {
		c.hostsUpdatedAt = now
		c.updateHosts()
	}
	members := c.members.Snapshot()
	c.synchronize(now, members)
	c.ticks++
	if c.ticks%ticksPerDecision == 0 && !c.catchingUp {
		c.decide(now.UnixMicro(), members)
	}
	c.publish(now.UnixMicro())
}

// detectStall detects that this process was not running for a while. Its copy of the entries is then outdated, and its
// evidence shows its own stall instead of the state of the zones. It therefore drops the evidence, and catches up before
// it votes again.
func (c *Component) detectStall(now time.Time) {
	gap := now.Sub(c.lastTickAt)
	c.lastTickAt = now
	if gap <= stallThreshold {
		return
	}
	c.log.Warn().Dur("gap_ms", gap).Msg("fleet: process stalled, catching up before it votes again")
	c.catchingUp = true
	c.lastRoundAt = time.Time{}
	c.evidence = c.newEvidence()
}

// synchronize starts an anti-entropy round when one is due, and ends catching up when a round has completed.
func (c *Component) synchronize(now time.Time, members agreement.Members) {
	sinceRound := now.Sub(c.lastRoundAt)
	if sinceRound > roundInterval || c.catchingUp && sinceRound > catchUpInterval {
		c.lastRoundAt = now
		c.startRound(members)
	}
	hasCaughtUp := c.state.CaughtUpRound() == c.round || members.AliveCount() < 2
	if c.catchingUp && hasCaughtUp {
		c.catchingUp = false
		c.log.Info().Msg("fleet: caught up")
	}
}

// updateHosts updates the locations of hosts from the gateway's endpoint list.
func (c *Component) updateHosts() {
	_, list, ok := c.gateway.Snapshot()
	if !ok {
		return
	}
	clear(c.hosts)
	for _, endpoint := range list.Endpoints {
		if endpoint.Zone >= 0 && endpoint.Zone < len(c.unitOfZone) {
			c.hosts[endpoint.Host] = hostLocation{c.unitOfZone[endpoint.Zone], endpoint.Group}
		}
	}
}

// observe adds the outcome of an attempt or health check to the evidence about the host's zone. An attempt that the
// gateway itself ended is ignored, since it shows nothing about the host.
func (c *Component) observe(o outcome) {
	location, known := c.hosts[o.host]
	if !known {
		return
	}
	observation := zonefailover.Observation{
		Host:        o.host,
		Zone:        location.unit,
		Group:       location.group,
		HealthCheck: o.class == gateway.HealthCheckClass,
		At:          o.at.UnixMicro(),
	}
	switch o.result {
	case balance.Succeeded:
		if !observation.HealthCheck && o.class < len(c.conf.Settings.Classes) {
			objective := c.conf.Settings.Classes[o.class].LatencyObjective
			observation.LatencyShare = float64(o.latency) / float64(objective)
		}
	case balance.NotPrimary, balance.Overloaded: // the host answered
	case balance.Failed, balance.TimedOut, balance.ConnectionRefused, balance.ConnectionReset:
		observation.Failed = true
	default: // the gateway ended the attempt
		return
	}
	c.evidence.Observe(observation)
}

// receive applies a message of another member, answers it, and forwards the changes of a broadcast.
func (c *Component) receive(m message) {
	decoded, err := crdt.Decode(m.member, m.data)
	if err != nil {
		c.log.Debug().Err(err).Str("member", m.member).Msg("fleet: malformed message ignored")
		return
	}
	now := time.Now().UnixMicro()
	answers, changed := c.state.Receive(now, decoded)
	for _, decision := range c.agreement.Apply(now, changed) {
		c.log.Info().
			Uint64("epoch", decision.Epoch).
			Ints("shares", sharesToInts(decision.Value)).
			Str("by", decision.Proposer).
			Int64("ahead_ms", (decision.EffectiveAt-now)/1000).
			Msg("fleet: decision received")
	}
	isBroadcast := len(decoded.GroupDigests) == 0 && decoded.Round == 0
	if isBroadcast { // each member forwards an entry once, when the entry changes its state
		c.broadcast(changed...)
	}
	for _, answer := range answers {
		c.send(m.member, answer)
	}
	if conflict := c.state.TakeConflictingOrigin(); conflict != nil {
		c.logError(conflict, "fleet: duplicate name")
	}
}

// sharesToInts converts shares for a log field; bytes would be logged as text.
func sharesToInts(b []byte) (ints []int) {
	for _, n := range b {
		ints = append(ints, int(n))
	}
	return ints
}

// broadcast queues entries for all members. Each is a message of its own, which replaces a queued one with the same key.
func (c *Component) broadcast(entries ...crdt.Entry) {
	for _, e := range entries {
		key := fmt.Sprint(e.Kind, "/", e.Name, "/", e.Origin)
		c.enqueue(message{key: key}, &crdt.Message{Entries: []crdt.Entry{e}})
	}
}

// send queues a message for one member.
func (c *Component) send(member string, m *crdt.Message) {
	c.enqueue(message{member: member}, m)
}

// enqueue encodes the content of a message and adds it to the outbox.
func (c *Component) enqueue(m message, content *crdt.Message) {
	data, err := crdt.Encode(content)
	if err != nil {
		c.log.Error().Err(err).Msg("fleet: message not encoded")
		return
	}
	m.data = data
	c.outbox.push(m)
}

// startRound starts an anti-entropy round with a member drawn at random.
func (c *Component) startRound(members agreement.Members) {
	var others []string
	for name, alive := range members {
		if alive && name != c.conf.Name {
			others = append(others, name)
		}
	}
	if len(others) > 0 {
		c.round++
		c.send(others[rand.IntN(len(others))], c.state.StartRound(c.round))
	}
}

// decide casts this gateway's vote, proposes the decision that follows from all votes, drops expired entries, and logs
// events of zones and the number of elements dropped from full rings.
func (c *Component) decide(now int64, members agreement.Members) {
	if vote, isNew := c.zones.Vote(now, c.evidence.Assess(now, c.zones.OwnZone())); isNew {
		c.broadcast(vote)
	}
	c.broadcast(c.zones.Decide(now, members)...)
	c.state.Expire(now)
	for _, entry := range c.zones.TakeLog() {
		c.logZone(&entry, members)
	}
	dropped := c.outcomes.dropped.Load() + c.inbox.dropped.Load() + c.outbox.dropped.Load()
	if dropped > c.loggedDrops {
		c.log.Warn().Int64("lost", dropped-c.loggedDrops).Msg("fleet: rings full, oldest elements dropped")
		c.loggedDrops = dropped
	}
}

// logZone logs an event of a zone.
func (c *Component) logZone(entry *zonefailover.LogEntry, members agreement.Members) {
	event := c.log.Info().
		Str("zone", entry.Zone).
		Uint64("epoch", entry.Epoch).
		Int("share", int(entry.Share)).
		Int("members", len(members)).
		Int("alive", members.AliveCount())
	if proposal := entry.Proposal; proposal != nil {
		event = event.Int("proposed_share", int(proposal.Share)).
			Int("unhealthy", proposal.Votes.Unhealthy).
			Int("healthy", proposal.Votes.Healthy).
			Int("unknown", proposal.Votes.Unknown)
	} else {
		event = event.Int("previous_share", int(entry.PreviousShare))
	}
	if entry.NextStepIn > 0 {
		event = event.Dur("next_ms", entry.NextStepIn)
	}
	event.Msg("fleet: " + entry.Message)
}

// publish passes the shares in effect, overrides included, to the gateway, and logs each change.
func (c *Component) publish(now int64) {
	shares := make([]byte, len(c.unitOfZone))
	for zone, unit := range c.unitOfZone {
		shares[zone] = c.zones.Share(now, unit)
	}
	previous := c.zoneShares.shares.Load()
	if slices.Equal(*previous, shares) {
		return
	}
	_, epoch := c.zones.InEffect(now)
	c.zoneShares.shares.Store(&shares)
	c.log.Info().
		Ints("shares", sharesToInts(shares)).
		Uint64("epoch", epoch).
		Int64("late_ms", c.zones.InEffectFor(now)/1000).
		Msg("fleet: zone shares in force") // the laboratory reads this line
}
