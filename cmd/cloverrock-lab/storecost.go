package main

import (
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/restart"
)

func storeCostCommand() *cobra.Command {
	var options restart.Options
	var path string
	var rounds int
	var each time.Duration
	cmd := &cobra.Command{
		Use: "store-cost", Aliases: []string{"beside"},
		Short: "Measure how the store affects the latency of requests to the gateway that runs it in its process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bound := time.Duration(rounds) * 2 * (each + time.Minute)
			ctx, cancel, err := processContext(bound, &options.Program)
			if err != nil {
				return err
			}
			defer cancel()
			result, err := restart.MeasureStoreCost(ctx, options, rounds, each)
			if err != nil {
				return err
			}
			return writeReport(path, cmd.OutOrStdout(), result)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flags.Float64Var(&options.Rate, "rate", 300, "requests per second")
	flags.IntVar(&rounds, "rounds", 3,
		"number of rounds; each measures without the store, with an idle one and with a busy one")
	flags.DurationVar(&each, "for", 5*time.Second, "how long each measurement lasts")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}
