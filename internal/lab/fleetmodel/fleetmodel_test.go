package fleetmodel

import "testing"

func busy() Options {
	return Options{Gateways: 80, Groups: 12, Members: 5, Seconds: 8, Seed: 1, Rate: 1250, RateSwing: 0.25, Work: 111, GossipBytesPerRequest: 1280}
}

func play(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With more asked than the busiest groups can do, so much must be shed that the rest is in time. Without
// shedding, each gateway's own limit of one attempt is 80 at a host: most of it then runs for nobody.
func TestOverloadDoesNotSpreadWaste(t *testing.T) {
	o := busy()
	o.Rate = 1750
	r := play(t, o)
	n := float64(r.Requests)
	if r.InTime/r.Asked < 0.68 || float64(r.TimedOut)/n > 0.15 {
		t.Errorf("%.2f of the worth in time, %.2f of the requests timed out at a host", r.InTime/r.Asked, float64(r.TimedOut)/n)
	}
}

// On a busy day that the hosts can carry, what 80 gateways do beside requests stays small.
func TestManyGatewaysAskLittle(t *testing.T) {
	r := play(t, busy())
	n := float64(r.Requests)
	if r.InTime/r.Asked < 0.85 || float64(r.Probes)/n > 0.08 || float64(r.Dials)/n > 0.5 || r.TellBytes/n > 700 {
		t.Errorf("%.2f in time; for each request %.2f probes, %.2f connections, %.0f bytes to others", r.InTime/r.Asked,
			float64(r.Probes)/n, float64(r.Dials)/n, r.TellBytes/n)
	}
}

// The same rules, by the settings, before one gateway and before 300.
func TestAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 300} {
		o := busy()
		o.Gateways, o.Seconds = gateways, 4
		if r := play(t, o); r.InTime/r.Asked < 0.75 {
			t.Errorf("%d gateways: %.2f in time", gateways, r.InTime/r.Asked)
		}
	}
}

func TestSameSeedSameDay(t *testing.T) {
	o := busy()
	o.Seconds = 2
	a, b := play(t, o), play(t, o)
	if a.InTime != b.InTime || a.Probes != b.Probes || a.TellBytes != b.TellBytes {
		t.Errorf("%+v and then %+v", a, b)
	}
}
