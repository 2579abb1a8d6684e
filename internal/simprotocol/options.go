package simprotocol

import (
	"math"

	"cloverrock/balance"
)

// Options mirrors the settings object of a start message, which a real gateway finds in its configuration;
// unknown keys are skipped.
type Options struct {
	Zone      int
	Zones     []string
	HostTypes []string
	TickMs    float64
	Discovery string
	Classes   []struct {
		Name                                                      string
		AimMs, DeadlineMs, WindowMs, Worth, LateWorth, AimStretch float64
		Repeat, Group                                             string
	}
	Balancers int
	Ordinal   *int // nil: not told
	Costs     struct{ CrossZone, Peer float64 }
	Extra     struct {
		BaseTimeMs       float64
		ClassRead        []string
		StalenessBoundMs []float64
		ServerChecks     string
		Tokens           string
	}
	Limits struct {
		Cancel, Probes, MayTell        bool
		DialTimeoutMs, MaxRetryAfterMs float64
		IdleCloseMs                    float64
		MaxAttempts                    int
	}
	Obligations struct {
		ColdFrom, ColdMs, FallMultiple, OverloadForMs float64
		DrainBindsAlone                               bool
	}
}

func us(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// tellEarn is how many bytes to other gateways a request pays for, counted for each that receives them. The price
// is due in full at 256 of them for each request; what is told may take tellPart of the result, where it is sold at all.
func tellEarn(price float64) float64 {
	const full, tellPart, least = 256, 0.06, 0.001
	return full * tellPart / max(price, least)
}

// Settings turns them into the module's, and tells the origin of positions on the simulator's clock.
func (o *Options) Settings() (balance.Settings, int64) {
	s := balance.Settings{
		Zone: o.Zone, TickInterval: us(o.TickMs), MustSubscribe: o.Discovery == "subscribe", HealthChecks: o.Limits.Probes,
		Cancellation: o.Limits.Cancel, MaxRetryAfter: us(o.Limits.MaxRetryAfterMs), MaxAttempts: o.Limits.MaxAttempts,
		DialTimeout: us(o.Limits.DialTimeoutMs), HostsCheckStaleness: o.Extra.ServerChecks == "reject" || o.Extra.ServerChecks == "hold",
		RequestsCarrySessionAge: o.Extra.Tokens == "client", CrossZoneCost: o.Costs.CrossZone,
		OnlyDrainingExcludes: o.Obligations.DrainBindsAlone, SlowStartInitialShare: o.Obligations.ColdFrom,
		SlowStartDuration: us(o.Obligations.ColdMs), SlowStartOverloadFactor: o.Obligations.FallMultiple,
		SlowStartOverloadWindow: us(o.Obligations.OverloadForMs),
	}
	if o.Limits.MayTell {
		s.Gateways, s.Ordinal, s.GossipBytesPerRequest = o.Balancers, -1, tellEarn(o.Costs.Peer)
		if o.Ordinal != nil {
			s.Ordinal = *o.Ordinal
		}
	}
	for i, c := range o.Classes {
		k := balance.Class{
			LatencyObjective: us(c.AimMs), Deadline: us(c.DeadlineMs), DeduplicationWindow: us(c.WindowMs), PriorityWeight: c.Worth,
			LatePriorityWeight: c.LateWorth, ObjectivePerWork: c.AimStretch,
		}
		switch c.Repeat {
		case "idempotency_key":
			k.RetrySafety = balance.IdempotencyKey
		case "non_idempotent":
			k.RetrySafety = balance.NonIdempotent
		}
		switch c.Group {
		case "cell":
			k.DeduplicationScope = balance.ScopeGroup
		case "zone":
			k.DeduplicationScope = balance.ScopeZone
		}
		if i < len(o.Extra.ClassRead) {
			switch o.Extra.ClassRead[i] {
			case "recent":
				k.Consistency = balance.BoundedStaleness
			case "own_writes":
				k.Consistency = balance.ReadYourWrites
			case "latest":
				k.Consistency = balance.Linearizable
			case "update":
				k.Consistency = balance.Write
			}
		}
		if i < len(o.Extra.StalenessBoundMs) {
			k.MaxStaleness = us(o.Extra.StalenessBoundMs[i])
		}
		s.Classes = append(s.Classes, k)
	}
	return s, us(o.Extra.BaseTimeMs)
}
