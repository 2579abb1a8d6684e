package zonefailover

const (
	forgottenWeight     = 0.2       // a host with fewer observations left, after fading, is forgotten
	silentFailures      = 1.5       // failures, after fading, after which a host without recent success is failing
	latencySamples      = 10        // over which a host's response time is averaged
	rateInterval        = 1_000_000 // microseconds; request rates are updated no more often
	rateSmoothing       = 0.3       // weight of a new request rate in the moving average
	maxPackedRate       = 65535
	maxPackedLatency    = 255
	rateUnitsPerRequest = 10 // a vote's request rate is in tenths per second
)

// EvidenceCollector gathers what one gateway observes of each zone: the outcomes of attempts and health checks, host by
// host, over some seconds.
//
// A zone is found unhealthy when most of its hosts, of more than one group, fail while another zone mostly does not. One
// failing host or one failing group does not make a zone unhealthy, and a gateway whose own link fails sees all zones
// fail and reports none.
type EvidenceCollector struct {
	conf           EvidenceConfig
	hosts          map[string]*hostEvidence
	requestRate    []float64 // per second, by zone
	requests       []float64 // since ratesUpdatedAt, by zone
	ratesUpdatedAt int64
}

// EvidenceConfig says what counts. Times are microseconds.
type EvidenceConfig struct {
	Zones            int
	Window           int64   // after which an observation has faded away
	MinHosts         int     // hosts of a zone that must have been observed
	MinFailingGroups int     // groups that must fail, or all of the zone if it has fewer
	FailingShare     float64 // of the observed hosts that must fail
}

// hostEvidence is what was observed of a host.
type hostEvidence struct {
	zone          int
	group         int64
	succeeded     float64 // count, fading
	failed        float64 // count, fading
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
	LatencyShare float64 // response time as a share of the latency objective; 0 if not known
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

// fade reduces the weight of earlier observations by their age.
func (h *hostEvidence) fade(now, window int64) {
	age := now - h.fadedAt
	if age <= 0 {
		return
	}
	keep := max(0, 1-float64(age)/float64(window))
	h.succeeded *= keep
	h.failed *= keep
	h.fadedAt = now
}

// isFailing tells whether a host fails. A busy host that stops answering has many earlier successes to its credit: that
// it has had none for a while outweighs them.
func (h *hostEvidence) isFailing(now, window int64) bool {
	hasStopped := h.failed > silentFailures && now-h.lastSuccessAt > window/2
	return h.failed > h.succeeded || hasStopped
}

// Observe takes one observation. One of an unknown zone is ignored.
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

// zoneEvidence sums up the hosts of a zone.
type zoneEvidence struct {
	observed, failing, measured int // hosts
	groups, failingGroups       map[int64]bool
	latencyShare                float64 // sum over the measured hosts
}

// Assess returns what this gateway finds of each zone; own is its own zone, -1 if it has none.
func (c *EvidenceCollector) Assess(now int64, own int) []ZoneView {
	zones := c.sumUp(now)
	c.updateRates(now)
	views := make([]ZoneView, c.conf.Zones)
	for i := range zones {
		zone := &zones[i]
		view := ZoneView{Health: c.health(zones, i, own)}
		view.RequestRate = uint16(min(c.requestRate[i]*rateUnitsPerRequest, maxPackedRate))
		if zone.measured > 0 {
			view.LatencyShare = byte(min(100*zone.latencyShare/float64(zone.measured), maxPackedLatency))
		}
		views[i] = view
	}
	return views
}

// sumUp adds up the hosts by zone, and forgets those without recent observations.
func (c *EvidenceCollector) sumUp(now int64) []zoneEvidence {
	zones := make([]zoneEvidence, c.conf.Zones)
	for i := range zones {
		zones[i].groups = map[int64]bool{}
		zones[i].failingGroups = map[int64]bool{}
	}
	for id, host := range c.hosts {
		host.fade(now, c.conf.Window)
		if host.succeeded+host.failed < forgottenWeight {
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

func (c *EvidenceCollector) updateRates(now int64) {
	elapsed := now - c.ratesUpdatedAt
	if elapsed < rateInterval {
		return
	}
	for i := range c.requestRate {
		c.requestRate[i] += rateSmoothing * (c.requests[i]*1e6/float64(elapsed) - c.requestRate[i])
		c.requests[i] = 0
	}
	c.ratesUpdatedAt = now
}

// health judges a zone. Where no other zone does well, or the failing zone is this gateway's own, the fault may be the
// gateway's own link, and the zone's health is unknown.
func (c *EvidenceCollector) health(zones []zoneEvidence, i, own int) Health {
	if zones[i].observed < c.conf.MinHosts {
		return Unknown
	}
	if !c.isFailing(&zones[i]) {
		return Healthy
	}
	if i == own {
		return Unknown
	}
	for other := range zones {
		if other != i && zones[other].observed > 0 && !c.isFailing(&zones[other]) {
			return Unhealthy
		}
	}
	return Unknown
}

func (c *EvidenceCollector) isFailing(zone *zoneEvidence) bool {
	if zone.failing <= 1 {
		return false
	}
	mostHosts := float64(zone.failing) >= c.conf.FailingShare*float64(zone.observed)
	enoughGroups := len(zone.failingGroups) >= min(c.conf.MinFailingGroups, len(zone.groups))
	return mostHosts && enoughGroups
}
