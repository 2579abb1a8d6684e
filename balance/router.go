package balance

import (
	"cmp"
	"math"
	"slices"

	"cloverrock/internal/gossip"
	"cloverrock/internal/random"
)

const (
	second = 1e6 // µs

	// minMaintenanceInterval is the shortest time between two runs of maintenance, µs: short compared with
	// latency objectives, and long enough to be cheap.
	minMaintenanceInterval = 20e3
	// searchIntervalFactor is the shortest time between two searches for a primary, in maintenance intervals.
	// Hosts do not update their reports more often.
	searchIntervalFactor = 5
	// assumedGateways is the assumed size of the fleet if Settings.Gateways is 0.
	assumedGateways = 6
)

// Router decides where one gateway sends its requests. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rand     random.Source
	started  bool
	now      int64    // time of the event that is being handled
	actions  []Action // collected for the caller

	hosts     map[string]*hostState
	hostsByID []*hostState // the values of hosts, sorted by id
	groups    []*groupState
	requests  map[int64]*pendingRequest

	subscription subscription
	sessions     sessionCommits
	traffic      trafficStats

	shutdownDeadline int64 // when all final answers are due; noShutdown before a shutdown begins
	shutdownDuration int64 // µs from the start of the shutdown to shutdownDeadline

	retryBudget         requestBudget // for retries of requests that may have been executed
	checkBudget         requestBudget // for health checks that no decision waits for (optionalCheck)
	healthCheckRTT      movingAverage // round-trip time, µs
	idleTimeout         int64         // how long idle connections are kept, µs
	minConcurrencyLimit float64       // lower bound of hostLoad.concurrencyLimit

	gossip     *gossip.State
	zoneShares ZoneShares // nil: all zones get all of their reads
}

// SettingsError reports an invalid setting.
type SettingsError struct {
	Setting     string // name of the field of Settings or Class
	Requirement string // what is required of it
}

func (e *SettingsError) Error() string { return "balance: " + e.Setting + " " + e.Requirement }

// validate returns a *SettingsError for the first invalid setting.
func (s *Settings) validate() error {
	if s.TickInterval <= 0 {
		return &SettingsError{"TickInterval", "must be positive"}
	}
	if s.MaxAttempts < 1 {
		return &SettingsError{"MaxAttempts", "must be at least 1"}
	}
	for i := range s.Classes {
		if s.Classes[i].LatencyObjective <= 0 {
			return &SettingsError{"LatencyObjective", "of a class must be positive"}
		}
		if s.Classes[i].Deadline <= 0 {
			return &SettingsError{"Deadline", "of a class must be positive"}
		}
	}
	return nil
}

// New returns a router for the settings; the seed feeds its random numbers. The error is a *SettingsError.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Classes = slices.Clone(settings.Classes)
	gateways := float64(cmp.Or(settings.Gateways, assumedGateways))
	return &Router{
		settings:            settings,
		rand:                random.Source(seed),
		shutdownDeadline:    noShutdown,
		hosts:               map[string]*hostState{},
		requests:            map[int64]*pendingRequest{},
		sessions:            newSessionCommits(),
		traffic:             newTrafficStats(settings.Classes),
		retryBudget:         newRequestBudget(retryTokensPerRequest, maxRetryTokens),
		checkBudget:         newRequestBudget(checkTokensPerRequest, maxCheckTokens),
		healthCheckRTT:      movingAverage(settings.TickInterval),
		idleTimeout:         maxIdleTimeout,
		minConcurrencyLimit: min(max(1, minFleetConcurrency/gateways), initialConcurrencyLimit),
		gossip:              gossip.New(gossipConfig(&settings), seed),
	}, nil
}

// Handle processes one event and appends the resulting actions. The time, in µs, must not be before that of
// the previous call.
func (r *Router) Handle(now int64, event Event, actions []Action) []Action {
	r.now = now
	r.actions = actions
	if !r.started {
		r.start()
	}
	switch event.Kind {
	case EndpointsEvent:
		r.handleEndpoints(&event)
	case RequestEvent:
		r.handleRequest(&event)
	case OutcomeEvent:
		r.handleOutcome(&event)
	case ClientDisconnectedEvent:
		r.handleClientDisconnected(&event)
	case TimerEvent:
		r.runMaintenance()
		r.scheduleMaintenance()
	case HealthCheckEvent:
		r.handleHealthCheck(&event)
	case GossipEvent:
		r.handleGossip(event.Peer, event.Data)
	case ShutdownEvent:
		r.beginShutdown(event.Deadline)
	}
	r.sendGossip()
	return r.actions
}

// start does the initialization that needs the time of the first event.
func (r *Router) start() {
	r.started = true
	r.sessions.rotatedAt = r.now
	r.traffic.measuredAt = r.now
	if r.settings.MustSubscribe {
		r.emit(Action{Kind: SubscribeAction})
	}
	r.scheduleMaintenance()
}

// runMaintenance does the work that is due at each TimerEvent.
func (r *Router) runMaintenance() {
	r.renewSubscription()
	r.sessions.rotate(r.now)
	for _, host := range r.hostsByID {
		r.recordOverdueAttempts(host)
		r.detectSilence(host)
		r.closeIdleConnections(host)
	}
	r.measureTraffic()
	r.checkHostsForGossip()
	r.removeUnusedHosts()
	for _, group := range r.groups {
		if !group.confirmed {
			r.searchPrimary(group)
		}
		r.expireQueue(group)
		r.dispatch(group)
	}
	r.endAttemptsForShutdown()
}

func (r *Router) scheduleMaintenance() {
	r.emit(Action{Kind: TimerAction, At: r.now + r.maintenanceInterval()})
}

// maintenanceInterval is the time between two runs of maintenance, µs.
func (r *Router) maintenanceInterval() int64 {
	return max(minMaintenanceInterval, r.settings.TickInterval)
}

// searchInterval is the shortest time between two searches for a primary, µs, and the unit of backoff.
func (r *Router) searchInterval() int64 { return searchIntervalFactor * r.maintenanceInterval() }

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

func (r *Router) log(entry LogEntry) { r.emit(Action{Kind: LogAction, Log: &entry}) }

// spreadOverFleet returns a random wait, in µs, before an action for which a single gateway would wait the
// given time. The wait is random, so that gateways do not act in step. It grows with the square root of the
// number of gateways, since the first one to act informs the others by gossip.
func (r *Router) spreadOverFleet(wait int64) int64 {
	if r.settings.Gateways < 2 {
		return wait
	}
	return int64((0.5 + r.rand.Fraction()) * math.Sqrt(float64(r.settings.Gateways)) * float64(wait))
}
