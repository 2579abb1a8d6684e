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
	// drainDelay is how long connections and requests are still accepted after SIGTERM. The load balancer in front of the
	// gateway sends new connections for another 0.4 s, and clients use open connections for up to 0.7 s.
	drainDelay = 700_000
	// maxCountedDeadline limits how long the platform waits for requests in flight after drainDelay before it kills the
	// program: longer deadlines of requests do not delay the kill further.
	maxCountedDeadline = 3_000_000
	// answerMargin is the time before the earliest kill by which every request has its final answer. It covers the
	// intervals in which the program is not scheduled because its share of a core is used up, and the time in which the
	// answer reaches the client.
	answerMargin = 200_000
	// exitMargin is the time before the earliest kill at which the program ends even if clients are still connected.
	exitMargin = 100_000
)

// signals receives the process's signals. Each channel buffers one signal; further ones of the same kind are dropped,
// since they would request the same again. Shutdown and reload have separate channels because a reload may wait for the
// disk while a SIGTERM arrives.
type signals struct {
	terminate chan os.Signal // SIGTERM and SIGINT
	reload    chan os.Signal // SIGHUP
}

// notifySignals starts receiving signals and never stops: a SIGHUP that arrives during the shutdown must not terminate
// the process by the signal's default action.
func notifySignals() signals {
	s := signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// drainOnSignal drains the gateway at each signal of a channel. It returns once the channel is closed.
func (s *server) drainOnSignal(terminate <-chan os.Signal) {
	for range terminate {
		s.loop.Post(s.drain)
	}
}

// reloadOnSignal reloads the configuration at each signal of a channel. It returns once the channel is closed.
// readConfig runs on the calling goroutine, so that no request waits while the file is read.
func (s *server) reloadOnSignal(reload <-chan os.Signal, readConfig func() (*config.Config, error)) {
	for range reload {
		conf, err := readConfig()
		s.loop.Post(func() { s.reload(conf, err) })
	}
}

// reload applies the changes that can be made while the gateway runs and returns the keys whose changes need a restart.
// err is the error of reading the configuration: if it is not nil, it is logged and nothing changes.
func (s *server) reload(conf *config.Config, err error) (restart []string) {
	if err != nil {
		s.log.Error().Err(err).Msg("app: reload failed, configuration unchanged")
		return nil
	}
	restart = s.conf.RestartOnlyChanges(conf)
	if len(restart) > 0 {
		s.log.Warn().Strs("keys", restart).Msg("app: changed keys take effect only after a restart")
	}
	s.log.Info().Str("discovery", conf.Discovery).Msg("app: configuration reloaded")
	s.watch.SetAddress(conf.Discovery)
	return restart
}

// drain begins the graceful shutdown. Requests are accepted for drainDelay, and those in flight are finished. The loop
// ends once no connection is left, at the latest exitMargin before the platform may kill the program. Clients that
// pipeline requests keep their connections busy beyond drainDelay, so every request gets its final answer by
// answerMargin before that kill.
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

// closeInTime closes the component after the loop has ended. It waits until half of exitMargin before the earliest kill,
// and reports whether the component was closed by then. If not, the process may end meanwhile: the component's stored
// data survives this as it survives a kill.
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
