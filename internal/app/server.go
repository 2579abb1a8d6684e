package app

import (
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/balance"
	"cloverrock/internal/backend"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	"cloverrock/internal/eventloop"
	"cloverrock/internal/frontend"
	"cloverrock/internal/gateway"
	"cloverrock/internal/peer"
)

const (
	// overlap is how long requests are taken after SIGTERM as before: the front goes on sending new connections for
	// 0.4 s, and clients were seen to use the open ones for 0.7 s. One that comes later may meet the SIGKILL.
	overlap = 700_000
	// grace is added to the longest deadline before the program ends with whatever is still out.
	grace = 100_000
	// A client that connects and says nothing, or stops within a message, is owed a close within 3 s. One that rests
	// may be closed after 2 s, and is: clients that ask once and stay take up what their side may have open, too.
	silence = 2_000_000
	resting = 2_000_000
	// An agent on this machine answers at once, and says nothing while discovery is down.
	listing = 500_000
	// descriptors that neither clients nor hosts take: standard streams, engine, listener, discovery, peers,
	// and connections on their way in or out.
	reserved = 40
)

// server is the program's parts, put together.
type server struct {
	conf     *config.Config
	log      zerolog.Logger
	loop     *eventloop.Loop
	gateway  *gateway.Gateway
	pool     *backend.Pool
	frontend *frontend.Server
	watch    *discovery.Watch
	overlap  int64
	draining bool
	list     discovery.EndpointList // all that is listed now
}

// clock lends the loop's clock to the gateway.
type clock struct{ *eventloop.Loop }

// CallAt implements gateway.Clock.
func (c clock) CallAt(at int64, f func()) { c.Loop.CallAt(at, f) }

// patience is how long clients may be silent, and rest, and how long discovery's own agent may take to tell the list
// before the known one is gone by; 0: not at all.
type patience struct{ silence, resting, list int64 }

func newServer(conf *config.Config, p patience, beside bool, log zerolog.Logger) (*server, error) {
	// A gateway has one core. With two threads at a time a request took 107 us to its first attempt and 1.0 s of
	// CPU went into a calm day; with one, 76 us and 0.7 s.
	if !beside { // with a store beside it, that has a thread of its own
		runtime.GOMAXPROCS(1)
	}
	debug.SetMemoryLimit(int64(conf.MemoryMB) << 20 * 6 / 10)
	router, err := balance.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	s := &server{conf: conf, log: log, loop: eventloop.New(conf.Sockets, conf.MemoryMB<<20/16, log), overlap: overlap}
	s.gateway = gateway.New(router, clock{s.loop}, log)
	free := conf.Sockets - reserved
	clients := free * 11 / 20
	s.frontend = frontend.New(s.loop, s.gateway, conf.Classes, frontend.Limits{
		Connections: clients, ActiveConnections: max(conf.Sockets/4, 1), Bytes: conf.MemoryMB << 20 / 8, MessageTimeout: p.silence, IdleTimeout: p.resting,
	}, log)
	s.pool = backend.New(s.loop, s.gateway, backend.Limits{
		DialTimeout: conf.Settings.DialTimeout, IdleClose: conf.IdleClose, Connections: free - clients, Bytes: conf.MemoryMB << 20 / 8,
	}, log.Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second})) // a host that only fails fills no log
	generation, known := int64(0), conf.KnownEndpoints != nil
	if known {
		generation = conf.KnownEndpoints.Generation
	}
	// Where an agent on this machine holds the list, all that it holds counts as told from the first moment: the whole
	// list is asked for, and the known one, which may be older, is gone by only if no answer comes.
	asks := known && !conf.Settings.MustSubscribe && p.list > 0
	s.watch = discovery.New(s.loop, discovery.Config{
		Address: conf.Discovery, Names: conf.Names, Generation: generation, HasEndpoints: known, PollFirst: asks || !known && !conf.Settings.MustSubscribe,
		Backoff: discovery.NewBackoff(conf.Gateways, conf.Settings.MustSubscribe, conf.Seed),
		Updated: s.listed, Failed: func(*discovery.WatchError) { s.gateway.EndpointsPollFailed() }, Log: log,
	})
	peers := &peer.Peers{}
	s.gateway.Connect(s.pool, s.watch, peers)
	if err := s.loop.Start(conf.Listen, clients+frontend.OverflowConnections, s.frontend.Accept); err != nil {
		return nil, err
	}
	opened, err := peer.Open(s.loop, conf.Peer, s.gateway.GossipReceived, log)
	if err != nil {
		return nil, err
	}
	*peers = *opened
	if asks {
		s.loop.CallAt(s.loop.Now()+p.list, func() {
			if !s.gateway.Ready() {
				log.Warn().Int64("generation", conf.KnownEndpoints.Generation).Msg("discovery does not answer: going on from the known list")
				s.listed(*conf.KnownEndpoints)
			}
		})
	} else if known {
		s.listed(*conf.KnownEndpoints)
	}
	s.watch.Subscribe()
	s.count()
	return s, nil
}

