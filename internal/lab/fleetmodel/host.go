package fleetmodel

import (
	"math"
	"slices"

	"cloverrock/balance"
)

// Properties of a host.
const (
	meanSpeed      = 0.95 // of the cores, as a part of a reference core
	speedDeviation = 0.12 // standard deviation of the speed, as a part of meanSpeed
	initialLag     = 20 * millisecond

	cores         = 4.0
	maxRunning    = 32
	maxQueued     = 100
	applyCost     = 0.45 // mean part of a core that applying the log takes
	dialCost      = 6    // milliseconds of a core for a new connection
	dialTimeout   = 250 * millisecond
	minLag        = 10 * millisecond // of a replica behind its primary
	warmingTime   = 16 * second
	coldCapacity  = 0.3   // part of its capacity that a host has when it starts
	warmingGain   = 0.7   // part of its capacity that it gains while it warms up
	workTolerance = 0.001 // remaining work in milliseconds at which an attempt is complete
	// With more than crowdedPerCore attempts for each core a host loses efficiency: its rate falls by crowdingLoss for each
	// further crowdedPerCore.
	crowdedPerCore = 5
	crowdingLoss   = 0.2
)

type host struct {
	id                 string
	group              int
	up                 bool
	speed              float64
	startedAt          int64
	running            []*attempt  // these share the cores
	queue              []*attempt  // these wait for one of the maxRunning slots
	advancedTo         int64       // time up to which work and log position are computed
	applied            int64       // log position
	completionSerial   int64       // serial number of the scheduled completion; earlier ones do nothing
	idleConnections    map[int]int // by gateway
	attemptsThisSecond int
}

type attempt struct {
	gateway, incarnation int
	request              int64
	number               int
	host                 *host
	work                 float64 // remaining, in milliseconds of a core
	sentAt               int64
	finished             bool // the gateway has received the outcome or canceled the attempt
	write                bool
}

// capacity returns the current speed of a host, which is lower during its slow start.
func (s *simulation) capacity(of *host) float64 {
	capacity := of.speed
	if age := s.now - of.startedAt; age < warmingTime {
		capacity *= coldCapacity + warmingGain*float64(age)/float64(warmingTime)
	}
	return capacity
}

// advance updates the remaining work and the log position of a host to the current time. The running attempts share the
// cores with the thread that applies the log: a replica with many attempts falls behind, although it still answers.
func (s *simulation) advance(of *host) {
	elapsed := float64(s.now-of.advancedTo) / float64(millisecond)
	of.advancedTo = s.now
	if !of.up || elapsed <= 0 {
		return
	}
	for _, running := range of.running {
		running.work -= elapsed * s.workRate(of)
	}
	if s.primary[of.group] == of {
		of.applied = s.now
		return
	}
	applyRate := min(1, cores/float64(len(of.running)+1)) / applyCost
	of.applied = min(s.now-minLag, of.applied+int64(elapsed*applyRate*float64(millisecond)))
}

// workRate is the rate at which each running attempt progresses, as a part of a core. A crowded host is less efficient.
func (s *simulation) workRate(of *host) float64 {
	n := float64(len(of.running))
	if s.primary[of.group] != of {
		n += applyCost
	}
	crowding := max(0, n/cores-crowdedPerCore)
	return s.capacity(of) * min(1, cores/max(n, 1)) / (1 + crowdingLoss*crowding/crowdedPerCore)
}

// statusReport returns the role, the log position and the report that a host sends along with an answer.
func (s *simulation) statusReport(of *host) (balance.Role, int64, balance.HostReport) {
	s.advance(of)
	role := balance.Replica
	position := of.applied
	if s.primary[of.group] == of {
		role = balance.Primary
		position = s.now
	}
	report := balance.HostReport{
		HasPosition: true, HasRole: true, Position: position, Primary: role == balance.Primary,
	}
	return role, position, report
}

