package emulator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// ErrRejected reports that the answer to a request was an error.
var ErrRejected = errors.New("emulator: request rejected")

// randomStream separates the load's random numbers from those of other users of the same seed.
const randomStream = 3

// Sample is the outcome of one request. Its latency counts from the time for which the request was scheduled.
type Sample struct {
	ID        int // id in the comment of its statement; if it was sent again, the id of the last time
	At        time.Time
	Class     int
	Succeeded bool
	Latency   time.Duration
	Gateway   int   // number of the gateway that the request was sent to
	Err       error // nil if it succeeded; ErrRejected if the answer was an error; any other error: no answer
}

// EarnedWeight returns the part of the priority weight that the request earned by its latency.
func (s Sample) EarnedWeight() float64 {
	class := Classes[s.Class]
	switch {
	case !s.Succeeded || s.Latency > class.Deadline:
		return 0
	case s.Latency > class.LatencyObjective:
		return class.PriorityWeight * class.LateWeightShare
	}
	return class.PriorityWeight
}

// Weight returns the priority weight that the request could have earned.
func (s Sample) Weight() float64 { return Classes[s.Class].PriorityWeight }

// Load sends requests at their scheduled times, independently of the answers, until the context ends.
type Load struct {
	Address       string
	OtherGateways []string // addresses of further gateways; each request goes to a random gateway
	Groups        int      // number of groups of hosts, numbered from 1; 0 means 1
	Rate          float64  // requests per second
	Seed          uint64
	AnswerSlack   time.Duration          // how long after its deadline an answer is still awaited; it earns no weight
	Draining      func(gateway int) bool // whether new connections avoid a gateway; nil: never

	mu      sync.Mutex
	samples []Sample
	idle    map[int][]*clientConnection // idle connections by gateway
	lastID  int
	resent  int
}

// request is a request to send.
type request struct {
	class    *Class
	group    int
	id       int
	deadline time.Time
}

// Resent returns the number of requests that were sent again because the gateway closed the idle connection at the same
// time.
func (l *Load) Resent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resent
}

// Run sends requests until the context ends, waits for the last answers, and returns one sample for each request.
func (l *Load) Run(ctx context.Context) []Sample {
	random := rand.New(rand.NewPCG(l.Seed, randomStream))
	var wait sync.WaitGroup
	l.idle = map[int][]*clientConnection{}
	for at := time.Now(); ctx.Err() == nil; at = at.Add(time.Duration(random.ExpFloat64() / l.Rate * 1e9)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(at)):
		}
		class := drawClass(random)
		gateway := random.IntN(1 + len(l.OtherGateways))
		group := 1 + random.IntN(max(l.Groups, 1))
		wait.Go(func() { l.sendAndRecord(class, gateway, group, at) })
	}
	wait.Wait()
	for _, connections := range l.idle {
		for _, connection := range connections {
			connection.close()
		}
	}
	return l.samples
}

func drawClass(random *rand.Rand) int {
	pick := random.Float64()
	index := 0
	for index < len(Classes)-1 && pick >= Classes[index].Share {
		pick -= Classes[index].Share
		index++
	}
	return index
}

// sendAndRecord sends one request and records its outcome.
func (l *Load) sendAndRecord(class, gateway, group int, at time.Time) {
	id, sentTo, err := l.sendWithResend(class, gateway, group, at)
	sample := Sample{
		ID: id, At: at, Class: class, Succeeded: err == nil, Latency: time.Since(at), Gateway: sentTo, Err: err,
	}
	l.mu.Lock()
	l.samples = append(l.samples, sample)
	l.mu.Unlock()
}

// sendWithResend sends a request and returns its id and the gateway that it was sent to. If the gateway had closed the idle
// connection before it read the request, the request is sent again on a new connection, with a new id.
func (l *Load) sendWithResend(class, gateway, group int, at time.Time) (id, sentTo int, err error) {
	req := request{class: &Classes[class], group: group, id: l.nextID(), deadline: at.Add(Classes[class].Deadline)}
	if connection := l.takeIdle(gateway); connection != nil && connection.isOpen() {
		err := l.exchange(connection, req)
		if err == nil || errors.Is(err, ErrRejected) || !connection.closedBeforeRead(err) {
			return req.id, gateway, err
		}
		l.countResent()
		req.id = l.nextID()
	}
	sentTo, err = l.sendOnNewConnection(gateway, req)
	return req.id, sentTo, err
}

// sendOnNewConnection sends a request on a new connection to the gateway, or to the next one that is not draining.
func (l *Load) sendOnNewConnection(gateway int, req request) (int, error) {
	gateway, address := l.chooseGateway(gateway)
	connection, err := dial(address, gateway, req.deadline)
	if err != nil {
		return gateway, newConnectionError(err)
	}
	err = l.exchange(connection, req)
	if err != nil && !errors.Is(err, ErrRejected) {
		err = newConnectionError(err)
	}
	return gateway, err
}

// exchange sends a request and waits for its answer. Afterwards the connection is idle, or closed if no answer came.
func (l *Load) exchange(connection *clientConnection, req request) error {
	err := connection.query(req, l.AnswerSlack)
	if err != nil && !errors.Is(err, ErrRejected) {
		connection.close()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[connection.gateway] = append(l.idle[connection.gateway], connection)
	return err
}

func (l *Load) nextID() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.lastID
}

func (l *Load) countResent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resent++
}

// takeIdle removes and returns the idle connection to a gateway that was used last. It returns nil if there is none.
func (l *Load) takeIdle(gateway int) *clientConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := l.idle[gateway]
	if len(idle) == 0 {
		return nil
	}
	l.idle[gateway] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

// chooseGateway returns the gateway for a new connection: the given one, or the next one that is not draining.
func (l *Load) chooseGateway(gateway int) (int, string) {
	for range len(l.OtherGateways) {
		if l.Draining == nil || !l.Draining(gateway) {
			break
		}
		gateway = (gateway + 1) % (1 + len(l.OtherGateways))
	}
	if gateway > 0 {
		return gateway, l.OtherGateways[gateway-1]
	}
	return gateway, l.Address
}
