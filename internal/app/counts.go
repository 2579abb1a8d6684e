package app

import (
	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/gateway"
)

// countsInterval is the time between lines of counts, in microseconds.
const countsInterval = 1_000_000

// CountsMessage is the message of the log lines with counts. `cloverrock-lab fleet` finds them by it, and adds up their
// fields over many gateways.
const CountsMessage = "counts"

// resultFields names the log field of each balance.Result. Other programs read these fields, so their names stay as they
// are even where the code uses other terms.
var resultFields = [...]string{
	balance.Succeeded:         "served",
	balance.Failed:            "errored",
	balance.Overloaded:        "full",
	balance.TimedOut:          "timed_out",
	balance.ConnectionRefused: "refused_dial",
	balance.ConnectionReset:   "reset",
	balance.Canceled:          "cancelled",
	balance.NotSent:           "skipped",
	balance.NotPrimary:        "missed",
}

// countsLogger logs how far the gateway's counts have increased since the previous line.
type countsLogger struct {
	server          *server
	hosts           map[string]*hostOutcomes // since the previous line
	lastCounts      gateway.Counts
	lastDials       int
	lastFailedDials int
}

// logCounts logs counts once a second if lines of level debug are logged.
func (s *server) logCounts() {
	if s.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	c := &countsLogger{server: s, hosts: map[string]*hostOutcomes{}, lastCounts: s.gateway.Counts()}
	s.gateway.ObserveOutcomes(c.record)
	c.schedule()
}

func (c *countsLogger) schedule() {
	loop := c.server.loop
	loop.CallAt(loop.Now()+countsInterval, func() {
		c.log()
		c.schedule()
	})
}

// record counts an attempt. Health checks are not attempts.
func (c *countsLogger) record(host string, class int, o gateway.Outcome) {
	if class == gateway.HealthCheckClass {
		return
	}
	if c.hosts[host] == nil {
		c.hosts[host] = &hostOutcomes{}
	}
	c.hosts[host].add(o)
}

func (c *countsLogger) log() {
	now, last := c.server.gateway.Counts(), &c.lastCounts
	dials, failedDials := c.server.pool.Dials()
	line := c.server.log.Debug().
		Int("requests", now.Requests-last.Requests).
		Int("refused", now.Rejected-last.Rejected).
		Int("failed", now.Failed-last.Failed).
		Int("again", now.Retries-last.Retries).
		Int("probes", now.HealthChecks-last.HealthChecks).
		Int("probes_failed", now.HealthChecksFailed-last.HealthChecksFailed).
		Int("told", now.GossipSent-last.GossipSent).
		Int("told_bytes", now.GossipBytesSent-last.GossipBytesSent).
		Int("heard", now.GossipReceived-last.GossipReceived).
		Int("dials", dials-c.lastDials).
		Int("dials_failed", failedDials-c.lastFailedDials)
	for result, field := range resultFields {
		if n := now.Outcomes[result] - last.Outcomes[result]; n > 0 {
			line = line.Int(field, n)
		}
	}
	attempts := zerolog.Dict()
	for host, outcomes := range c.hosts {
		attempts.Ints(host, outcomes.values())
	}
	line.Dict("attempts", attempts).Msg(CountsMessage)
	c.lastCounts = now
	c.lastDials = dials
	c.lastFailedDials = failedDials
	clear(c.hosts)
}

// hostOutcomes counts the attempts at one host.
type hostOutcomes struct {
	succeeded, failed, timedOut, other int
	latencyMs                          int // sum over the succeeded attempts
}

func (n *hostOutcomes) add(o gateway.Outcome) {
	switch o.Result {
	case balance.Succeeded:
		n.succeeded++
		n.latencyMs += int(o.Latency / 1000)
	case balance.Failed:
		n.failed++
	case balance.TimedOut:
		n.timedOut++
	default:
		n.other++
	}
}

// values returns the counts and the mean latency in milliseconds, in the order in which they are logged.
func (n *hostOutcomes) values() []int {
	return []int{n.succeeded, n.failed, n.timedOut, n.other, n.latencyMs / max(n.succeeded, 1)}
}
