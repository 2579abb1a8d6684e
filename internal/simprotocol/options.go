package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"cloverrock/balance"
)

// Options is the settings object of a start message, which the gateway finds in its configuration as well. Keys that are
// not listed are skipped. Fields ending in Ms are milliseconds.
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

// ClassEntry describes a class of requests. What ExtraOptions says of it stands there at the same index.
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

// CostOptions are prices as parts of the result.
type CostOptions struct {
	CrossZone float64 `json:"crossZone"`
	Gossip    float64 `json:"peer"`
}

// ExtraOptions concern positions and sessions.
type ExtraOptions struct {
	PositionOriginMs    float64   `json:"baseTimeMs"`
	Consistency         []string  `json:"classRead"`        // by class
	MaxStalenessMs      []float64 `json:"stalenessBoundMs"` // by class
	HostStalenessChecks string    `json:"serverChecks"`
	SessionPositions    string    `json:"tokens"`
}

// LimitOptions say what a gateway may do.
type LimitOptions struct {
	Cancellation    bool    `json:"cancel"`
	HealthChecks    bool    `json:"probes"`
	Gossip          bool    `json:"mayTell"`
	DialTimeoutMs   float64 `json:"dialTimeoutMs"`
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
	IdleCloseMs     float64 `json:"idleCloseMs"`
	MaxAttempts     int     `json:"maxAttempts"`
}

// HostOptions are the rules for draining hosts and for those that warm up.
type HostOptions struct {
	SlowStartInitialShare     float64 `json:"coldFrom"`
	SlowStartMs               float64 `json:"coldMs"`
	SlowStartOverloadFactor   float64 `json:"fallMultiple"`
	SlowStartOverloadWindowMs float64 `json:"overloadForMs"`
	OnlyDrainingExcludes      bool    `json:"drainBindsAlone"`
}

// words maps the words that a key may have to their values, in the order in which errors list them.
type words[T any] []struct {
	text  string
	value T
}

// value returns the zero value for an unknown word: the simulator may know more words than the module.
func (w words[T]) value(text string) T {
	for _, word := range w {
		if word.text == text {
			return word.value
		}
	}
	var zero T
	return zero
}

// check returns an *OptionError if a key's text is none of its words.
func (w words[T]) check(key, text string) error {
	var known []string
	for _, word := range w {
		if word.text == text {
			return nil
		}
		if word.text != "" { // the empty word stands for a key that is left out
			known = append(known, word.text)
		}
	}
	return &OptionError{key, fmt.Errorf("is %q; want one of %s", text, strings.Join(known, ", "))}
}

var (
	subscriptions = words[bool]{{"", false}, {"automatic", false}, {"subscribe", true}}
	hostChecks    = words[bool]{{"", false}, {"none", false}, {"reject", true}, {"hold", true}}
	clientTokens  = words[bool]{{"", false}, {"client", true}, {"router", false}}
	retrySafeties = words[balance.RetrySafety]{
		{"read_like", balance.Idempotent},
		{"idempotency_key", balance.IdempotencyKey},
		{"non_idempotent", balance.NonIdempotent},
	}
	scopes = words[balance.DeduplicationScope]{
		{"", balance.ScopeGlobal},
		{"all", balance.ScopeGlobal},
		{"cell", balance.ScopeGroup},
		{"zone", balance.ScopeZone},
	}
	consistencies = words[balance.Consistency]{
		{"loose", balance.Eventual},
		{"recent", balance.BoundedStaleness},
		{"own_writes", balance.ReadYourWrites},
		{"latest", balance.Linearizable},
		{"update", balance.Write},
	}
)

// OptionError reports a wrong option. Key is its path in the settings object.
type OptionError struct {
	Key string
	Err error
}

func (e *OptionError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *OptionError) Unwrap() error { return e.Err }

// CheckWords checks the keys whose values are words, and that each class with bounded staleness has a bound. A misspelt
// word must not pass for the mildest: a write that must never run twice would be retried, or a read answered from data of
// any age. The error is an *OptionError.
func (o *Options) CheckWords() error {
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
		if err := o.checkClassWords(i); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) hasMaxStaleness(class int) bool {
	return class < len(o.Extra.MaxStalenessMs) && o.Extra.MaxStalenessMs[class] >= 0
}

func (o *Options) checkClassWords(i int) error {
	class := &o.Classes[i]
	if err := retrySafeties.check(fmt.Sprintf("classes[%d].repeat", i), class.RetrySafety); err != nil {
		return err
	}
	if err := scopes.check(fmt.Sprintf("classes[%d].group", i), class.DeduplicationScope); err != nil {
		return err
	}
	return consistencies.check(fmt.Sprintf("extra.classRead[%d]", i), o.Extra.Consistency[i])
}

// microseconds rounds milliseconds to whole microseconds.
func microseconds(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// gossipBytesPerRequest returns how many bytes of gossip a request pays for, counted once for each gateway that receives
// them. The price is due in full at fullPriceBytes for each request; gossip may take maxGossipShare of the result.
func gossipBytesPerRequest(price float64) float64 {
	const (
		fullPriceBytes = 256
		maxGossipShare = 0.06
		minPrice       = 0.001
	)
	return fullPriceBytes * maxGossipShare / max(price, minPrice)
}

// Settings converts the options into the decision module's settings. The second result is the origin of log positions
// on the clock, in microseconds.
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
		settings.Ordinal = -1 // unknown
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
