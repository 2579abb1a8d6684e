package fleetmodel

import "testing"

func busyDay() Options {
	return Options{Gateways: 80, Groups: 12, Members: 5, Seconds: 8, Seed: 1, Rate: 1250, RateSwing: 0.25, Work: 111, GossipBytesPerRequest: 1280}
}

func runDay(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against overload in which hosts work for clients that have left. There is more load than the busiest groups can
// serve, so the gateways must shed enough for the rest to be answered in time. Without shedding, even one attempt of each
// gateway makes 80 at a host, and most of them would end after their clients have left.
func TestOverloadIsShedSoThatTheRestIsInTime(t *testing.T) {
	o := busyDay()
	o.Rate = 1750
	r := runDay(t, o)
	n := float64(r.Requests)
	if r.InTime/r.Asked < 0.68 || float64(r.TimedOut)/n > 0.15 {
		t.Errorf("%.2f of the weight in time, %.2f of the requests timed out at a host", r.InTime/r.Asked, float64(r.TimedOut)/n)
	}
}

// On a busy day within the hosts' capacity, the health checks, connections and gossip of 80 gateways stay small.
func TestManyGatewaysAddLittleTraffic(t *testing.T) {
	r := runDay(t, busyDay())
	n := float64(r.Requests)
	if r.InTime/r.Asked < 0.85 || float64(r.HealthChecks)/n > 0.08 || float64(r.Dials)/n > 0.5 || r.GossipBytes/n > 700 {
		t.Errorf("%.2f of the weight in time; for each request %.2f health checks, %.2f new connections, %.0f bytes of gossip", r.InTime/r.Asked,
			float64(r.HealthChecks)/n, float64(r.Dials)/n, r.GossipBytes/n)
	}
}

// The same settings serve a fleet of one gateway and one of 300.
func TestAnyNumberOfGatewaysServesInTime(t *testing.T) {
	for _, gateways := range []int{1, 300} {
		o := busyDay()
		o.Gateways = gateways
		o.Seconds = 4
		if r := runDay(t, o); r.InTime/r.Asked < 0.75 {
			t.Errorf("%d gateways: %.2f of the weight in time", gateways, r.InTime/r.Asked)
		}
	}
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	o := busyDay()
	o.Seconds = 2
	a, b := runDay(t, o), runDay(t, o)
	if a.InTime != b.InTime || a.HealthChecks != b.HealthChecks || a.GossipBytes != b.GossipBytes {
		t.Errorf("the first run gave %+v, the second %+v", a, b)
	}
}