// sendAttempt sends a request from gateway i to a host. The work is log-normal, with a coefficient of variation of 1.
func (s *simulation) sendAttempt(i int, id int64, req *request, to *host) {
	class := s.classes[req.class]
	sigma := math.Sqrt(math.Log(2))
	sent := &attempt{
		gateway: i, incarnation: s.gateways[i].incarnation, request: id, number: req.attempts, host: to,
		sentAt: s.now, write: class.consistency == balance.Write,
		work: class.work * s.options.Work * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2),
	}
	req.attempts++
	req.current = sent
	s.result.Attempts++
	to.attemptsThisSecond++
	if to.idleConnections[i] > 0 {
		to.idleConnections[i]--
	} else {
		s.result.Dials++
		sent.work += dialCost
	}
	s.schedule(req.tryDeadline-s.now, func() { s.finishAttempt(sent, balance.TimedOut) })
	if to.up {
		s.enqueue(sent, to)
	}
}

func (s *simulation) enqueue(sent *attempt, to *host) {
	if len(to.queue) >= maxQueued {
		s.schedule(millisecond, func() { s.finishAttempt(sent, balance.Overloaded) })
		return
	}
	s.advance(to)
	to.queue = append(to.queue, sent)
	current := s.currentSecond()
	current.Deepest = max(current.Deepest, len(to.queue)+len(to.running))
	s.scheduleCompletion(to)
}

// scheduleCompletion fills the free slots and schedules the next completion, in place of the one scheduled before.
func (s *simulation) scheduleCompletion(of *host) {
	for len(of.running) < maxRunning && len(of.queue) > 0 {
		of.running = append(of.running, of.queue[0])
		of.queue = of.queue[1:]
	}
	if len(of.running) == 0 {
		return
	}
	next := of.running[0]
	for _, running := range of.running {
		if running.work < next.work {
			next = running
		}
	}
	of.completionSerial++
	completion := of.completionSerial
	s.schedule(max(1, int64(next.work/s.workRate(of)*float64(millisecond))), func() {
		if of.completionSerial == completion && of.up {
			s.complete(of)
		}
	})
}

// complete finishes the attempts that have no work left.
func (s *simulation) complete(of *host) {
	s.advance(of)
	var done []*attempt
	of.running = slices.DeleteFunc(of.running, func(running *attempt) bool {
		if running.work > workTolerance {
			return false
		}
		done = append(done, running)
		return true
	})
	for _, finished := range done {
		if finished.write && s.primary[of.group] != of {
			s.finishAttempt(finished, balance.NotPrimary)
		} else {
			s.finishAttempt(finished, balance.Succeeded)
		}
	}
	s.scheduleCompletion(of)
}

// finishAttempt counts the outcome of an attempt, unless it is finished, and passes it to the gateway if that still runs.
func (s *simulation) finishAttempt(finished *attempt, result balance.Result) {
	if finished.finished {
		return
	}
	finished.finished = true
	if result == balance.Succeeded || result == balance.Overloaded {
		finished.host.idleConnections[finished.gateway]++
	}
	req := s.inFlight[finished.request]
	s.countOutcome(finished, req, result)
	receiver := s.gateways[finished.gateway]
	if !receiver.up || receiver.incarnation != finished.incarnation {
		return
	}
	event := balance.Event{
		Kind: balance.OutcomeEvent, Request: finished.request, Attempt: finished.number, Host: finished.host.id,
		Result: result, Finished: result == balance.Succeeded || req == nil, Latency: s.now - finished.sentAt,
	}
	if result.Answered() {
		event.Role, event.Position, event.Report = s.statusReport(finished.host)
	}
	s.handleEvent(finished.gateway, event)
}

func (s *simulation) countOutcome(finished *attempt, req *request, result balance.Result) {
	current := s.currentSecond()
	switch result {
	case balance.TimedOut:
		s.result.TimedOut++
		current.TimedOut++
	case balance.Overloaded:
		s.result.Full++
		current.Full++
	case balance.Succeeded:
		current.Served++
		if req != nil && !req.answered {
			s.countAnswer(finished, req)
		}
	}
}

// countAnswer counts the first answer of a request. A write that misses its objective still counts in part.
func (s *simulation) countAnswer(finished *attempt, req *request) {
	req.answered = true
	class := &s.classes[req.class]
	switch {
	case s.now-req.arrivedAt <= class.objective:
		s.result.InTime += class.weight
		s.currentSecond().InTime += class.weight
	case finished.write:
		s.result.Late += class.weight
		s.result.InTime += lateWriteWeight * class.weight
		s.currentSecond().InTime += lateWriteWeight * class.weight
	}
	delete(s.inFlight, finished.request)
}
