package restart

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// Latency of requests through a gateway, from the time for which they were scheduled, in microseconds.
type Latency struct {
	Median int64   `json:"p50_us"`
	P99    int64   `json:"p99_us"`
	P999   int64   `json:"p999_us"`
	Served float64 `json:"served"`
	Writes int64   `json:"store_writes"` // that the store took meanwhile
}

// Beside is what the store costs the requests of the gateway that it runs beside: each figure the median of the rounds.
type Beside struct {
	Seed   uint64  `json:"seed"`
	Rounds int     `json:"rounds"`
	Off    Latency `json:"off"`
	Idle   Latency `json:"idle"`
	Busy   Latency `json:"busy"` // the store takes all the writes that 16 clients can send, and saves snapshots
}

// RunBeside plays rounds of the three in turn, so that a noisy machine meets all.
func RunBeside(ctx context.Context, o Options, rounds int, each time.Duration) (*Beside, error) {
	var got [3][]Latency
	for range rounds {
		for kind := range got {
			l, err := beside(ctx, o, kind, each)
			if err != nil {
				return nil, err
			}
			got[kind] = append(got[kind], *l)
		}
	}
	middle := func(all []Latency) Latency {
		pick := func(f func(Latency) int64) int64 {
			var v []int64
			for _, l := range all {
				v = append(v, f(l))
			}
			slices.Sort(v)
			return v[len(v)/2]
		}
		least := 1.0
		for _, l := range all {
			least = min(least, l.Served)
		}
		return Latency{pick(func(l Latency) int64 { return l.Median }), pick(func(l Latency) int64 { return l.P99 }),
			pick(func(l Latency) int64 { return l.P999 }), least, pick(func(l Latency) int64 { return l.Writes })}
	}
	return &Beside{o.Seed, rounds, middle(got[0]), middle(got[1]), middle(got[2])}, nil
}

func beside(ctx context.Context, o Options, kind int, each time.Duration) (*Latency, error) {
	dir, err := os.MkdirTemp("", "beside-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &stage{Options: o, dir: dir, store: kind > 0}
	defer s.end()
	discovery, err := emulator.NewDiscovery()
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	if err := s.add(hosts, "s-"); err != nil {
		return nil, err
	}
	s.hosts[0].Primary(true)
	if err := s.configure(discovery.Address()); err != nil {
		return nil, err
	}
	if s.store {
		if err := s.found(); err != nil {
			return nil, err
		}
		if err := s.often(); err != nil {
			return nil, err
		}
	}
	if _, err := s.gateway(); err != nil {
		return nil, err
	}
	if err := s.accepts(ctx); err != nil {
		return nil, err
	}
	work, stop := context.WithTimeout(ctx, each)
	defer stop()
	var writes atomic.Int64
	var wg sync.WaitGroup
	if kind == 2 {
		for range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.write(work, &writes)
			}()
		}
	}
	load := &emulator.Load{Address: s.listen, Rate: o.Rate, Seed: o.Seed}
	samples := load.Run(work)
	wg.Wait()
	h := hdrhistogram.New(1, 10_000_000, 3)
	served := 0
	for _, x := range samples {
		if x.Served {
			served++
			_ = h.RecordValue(x.Took.Microseconds())
		}
	}
	return &Latency{h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), float64(served) / float64(max(len(samples), 1)), writes.Load()}, nil
}

// often has snapshots saved every few thousand entries, so that a short run has many.
func (s *stage) often() error {
	set, err := settings.Load(s.settings)
	if err != nil {
		return err
	}
	set.Store.SnapshotEntries = 2000
	b, err := json.Marshal(set)
	if err != nil {
		return err
	}
	return os.WriteFile(s.settings, b, 0o600)
}

func (s *stage) write(ctx context.Context, writes *atomic.Int64) {
	conf, err := pki.LoadTLS(pki.Files{Certificate: filepath.Join(s.dir, "operator.pem"), Key: filepath.Join(s.dir, "operator-key.pem"), Authority: filepath.Join(s.dir, "authority.pem")})
	if err != nil {
		return
	}
	set, err := settings.Load(s.settings)
	if err != nil {
		return
	}
	c := client.New(client.Config{Endpoints: []string{set.Store.Listen}, TLS: conf})
	defer c.Close()
	for i := 0; ctx.Err() == nil; i++ {
		if _, err := c.Transact(ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{{Kind: machine.Put, NS: "load", Key: fmt.Sprint(i % 5000), Value: make([]byte, 256)}}}); err == nil {
			writes.Add(1)
		}
	}
}
