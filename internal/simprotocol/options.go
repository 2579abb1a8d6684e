package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"cloverrock/balance"
)

// Options is the settings object of a start message. The key settings of the gateway's configuration has the same form.
// Keys that are not listed here are ignored. Fields that end in Ms are milliseconds.
type Options struct {
	Zone        int          `json:"zone"`
	Zones       []string     `json:"zones"`
	HostTypes   []string     `json:"hostTypes"`
	TickMs      float64      `json:"tickMs"`
	Discovery   string       `json:"discovery"`
	Classes     []ClassEntry `json:"classes"`
	Gateways    int          `json:"balancers"`
	Ordinal     *int         `json:"ordinal"` // of this gateway, from 0; nil: unknown
	Costs       CostOptions  `json:"costs"`
	Extra       ExtraOptions `json:"extra"`
	Limits      LimitOptions `json:"limits"`
	Obligations HostOptions  `json:"obligations"`
}

// ClassEntry describes a class of requests. Lists in ExtraOptions have further properties of the class at the same
// index.
type ClassEntry struct {
	Name                  string  `json:"name"`
	LatencyObjectiveMs    float64 `json:"aimMs"`
	DeadlineMs            float64 `json:"deadlineMs"`
	DeduplicationWindowMs float64 `json:"windowMs"`
	PriorityWeight        float64 `json:"worth"`
	LatePriorityWeight    float64 `json:"lateWorth"`
	ObjectivePerWork      float64 `json:"aimStretch"`
	RetrySafety           string  `json:"repeat"`
	DeduplicationScope    string  `json:"group"`
}

// CostOptions are the prices of side effects, as parts of the simulator's score.
type CostOptions struct {
	CrossZone float64 `json:"crossZone"` // of an attempt in another zone
	Gossip    float64 `json:"peer"`      // of gossip; see gossipBytesPerRequest
}

// ExtraOptions are the settings for consistency, log positions and sessions.
type ExtraOptions struct {
	PositionOriginMs    float64   `json:"baseTimeMs"`       // origin of log positions on the simulator's clock
	Consistency         []string  `json:"classRead"`        // by class
	MaxStalenessMs      []float64 `json:"stalenessBoundMs"` // by class
	HostStalenessChecks string    `json:"serverChecks"`
	SessionPositions    string    `json:"tokens"`
}

// LimitOptions are the features that a gateway may use, and its limits.
type LimitOptions struct {
	Cancellation    bool    `json:"cancel"`
	HealthChecks    bool    `json:"probes"`
	Gossip          bool    `json:"mayTell"`
	DialTimeoutMs   float64 `json:"dialTimeoutMs"`
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
	IdleCloseMs     float64 `json:"idleCloseMs"`
	MaxAttempts     int     `json:"maxAttempts"`
}

// HostOptions are the rules for draining hosts and for hosts in slow start.
type HostOptions struct {
	SlowStartInitialShare     float64 `json:"coldFrom"`
	SlowStartMs               float64 `json:"coldMs"`
	SlowStartOverloadFactor   float64 `json:"fallMultiple"`
	SlowStartOverloadWindowMs float64 `json:"overloadForMs"`
	OnlyDrainingExcludes      bool    `json:"drainBindsAlone"`
}

// enum maps the texts that are valid for a key to their values. Errors list the texts in the same order.
type enum[T any] struct {
	entries []enumEntry[T]
	unknown T // value of any other text: the strictest one, since a later simulator may use other texts
}

type enumEntry[T any] struct {
	text  string
	value T
}

// value returns the value of a text. An absent key that has no value of its own has the zero value: the simulator omits
// what a kind of service does not have.
func (e *enum[T]) value(text string) T {
	for _, entry := range e.entries {
		if entry.text == text {
			return entry.value
		}
	}
	if text == "" {
		var zero T
		return zero
	}
	return e.unknown
}

// check returns an *OptionError if the enum does not have the text of a key.
func (e *enum[T]) check(key, text string) error {
	var valid []string
	for _, entry := range e.entries {
		if entry.text == text {
			return nil
		}
		if entry.text != "" { // the empty text stands for an absent key
			valid = append(valid, entry.text)
		}
	}
	return &OptionError{key, fmt.Errorf("is %q; want one of %s", text, strings.Join(valid, ", "))}
}

// The values of each enumerated key.
var (
	subscriptions = enum[bool]{
		entries: []enumEntry[bool]{{"", false}, {"automatic", false}, {"subscribe", true}},
		unknown: true,
	}
	hostChecks = enum[bool]{
		entries: []enumEntry[bool]{{"", false}, {"none", false}, {"reject", true}, {"hold", true}},
		unknown: false,
	}
	clientTokens = enum[bool]{
		entries: []enumEntry[bool]{{"", false}, {"client", true}, {"router", false}},
		unknown: false,
	}
	retrySafeties = enum[balance.RetrySafety]{
		entries: []enumEntry[balance.RetrySafety]{
			{"read_like", balance.Idempotent},
			{"idempotency_key", balance.IdempotencyKey},
			{"non_idempotent", balance.NonIdempotent},
		},
		unknown: balance.NonIdempotent,
	}
	scopes = enum[balance.DeduplicationScope]{
		entries: []enumEntry[balance.DeduplicationScope]{
			{"", balance.ScopeGlobal},
			{"all", balance.ScopeGlobal},
			{"cell", balance.ScopeGroup},
			{"zone", balance.ScopeZone},
		},
		unknown: balance.ScopeZone, // a request never leaves its group, so this is the smallest scope
	}
	consistencies = enum[balance.Consistency]{
		entries: []enumEntry[balance.Consistency]{
			{"loose", balance.Eventual},
			{"recent", balance.BoundedStaleness},
			{"own_writes", balance.ReadYourWrites},
			{"latest", balance.Linearizable},
			{"update", balance.Write},
		},
		unknown: balance.Linearizable,
	}
)

