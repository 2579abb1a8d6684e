package fleet

import (
	"slices"
	"time"

	"cloverrock/internal/agreement"
	"cloverrock/internal/crdt"
	"cloverrock/internal/settings"
	"cloverrock/internal/zonefailover"
)

const second = int64(1e6) // microseconds

// Times in microseconds.
const (
	maxClockSkew      = 5 * second
	voteEntryTTL      = 60 * second  // how long a vote is stored
	voteTTL           = 30 * second  // how long a vote is valid
	decisionTTL       = 600 * second // how long a decision stays in effect without a quorum
	proposerDelay     = second / 5
	maxEvacuationTime = 300 * second
	backoffReset      = 600 * second
	minStepDuration   = second
	evidenceWindow    = 4 * second
)

const (
	maxVoteSize      = 1 + 4*255 // bytes: a vote on 255 zones
	maxDecisionSize  = 1024      // bytes
	requiredShare    = 0.6       // fraction of the gateways with a view of a zone's health that must find it unhealthy
	maxMinViews      = 3         // gateways that must have a view of a zone's health; in fleets of fewer than nine a third of them, at least 1
	maxLatencyShare  = 0.6       // of the latency objective
	minEvidenceHosts = 3
	minFailingGroups = 2
	minFailingShare  = 0.6 // fraction of a zone's hosts
)

// The safeguards that the setting zones.without can turn off, for experiments.
const (
	safeguardQuorum   = "quorum"
	safeguardPace     = "pace"
	safeguardCapacity = "capacity"
)

// startModules creates the modules that decide.
func (c *Component) startModules(set *settings.Zones) {
	isEnabled := func(safeguard string) bool { return !slices.Contains(set.Without, safeguard) }
	c.state = crdt.New(crdt.Config{
		Self:         c.conf.Name,
		Incarnation:  uint64(time.Now().UnixMicro()),
		MaxClockSkew: maxClockSkew,
		Kinds: map[crdt.Kind]crdt.KindConfig{
			voteKind:     {Name: "votes", Rule: crdt.LastWriterWins, TTL: voteEntryTTL, MaxValueSize: maxVoteSize},
			decisionKind: {Name: "decided", Rule: crdt.HighestEpoch, TTL: decisionTTL, MaxValueSize: maxDecisionSize},
		},
	})
	c.agreement = agreement.New(agreement.Config{
		Self:          c.conf.Name,
		VoteKind:      voteKind,
		DecisionKind:  decisionKind,
		EffectDelay:   milliseconds(set.DelayMS),
		ProposerDelay: proposerDelay,
		VoteTTL:       voteTTL,
		DecisionTTL:   decisionTTL,
		RequireQuorum: isEnabled(safeguardQuorum),
	}, c.state)
	conf := zonefailover.Config{
		Zones:             c.unitNames,
		OwnZone:           c.ownUnit(),
		MaxEvacuated:      set.AtOnce,
		RequiredShare:     requiredShare,
		MinViews:          min(maxMinViews, max(1, c.conf.Gateways/3)),
		MaxLatencyShare:   maxLatencyShare,
		RecoverySteps:     []byte{2, 5, 10, 20, 40, 70, zonefailover.FullShare},
		StepDuration:      milliseconds(set.StepMS),
		EvacuationTime:    milliseconds(set.AwayMS),
		MaxEvacuationTime: maxEvacuationTime,
		BackoffReset:      backoffReset,
		PacedRecovery:     isEnabled(safeguardPace),
		CheckCapacity:     isEnabled(safeguardCapacity),
	}
	if set.StepMS == 0 { // all steps together take as long as a host's slow start
		conf.StepDuration = max(minStepDuration, c.conf.Settings.SlowStartDuration/int64(len(conf.RecoverySteps)))
	}
	if !isEnabled(safeguardQuorum) {
		conf.MinViews = 1
	}
	c.zones = zonefailover.New(conf, c.agreement)
	c.evidence = c.newEvidence()
	c.setOverrides(set.Pin)
}

func (c *Component) newEvidence() *zonefailover.EvidenceCollector {
	return zonefailover.NewEvidenceCollector(zonefailover.EvidenceConfig{
		Zones:            len(c.unitNames),
		Window:           evidenceWindow,
		MinHosts:         minEvidenceHosts,
		MinFailingGroups: minFailingGroups,
		FailingShare:     minFailingShare,
	})
}

// milliseconds converts milliseconds to microseconds.
func milliseconds(ms int) int64 { return int64(ms) * 1000 }

// ownUnit returns the unit of this gateway's zone; -1 if it has none.
func (c *Component) ownUnit() int {
	if zone := c.conf.Settings.Zone; zone < len(c.unitOfZone) {
		return c.unitOfZone[zone]
	}
	return -1
}

// setOverrides replaces all overrides by those in the settings. An override of an unknown zone is logged and ignored.
func (c *Component) setOverrides(pins map[string]string) {
	for unit := range c.unitNames {
		c.zones.SetOverride(unit, zonefailover.NoOverride)
	}
	overrideByPin := map[string]zonefailover.Override{"kept": zonefailover.ForceInUse, "left": zonefailover.ForceEvacuated}
	for zone, pin := range pins {
		unit := slices.Index(c.unitNames, zone)
		if unit < 0 {
			c.logError(&PinError{zone, c.unitNames}, "fleet: zone override ignored")
			continue
		}
		c.zones.SetOverride(unit, overrideByPin[pin])
		c.log.Info().Str("zone", zone).Str("pin", pin).Msg("fleet: zone override set")
	}
}
