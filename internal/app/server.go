package app

import (
	"runtime"
	"runtime/debug"
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
	// reservedDescriptors are taken by neither clients nor hosts: standard streams, engine, listener, discovery, peers,
	// and connections on their way in or out.
	reservedDescriptors = 40
	// maxBackendLogLines a second are written of hosts' faults: a host that only fails must not fill the log.
	maxBackendLogLines = 20
)

// Times in microseconds.
const (
	// messageTimeout is for a client that connects and sends nothing, or stops within a message: the protocol promises a
	// close within 3 s.
	messageTimeout = 2_000_000
	// idleTimeout is for a client between requests, which the protocol allows to be closed after 2 s.
	idleTimeout = 2_000_000
	// firstListTimeout is for the first list of a discovery agent on this machine, which answers at once unless the service
	// is down.
	firstListTimeout = 500_000
)

// server is a gateway with all its parts. Its methods belong to the loop's goroutine, except handleSignals and those that
// implement Gateway.
type server struct {
	conf       *config.Config
	log        zerolog.Logger
	loop       *eventloop.Loop
	gateway    *gateway.Gateway
	pool       *backend.Pool
	frontend   *frontend.Server
	watch      *discovery.Watch
	drainDelay int64 // µs
	draining   bool
	endpoints  discovery.EndpointList // the current list
}

// clock is the loop's clock as the gateway's.
type clock struct{ *eventloop.Loop }

// CallAt implements gateway.Clock.
func (c clock) CallAt(at int64, f func()) { c.Loop.CallAt(at, f) }

// timeouts are microseconds.
type timeouts struct {
	message   int64 // for a client to complete a message
	idle      int64 // for a client between requests
	firstList int64 // for discovery to answer before the known list is used; 0: it is used at once
}

// newServer starts to listen and to follow the endpoint list; the loop is still to be run. withComponent says that a
// component runs beside the gateway.
func newServer(conf *config.Config, t timeouts, withComponent bool, log zerolog.Logger) (*server, error) {
	limitRuntime(conf, withComponent)
	router, err := balance.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	loop := eventloop.New(conf.Sockets, bytesOf(conf, 16), log)
	s := &server{conf: conf, log: log, loop: loop, drainDelay: drainDelay}
	s.gateway = gateway.New(router, clock{loop}, log)
	maxClients, maxHosts := connectionLimits(conf.Sockets)
	s.frontend = frontend.New(loop, s.gateway, conf.Classes, frontend.Limits{
		Connections:       maxClients,
		ActiveConnections: max(conf.Sockets/4, 1),
		Bytes:             bytesOf(conf, 8),
		MessageTimeout:    t.message,
		IdleTimeout:       t.idle,
	}, log)
	s.pool = backend.New(loop, s.gateway, backend.Limits{
		DialTimeout: conf.Settings.DialTimeout,
		IdleClose:   conf.IdleClose,
		Connections: maxHosts,
		Bytes:       bytesOf(conf, 8),
	}, log.Sample(&zerolog.BurstSampler{Burst: maxBackendLogLines, Period: time.Second}))

	pollsFirst := s.pollsBeforeKnownList(t)
	s.watch = s.newWatch(pollsFirst)
	peers := &peer.Peers{}
	s.gateway.Connect(s.pool, s.watch, peers)
	if err := loop.Start(conf.Listen, maxClients+frontend.OverflowConnections, s.frontend.Accept); err != nil {
		return nil, err
	}
	opened, err := peer.Open(loop, conf.Peer, s.gateway.GossipReceived, log)
	if err != nil {
		return nil, err
	}
	*peers = *opened
	s.useKnownList(pollsFirst, t.firstList)
	s.watch.Subscribe()
	s.logCounts()
	return s, nil
}

// limitRuntime has the Go runtime use one thread and most of the memory. With a component, that has a thread of its own.
func limitRuntime(conf *config.Config, withComponent bool) {
	if !withComponent {
		runtime.GOMAXPROCS(1) // a gateway has one core; a second thread costs it more than it brings
	}
	debug.SetMemoryLimit(int64(conf.MemoryMB) << 20 * 6 / 10)
}

// bytesOf returns a part of the gateway's memory.
func bytesOf(conf *config.Config, divisor int) int { return conf.MemoryMB << 20 / divisor }

// connectionLimits divides the descriptors between clients and hosts.
func connectionLimits(sockets int) (maxClients, maxHosts int) {
	free := sockets - reservedDescriptors
	maxClients = free * 11 / 20 // 55 %
	return maxClients, free - maxClients
}

// pollsBeforeKnownList reports whether discovery is asked for the complete list before the known one is used: an agent on
// this machine holds the list, and what it holds counts as delivered from the start, while the known one may be older.
func (s *server) pollsBeforeKnownList(t timeouts) bool {
	return s.conf.KnownEndpoints != nil && !s.conf.Settings.MustSubscribe && t.firstList > 0
}

func (s *server) newWatch(pollsFirst bool) *discovery.Watch {
	known := s.conf.KnownEndpoints
	generation := int64(0)
	if known != nil {
		generation = known.Generation
	}
	mustSubscribe := s.conf.Settings.MustSubscribe
	return discovery.New(s.loop, discovery.Config{
		Address:      s.conf.Discovery,
		Names:        s.conf.Names,
		Generation:   generation,
		HasEndpoints: known != nil,
		PollFirst:    pollsFirst || known == nil && !mustSubscribe,
		Backoff:      discovery.NewBackoff(s.conf.Gateways, mustSubscribe, s.conf.Seed),
		Updated:      s.endpointsUpdated,
		Failed:       func(*discovery.WatchError) { s.gateway.EndpointsPollFailed() },
		Log:          s.log,
	})
}

// useKnownList uses the known list, if there is one: at once, or if discovery does not answer within a time.
func (s *server) useKnownList(pollsFirst bool, timeout int64) {
	if s.conf.KnownEndpoints == nil {
		return
	}
	if !pollsFirst {
		s.endpointsUpdated(*s.conf.KnownEndpoints)
		return
	}
	s.loop.CallAt(s.loop.Now()+timeout, func() {
		if s.gateway.Ready() {
			return
		}
		known := s.conf.KnownEndpoints // Restore may have replaced it
		s.log.Warn().Int64("generation", known.Generation).Msg("app: discovery does not answer, using the known list")
		s.endpointsUpdated(*known)
	})
}

// endpointsUpdated applies a list. The pool gets it first: the gateway may use its hosts at once.
func (s *server) endpointsUpdated(l discovery.EndpointList) {
	var removed []string
	for _, endpoint := range l.Endpoints {
		if endpoint.State == balance.Removed {
			removed = append(removed, endpoint.Host)
		}
	}
	s.endpoints.Merge(l)
	s.pool.UpdateEndpoints(l.Addresses, removed, l.Complete)
	s.gateway.EndpointsUpdated(l.Endpoints, l.Complete)
}
