package app

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"cloverrock/internal/config"
)

// Times in microseconds.
const (
	// drainDelay is how long connections and requests are still accepted after SIGTERM: the load balancer in front sends
	// new connections for another 0.4 s, and clients use open ones for up to 0.7 s.
	drainDelay = 700_000
	// maxCountedDeadline limits the deadline of requests that the platform waits for after drainDelay before it kills the
	// program.
	maxCountedDeadline = 3_000_000
	// answerMargin is the time before the earliest kill by which every request has its final answer. It must cover that the
	// program gets its part of a core in slices, and the way of the answer to the client.
	answerMargin = 200_000
	// exitMargin is the time before the earliest kill at which the program ends, whoever is still connected.
	exitMargin = 100_000
)

// signals receives the process's signals. Each channel holds one: those that come meanwhile ask for the same again. They are
// apart, since a reload may wait for the disk while the gateway is told to end.
type signals struct {
	terminate chan os.Signal // SIGTERM and SIGINT
	reload    chan os.Signal // SIGHUP
}

// notifySignals begins to receive signals. It goes on until the process has ended: a SIGHUP that comes meanwhile must not be
// what ends it.
func notifySignals() signals {
	s := signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// drainAt drains the gateway at each signal of a channel. It blocks until the channel is closed.
func (s *server) drainAt(terminate <-chan os.Signal) {
	for range terminate {
		s.loop.Post(s.drain)
	}
}

// reloadAt reloads the configuration at each signal of a channel. It blocks until the channel is closed. readConfig runs on
// the calling goroutine, so that no request waits for the file.
func (s *server) reloadAt(reload <-chan os.Signal, readConfig func() (*config.Config, error)) {
	for range reload {
		conf, err := readConfig()
		s.loop.Post(func() { s.reload(conf, err) })
	}
}

// reload applies the changes that a running gateway can make and returns the keys that need a restart. err is the error of
// reading the configuration: if it is not nil, it is logged and nothing changes.
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
// ends once no connection is left, or shortly before the platform may kill the program. Clients that send ahead keep their
// connections busy beyond drainDelay, so every request is answered by a time before that kill.
func (s *server) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.log.Info().Int("in_flight", s.gateway.InFlight()).Int64("unsent_bytes", s.frontend.UnsentBytes()).Msg("app: draining")
	now := s.loop.Now()
	killAt := now + s.drainDelay + min(s.conf.LongestDeadline, maxCountedDeadline)
	s.gateway.Shutdown(killAt - answerMargin)
	s.loop.CallAt(now+s.drainDelay, s.stopAccepting)
	s.loop.CallAt(killAt-answerMargin, s.frontend.CloseRemaining)
	s.loop.CallAt(killAt-exitMargin, s.loop.Stop)
	s.killAt = killAt
}

// closeInTime closes the component once the loop has ended, and reports whether that was done by half of exitMargin before the
// earliest kill. The component's data outlives a process that ends meanwhile, as it does one that is killed.
func (s *server) closeInTime(component Component) bool {
	closed := make(chan struct{})
	go func() {
		component.Close()
		close(closed)
	}()
	left := time.Duration(s.killAt-exitMargin/2-s.loop.Now()) * time.Microsecond
	select {
	case <-closed:
		return true
	case <-time.After(left):
		return false
	}
}

// stopAccepting ends the drain delay. Connections that the kernel has already accepted are still served.
func (s *server) stopAccepting() {
	s.loop.StopListening(func() { s.frontend.Shutdown(s.loop.Stop) })
}
