package zonefailover

import (
	"strconv"
	"testing"
)

// A zone is unhealthy only if most of its hosts, of several groups, fail and the fault cannot be the gateway's own link.
func TestZoneIsUnhealthyOnlyIfMostHostsOfSeveralGroupsFail(t *testing.T) {
	for name, c := range map[string]struct {
		failed func(host, zone int, group int64) bool
		want   [3]Health
	}{
		"all well":             {func(int, int, int64) bool { return false }, [3]Health{Healthy, Healthy, Healthy}},
		"a zone":               {func(_, z int, _ int64) bool { return z == 1 }, [3]Health{Healthy, Unhealthy, Healthy}},
		"one bad host":         {func(h, _ int, _ int64) bool { return h == 1 }, [3]Health{Healthy, Healthy, Healthy}},
		"one bad group":        {func(_, _ int, g int64) bool { return g == 1 }, [3]Health{Healthy, Healthy, Healthy}},
		"its own link":         {func(int, int, int64) bool { return true }, [3]Health{Unknown, Unknown, Unknown}},
		"its own zone":         {func(_, z int, _ int64) bool { return z == 0 }, [3]Health{Unknown, Healthy, Healthy}},
		"two zones":            {func(_, z int, _ int64) bool { return z > 0 }, [3]Health{Healthy, Unhealthy, Unhealthy}},
		"most hosts of a zone": {func(h, z int, _ int64) bool { return z == 2 && h%4 != 2 }, [3]Health{Healthy, Healthy, Unhealthy}},
	} {
		evidence := NewEvidenceCollector(EvidenceConfig{Zones: 3, Window: 5 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
		for at := range 40 {
			for h := range 12 {
				zone := h % 3
				group := int64(h / 3)
				evidence.Observe(Observation{
					Host:         strconv.Itoa(h),
					Zone:         zone,
					Group:        group,
					Failed:       c.failed(h, zone, group),
					LatencyShare: 0.3,
					At:           beginning + int64(at)*100*ms,
				})
			}
		}
		for z, v := range evidence.Assess(beginning+4*second, 0) {
			if v.Health != c.want[z] {
				t.Errorf("%s: zone %d: health %d, want %d", name, z, v.Health, c.want[z])
			}
		}
		for z, v := range evidence.Assess(beginning+60*second, 0) {
			if v.Health != Unknown {
				t.Errorf("%s: zone %d has health %d a minute after the last observation, want unknown", name, z, v.Health)
			}
		}
	}
}

// A busy zone that stops answering is detected as unhealthy within 3 s, although its earlier successes outnumber its
// failures at first.
func TestBusyZoneThatStopsAnsweringIsUnhealthySoon(t *testing.T) {
	evidence := NewEvidenceCollector(EvidenceConfig{Zones: 2, Window: 4 * second, MinHosts: 3, MinFailingGroups: 2, FailingShare: 0.6})
	health, now := Healthy, beginning
	for ; health != Unhealthy; now += 10 * ms {
		for h := range 8 {
			silent := h%2 == 0 && now > beginning+10*second
			if silent && (now/ms/10)%50 != 0 {
				continue // a suspect host gets a health check occasionally
			}
			evidence.Observe(Observation{Host: strconv.Itoa(h), Zone: h % 2, Group: int64(h / 4), Failed: silent, At: now})
		}
		health = evidence.Assess(now, 1)[0].Health
		if now > beginning+13*second {
			t.Fatal("the zone is not unhealthy 3 s after it stopped answering")
		}
		if health == Unhealthy && now <= beginning+10*second {
			t.Fatal("the zone is unhealthy while it still answers")
		}
	}
}

// The same observations give the same view to the last bit, in whatever order the hosts are added up.
func TestViewIsTheSameForTheSameObservations(t *testing.T) {
	assess := func() float64 {
		c := NewEvidenceCollector(EvidenceConfig{Zones: 1, MinHosts: 1, Window: 10e6, FailingShare: 0.5})
		for i := range 40 {
			c.Observe(Observation{Host: string(rune('a' + i)), At: 1, LatencyShare: 1 / float64(3+i)})
		}
		return c.sumByZone(1)[0].latencyShare
	}
	first := assess()
	for range 50 {
		if again := assess(); again != first {
			t.Fatalf("the same observations gave latency shares of %v and %v", first, again)
		}
	}
}

// A very short response time is measured all the same: a vote must not state it as 0, which means not measured.
func TestShortResponseTimeCountsAsMeasured(t *testing.T) {
	c := NewEvidenceCollector(EvidenceConfig{Zones: 2, MinHosts: 1, Window: 10e6, FailingShare: 0.5})
	c.Observe(Observation{Host: "a", Zone: 0, At: 1, LatencyShare: 0.004})
	c.Observe(Observation{Host: "b", Zone: 1, At: 1, HealthCheck: true})
	views := c.Assess(1, -1)
	if views[0].LatencyShare != 1 || views[1].LatencyShare != 0 {
		t.Errorf("latency shares %d and %d, want 1 and 0", views[0].LatencyShare, views[1].LatencyShare)
	}
}
