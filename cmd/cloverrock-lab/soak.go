package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/restartsoak"
)

// soakTimeout bounds one run of the soak.
const soakTimeout = time.Minute

func soakCommand() *cobra.Command {
	var options restartsoak.Options
	var first uint64
	var seeds, parallel int
	cmd := &cobra.Command{
		Use: "soak", Short: "Restart a gateway under load with series of signals and faults, once for each seed",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Defect != "" && !slices.Contains(restartsoak.Defects, options.Defect) {
				return fmt.Errorf("defect %q is unknown; expected one of %v", options.Defect, restartsoak.Defects)
			}
			bound := soakTimeout * time.Duration(1+seeds/max(parallel, 1))
			ctx, cancel, err := processContext(bound, &options.Program)
			if err != nil {
				return err
			}
			defer cancel()
			faulty, err := soak(ctx, cmd.OutOrStdout(), options, first, seeds, max(parallel, 1))
			if err != nil {
				return err
			}
			if faulty > 0 {
				return fmt.Errorf("%w: the checks failed in %d of %d runs", errFaultFound, faulty, seeds)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&first, "first", 1, "the first seed; each determines the faults of one run")
	flags.IntVar(&seeds, "seeds", 50, "number of runs")
	flags.IntVar(&parallel, "parallel", 2, "number of runs at a time")
	flags.StringVar(&options.Defect, "defect", "",
		strings.Join(restartsoak.Defects, ", ")+": the deliberate defect, which the checks must report")
	addProgramFlag(cmd, &options.Program)
	return cmd
}

// soak runs each seed, writes each result to out as one line of JSON, and returns the number of runs with faults.
func soak(
	ctx context.Context, out io.Writer, options restartsoak.Options, first uint64, seeds, parallel int,
) (faulty int, err error) {
	var running sync.WaitGroup
	var mu sync.Mutex // guards out, faulty and err
	slots := make(chan struct{}, parallel)
	for i := range seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			runOptions := options
			runOptions.Seed = first + uint64(i)
			result, runErr := restartsoak.Run(ctx, runOptions)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = fmt.Errorf("seed %d: %w", runOptions.Seed, runErr)
				return
			}
			if len(result.Faults) > 0 {
				faulty++
			}
			if writeErr := json.NewEncoder(out).Encode(result); writeErr != nil {
				err = writeErr
			}
		})
	}
	running.Wait()
	return faulty, err
}
