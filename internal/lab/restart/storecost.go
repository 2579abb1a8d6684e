package restart

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

// Latency describes the requests through a gateway. Latencies are in microseconds and count from the scheduled times.
type Latency struct {
	Median int64   `json:"p50_us"`
	P99    int64   `json:"p99_us"`
	P999   int64   `json:"p999_us"`
	Served float64 `json:"served"`
	Writes int64   `json:"store_writes"` // writes that the store acknowledged during the measurement
}

// StoreCost shows how a store in the gateway's process affects the latency of the gateway's requests. Each figure is the
// median of the rounds, except for Served, which is the minimum.
type StoreCost struct {
	Seed   uint64  `json:"seed"`
	Rounds int     `json:"rounds"`
	Off    Latency `json:"off"`
	Idle   Latency `json:"idle"`
	Busy   Latency `json:"busy"` // clients write to the store as fast as it acknowledges writes, and the store saves snapshots
}

const (
	storeClients    = 16
	storeKeys       = 5000
	valueBytes      = 256
	snapshotEntries = 2000 // log entries between snapshots; low, so that a short run has many snapshots

	// Range and precision of the latency histogram.
	maxLatencyUS      = 10_000_000
	significantDigits = 3
)

// storeLoad is the load of the store during a round.
type storeLoad int

const (
	storeOff storeLoad = iota
	storeIdle
	storeBusy
	storeLoads // number of loads
)

// MeasureStoreCost runs the three loads in turn in each round, so that noise of the machine affects all of them equally.
func MeasureStoreCost(ctx context.Context, options Options, rounds int, roundDuration time.Duration) (*StoreCost, error) {
	var measured [storeLoads][]Latency
	for range rounds {
		for load := range storeLoads {
			latency, err := measureRound(ctx, options, load, roundDuration)
			if err != nil {
				return nil, err
			}
			measured[load] = append(measured[load], *latency)
		}
	}
	cost := &StoreCost{
		Seed: options.Seed, Rounds: rounds,
		Off:  medianOfRounds(measured[storeOff]),
		Idle: medianOfRounds(measured[storeIdle]),
		Busy: medianOfRounds(measured[storeBusy]),
	}
	return cost, nil
}

// medianOfRounds returns the median of each figure, and the minimum of the served fraction.
func medianOfRounds(rounds []Latency) Latency {
	median := func(figure func(Latency) int64) int64 {
		var values []int64
		for _, round := range rounds {
			values = append(values, figure(round))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	served := 1.0
	for _, round := range rounds {
		served = min(served, round.Served)
	}
	return Latency{
		Median: median(func(l Latency) int64 { return l.Median }),
		P99:    median(func(l Latency) int64 { return l.P99 }),
		P999:   median(func(l Latency) int64 { return l.P999 }),
		Served: served,
		Writes: median(func(l Latency) int64 { return l.Writes }),
	}
}

func measureRound(ctx context.Context, options Options, load storeLoad, roundDuration time.Duration) (*Latency, error) {
	r, err := openRig(options, load != storeOff)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if load != storeOff {
		saveOften := func(edited *settings.Settings) { edited.Store.SnapshotEntries = snapshotEntries }
		if err := r.editSettings(saveOften); err != nil {
			return nil, err
		}
	}
	if err := r.startGateway(ctx); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, roundDuration)
	defer stop()
	var writes atomic.Int64
	var clients sync.WaitGroup
	if load == storeBusy {
		for range storeClients {
			clients.Go(func() { r.writeToStore(ctx, &writes) })
		}
	}
	requests := &emulator.Load{Address: r.gatewayAddress, Rate: options.Rate, Seed: options.Seed}
	samples := requests.Run(ctx)
	clients.Wait()
	latency := summarizeSamples(samples)
	latency.Writes = writes.Load()
	return latency, nil
}

func summarizeSamples(samples []emulator.Sample) *Latency {
	histogram := hdrhistogram.New(1, maxLatencyUS, significantDigits)
	succeeded := 0
	for _, sample := range samples {
		if sample.Succeeded {
			succeeded++
			_ = histogram.RecordValue(sample.Latency.Microseconds()) // deadlines are shorter than the histogram's range
		}
	}
	return &Latency{
		Median: histogram.ValueAtQuantile(50),
		P99:    histogram.ValueAtQuantile(99),
		P999:   histogram.ValueAtQuantile(99.9),
		Served: float64(succeeded) / float64(max(len(samples), 1)),
	}
}

// writeToStore writes to the store until the context ends, one write at a time. If its client cannot be created, it returns
// at once, which only lowers the number of writes.
func (r *rig) writeToStore(ctx context.Context, writes *atomic.Int64) {
	credentials, err := pki.LoadTLS(pki.Files{
		Certificate: filepath.Join(r.directory, "operator.pem"),
		Key:         filepath.Join(r.directory, "operator-key.pem"),
		Authority:   filepath.Join(r.directory, "authority.pem"),
	})
	if err != nil {
		return
	}
	set, err := settings.Load(r.settingsFile)
	if err != nil {
		return
	}
	store := client.New(client.Config{Endpoints: []string{set.Store.Listen}, TLS: credentials})
	defer store.Close()
	for i := 0; ctx.Err() == nil; i++ {
		key := strconv.Itoa(i % storeKeys)
		put := machine.Op{Kind: machine.Put, NS: "load", Key: key, Value: make([]byte, valueBytes)}
		_, err := store.Transact(ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
		if err == nil {
			writes.Add(1)
		}
	}
}
