package app

import (
	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/gateway"
)

// countEvery is how often a gateway that logs at debug level says what it has done meanwhile.
const countEvery = 1_000_000

// CountsMessage marks the lines; cloverrock-lab fleet adds them up over many gateways.
const CountsMessage = "counts"

// count logs once a second what the gateway did since the last time, hosts by their attempts included. At any other
// level nothing is counted beyond a few numbers.
func (s *server) count() {
	if s.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	hosts := map[string]*tally{}
	s.gateway.ObserveOutcomes(func(host string, class int, o gateway.Outcome) {
		if class == gateway.HealthCheckClass {
			return
		}
		if hosts[host] == nil {
			hosts[host] = &tally{}
		}
		hosts[host].add(o)
	})
	last, dials, broken := s.gateway.Counts(), 0, 0
	var again func()
	again = func() {
		c := s.gateway.Counts()
		d, b := s.pool.Dials()
		attempts := zerolog.Dict()
		for h, n := range hosts {
			attempts.Ints(h, []int{n.served, n.errored, n.timedOut, n.other, n.ms / max(n.served, 1)})
		}
		e := s.log.Debug().Int("requests", c.Requests-last.Requests).Int("refused", c.Rejected-last.Rejected).Int("failed", c.Failed-last.Failed).
			Int("again", c.Retries-last.Retries).Int("probes", c.HealthChecks-last.HealthChecks).Int("probes_failed", c.HealthChecksFailed-last.HealthChecksFailed).
			Int("told", c.GossipSent-last.GossipSent).Int("told_bytes", c.GossipBytesSent-last.GossipBytesSent).Int("heard", c.GossipReceived-last.GossipReceived).
			Int("dials", d-dials).Int("dials_failed", b-broken)
		for i, name := range results {
			if n := c.Outcomes[i] - last.Outcomes[i]; n > 0 {
				e = e.Int(name, n)
			}
		}
		e.Dict("attempts", attempts).Msg(CountsMessage)
		last, dials, broken = c, d, b
		clear(hosts)
		s.loop.CallAt(s.loop.Now()+countEvery, again)
	}
	s.loop.CallAt(s.loop.Now()+countEvery, again)
}

// tally is what became of a second's attempts at one host.
type tally struct{ served, errored, timedOut, other, ms int }

func (t *tally) add(o gateway.Outcome) {
	switch o.Result {
	case balance.Succeeded:
		t.served++
		t.ms += int(o.Latency / 1000)
	case balance.Failed:
		t.errored++
	case balance.TimedOut:
		t.timedOut++
	default:
		t.other++
	}
}

// results names the outcomes of attempts, in the module's order.
var results = [...]string{"served", "errored", "full", "timed_out", "refused_dial", "reset", "cancelled", "skipped", "missed"}
