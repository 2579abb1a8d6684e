// Package chaos tests the replicated store with real processes under faults. It kills instances, cuts their connections
// and restarts all of them at once, and checks the answers that clients got against the state of the instances afterwards.
package chaos

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Options of a run.
type Options struct {
	Instances int
	For       time.Duration // how long faults occur
	Seed      uint64
	LoseSyncs bool                             // the log is not synced: the checks must find it
	Program   string                           // path of the gateway's program; empty: the one in the directory of this program
	Keep      bool                             // keep the directory with the instances' files
	Log       func(format string, args ...any) // nil: nothing is logged
}

// Result of a run.
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
	Lost               int      `json:"lost"`    // acknowledged writes that an instance lacks
	Contradictions     int      `json:"contradictions"`
	Linearizable       bool     `json:"linearizable"`
	LongestUnavailable int64    `json:"longest_unavailable_ms"`
	UnaskedEnds        int      `json:"unasked_ends"`   // processes that ended although nobody killed them
	Converged          bool     `json:"converged"`      // all instances had the same state in the end
	What               []string `json:"what,omitempty"` // the findings in words, at most maxFindings
	Directory          string   `json:"directory,omitempty"`
}

// maxFindings limits the findings that a result describes.
const maxFindings = 20

// Good reports whether no fault was found and at least one write was acknowledged.
func (r *Result) Good() bool {
	consistent := r.Lost == 0 && r.Contradictions == 0 && r.Linearizable && r.Converged
	return consistent && r.UnaskedEnds == 0 && r.Acknowledged > 0
}

func (r *Result) addFinding(format string, args ...any) {
	if len(r.What) < maxFindings {
		r.What = append(r.What, fmt.Sprintf(format, args...))
	}
}

// chaosRun is one run.
type chaosRun struct {
	options Options
	cluster *cluster
	start   time.Time // of the operations
	history *history
	result  *Result
}

// Run makes one run. It ends only the processes that it started.
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
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.check(ctx)
	result.UnaskedEnds = cluster.unaskedEnds()
	return result, ctx.Err()
}

// play runs the clients while faults occur.
func (r *chaosRun) play(ctx context.Context) error {
	clientContext, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for number := range clientCount {
		clients.Go(func() { r.runClient(clientContext, number) })
	}
	if err := r.playFaults(ctx); err != nil {
		return err
	}
	stop()
	clients.Wait()
	return nil
}
