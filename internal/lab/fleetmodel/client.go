package fleetmodel

import (
	"math"

	"cloverrock/balance"
)

const (
	maxTries        = 4
	swingPeriod     = 10 * second
	retryDelay      = 30 * millisecond
	gatewayDownWait = 100 * millisecond // until a client whose gateway is down tries another
	minPatience     = 0.4               // smallest part of the class's deadline that a client waits for one gateway
	patienceRange   = 0.6               // range of that part beyond the minimum; the client draws from it
	meanWriteAge    = 500               // milliseconds since the write whose effect a session read must return

	sessionWriteShare = 0.62 // part of the session reads that follow a write of their session
	retryAfterShare   = 0.7  // part of the clients that respect Retry-After
	lowerGroupChance  = 0.12 // chance of a request to go to a second random group, if that has a lower number than the first
)

// request is a request of a client. The client may send it to several gateways, one after the other; each of these is a try.
type request struct {
	class, group int
	arrivedAt    int64
	deadline     int64 // of all tries
	tries        int
	minPosition  int64 // log position that a session read requires; 0 if none
	answered     bool
	current      *attempt
	attempts     int   // number of attempts of the current try
	tryDeadline  int64 // time at which the client stops waiting for the current gateway
}

// arrivalRate is the current rate of requests per second, a sine wave around the mean.
func (s *simulation) arrivalRate() float64 {
	phase := 2 * math.Pi * float64(s.now-startTime) / float64(swingPeriod)
	return s.options.Rate * (1 + s.options.RateSwing*math.Sin(phase))
}

// arrive sends one request and schedules the next arrival.
func (s *simulation) arrive() {
	s.schedule(int64(s.random.ExpFloat64()/s.arrivalRate()*float64(second)), s.arrive)
	index := s.drawClass()
	class := &s.classes[index]
	req := &request{
		class: index, group: s.random.IntN(s.options.Groups),
		arrivedAt: s.now, deadline: s.now + class.deadline,
	}
	if other := s.random.IntN(s.options.Groups); other < req.group {
		if s.random.Float64() < lowerGroupChance {
			req.group = other
		}
	}
	if class.consistency == balance.ReadYourWrites && s.random.Float64() < sessionWriteShare {
		req.minPosition = s.now - int64(s.random.ExpFloat64()*meanWriteAge*float64(millisecond)) - millisecond
	}
	s.result.Requests++
	s.result.Asked += class.weight
	s.currentSecond().Asked += class.weight
	s.sendRequest(req)
}

func (s *simulation) drawClass() int {
	pick := s.random.Float64()
	index := 0
	for index < len(s.classes)-1 && pick > s.classes[index].share {
		pick -= s.classes[index].share
		index++
	}
	return index
}

// sendRequest sends a request to a random gateway.
func (s *simulation) sendRequest(req *request) {
	to := s.random.IntN(len(s.gateways))
	if !s.gateways[to].up {
		s.schedule(gatewayDownWait, func() { s.retryRequest(req, 0) })
		return
	}
	req.tries++
	s.currentSecond().Tries++
	s.lastRequest++
	id := s.lastRequest
	req.attempts = 0
	req.current = nil
	patience := (minPatience + patienceRange*s.random.Float64()) * float64(s.classes[req.class].deadline)
	req.tryDeadline = min(req.deadline, s.now+int64(patience))
	s.inFlight[id] = req
	s.scheduleTryTimeout(to, id, req)
	event := balance.Event{
		Kind: balance.RequestEvent, Request: id, Class: req.class, Group: int64(req.group), Deadline: req.tryDeadline,
	}
	if req.minPosition > 0 {
		event.SessionWriteAge = max(s.now-req.minPosition, 1)
	}
	s.handleEvent(to, event)
}

// scheduleTryTimeout has the client disconnect and retry if the gateway has not answered by the deadline of the try, which
// includes a gateway that is down.
func (s *simulation) scheduleTryTimeout(to int, id int64, req *request) {
	incarnation := s.gateways[to].incarnation
	s.schedule(req.tryDeadline-s.now, func() {
		if s.inFlight[id] != req {
			return
		}
		delete(s.inFlight, id)
		if s.gateways[to].incarnation == incarnation && s.gateways[to].up {
			s.handleEvent(to, balance.Event{Kind: balance.ClientDisconnectedEvent, Request: id})
		}
		s.retryRequest(req, 0)
	})
}

// retryRequest schedules another try of a request that was rejected or got no answer, unless the request is a write that may
// have been executed, has had maxTries, or would be sent after its deadline.
func (s *simulation) retryRequest(req *request, retryAfter int64) {
	mayHaveRun := s.classes[req.class].consistency == balance.Write && req.attempts > 0
	if req.tries >= maxTries || req.answered || mayHaveRun {
		return
	}
	wait := retryDelay
	if retryAfter > 0 && s.random.Float64() < retryAfterShare {
		wait = retryAfter
	}
	if s.now+wait < req.deadline {
		s.schedule(wait, func() { s.sendRequest(req) })
	}
}
