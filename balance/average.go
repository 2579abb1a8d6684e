package balance

const (
	// Weights of a new value in moving averages. With ewmaWeight about ten values decide.
	ewmaWeight     = 0.1
	slowEWMAWeight = ewmaWeight * ewmaWeight // over all hosts, which give far more values
	meanCostWeight = slowEWMAWeight / 5      // no faster than the average request rate

	deviationFactor = 4 // deviations above the mean that latencies rarely exceed
)

// movingAverage is an exponentially weighted moving average; 0 means that there is no value yet.
type movingAverage float64

// add moves the average towards a value; the first value becomes the average.
func (a *movingAverage) add(value, weight float64) {
	if *a == 0 {
		*a = movingAverage(value)
	}
	*a += movingAverage(weight * (value - float64(*a)))
}

// latencyEstimate is the moving average of latencies and of their deviation, µs.
type latencyEstimate struct {
	mean      movingAverage
	deviation movingAverage
}

// add records one latency. Its deviation counts as a quarter of the mean at least.
func (l *latencyEstimate) add(latency float64) {
	l.mean.add(latency, ewmaWeight)
	mean := float64(l.mean)
	l.deviation.add(max(latency-mean, mean-latency, mean/4), ewmaWeight)
}

// known reports whether any latency was recorded.
func (l *latencyEstimate) known() bool { return l.mean != 0 }

// patience is how long to wait for any answer, µs, while a number of attempts is in flight: the more there
// are, the sooner silence is suspicious.
func (l *latencyEstimate) patience(inFlight int) float64 {
	mean := float64(l.mean)
	divisor := float64(max(min(inFlight, 4), 1))
	return max(mean, (mean+deviationFactor*float64(l.deviation))/divisor)
}

// requestBudget limits what is done beside first attempts. Each request earns a part of a token.
type requestBudget struct {
	tokens     float64
	perRequest float64 // tokens that a request earns
	capacity   float64 // tokens that can be saved up
}

// newRequestBudget returns a full budget.
func newRequestBudget(perRequest, capacity float64) requestBudget {
	return requestBudget{tokens: capacity, perRequest: perRequest, capacity: capacity}
}

// earn adds what one request earns.
func (b *requestBudget) earn() { b.tokens = min(b.capacity, b.tokens+b.perRequest) }

// has reports whether the budget covers a cost in tokens.
func (b *requestBudget) has(cost float64) bool { return b.tokens >= cost }

// spend takes tokens; has must have reported that they are there.
func (b *requestBudget) spend(cost float64) { b.tokens -= cost }

// tokenBucket is a budget that fills with time.
type tokenBucket struct {
	tokens     float64
	refilledAt int64
}

// refill adds what has been earned since the last refill, at a rate in tokens per second, up to a capacity.
func (b *tokenBucket) refill(now int64, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*float64(now-b.refilledAt)/second)
	b.refilledAt = now
}
