package processrig

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Spread is how evenly requests fell on the hosts that are compared: the replicas of each group.
type Spread struct {
	CV100          float64 `json:"cv_100ms"` // coefficient of variation over the hosts of a group, mean of all windows
	CV1s           float64 `json:"cv_1s"`
	Fair100        float64 `json:"fair_cv_100ms"` // and of draws at random with the same means
	Fair1s         float64 `json:"fair_cv_1s"`
	MaxOverMean    float64 `json:"max_over_mean_1s"` // the most that a host got in a second, of its group's mean, median of windows
	P99OverMedian  float64 `json:"p99_over_median_queue"`
	IdleSeconds    int     `json:"idle_host_seconds"`
	HerdWindows    int     `json:"herd_windows"`
	FairHerds      float64 `json:"fair_herd_windows"` // as many would be expected by chance
	Windows        int     `json:"windows"`
	ConnectionsP50 int     `json:"connections_p50"`
	ConnectionsMax int     `json:"connections_max"`
}

// rare is the chance below which a host that got so little in a second is called idle: of the thousands of windows of a run a
// fair draw would leave none so.
const rare = 1e-5

// arrival is one request at a host, as the host saw it.
type arrival struct {
	at    time.Duration // since the start
	queue int           // requests there before it
}

// hostLog is what one host saw.
type hostLog struct {
	group int
	fit   time.Duration // from when on it is to have its part
	all   []arrival
}

// measure compares the replicas of each group, from a time on.
func measure(hosts []hostLog, from, to time.Duration) Spread {
	var s Spread
	groups := map[int][]hostLog{}
	for _, h := range hosts {
		groups[h.group] = append(groups[h.group], h)
	}
	var peaks []float64
	window := func(each time.Duration, take func(counts []int, mean float64)) {
		for _, members := range groups {
			for at := from; at+each <= to; at += each {
				counts, sum := make([]int, 0, len(members)), 0
				for _, h := range members {
					if h.fit > at {
						continue
					}
					lo, _ := slices.BinarySearchFunc(h.all, at, func(a arrival, t time.Duration) int { return cmp.Compare(a.at, t) })
					hi, _ := slices.BinarySearchFunc(h.all, at+each, func(a arrival, t time.Duration) int { return cmp.Compare(a.at, t) })
					counts = append(counts, hi-lo)
					sum += hi - lo
				}
				if sum > 0 {
					take(counts, float64(sum)/float64(len(counts)))
				}
			}
		}
	}
	var n100, n1s float64
	window(100*time.Millisecond, func(counts []int, mean float64) {
		n100++
		s.CV100 += cv(counts, mean)
		s.Fair100 += fairCV(mean, len(counts))
		for _, n := range counts {
			s.Windows++
			if float64(n) > 3*mean {
				s.HerdWindows++
			}
			s.FairHerds += tail(mean*float64(len(counts)), 1/float64(len(counts)), int(math.Floor(3*mean)))
		}
	})
	window(time.Second, func(counts []int, mean float64) {
		n1s++
		s.CV1s += cv(counts, mean)
		s.Fair1s += fairCV(mean, len(counts))
		peaks = append(peaks, float64(slices.Max(counts))/mean)
		for _, n := range counts {
			if float64(n) < mean/4 && 1-tail(mean*float64(len(counts)), 1/float64(len(counts)), n) < rare {
				s.IdleSeconds++
			}
		}
	})
	s.CV100, s.Fair100 = s.CV100/max(n100, 1), s.Fair100/max(n100, 1)
	s.CV1s, s.Fair1s = s.CV1s/max(n1s, 1), s.Fair1s/max(n1s, 1)
	if len(peaks) > 0 {
		slices.Sort(peaks)
		s.MaxOverMean = peaks[len(peaks)/2]
	}
	var queues []int
	for _, h := range hosts {
		for _, a := range h.all {
			if a.at >= from && a.at < to {
				queues = append(queues, a.queue)
			}
		}
	}
	if slices.Sort(queues); len(queues) > 0 {
		s.P99OverMedian = float64(queues[len(queues)*99/100]+1) / float64(queues[len(queues)/2]+1)
	}
	return s
}

func cv(counts []int, mean float64) float64 {
	sum := 0.0
	for _, n := range counts {
		sum += (float64(n) - mean) * (float64(n) - mean)
	}
	return math.Sqrt(sum/float64(len(counts))) / mean
}

// fairCV is what requests that are each drawn for a host at random come to: the total is given, so each count is
// binomial with the variance mean x (1 - 1/n).
func fairCV(mean float64, n int) float64 { return math.Sqrt(mean*(1-1/float64(n))) / mean }

// tail is the chance that a binomial count of total draws, each with chance p, exceeds k.
func tail(total, p float64, k int) float64 {
	if p >= 1 {
		return 0
	}
	n := int(math.Round(total))
	at, sum := math.Pow(1-p, float64(n)), 0.0
	for i := 0; i <= min(k, n); i++ {
		sum += at
		at *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-sum)
}