// OptionError reports an invalid option. Key is its path in the settings object.
type OptionError struct {
	Key string
	Err error
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *OptionError) Unwrap() error { return e.Err }

// Validate checks the enumerated keys, and that each class with bounded staleness has a bound. The error is an
// *OptionError.
func (o *Options) Validate() error {
	if n := len(o.Extra.Consistency); n != len(o.Classes) {
		err := fmt.Errorf("names %d classes, but settings.classes has %d", n, len(o.Classes))
		return &OptionError{"extra.classRead", err}
	}
	for i := range o.Classes {
		if consistencies.value(o.Extra.Consistency[i]) == balance.BoundedStaleness && !o.hasMaxStaleness(i) {
			err := errors.New("must be there, and not below 0, where classRead is recent")
			return &OptionError{fmt.Sprintf("extra.stalenessBoundMs[%d]", i), err}
		}
	}
	if err := subscriptions.check("discovery", o.Discovery); err != nil {
		return err
	}
	if err := hostChecks.check("extra.serverChecks", o.Extra.HostStalenessChecks); err != nil {
		return err
	}
	if err := clientTokens.check("extra.tokens", o.Extra.SessionPositions); err != nil {
		return err
	}
	for i := range o.Classes {
		if err := o.validateClass(i); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) hasMaxStaleness(class int) bool {
	return class < len(o.Extra.MaxStalenessMs) && o.Extra.MaxStalenessMs[class] >= 0
}

func (o *Options) validateClass(i int) error {
	class := &o.Classes[i]
	if err := retrySafeties.check(fmt.Sprintf("classes[%d].repeat", i), class.RetrySafety); err != nil {
		return err
	}
	if err := scopes.check(fmt.Sprintf("classes[%d].group", i), class.DeduplicationScope); err != nil {
		return err
	}
	return consistencies.check(fmt.Sprintf("extra.classRead[%d]", i), o.Extra.Consistency[i])
}

// unknownOrdinal is balance.Settings.Ordinal of a gateway whose index in the fleet is unknown.
const unknownOrdinal = -1

// microseconds converts milliseconds to microseconds, rounded to the nearest integer.
func microseconds(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// gossipBytesPerRequest returns the gossip budget of each request in bytes, counted once for each receiving gateway.
// fullPriceBytes of gossip per request cost the price, as a part of the score, and the budget may cost up to
// maxGossipShare of the score.
func gossipBytesPerRequest(price float64) float64 {
	const (
		fullPriceBytes = 256
		maxGossipShare = 0.06
		minPrice       = 0.001
	)
	return fullPriceBytes * maxGossipShare / max(price, minPrice)
}

// Settings converts the options to the settings of package balance. positionOrigin is the origin of log positions on
// the simulator's clock, in microseconds. Unknown texts of enumerated keys are converted to the strictest value;
// Validate reports them.
func (o *Options) Settings() (settings balance.Settings, positionOrigin int64) {
	settings = balance.Settings{
		Zone:                    o.Zone,
		TickInterval:            microseconds(o.TickMs),
		MustSubscribe:           subscriptions.value(o.Discovery),
		HealthChecks:            o.Limits.HealthChecks,
		Cancellation:            o.Limits.Cancellation,
		MaxRetryAfter:           microseconds(o.Limits.MaxRetryAfterMs),
		MaxAttempts:             o.Limits.MaxAttempts,
		DialTimeout:             microseconds(o.Limits.DialTimeoutMs),
		HostsCheckStaleness:     hostChecks.value(o.Extra.HostStalenessChecks),
		RequestsCarrySessionAge: clientTokens.value(o.Extra.SessionPositions),
		CrossZoneCost:           o.Costs.CrossZone,
		OnlyDrainingExcludes:    o.Obligations.OnlyDrainingExcludes,
		SlowStartInitialShare:   o.Obligations.SlowStartInitialShare,
		SlowStartDuration:       microseconds(o.Obligations.SlowStartMs),
		SlowStartOverloadFactor: o.Obligations.SlowStartOverloadFactor,
		SlowStartOverloadWindow: microseconds(o.Obligations.SlowStartOverloadWindowMs),
	}
	if o.Limits.Gossip {
		settings.Gateways = o.Gateways
		settings.GossipBytesPerRequest = gossipBytesPerRequest(o.Costs.Gossip)
		settings.Ordinal = unknownOrdinal
		if o.Ordinal != nil {
			settings.Ordinal = *o.Ordinal
		}
	}
	for i := range o.Classes {
		settings.Classes = append(settings.Classes, o.class(i))
	}
	return settings, microseconds(o.Extra.PositionOriginMs)
}

func (o *Options) class(i int) balance.Class {
	entry := &o.Classes[i]
	class := balance.Class{
		LatencyObjective:    microseconds(entry.LatencyObjectiveMs),
		Deadline:            microseconds(entry.DeadlineMs),
		DeduplicationWindow: microseconds(entry.DeduplicationWindowMs),
		PriorityWeight:      entry.PriorityWeight,
		LatePriorityWeight:  entry.LatePriorityWeight,
		ObjectivePerWork:    entry.ObjectivePerWork,
		RetrySafety:         retrySafeties.value(entry.RetrySafety),
		DeduplicationScope:  scopes.value(entry.DeduplicationScope),
	}
	if i < len(o.Extra.Consistency) {
		class.Consistency = consistencies.value(o.Extra.Consistency[i])
	}
	if i < len(o.Extra.MaxStalenessMs) {
		class.MaxStaleness = microseconds(o.Extra.MaxStalenessMs[i])
	}
	return class
}
