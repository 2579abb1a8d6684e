// Package chaos tests the replicated store with real processes under faults. It kills instances, cuts their connections and
// restarts all of them at once. Afterwards it checks the answers that clients got against the state of the instances.
package chaos

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Options configures a run.
type Options struct {
	Instances int
	Duration  time.Duration // how long faults are injected
	Seed      uint64
	LoseSyncs bool                             // deliberate defect: the log is not synced, which the checks must detect
	Program   string                           // path of the gateway's program; empty: FindProgram finds it
	Keep      bool                             // keep the directory with the instances' files
	Log       func(format string, args ...any) // nil: nothing is logged
}

// Result reports the faults and findings of a run.
type Result struct {
	Seed               uint64   `json:"seed"`
	Instances          int      `json:"instances"`
	Kills              int      `json:"kills"`
	PowerLosses        int      `json:"power_losses"`
	Cuts               int      `json:"cuts"`
	OneWayCuts         int      `json:"one_way_cuts"`
	FullRestarts       int      `json:"full_restarts"`
	Operations         int      `json:"operations"`
	Acknowledged       int      `json:"acknowledged"`
	Unknown            int      `json:"unknown"` // operations without an answer
	Lost               int      `json:"lost"`    // acknowledged writes that are missing on an instance
	Contradictions     int      `json:"contradictions"`
	Linearizable       bool     `json:"linearizable"`
	LongestUnavailable int64    `json:"longest_unavailable_ms"`
	UnexpectedExits    int      `json:"unasked_ends"`   // number of times that a process ended without being killed
	Converged          bool     `json:"converged"`      // all instances had applied the same entries in the end
	Findings           []string `json:"what,omitempty"` // descriptions of the findings, at most maxFindings
	Directory          string   `json:"directory,omitempty"`
}

// maxFindings limits the number of findings that a result describes.
const maxFindings = 20

// Passed reports whether no fault was found and at least one write was acknowledged.
func (r *Result) Passed() bool {
	consistent := r.Lost == 0 && r.Contradictions == 0 && r.Linearizable && r.Converged
	return consistent && r.UnexpectedExits == 0 && r.Acknowledged > 0
}

func (r *Result) addFinding(format string, args ...any) {
	if len(r.Findings) < maxFindings {
		r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
	}
}

// chaosRun holds the state of one run.
type chaosRun struct {
	options Options
	cluster *cluster
	start   time.Time // when the operations began
	history *history
	result  *Result
}

// Run executes one run and returns its result. It ends only processes that it started.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	if options.Program == "" {
		var err error
		if options.Program, err = FindProgram(); err != nil {
			return nil, err
		}
	}
	directory, err := os.MkdirTemp("", "store-chaos-")
	if err != nil {
		return nil, err
	}
	result := &Result{Seed: options.Seed, Instances: options.Instances}
	if options.Keep {
		result.Directory = directory
	} else {
		defer func() { _ = os.RemoveAll(directory) }() // a directory that is left behind does no harm
	}
	cluster, err := newCluster(directory, options)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	for _, instance := range cluster.instances {
		if err := cluster.start(instance); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	r := &chaosRun{
		options: options, cluster: cluster, start: start, history: newHistory(start), result: result,
	}
	if err := r.runClientsUnderFaults(ctx); err != nil {
		return nil, err
	}
	r.check(ctx)
	result.UnexpectedExits = cluster.unexpectedExits()
	return result, ctx.Err()
}

// runClientsUnderFaults runs the clients until all faults have been injected.
func (r *chaosRun) runClientsUnderFaults(ctx context.Context) error {
	clientContext, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for number := range clientCount {
		clients.Go(func() { r.runClient(clientContext, number) })
	}
	if err := r.injectFaults(ctx); err != nil {
		return err
	}
	stop()
	clients.Wait()
	return nil
}
