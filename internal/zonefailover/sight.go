package zonefailover

// EvidenceCollector is what one gateway sees of each zone: how attempts and probes ended there, host by host, over some seconds.
//
// A zone is found bad when most of its hosts, of more than one group, fail, and the others mostly do not: one bad host is
// no zone, a bad group is no zone, and a gateway whose own link is bad sees all zones bad and says of none that it is.
type EvidenceCollector struct {
	conf           EvidenceConfig
	hosts          map[string]*hostEvidence
	requestRate    []float64 // requests of late, by zone
	requests       []float64
	ratesUpdatedAt int64
}

// EvidenceConfig says what counts. Times are microseconds.
type EvidenceConfig struct {
	Zones            int
	Window           int64 // over which ends are counted: they fade with it
	MinHosts         int   // hosts that must have been heard of, of a zone
	MinFailingGroups int   // groups that must fail; fewer where a zone has no more
	FailingShare     float64
}

// hostEvidence is what became of attempts at a host.
type hostEvidence struct {
	zone          int
	group         int64
	succeeded     float64
	failed        float64
	latencyShare  float64 // of the aim, on the mean of those that were served
	fadedAt       int64
	lastSuccessAt int64 // when it last did well
}

// Observation is how an attempt or probe ended.
type Observation struct {
	Host         string
	Zone         int
	Group        int64
	Failed       bool    // no answer, refused, reset or an error
	LatencyShare float64 // of its aim; 0 if not known
	HealthCheck  bool
	At           int64
}

// NewEvidenceCollector returns a sight of nothing.
func NewEvidenceCollector(conf EvidenceConfig) *EvidenceCollector {
	return &EvidenceCollector{conf: conf, hosts: map[string]*hostEvidence{}, requestRate: make([]float64, conf.Zones), requests: make([]float64, conf.Zones)}
}

// fade has what was seen count less the older it is.
func (s *EvidenceCollector) fade(h *hostEvidence, now int64) {
	if since := now - h.fadedAt; since > 0 {
		keep := max(0, 1-float64(since)/float64(s.conf.Window))
		h.succeeded, h.failed, h.fadedAt = h.succeeded*keep, h.failed*keep, now
	}
}

// Observe takes one end.
func (s *EvidenceCollector) Observe(e Observation) {
	if e.Zone < 0 || e.Zone >= s.conf.Zones {
		return
	}
	h := s.hosts[e.Host]
	if h == nil || h.zone != e.Zone || h.group != e.Group {
		h = &hostEvidence{zone: e.Zone, group: e.Group, fadedAt: e.At}
		s.hosts[e.Host] = h
	}
	s.fade(h, e.At)
	if e.Failed {
		h.failed++
	} else {
		h.succeeded++
		h.lastSuccessAt = e.At
		if e.LatencyShare > 0 {
			h.latencyShare += (e.LatencyShare - h.latencyShare) / min(h.succeeded, 10)
		}
	}
	if !e.HealthCheck {
		s.requests[e.Zone]++
	}
}

// Assess is what is found of each zone.
func (s *EvidenceCollector) Assess(now int64, own int) []ZoneView {
	type sum struct {
		heard, failing, served int
		groups, bad            map[int64]bool
		used                   float64
	}
	zones := make([]sum, s.conf.Zones)
	for i := range zones {
		zones[i].groups, zones[i].bad = map[int64]bool{}, map[int64]bool{}
	}
	for id, h := range s.hosts {
		s.fade(h, now)
		if h.succeeded+h.failed < 0.2 {
			delete(s.hosts, id)
			continue
		}
		z := &zones[h.zone]
		z.heard++
		z.groups[h.group] = true
		// A busy host has many answers to its credit when it falls silent: that it has given none for a while says more.
		if h.failed > h.succeeded || h.failed > 1.5 && now-h.lastSuccessAt > s.conf.Window/2 {
			z.failing++
			z.bad[h.group] = true
		} else if h.latencyShare > 0 {
			z.served++
			z.used += h.latencyShare
		}
	}
	if since := now - s.ratesUpdatedAt; since >= 1e6 {
		for i := range s.requestRate {
			s.requestRate[i] += 0.3 * (s.requests[i]*1e6/float64(since) - s.requestRate[i])
			s.requests[i] = 0
		}
		s.ratesUpdatedAt = now
	}
	views := make([]ZoneView, s.conf.Zones)
	failing := func(z *sum) bool {
		return float64(z.failing) >= s.conf.FailingShare*float64(z.heard) && len(z.bad) >= min(s.conf.MinFailingGroups, len(z.groups)) && z.failing > 1
	}
	// The others, without the zone that is looked at: where most of what they are fails as well, the fault is nearer.
	for i := range zones {
		z := &zones[i]
		v := ZoneView{Health: Unknown, RequestRate: uint16(min(s.requestRate[i]*10, 65535))}
		if z.served > 0 {
			v.LatencyShare = byte(min(100*z.used/float64(z.served), 255))
		}
		if z.heard >= s.conf.MinHosts {
			v.Health = Healthy
			if failing(z) {
				well := 0
				for o := range zones {
					if o != i && zones[o].heard > 0 && !failing(&zones[o]) {
						well++
					}
				}
				if v.Health = Unhealthy; well == 0 || own == i {
					v.Health = Unknown // all is bad, or only what lies beside it is good: its own link may be at fault
				}
			}
		}
		views[i] = v
	}
	return views
}
