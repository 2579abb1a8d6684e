package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/restart"
)

func restartCommand() *cobra.Command {
	var options restart.Options
	var path string
	cmd := &cobra.Command{
		Use: "restart", Short: "Kill a gateway under load and compare its restart with the store and without it",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel, err := processContext(2*time.Minute, &options.Program)
			if err != nil {
				return err
			}
			defer cancel()
			options.Log = logToStderr
			result, err := restart.Run(ctx, options)
			if err != nil {
				return err
			}
			if err := writeReport(path, cmd.OutOrStdout(), result); err != nil {
				return err
			}
			if result.With <= result.Without {
				return fmt.Errorf("%w: the store did not increase the earned share of the weight: %.3f with it, %.3f without",
					errFaultFound, result.With, result.Without)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load and the faults")
	flags.Float64Var(&options.Rate, "rate", 200, "requests per second")
	flags.IntVar(&options.ReplacedHosts, "replaced", 2,
		"number of hosts replaced since the endpoint list that the gateway restarts with")
	flags.BoolVar(&options.BreakWarmStart, "break-learned", false,
		"deliberate defect: the store caches no routing state; the check must find no gain")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}
