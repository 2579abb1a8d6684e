// Package fleetmodel simulates a fleet of gateways and their hosts in one process, in simulated time. The routers are those
// of package balance, hosts are modeled as queues, and clients retry. It shows within seconds the load that many gateways
// cause together although each alone causes little. The same options give the same result.
package fleetmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// Times are microseconds of simulated time.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond

	// startTime is the clock at the start. It is far enough from 0 for positive log positions before the start.
	startTime = 1000 * second
)

// randomStream separates the model's random numbers from those that others draw from the same seed.
const randomStream = 7

type simulation struct {
	options       Options
	random        *rand.Rand
	now, sequence int64
	events        eventQueue
	classes       []requestClass
	hosts         []*host
	hostByID      map[string]*host
	primary       []*host // by group
	gateways      []*gateway
	inFlight      map[int64]*request // by the request id of the current try
	lastRequest   int64              // the last request id given to a try
	spreadSamples int                // number of values added to Result.CV1s
	result        Result
}

// Run simulates one run, which the package calls a day. It returns the error of balance.New if that rejects the settings.
func Run(options Options) (*Result, error) {
	s := &simulation{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, randomStream)),
		now:      startTime,
		classes:  classes(options.Work),
		hostByID: map[string]*host{},
		inFlight: map[int64]*request{},
	}
	s.result.Seconds = make([]Second, options.Seconds+1)
	s.addHosts()
	for i := range options.Gateways {
		s.gateways = append(s.gateways, &gateway{})
		if err := s.startGateway(i); err != nil {
			return nil, err
		}
	}
	s.scheduleDay()
	s.runUntil(startTime + int64(options.Seconds)*second)
	samples := float64(max(s.spreadSamples, 1))
	s.result.CV1s /= samples
	s.result.FairCV1s /= samples
	return &s.result, nil
}

// addHosts adds the hosts of each group. The first member of a group is its primary. Hosts differ in speed.
func (s *simulation) addHosts() {
	for group := range s.options.Groups {
		for member := range s.options.Members {
			added := &host{
				id:              fmt.Sprintf("s-%02d%02d", group, member),
				group:           group,
				up:              true,
				idleConnections: map[int]int{},
				speed:           meanSpeed * (1 + speedDeviation*s.random.NormFloat64()),
				startedAt:       -startTime, // so long before the start that the host is warmed up
				advancedTo:      startTime,
				applied:         startTime - initialLag,
			}
			s.hosts = append(s.hosts, added)
			s.hostByID[added.id] = added
		}
		s.primary = append(s.primary, s.hosts[group*s.options.Members])
	}
}

// scheduleDay schedules the first request, the measurements and the faults.
func (s *simulation) scheduleDay() {
	s.schedule(0, s.arrive)
	s.schedule(second, s.measureSpread)
	if s.options.OutagePart > 0 {
		s.schedule(int64(s.options.OutageAt)*second, s.startOutage)
	}
	if s.options.ReleasePart > 0 {
		s.schedule(int64(s.options.ReleaseAt)*second, s.startRelease)
	}
}

func (s *simulation) runUntil(end int64) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.call()
	}
}

// currentSecond returns the counts of the current second.
func (s *simulation) currentSecond() *Second {
	i := min(int((s.now-startTime)/second), len(s.result.Seconds)-1)
	return &s.result.Seconds[i]
}

// measureSpread measures, once a second, how evenly the attempts were spread over the replicas of each group.
func (s *simulation) measureSpread() {
	for group := range s.options.Groups {
		s.measureGroupSpread(group)
	}
	s.schedule(second, s.measureSpread)
}

func (s *simulation) measureGroupSpread(group int) {
	const settled = startTime + 2*second // by then the gateways have received reports of the hosts
	var counts []float64
	sum := 0.0
	for _, member := range s.hosts[group*s.options.Members : (group+1)*s.options.Members] {
		if member != s.primary[group] && member.up {
			counts = append(counts, float64(member.attemptsThisSecond))
			sum += float64(member.attemptsThisSecond)
		}
		member.attemptsThisSecond = 0
	}
	n := float64(len(counts))
	if n <= 1 || sum <= 0 || s.now <= settled {
		return
	}
	mean := sum / n
	squares := 0.0
	for _, count := range counts {
		squares += (count - mean) * (count - mean)
	}
	s.result.CV1s += math.Sqrt(squares/n) / mean
	s.result.FairCV1s += math.Sqrt((1 - 1/n) / mean)
	s.spreadSamples++
}
