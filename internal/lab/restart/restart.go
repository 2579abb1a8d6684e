// Package restart tests the restart of a killed gateway while discovery does not answer and the endpoint list in its
// configuration names a primary that hangs. Each run is made with a replicated store, which has cached routing state, and
// without one. The package also measures how a store in the gateway's process affects the gateway's request latency.
package restart

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cloverrock/internal/lab/emulator"
)

// Options configures a run.
type Options struct {
	Seed           uint64
	Program        string
	Rate           float64 // requests per second
	ReplacedHosts  int     // number of hosts that were replaced after the endpoint list in the configuration was written
	BreakWarmStart bool    // deliberate defect: the store caches no routing state, so it must bring no gain
	Log            func(format string, args ...any)
}

// Side is the outcome of the run with the store or of the run without it.
type Side struct {
	Share    float64            `json:"share"`    // earned part of the possible weight in the 5 s after the restart
	ByClass  map[string]float64 `json:"by_class"` // Share of each request class
	Requests int                `json:"requests"`
	ReadyMS  int64              `json:"ready_ms"` // from the start of the process to its first accepted connection
}

// Result holds the outcomes with and without the store. With and Without are the shares of the two.
type Result struct {
	Seed         uint64  `json:"seed"`
	With         float64 `json:"with_store"`
	Without      float64 `json:"without_store"`
	WithDetail   Side    `json:"with"`
	WithoutBasis Side    `json:"without"`
}

// ReplaceError reports that Options.ReplacedHosts is out of range.
type ReplaceError struct{ Hosts int }

func (e *ReplaceError) Error() string {
	return fmt.Sprintf("%d hosts to replace, expected 0 to %d", e.Hosts, hostCount-2)
}

const (
	hostCount        = 5
	measuredDuration = 5 * time.Second // after the restarted gateway is ready

	warmUpDuration         = 2 * time.Second
	listPropagationTime    = time.Second            // from the publication of a list until the gateway uses it
	failoverTime           = 800 * time.Millisecond // from the failure of the primary to the promotion of its successor
	replacedListGeneration = 8                      // generation of the list without the replaced hosts

	randomStream = 11 // separates these random numbers from those of other users of the same seed
)

// Run executes both runs, the one without the store first.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	if options.ReplacedHosts < 0 || options.ReplacedHosts > hostCount-2 {
		return nil, &ReplaceError{options.ReplacedHosts}
	}
	without, err := runOnce(ctx, options, false)
	if err != nil {
		return nil, fmt.Errorf("without the store: %w", err)
	}
	with, err := runOnce(ctx, options, true)
	if err != nil {
		return nil, fmt.Errorf("with the store: %w", err)
	}
	result := &Result{
		Seed: options.Seed, With: with.Share, Without: without.Share, WithDetail: *with, WithoutBasis: *without,
	}
	return result, nil
}

// runOnce kills a gateway under load, restarts it, and evaluates the requests after the restart.
func runOnce(ctx context.Context, options Options, withStore bool) (*Side, error) {
	random := rand.New(rand.NewPCG(options.Seed, randomStream))
	r, err := openRig(options, withStore)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.startGateway(ctx); err != nil {
		return nil, err
	}
	load := &emulator.Load{Address: r.gatewayAddress, Rate: options.Rate, Seed: options.Seed}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	samples := make(chan []emulator.Sample, 1)
	go func() { samples <- load.Run(loadContext) }()
	if err := r.changeHosts(ctx, random); err != nil {
		return nil, err
	}
	options.Log("the gateway is killed")
	r.killGateway()
	if err := pause(ctx, randomPause(random, 200, 400)); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := r.startGateway(ctx); err != nil {
		return nil, err
	}
	restarted := time.Now()
	if err := pause(ctx, measuredDuration); err != nil {
		return nil, err
	}
	stopLoad()
	return evaluate(<-samples, restarted, restarted.Sub(started)), nil
}

// changeHosts replaces hosts, stops discovery's responses, makes the primary hang, and then promotes another host. The
// running gateway can detect all these changes, but the endpoint list in its configuration file contains none of them.
func (r *rig) changeHosts(ctx context.Context, random *rand.Rand) error {
	if err := pause(ctx, warmUpDuration); err != nil {
		return err
	}
	if err := r.replaceHosts(); err != nil {
		return err
	}
	if err := pause(ctx, listPropagationTime); err != nil {
		return err
	}
	r.discovery.Silence()
	successor := r.drawSuccessor(random)
	r.options.Log("s-0 hangs, %s takes over", successor.ID)
	r.hosts[0].SetHanging(true)
	if err := pause(ctx, failoverTime); err != nil {
		return err
	}
	r.hosts[0].SetPrimary(false)
	successor.SetPrimary(true)
	return pause(ctx, randomPause(random, 2500, 1000))
}

// replaceHosts starts new hosts, closes the same number of old ones, and publishes the new endpoint list.
func (r *rig) replaceHosts() error {
	replaced := r.options.ReplacedHosts
	if err := r.addHosts(replaced, "new-"); err != nil {
		return err
	}
	for _, old := range r.hosts[1 : 1+replaced] {
		old.Close()
	}
	if replaced == 0 {
		return nil
	}
	remaining := slices.Concat(r.hosts[:1], r.hosts[1+replaced:])
	list, err := json.Marshal(endpointList(replacedListGeneration, remaining))
	if err != nil {
		return err
	}
	r.discovery.Publish(string(list))
	return nil
}

// drawSuccessor returns a random replica. If hosts were replaced, it is one of the new hosts.
func (r *rig) drawSuccessor(random *rand.Rand) *emulator.Host {
	successor := r.hosts[1+random.IntN(hostCount-1)]
	if r.options.ReplacedHosts > 0 {
		successor = r.hosts[hostCount+random.IntN(r.options.ReplacedHosts)]
	}
	return successor
}

// randomPause draws a time from minimum to minimum+spread milliseconds.
func randomPause(random *rand.Rand, minimum, spread int) time.Duration {
	return time.Duration(minimum+random.IntN(spread)) * time.Millisecond
}

// evaluate sums the weights of the samples in the measured time after the restart.
func evaluate(samples []emulator.Sample, restarted time.Time, ready time.Duration) *Side {
	side := &Side{ByClass: map[string]float64{}, ReadyMS: ready.Milliseconds()}
	var earned, possible [len(emulator.Classes)]float64
	var earnedSum, possibleSum float64
	for _, sample := range samples {
		if sample.At.Before(restarted) || sample.At.After(restarted.Add(measuredDuration)) {
			continue
		}
		side.Requests++
		earned[sample.Class] += sample.EarnedWeight()
		possible[sample.Class] += sample.Weight()
		earnedSum += sample.EarnedWeight()
		possibleSum += sample.Weight()
	}
	if possibleSum > 0 {
		side.Share = earnedSum / possibleSum
	}
	for i, class := range emulator.Classes {
		if possible[i] > 0 {
			side.ByClass[class.Name] = earned[i] / possible[i]
		}
	}
	return side
}
