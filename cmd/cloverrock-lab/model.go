package main

import (
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/fleetmodel"
)

func modelCommand() *cobra.Command {
	options := fleetmodel.Options{Groups: 12, Members: 5, RateSwing: 0.25, Work: 111}
	cmd := &cobra.Command{
		Use: "model", Aliases: []string{"many"}, Short: "Play many gateways before many hosts in one process",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := fleetmodel.Run(options)
			if err != nil {
				return err
			}
			return writeReport("-", cmd.OutOrStdout(), map[string]any{"score": result.Score(), "day": result})
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Gateways, "gateways", 80, "how many gateways")
	flags.IntVar(&options.Groups, "groups", options.Groups, "groups of hosts")
	flags.IntVar(&options.Members, "members", options.Members, "hosts of each group")
	flags.IntVar(&options.Seconds, "for", 20, "simulated seconds")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of all that is random")
	flags.Float64Var(&options.Rate, "rate", 1250, "requests a second, all together")
	flags.Float64Var(&options.GossipBytesPerRequest, "tell", 1280, "bytes of gossip that a request pays for")
	flags.Float64Var(&options.OutagePart, "outage", 0, "part of the hosts that crash")
	flags.IntVar(&options.OutageAt, "outage-at", 6, "when, in seconds")
	flags.IntVar(&options.OutageFor, "outage-for", 5, "for how long")
	flags.Float64Var(&options.ReleasePart, "release", 0, "part of the gateways that are killed and started again")
	flags.IntVar(&options.ReleaseAt, "release-at", 6, "when, in seconds")
	return cmd
}
