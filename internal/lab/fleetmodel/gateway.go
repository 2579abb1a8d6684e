package fleetmodel

import "cloverrock/balance"

// incarnationStride separates the seeds of the incarnations of one gateway.
const incarnationStride = 7919

type gateway struct {
	router      *balance.Router
	incarnation int // incremented at each start
	up          bool
}

// settings returns the settings of gateway i.
func (s *simulation) settings(i int) balance.Settings {
	settings := balance.Settings{
		TickInterval:            millisecond,
		HealthChecks:            true,
		Cancellation:            true,
		MaxRetryAfter:           second,
		MaxAttempts:             10,
		DialTimeout:             dialTimeout,
		RequestsCarrySessionAge: true,
		SlowStartInitialShare:   0.25,
		SlowStartDuration:       warmingTime,
		SlowStartOverloadFactor: 4,
		SlowStartOverloadWindow: 1500 * millisecond,
		Gateways:                s.options.Gateways,
		Ordinal:                 i,
		GossipBytesPerRequest:   s.options.GossipBytesPerRequest,
	}
	for _, c := range s.classes {
		class := balance.Class{
			LatencyObjective:    c.objective,
			Deadline:            c.deadline,
			PriorityWeight:      c.weight,
			Consistency:         c.consistency,
			DeduplicationWindow: 5 * second,
			MaxStaleness:        500 * millisecond,
		}
		if c.consistency == balance.Write {
			class.RetrySafety = balance.NonIdempotent
			class.LatePriorityWeight = lateWriteWeight
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// endpoints returns the current endpoint list.
func (s *simulation) endpoints() []balance.Endpoint {
	var list []balance.Endpoint
	for _, listed := range s.hosts {
		endpoint := balance.Endpoint{
			Host: listed.id, Group: int64(listed.group), State: balance.Ready,
			Primary: s.primary[listed.group] == listed,
		}
		if listed.startedAt > startTime {
			endpoint.StartedAt = listed.startedAt
		}
		list = append(list, endpoint)
	}
	return list
}

// startGateway starts gateway i with a new router and sends it the endpoint list.
func (s *simulation) startGateway(i int) error {
	started := s.gateways[i]
	seed := s.options.Seed*1000 + uint64(i) + uint64(started.incarnation)*incarnationStride
	router, err := balance.New(s.settings(i), seed)
	if err != nil {
		return err
	}
	started.router = router
	started.up = true
	started.incarnation++
	s.sendEndpoints(i)
	return nil
}

func (s *simulation) sendEndpoints(i int) {
	s.handleEvent(i, balance.Event{Kind: balance.EndpointsEvent, Complete: true, Endpoints: s.endpoints()})
}

// handleEvent passes an event to the router of gateway i and performs the resulting actions.
func (s *simulation) handleEvent(i int, event balance.Event) {
	for _, action := range s.gateways[i].router.Handle(s.now, event, nil) {
		s.perform(i, action)
	}
}

// scheduleOn schedules a call of f after a delay, which is dropped if gateway i has ended or restarted by then.
func (s *simulation) scheduleOn(i int, after int64, f func()) {
	target := s.gateways[i]
	incarnation := target.incarnation
	s.schedule(after, func() {
		if target.up && target.incarnation == incarnation {
			f()
		}
	})
}

func (s *simulation) perform(i int, action balance.Action) {
	switch action.Kind {
	case balance.TimerAction:
		s.scheduleOn(i, max(action.At-s.now, 1), func() {
			s.handleEvent(i, balance.Event{Kind: balance.TimerEvent, Token: action.Token})
		})
	case balance.SendAction:
		if req := s.inFlight[action.Request]; req != nil {
			s.sendAttempt(i, action.Request, req, s.hostByID[action.Host])
		}
	case balance.HealthCheckAction:
		s.checkHealth(i, s.hostByID[action.Host])
	case balance.CancelAction:
		if req := s.inFlight[action.Request]; req != nil && req.current != nil {
			req.current.finished = true
		}
	case balance.RejectAction, balance.FailAction:
		s.answer(action)
	case balance.GossipAction:
		s.deliverGossip(i, action)
	}
}

func (s *simulation) checkHealth(i int, checked *host) {
	s.result.HealthChecks++
	s.currentSecond().HealthChecks++
	latency := millisecond
	result := balance.Succeeded
	if !checked.up {
		latency = dialTimeout
		result = balance.TimedOut
	}
	s.scheduleOn(i, latency, func() {
		event := balance.Event{Kind: balance.HealthCheckEvent, Host: checked.id, Result: result, Latency: latency}
		if result == balance.Succeeded {
			_, _, event.Report = s.statusReport(checked)
		}
		s.handleEvent(i, event)
	})
}

// answer ends a request by a rejection or failure. A rejected client may retry.
func (s *simulation) answer(action balance.Action) {
	req := s.inFlight[action.Request]
	if req == nil {
		return
	}
	delete(s.inFlight, action.Request)
	if action.Kind == balance.FailAction {
		s.result.Failed++
		return
	}
	s.result.Rejected++
	s.currentSecond().Rejected++
	s.retryRequest(req, action.RetryAfter)
}

// deliverGossip delivers a message of gateway i to one other gateway, or to all.
func (s *simulation) deliverGossip(i int, action balance.Action) {
	s.result.GossipMessages++
	message := balance.Event{Kind: balance.GossipEvent, Peer: i, Data: action.Data}
	if action.Peer >= 0 {
		s.result.GossipBytes += float64(len(action.Data))
		s.schedule(s.networkDelay(), func() {
			if s.gateways[action.Peer].up {
				s.handleEvent(action.Peer, message)
			}
		})
		return
	}
	s.result.GossipBytes += float64(len(action.Data) * (len(s.gateways) - 1))
	s.schedule(s.networkDelay(), func() {
		for to, receiver := range s.gateways {
			if to != i && receiver.up {
				s.handleEvent(to, message)
			}
		}
	})
}

// Delays between gateways.
const (
	minNetworkDelay   = millisecond
	meanNetworkJitter = 10 // milliseconds beyond the minimum
)

// networkDelay draws the time that a message takes between gateways.
func (s *simulation) networkDelay() int64 {
	return minNetworkDelay + int64(s.random.ExpFloat64()*meanNetworkJitter*float64(millisecond))
}
