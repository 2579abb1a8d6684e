package main

import (
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/fleetmodel"
)

func modelCommand() *cobra.Command {
	options := fleetmodel.Options{Groups: 12, Members: 5, RateSwing: 0.25, Work: 111}
	cmd := &cobra.Command{
		Use: "model", Aliases: []string{"many"}, Short: "Simulate a fleet of gateways and their hosts in one process",
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
	flags.IntVar(&options.Gateways, "gateways", 80, "number of gateways")
	flags.IntVar(&options.Groups, "groups", options.Groups, "number of groups of hosts")
	flags.IntVar(&options.Members, "members", options.Members, "number of hosts in each group")
	flags.IntVar(&options.Seconds, "for", 20, "simulated seconds")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of all random choices")
	flags.Float64Var(&options.Rate, "rate", 1250, "mean requests per second, of all clients together")
	flags.Float64Var(&options.GossipBytesPerRequest, "tell", 1280, "bytes of gossip allowed for each request")
	flags.Float64Var(&options.OutagePart, "outage", 0, "part of the hosts that crash, from 0 to 1")
	flags.IntVar(&options.OutageAt, "outage-at", 6, "time of the crash, in seconds")
	flags.IntVar(&options.OutageFor, "outage-for", 5, "time until the crashed hosts return, in seconds")
	flags.Float64Var(&options.ReleasePart, "release", 0, "part of the gateways that are killed and started again, from 0 to 1")
	flags.IntVar(&options.ReleaseAt, "release-at", 6, "time at which they are killed, in seconds")
	return cmd
}
