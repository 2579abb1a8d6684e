package zonefailover

// Sight is what one gateway sees of each zone: how attempts and probes ended there, host by host, over some seconds.
//
// A zone is found bad when most of its hosts, of more than one group, fail, and the others mostly do not: one bad host is
// no zone, a bad group is no zone, and a gateway whose own link is bad sees all zones bad and says of none that it is.
type Sight struct {
	conf  SightConfig
	hosts map[string]*seen
	load  []float64 // requests of late, by zone
	sent  []float64
	at    int64
}

// SightConfig says what counts. Times are microseconds.
type SightConfig struct {
	Zones  int
	Window int64 // over which ends are counted: they fade with it
	Least  int   // hosts that must have been heard of, of a zone
	Groups int   // groups that must fail; fewer where a zone has no more
	Part   float64
}

// seen is what became of attempts at a host.
type seen struct {
	zone   int
	group  int64
	ok     float64
	failed float64
	used   float64 // of the aim, on the mean of those that were served
	at     int64
	okAt   int64 // when it last did well
}

// End is how an attempt or probe ended.
type End struct {
	Host   string
	Zone   int
	Group  int64
	Failed bool    // no answer, refused, reset or an error
	Used   float64 // of its aim; 0 if not known
	Probe  bool
	At     int64
}

// NewSight returns a sight of nothing.
func NewSight(conf SightConfig) *Sight {
	return &Sight{conf: conf, hosts: map[string]*seen{}, load: make([]float64, conf.Zones), sent: make([]float64, conf.Zones)}
}

// fade has what was seen count less the older it is.
func (s *Sight) fade(h *seen, now int64) {
	if since := now - h.at; since > 0 {
		keep := max(0, 1-float64(since)/float64(s.conf.Window))
		h.ok, h.failed, h.at = h.ok*keep, h.failed*keep, now
	}
}

// See takes one end.
func (s *Sight) See(e End) {
	if e.Zone < 0 || e.Zone >= s.conf.Zones {
		return
	}
	h := s.hosts[e.Host]
	if h == nil || h.zone != e.Zone || h.group != e.Group {
		h = &seen{zone: e.Zone, group: e.Group, at: e.At}
		s.hosts[e.Host] = h
	}
	s.fade(h, e.At)
	if e.Failed {
		h.failed++
	} else {
		h.ok++
		h.okAt = e.At
		if e.Used > 0 {
			h.used += (e.Used - h.used) / min(h.ok, 10)
		}
	}
	if !e.Probe {
		s.sent[e.Zone]++
	}
}

// Views is what is found of each zone.
func (s *Sight) Views(now int64, own int) []View {
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
		if h.ok+h.failed < 0.2 {
			delete(s.hosts, id)
			continue
		}
		z := &zones[h.zone]
		z.heard++
		z.groups[h.group] = true
		// A busy host has many answers to its credit when it falls silent: that it has given none for a while says more.
		if h.failed > h.ok || h.failed > 1.5 && now-h.okAt > s.conf.Window/2 {
			z.failing++
			z.bad[h.group] = true
		} else if h.used > 0 {
			z.served++
			z.used += h.used
		}
	}
	if since := now - s.at; since >= 1e6 {
		for i := range s.load {
			s.load[i] += 0.3 * (s.sent[i]*1e6/float64(since) - s.load[i])
			s.sent[i] = 0
		}
		s.at = now
	}
	views := make([]View, s.conf.Zones)
	failing := func(z *sum) bool {
		return float64(z.failing) >= s.conf.Part*float64(z.heard) && len(z.bad) >= min(s.conf.Groups, len(z.groups)) && z.failing > 1
	}
	// The others, without the zone that is looked at: where most of what they are fails as well, the fault is nearer.
	for i := range zones {
		z := &zones[i]
		v := View{Verdict: Unseen, Load: uint16(min(s.load[i]*10, 65535))}
		if z.served > 0 {
			v.Used = byte(min(100*z.used/float64(z.served), 255))
		}
		if z.heard >= s.conf.Least {
			v.Verdict = Good
			if failing(z) {
				well := 0
				for o := range zones {
					if o != i && zones[o].heard > 0 && !failing(&zones[o]) {
						well++
					}
				}
				if v.Verdict = Bad; well == 0 || own == i {
					v.Verdict = Unseen // all is bad, or only what lies beside it is good: its own link may be at fault
				}
			}
		}
		views[i] = v
	}
	return views
}
