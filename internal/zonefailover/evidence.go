package zonefailover

import (
	"maps"
	"slices"
)

const (
	minRetainedWeight      = 0.2       // a host whose observations weigh less, after fading, is removed
	silentFailureThreshold = 1.5       // failures, after fading, above which a host without a recent success is failing
	latencySamples         = 10        // number of answers over which a host's response time is averaged
	rateInterval           = 1_000_000 // microseconds; shortest time between two updates of the request rates
	rateSmoothing          = 0.3       // weight of a new request rate in the moving average
	maxEncodedRate         = 65535     // highest request rate that a vote can state
	minEncodedLatency      = 1         // lowest latency share that a vote can state; 0 means that it was not measured
	maxEncodedLatency      = 255       // highest latency share that a vote can state
	rateUnitsPerRequest    = 10        // a vote's request rate is in tenths of a request per second
)

// EvidenceCollector gathers what one gateway observes of each zone: the outcomes of attempts and health checks, host by
// host, over some seconds.
//
// A zone is unhealthy when most of its hosts fail, in more than one group if it has more than one, while another zone
// is not failing. One failing host, or one failing group of several, does not make a zone unhealthy. A gateway whose
// own network link fails observes failures in all zones, and reports none as unhealthy.
type EvidenceCollector struct {
	conf           EvidenceConfig
	hosts          map[string]*hostEvidence
	requestRate    []float64 // per second, by zone
	requests       []float64 // since ratesUpdatedAt, by zone
	ratesUpdatedAt int64
}

// EvidenceConfig has the thresholds for the health of a zone. Times are microseconds.
type EvidenceConfig struct {
	Zones            int
	Window           int64   // time in which the weight of an observation falls to 0
	MinHosts         int     // observed hosts of a zone below which its health is unknown
	MinFailingGroups int     // groups with a failing host that make a zone unhealthy; all groups if the zone has fewer
	FailingShare     float64 // fraction of the observed hosts that fail in an unhealthy zone
}

// hostEvidence is the evidence about one host.
type hostEvidence struct {
	zone          int
	group         int64
	succeeded     float64 // number of successes, faded by age
	failed        float64 // number of failures, faded by age
	latencyShare  float64 // mean response time of successes, as a share of the latency objective
	fadedAt       int64
	lastSuccessAt int64
}

// Observation is the outcome of an attempt or a health check.
type Observation struct {
	Host         string
	Zone         int
	Group        int64
	Failed       bool    // no answer, connection refused or reset, or an error
	LatencyShare float64 // response time as a share of the latency objective; 0 if unknown
	HealthCheck  bool
	At           int64 // microseconds since 1970
}

// NewEvidenceCollector returns a collector without observations.
func NewEvidenceCollector(conf EvidenceConfig) *EvidenceCollector {
	return &EvidenceCollector{
		conf:        conf,
		hosts:       map[string]*hostEvidence{},
		requestRate: make([]float64, conf.Zones),
		requests:    make([]float64, conf.Zones),
	}
}

// fade reduces the weight of earlier observations by the time since the last fade.
func (h *hostEvidence) fade(now, window int64) {
	age := now - h.fadedAt
	if age <= 0 {
		return
	}
	retained := max(0, 1-float64(age)/float64(window))
	h.succeeded *= retained
	h.failed *= retained
	h.fadedAt = now
}

// isFailing reports whether a host is failing: it has more failures than successes, or it has stopped answering. The
// second condition detects the failure of a busy host sooner, since its earlier successes outweigh its failures at
// first.
func (h *hostEvidence) isFailing(now, window int64) bool {
	hasStopped := h.failed > silentFailureThreshold && now-h.lastSuccessAt > window/2
	return h.failed > h.succeeded || hasStopped
}

