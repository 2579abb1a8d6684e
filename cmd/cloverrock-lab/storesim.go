package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/storesim"
)

// settleSeconds is the simulated time that a cluster runs without faults at the end of each seed.
const settleSeconds = 40

// storeSimRun simulates clusters for consecutive seeds and adds up their results.
type storeSimRun struct {
	first, seeds uint64
	options      storesim.Options
	total        storesim.Result
	violations   []seedViolations
	hash         hash.Hash64
}

// seedViolations lists the violations that the checks found for one seed.
type seedViolations struct {
	Seed uint64   `json:"seed"`
	What []string `json:"what"`
}

func storeSimCommand() *cobra.Command {
	run := storeSimRun{violations: []seedViolations{}, hash: xxhash.New()}
	var path string
	var trace bool
	cmd := &cobra.Command{
		Use: "store-sim", Short: "Simulate clusters of the store with a simulated network, disks and clock", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if trace {
				run.options.Trace = cmd.ErrOrStderr()
			}
			start := time.Now()
			run.runSeeds(cmd)
			if err := writeReport(path, cmd.OutOrStdout(), run.report(time.Since(start))); err != nil {
				return err
			}
			if len(run.violations) > 0 {
				return fmt.Errorf("%w: invariants were violated with %d of %d seeds", errFaultFound, len(run.violations), run.seeds)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&run.seeds, "seeds", 100, "number of seeds")
	flags.Uint64Var(&run.first, "first", 1, "the first seed")
	flags.IntVar(&run.options.Instances, "instances", 3, "number of instances in each cluster")
	flags.IntVar(&run.options.Seconds, "for", 20, "simulated seconds under faults")
	flags.BoolVar(&run.options.LoseSyncs, "break-fsync", false,
		"deliberate defect: syncs have no effect; the checks must report it")
	flags.BoolVar(&run.options.ResendAsNew, "break-sessions", false,
		"deliberate defect: clients retry outside their session, as new commands; the checks must report it")
	flags.BoolVar(&trace, "trace", false, "write a trace of the runs to standard error")
	addReportFlag(cmd, &path)
	return cmd
}

// runSeeds simulates each seed. raft draws its election timeouts from rand.Reader, which is replaced during the run.
func (r *storeSimRun) runSeeds(cmd *cobra.Command) {
	systemRandom := rand.Reader
	defer func() { rand.Reader = systemRandom }()
	for seed := r.first; seed < r.first+r.seeds; seed++ {
		rand.Reader = storesim.SeededBytes(seed)
		r.options.Seed = seed
		result := storesim.Run(r.options)
		r.add(&result)
		if len(result.Violations) == 0 {
			continue
		}
		r.violations = append(r.violations, seedViolations{seed, result.Violations})
		cmd.PrintErrf("seed %d: %s\n  replay: cloverrock-lab store-sim --first %d --seeds 1 --trace\n",
			seed, result.Violations[0], seed)
	}
}

func (r *storeSimRun) add(result *storesim.Result) {
	_, _ = r.hash.Write(binary.LittleEndian.AppendUint64(nil, result.Hash)) // a hash's Write never returns an error
	r.total.Steps += result.Steps
	r.total.Acknowledged += result.Acknowledged
	r.total.Elections += result.Elections
	r.total.SnapshotInstalls += result.SnapshotInstalls
	r.total.Replacements += result.Replacements
	r.total.Crashes += result.Crashes
	r.total.CorruptDisks += result.CorruptDisks
}

func (r *storeSimRun) report(wall time.Duration) map[string]any {
	return map[string]any{
		"seeds":               r.seeds,
		"first":               r.first,
		"steps":               r.total.Steps,
		"violations":          len(r.violations),
		"trace_hash":          fmt.Sprintf("%016x", r.hash.Sum64()),
		"acknowledged":        r.total.Acknowledged,
		"elections":           r.total.Elections,
		"snapshots_installed": r.total.SnapshotInstalls,
		"crashes":             r.total.Crashes,
		"corrupt_disks_found": r.total.CorruptDisks,
		"replaced":            r.total.Replacements,
		"failed":              r.violations,
		"simulated_s":         float64(r.seeds) * float64(r.options.Seconds+settleSeconds),
		"wall_s":              wall.Seconds(),
	}
}
