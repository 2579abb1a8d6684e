package processrig

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Spread describes how evenly requests were spread over the replicas of each group. The requests at each host are
// counted in windows of 100 ms and of 1 s. A fair value is the one that is expected if each request goes to a random
// host of its group, with the same means.
type Spread struct {
	CV100ms         float64 `json:"cv_100ms"` // coefficient of variation over the hosts of a group, mean over windows
	CV1s            float64 `json:"cv_1s"`
	FairCV100ms     float64 `json:"fair_cv_100ms"`
	FairCV1s        float64 `json:"fair_cv_1s"`
	MaxOverMean     float64 `json:"max_over_mean_1s"`      // highest count over mean count of a group, median over windows
	P99OverMedian   float64 `json:"p99_over_median_queue"` // of the queue lengths that requests found
	IdleSeconds     int     `json:"idle_host_seconds"`     // windows of 1 s in which a host was idle (see isIdle)
	HerdWindows     int     `json:"herd_windows"`          // windows of 100 ms in which a host got a herd (see herdFactor)
	FairHerdWindows float64 `json:"fair_herd_windows"`
	Windows         int     `json:"windows"`         // windows of 100 ms, counted for each host
	ConnectionsP50  int     `json:"connections_p50"` // open connections at a host, median over the hosts
	ConnectionsMax  int     `json:"connections_max"` // open connections at the host with the most
}

const (
	shortWindow = 100 * time.Millisecond
	longWindow  = time.Second

	herdFactor   = 3.0     // a count above herdFactor times the mean of the group is a herd
	idleFraction = 1.0 / 4 // a host that gets less than this fraction of the mean may be idle
	// idleProbability is the probability of a count below which a host is idle. A run has thousands of windows; with
	// random draws, not one of them would have so low a count.
	idleProbability = 1e-5
)

// arrival is the arrival of one request at a host.
type arrival struct {
	at    time.Duration // since the start of the run
	queue int           // requests that were waiting or being executed there
}

// hostLog holds the requests that one host received.
type hostLog struct {
	group        int
	comparedFrom time.Duration // since the start of the run: from when it is compared with the others of its group
	arrivals     []arrival     // sorted by time by replicaLogs
}

// count returns the number of arrivals in a window.
func (l *hostLog) count(from, to time.Duration) int {
	byTime := func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) }
	first, _ := slices.BinarySearchFunc(l.arrivals, from, byTime)
	end, _ := slices.BinarySearchFunc(l.arrivals, to, byTime)
	return end - first
}

// groupWindow holds the number of requests that each host of one group got in one window of time.
type groupWindow struct {
	counts []int
	mean   float64
}

// measureSpread compares the hosts of each group between two times.
func measureSpread(hosts []hostLog, from, to time.Duration) Spread {
	var spread Spread
	groups := map[int][]hostLog{}
	for _, host := range hosts {
		groups[host.group] = append(groups[host.group], host)
	}
	spread.addShortWindows(windowsOf(groups, shortWindow, from, to))
	spread.addLongWindows(windowsOf(groups, longWindow, from, to))
	spread.P99OverMedian = queueLengthRatio(hosts, from, to)
	return spread
}

// windowsOf divides the time into windows of the given length. It returns those in which a group got any request.
func windowsOf(groups map[int][]hostLog, length, from, to time.Duration) []groupWindow {
	var windows []groupWindow
	for _, members := range groups {
		for at := from; at+length <= to; at += length {
			if window, ok := windowOf(members, at, at+length); ok {
				windows = append(windows, window)
			}
		}
	}
	return windows
}

// windowOf counts the requests of the hosts of one group. It returns false if there were none.
func windowOf(members []hostLog, from, to time.Duration) (groupWindow, bool) {
	var window groupWindow
	sum := 0
	for i := range members {
		if members[i].comparedFrom > from {
			continue
		}
		count := members[i].count(from, to)
		window.counts = append(window.counts, count)
		sum += count
	}
	if sum == 0 {
		return window, false
	}
	window.mean = float64(sum) / float64(len(window.counts))
	return window, true
}

func (s *Spread) addShortWindows(windows []groupWindow) {
	for _, window := range windows {
		s.CV100ms += window.variation()
		s.FairCV100ms += window.fairVariation()
		for _, count := range window.counts {
			s.Windows++
			if float64(count) > herdFactor*window.mean {
				s.HerdWindows++
			}
			s.FairHerdWindows += window.probabilityOfMoreThan(int(math.Floor(herdFactor * window.mean)))
		}
	}
	n := float64(max(len(windows), 1))
	s.CV100ms /= n
	s.FairCV100ms /= n
}

func (s *Spread) addLongWindows(windows []groupWindow) {
	var peaks []float64
	for _, window := range windows {
		s.CV1s += window.variation()
		s.FairCV1s += window.fairVariation()
		peaks = append(peaks, float64(slices.Max(window.counts))/window.mean)
		for _, count := range window.counts {
			if window.isIdle(count) {
				s.IdleSeconds++
			}
		}
	}
	n := float64(max(len(windows), 1))
	s.CV1s /= n
	s.FairCV1s /= n
	if len(peaks) > 0 {
		slices.Sort(peaks)
		s.MaxOverMean = peaks[len(peaks)/2]
	}
}

// queueLengthRatio returns the ratio of the 99th percentile to the median of the queue lengths that requests found,
// both counted with the request itself. It returns 0 if there were no requests.
func queueLengthRatio(hosts []hostLog, from, to time.Duration) float64 {
	var queues []int
	for _, host := range hosts {
		for _, arrived := range host.arrivals {
			if arrived.at >= from && arrived.at < to {
				queues = append(queues, arrived.queue)
			}
		}
	}
	if len(queues) == 0 {
		return 0
	}
	slices.Sort(queues)
	return float64(queues[len(queues)*99/100]+1) / float64(queues[len(queues)/2]+1)
}

// variation returns the coefficient of variation of the counts.
func (w groupWindow) variation() float64 {
	sum := 0.0
	for _, count := range w.counts {
		difference := float64(count) - w.mean
		sum += difference * difference
	}
	return math.Sqrt(sum/float64(len(w.counts))) / w.mean
}

// fairVariation returns the coefficient of variation that is expected if each request goes to a random host. The total
// number of requests is given, so each count is binomial with the variance mean x (1 - 1/n).
func (w groupWindow) fairVariation() float64 {
	return math.Sqrt(w.mean*(1-1/float64(len(w.counts)))) / w.mean
}

// isIdle reports whether a host with the given count of requests was idle in the window.
func (w groupWindow) isIdle(count int) bool {
	return float64(count) < idleFraction*w.mean && 1-w.probabilityOfMoreThan(count) < idleProbability
}

// probabilityOfMoreThan returns the probability that a host gets more than k of the window's requests if each request
// goes to a random host.
func (w groupWindow) probabilityOfMoreThan(k int) float64 {
	hosts := float64(len(w.counts))
	return binomialTail(w.mean*hosts, 1/hosts, k)
}

// binomialTail returns the probability that a binomial count of draws, each with probability p, exceeds k.
func binomialTail(draws, p float64, k int) float64 {
	if p >= 1 {
		return 0
	}
	n := int(math.Round(draws))
	term := math.Pow(1-p, float64(n))
	sum := 0.0
	for i := 0; i <= min(k, n); i++ {
		sum += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-sum)
}