// Observe adds one observation. An observation of an unknown zone is ignored.
func (c *EvidenceCollector) Observe(o Observation) {
	if o.Zone < 0 || o.Zone >= c.conf.Zones {
		return
	}
	host := c.hosts[o.Host]
	if host == nil || host.zone != o.Zone || host.group != o.Group {
		host = &hostEvidence{zone: o.Zone, group: o.Group, fadedAt: o.At}
		c.hosts[o.Host] = host
	}
	host.fade(o.At, c.conf.Window)
	if o.Failed {
		host.failed++
	} else {
		host.succeeded++
		host.lastSuccessAt = o.At
		if o.LatencyShare > 0 {
			host.latencyShare += (o.LatencyShare - host.latencyShare) / min(host.succeeded, latencySamples)
		}
	}
	if !o.HealthCheck {
		c.requests[o.Zone]++
	}
}

// zoneEvidence is the sum of the evidence about the hosts of a zone.
type zoneEvidence struct {
	observed, failing, measured int // numbers of hosts; measured: those that do not fail and have a response time
	groups, failingGroups       map[int64]bool
	latencyShare                float64 // sum over the measured hosts
}

// Assess returns this gateway's view of each zone; ownZone is the zone of the gateway, -1 if it has none.
func (c *EvidenceCollector) Assess(now int64, ownZone int) []ZoneView {
	zones := c.sumByZone(now)
	c.updateRates(now)
	views := make([]ZoneView, c.conf.Zones)
	for i := range zones {
		zone := &zones[i]
		view := ZoneView{Health: c.health(zones, i, ownZone)}
		view.RequestRate = uint16(min(c.requestRate[i]*rateUnitsPerRequest, maxEncodedRate))
		if zone.measured > 0 {
			share := latencyUnits * zone.latencyShare / float64(zone.measured)
			view.LatencyShare = byte(min(max(share, minEncodedLatency), maxEncodedLatency))
		}
		views[i] = view
	}
	return views
}

// sumByZone adds up the hosts by zone, and removes those without recent observations.
func (c *EvidenceCollector) sumByZone(now int64) []zoneEvidence {
	zones := make([]zoneEvidence, c.conf.Zones)
	for i := range zones {
		zones[i].groups = map[int64]bool{}
		zones[i].failingGroups = map[int64]bool{}
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) { // in a fixed order: a sum of floats depends on it in the last bit
		host := c.hosts[id]
		host.fade(now, c.conf.Window)
		if host.succeeded+host.failed < minRetainedWeight {
			delete(c.hosts, id)
			continue
		}
		zone := &zones[host.zone]
		zone.observed++
		zone.groups[host.group] = true
		if host.isFailing(now, c.conf.Window) {
			zone.failing++
			zone.failingGroups[host.group] = true
		} else if host.latencyShare > 0 {
			zone.measured++
			zone.latencyShare += host.latencyShare
		}
	}
	return zones
}

// updateRates updates the moving averages of the request rates.
func (c *EvidenceCollector) updateRates(now int64) {
	elapsed := now - c.ratesUpdatedAt
	if elapsed < rateInterval {
		return
	}
	for i := range c.requestRate {
		c.requestRate[i] += float64(rateSmoothing * (c.requests[i]*1e6/float64(elapsed) - c.requestRate[i]))
		c.requests[i] = 0
	}
	c.ratesUpdatedAt = now
}

// health returns the health of a zone. If the zone is failing and is this gateway's own, or all other observed zones
// are failing too, the fault may be the gateway's own link, and the zone's health is unknown.
func (c *EvidenceCollector) health(zones []zoneEvidence, i, ownZone int) Health {
	if zones[i].observed < c.conf.MinHosts {
		return Unknown
	}
	if !c.isFailing(&zones[i]) {
		return Healthy
	}
	if i == ownZone {
		return Unknown
	}
	for other := range zones {
		if other != i && zones[other].observed > 0 && !c.isFailing(&zones[other]) {
			return Unhealthy
		}
	}
	return Unknown
}

// isFailing reports whether more than one host, most hosts, and enough groups of a zone are failing.
func (c *EvidenceCollector) isFailing(zone *zoneEvidence) bool {
	if zone.failing <= 1 {
		return false
	}
	mostHosts := float64(zone.failing) >= c.conf.FailingShare*float64(zone.observed)
	enoughGroups := len(zone.failingGroups) >= min(c.conf.MinFailingGroups, len(zone.groups))
	return mostHosts && enoughGroups
}