// listed takes a list: addresses first, so that what the module sends at once finds its way.
func (s *server) listed(l discovery.EndpointList) {
	var gone []string
	for _, e := range l.Endpoints {
		if e.State == balance.Removed {
			gone = append(gone, e.Host)
		}
	}
	s.list.Merge(l)
	s.pool.UpdateEndpoints(l.Addresses, gone, l.Complete)
	s.gateway.EndpointsUpdated(l.Endpoints, l.Complete)
}

// Snapshot implements Gateway.
func (s *server) Snapshot() (f balance.Snapshot, l discovery.EndpointList, ok bool) {
	done := make(chan struct{})
	s.loop.Post(func() {
		f, l = s.gateway.Snapshot(), s.list.Clone()
		close(done)
	})
	select {
	case <-done:
		return f, l, true
	case <-s.loop.Done():
		return f, l, false
	}
}

// Restore implements Gateway. A list that is older than what discovery has told meanwhile is passed over.
func (s *server) Restore(f balance.Snapshot, l *discovery.EndpointList) {
	s.loop.Post(func() {
		switch known := s.conf.KnownEndpoints; {
		case l == nil:
		case known != nil && !s.gateway.Ready(): // discovery is being asked, and goes before both
			if l.Generation > known.Generation {
				s.conf.KnownEndpoints = l
			}
		case l.Generation > s.list.Generation:
			s.listed(*l)
		}
		s.gateway.Restore(f)
	})
}

// ObserveOutcomes implements Gateway.
func (s *server) ObserveOutcomes(f func(host string, class int, o gateway.Outcome)) {
	s.loop.Post(func() { s.gateway.ObserveOutcomes(f) })
}

// SetZoneShares implements Gateway.
func (s *server) SetZoneShares(v balance.ZoneShares) {
	s.loop.Post(func() { s.gateway.SetZoneShares(v) })
}

// signals follows the operators' signals until the program ends.
func (s *server) signals(c <-chan os.Signal, reread func() (*config.Config, error)) {
	for sig := range c {
		if sig != syscall.SIGHUP {
			s.loop.Post(s.drain)
			continue
		}
		conf, err := reread() // here, so that no request waits for the file
		s.loop.Post(func() { s.reload(conf, err) })
	}
}

// Reload implements Gateway.
func (s *server) Reload(conf *config.Config, err error) (restart []string, ok bool) {
	done := make(chan []string, 1)
	s.loop.Post(func() { done <- s.reload(conf, err) })
	select {
	case keys := <-done:
		return keys, true
	case <-s.loop.Done():
		return nil, false
	}
}

// reload goes over to a configuration that was read while serving, and names the keys that need a restart. One that
// is bad changes nothing.
func (s *server) reload(conf *config.Config, err error) []string {
	if err != nil {
		s.log.Error().Err(err).Msg("reload: the running configuration stays")
		return nil
	}
	keys := s.conf.RestartOnlyChanges(conf)
	if len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("reload: these keys need a restart; they stay as they were")
	}
	s.log.Info().Str("discovery", conf.Discovery).Msg("reloaded")
	s.watch.SetAddress(conf.Discovery)
	return keys
}

// drain begins the end: new connections are taken for a while yet, what is held is finished, then Run returns.
func (s *server) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.log.Info().Int("owed", s.gateway.InFlight()).Int64("unread", s.frontend.UnsentBytes()).Msg("told to end")
	now := s.loop.Now()
	s.loop.CallAt(now+s.overlap, s.shut)
	s.loop.CallAt(now+s.overlap+s.conf.LongestDeadline+grace, s.loop.Stop)
}

// shut ends the overlap: nothing new is taken any more but what the system has accepted already.
func (s *server) shut() {
	s.loop.StopListening(func() { s.frontend.Shutdown(s.loop.Stop) })
}
