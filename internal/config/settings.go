package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"cloverrock/balance"
	"cloverrock/internal/discovery"
	"cloverrock/internal/frontend"
	"cloverrock/internal/simprotocol"
)

// Defaults of settings.limits, in milliseconds.
const (
	defaultDialTimeoutMs = 250
	defaultIdleCloseMs   = 30_000
)

// setSettings reads the key settings, which has the same form as the simulator's options.
func (c *Config) setSettings(document json.RawMessage) error {
	if len(document) == 0 {
		return errorf("settings", "missing")
	}
	var options simprotocol.Options
	if err := json.Unmarshal(document, &options); err != nil {
		return decodeError("settings", err)
	}
	if err := checkLimits(&options); err != nil {
		return err
	}
	if err := c.setFleet(&options); err != nil {
		return err
	}
	if err := options.Validate(); err != nil {
		if faulty, ok := errors.AsType[*simprotocol.OptionError](err); ok {
			return &Error{"settings." + faulty.Key, faulty.Err}
		}
		return &Error{"settings", err}
	}
	c.Settings, _ = options.Settings() // the time origin is not needed, since real hosts report log positions as Unix times
	if c.Peer.Listen == "" || !c.Peer.All.IsValid() {
		c.Settings.Gateways = 0 // without these addresses there is no gossip
		c.Settings.GossipBytesPerRequest = 0
	}
	c.Names = discovery.Names{Zones: options.Zones, Kinds: options.HostTypes}
	c.IdleClose = int64(options.Limits.IdleCloseMs * 1000)
	return c.setClasses(options.Classes)
}

// checkLimits fills in the defaults of settings.limits and checks the values that must be positive.
func checkLimits(options *simprotocol.Options) error {
	limits := &options.Limits
	if limits.DialTimeoutMs == 0 {
		limits.DialTimeoutMs = defaultDialTimeoutMs
	}
	if limits.IdleCloseMs == 0 {
		limits.IdleCloseMs = defaultIdleCloseMs
	}
	switch {
	case len(options.Classes) == 0:
		return errorf("settings.classes", "missing")
	case options.TickMs <= 0:
		return errorf("settings.tickMs", "must be above 0")
	case limits.MaxAttempts < 1:
		return errorf("settings.limits.maxAttempts", "must be 1 at least")
	case limits.DialTimeoutMs < 0:
		return errorf("settings.limits.dialTimeoutMs", "must be above 0")
	case limits.IdleCloseMs < 0:
		return errorf("settings.limits.idleCloseMs", "must be above 0")
	}
	return nil
}

// setFleet determines the number of gateways and this gateway's ordinal. By default both are derived from the list of
// peers. A number that contradicts the list is an error: the gateway would send gossip to fewer gateways than it
// budgets for, or wait for gossip from gateways that do not exist.
func (c *Config) setFleet(options *simprotocol.Options) error {
	peers := c.Peer.Peers
	if options.Gateways == 0 {
		options.Gateways = max(len(peers), 1)
	}
	c.Gateways = options.Gateways
	if options.Gateways < 0 {
		return errorf("settings.balancers", "must not be below 0")
	}
	if len(peers) > 0 && len(peers) != options.Gateways {
		return errorf("settings.balancers", "is %d, but peers names %d", options.Gateways, len(peers))
	}
	if options.Ordinal == nil {
		options.Ordinal = c.ordinalAmongPeers()
		return nil
	}
	if *options.Ordinal < 0 || *options.Ordinal >= options.Gateways {
		return errorf("settings.ordinal", "is %d, but there are %d balancers, counted from 0", *options.Ordinal, options.Gateways)
	}
	return nil
}

// ordinalAmongPeers returns this gateway's index in the list of peers. It returns nil if the list does not contain the
// address at which this gateway listens, as happens where gateways send from another address.
func (c *Config) ordinalAmongPeers() *int {
	i := slices.IndexFunc(c.Peer.Peers, func(a netip.AddrPort) bool { return a.String() == c.Peer.Listen })
	if i < 0 {
		return nil
	}
	return &i
}

// setClasses checks the classes, stores them by name and determines the longest deadline. c.Settings must already
// contain the classes, in the same order.
func (c *Config) setClasses(entries []simprotocol.ClassEntry) error {
	c.Classes = map[string]frontend.Class{}
	for i, entry := range entries {
		key := fmt.Sprintf("settings.classes[%d].", i)
		if entry.Name == "" {
			return errorf(key+"name", "missing")
		}
		if entry.LatencyObjectiveMs <= 0 {
			return errorf(key+"aimMs", "must be above 0")
		}
		if entry.DeadlineMs <= 0 {
			return errorf(key+"deadlineMs", "must be above 0")
		}
		class := &c.Settings.Classes[i]
		c.Classes[entry.Name] = frontend.Class{
			Index:    i,
			Write:    class.Consistency == balance.Write,
			Deadline: class.Deadline,
		}
		c.LongestDeadline = max(c.LongestDeadline, class.Deadline)
	}
	return nil
}
