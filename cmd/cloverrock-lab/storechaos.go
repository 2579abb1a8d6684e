package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/chaos"
)

func storeChaosCommand() *cobra.Command {
	var options chaos.Options
	var path string
	var quiet bool
	cmd := &cobra.Command{
		Use:   "store-chaos",
		Short: "Kill, cut off and restart instances of the store under load, and check the answers that clients got",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signalContext(options.Duration + 2*time.Minute)
			defer cancel()
			if !quiet {
				options.Log = logWithTime(time.Now())
			}
			result, err := chaos.Run(ctx, options)
			if err != nil {
				return err
			}
			if err := writeReport(path, cmd.OutOrStdout(), result); err != nil {
				return err
			}
			if !result.Passed() {
				return fmt.Errorf("%w: %v", errFaultFound, result.Findings)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Instances, "instances", 3, "number of instances of the store")
	flags.DurationVar(&options.Duration, "for", 30*time.Second, "how long faults occur")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the faults and the operations")
	flags.BoolVar(&options.LoseSyncs, "break-fsync", false,
		"deliberate defect: the log is not synced, and a power loss drops it; the check must report it")
	addProgramFlag(cmd, &options.Program)
	flags.BoolVar(&options.Keep, "keep", false, "keep the directory with the logs of the instances")
	flags.BoolVar(&quiet, "quiet", false, "do not log the events of the run")
	addReportFlag(cmd, &path)
	return cmd
}

// logWithTime returns a function that writes lines to standard error, each with the seconds since the start.
func logWithTime(start time.Time) func(format string, args ...any) {
	return func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%7.2f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
}
