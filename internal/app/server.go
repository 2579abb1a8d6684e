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
	// reservedDescriptors is the number of descriptors left for the standard streams, the event loop, the listener,
	// discovery, peers, and connections that are being accepted or closed.
	reservedDescriptors = 40
	// clientDescriptorPercent is the part of the other descriptors for client connections; hosts have the rest.
	clientDescriptorPercent = 55
	// activeClientsDivisor divides the number of all descriptors. The quotient limits the clients that have sent a
	// request: if there are more of them, idle ones are closed.
	activeClientsDivisor = 4
	// maxConnectionLogLines limits the log lines per second about the connections of hosts, and of clients, so that a
	// failing host or a crowd of clients does not fill the log.
	maxConnectionLogLines = 20
)

// Parts of the memory limit.
const (
	heapPercent           = 60 // the Go runtime's soft limit
	queuedBytesDivisor    = 16 // bytes that the event loop has read and that are not handled yet
	clientBytesDivisor    = 8  // requests and incomplete messages of clients
	backendAnswersDivisor = 8  // incomplete answers of hosts
)

// Times in microseconds.
const (
	// messageTimeout limits the time in which a client has to complete a message, and the time from its connection to its
	// first message. The protocol promises that such a client is closed within 3 s.
	messageTimeout = 2_000_000
	// idleTimeout limits the time between two requests of a client. The protocol allows the gateway to close a client
	// after 2 s.
	idleTimeout = 2_000_000
	// firstListTimeout limits the wait for the first list from a discovery agent on this machine. The agent answers
	// immediately unless the discovery service is down.
	firstListTimeout = 500_000
)

// server is a gateway with all its parts. Its methods must be called on the loop's goroutine, except drainOnSignal,
// reloadOnSignal and the methods of Gateway, which may be called from any goroutine.
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
	killAt     int64                  // µs; the earliest time at which the platform may kill the program, once draining
	endpoints  discovery.EndpointList // the current list
}

// clock implements gateway.Clock by the event loop.
type clock struct{ *eventloop.Loop }

// CallAt implements gateway.Clock.
func (c clock) CallAt(at int64, f func()) { c.Loop.CallAt(at, f) }

// timeouts holds the timeouts that tests replace, in microseconds.
type timeouts struct {
	message   int64 // messageTimeout, unless a test replaces it
	idle      int64 // idleTimeout, unless a test replaces it
	firstList int64 // firstListTimeout, unless a test replaces it; 0: the known list is used at once
}

// newServer starts listening and following the endpoint list; the caller runs the loop. withComponent is true if a
// component runs in the same process.
func newServer(conf *config.Config, t timeouts, withComponent bool, log zerolog.Logger) (*server, error) {
	limitRuntime(conf, withComponent)
	router, err := balance.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	loop := eventloop.New(conf.Sockets, memoryBytes(conf)/queuedBytesDivisor, log)
	s := &server{conf: conf, log: log, loop: loop, drainDelay: drainDelay}
	s.gateway = gateway.New(router, clock{loop}, log)
	maxClients, maxHosts := connectionLimits(conf.Sockets)
	s.frontend = frontend.New(loop, s.gateway, conf.Classes, frontend.Limits{
		Connections:       maxClients,
		ActiveConnections: max(conf.Sockets/activeClientsDivisor, 1),
		Bytes:             memoryBytes(conf) / clientBytesDivisor,
		MessageTimeout:    t.message,
		IdleTimeout:       t.idle,
	}, connectionLog(log))
	s.pool = backend.New(loop, s.gateway, backend.Limits{
		DialTimeout: conf.Settings.DialTimeout,
		IdleClose:   conf.IdleClose,
		Connections: maxHosts,
		Bytes:       memoryBytes(conf) / backendAnswersDivisor,
	}, connectionLog(log))

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

// connectionLog returns a log that writes at most maxConnectionLogLines per second.
func connectionLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxConnectionLogLines, Period: time.Second})
}

// limitRuntime limits the Go runtime's memory, and limits it to one thread unless a component runs in the process.
func limitRuntime(conf *config.Config, withComponent bool) {
	if !withComponent {
		runtime.GOMAXPROCS(1) // a gateway has one core; a second thread costs more than it gains
	}
	debug.SetMemoryLimit(int64(memoryBytes(conf)) * heapPercent / 100)
}

// memoryBytes returns the memory limit in bytes.
func memoryBytes(conf *config.Config) int { return conf.MemoryMB << 20 }

// connectionLimits divides the descriptors between client connections and connections to hosts.
func connectionLimits(sockets int) (maxClients, maxHosts int) {
	free := sockets - reservedDescriptors
	maxClients = free * clientDescriptorPercent / 100
	return maxClients, free - maxClients
}

// pollsBeforeKnownList reports whether the gateway requests the complete list from discovery before it uses the known
// list of its configuration. A discovery agent on this machine has the current list, and by the protocol that list
// counts as delivered as soon as the gateway starts. The known list may be older.
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

// useKnownList applies the known list, if there is one. Without pollsFirst it is applied at once; with pollsFirst it is
// applied if discovery does not answer within the timeout (µs).
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

// endpointsUpdated applies a list. The pool receives it first, since the gateway may send requests to its hosts at once.
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
