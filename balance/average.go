package balance

const (
	// Weights of a new value in moving averages. With ewmaWeight the average covers about ten values.
	ewmaWeight     = 0.1
	slowEWMAWeight = ewmaWeight * ewmaWeight // for averages over all hosts, which have far more values
	meanCostWeight = slowEWMAWeight / 5      // follows changes no faster than the average request rate

	deviationFactor     = 4 // deviations above the mean that latencies rarely exceed
	minDeviationDivisor = 4 // a deviation counts as at least the mean divided by this
	maxSilenceDivisor   = 4 // upper limit of the divisor in silenceTimeout
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

// add records one latency. Its deviation has a lower bound, so that equal latencies do not reduce the margin
// of silenceTimeout to 0.
func (l *latencyEstimate) add(latency float64) {
	l.mean.add(latency, ewmaWeight)
	mean := float64(l.mean)
	l.deviation.add(max(latency-mean, mean-latency, mean/minDeviationDivisor), ewmaWeight)
}

// known reports whether any latency was recorded.
func (l *latencyEstimate) known() bool { return l.mean != 0 }

// silenceTimeout returns the time in µs after which a host that has answered none of its attempts in flight
// becomes suspect. It is shorter with more attempts in flight.
func (l *latencyEstimate) silenceTimeout(inFlight int) float64 {
	mean := float64(l.mean)
	divisor := float64(max(min(inFlight, maxSilenceDivisor), 1))
	return max(mean, (mean+float64(deviationFactor*l.deviation))/divisor)
}
