package app

import (
	"os"
	"syscall"

	"cloverrock/internal/config"
)

// Times in microseconds.
const (
	// drainDelay is how long requests are accepted after SIGTERM as before it: the load balancer in front sends new
	// connections for 0.4 s more, and clients use the open ones for up to 0.7 s.
	drainDelay = 700_000
	// drainGrace is added to the longest deadline before the program ends with requests still in flight.
	drainGrace = 100_000
)

// handleSignals follows the operators' signals until c is closed: SIGHUP reloads, others drain. It blocks. readConfig runs
// on the calling goroutine, so that no request waits for the file.
func (s *server) handleSignals(c <-chan os.Signal, readConfig func() (*config.Config, error)) {
	for sig := range c {
		if sig != syscall.SIGHUP {
			s.loop.Post(s.drain)
			continue
		}
		conf, err := readConfig()
		s.loop.Post(func() { s.reload(conf, err) })
	}
}

// reload applies what can change in a running gateway and returns the keys that need a restart. If the configuration
// could not be read, err says why, and nothing changes.
func (s *server) reload(conf *config.Config, err error) (restart []string) {
	if err != nil {
		s.log.Error().Err(err).Msg("app: reload failed, configuration unchanged")
		return nil
	}
	restart = s.conf.RestartOnlyChanges(conf)
	if len(restart) > 0 {
		s.log.Warn().Strs("keys", restart).Msg("app: reload left out keys that need a restart")
	}
	s.log.Info().Str("discovery", conf.Discovery).Msg("app: configuration reloaded")
	s.watch.SetAddress(conf.Discovery)
	return restart
}

// drain begins the graceful shutdown: requests are accepted for drainDelay, those in flight are finished, and the loop
// ends once no connection is left, or when the longest deadline has passed.
func (s *server) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.log.Info().Int("in_flight", s.gateway.InFlight()).Int64("unsent_bytes", s.frontend.UnsentBytes()).Msg("app: draining")
	stopAt := s.loop.Now() + s.drainDelay
	s.loop.CallAt(stopAt, s.stopAccepting)
	s.loop.CallAt(stopAt+s.conf.LongestDeadline+drainGrace, s.loop.Stop)
}

// stopAccepting ends the delay: only connections that the system has accepted already are still taken.
func (s *server) stopAccepting() {
	s.loop.StopListening(func() { s.frontend.Shutdown(s.loop.Stop) })
}
