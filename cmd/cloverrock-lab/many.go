package main

import (
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/fleetmodel"
)

func manyGateways() *cobra.Command {
	o := fleetmodel.Options{Groups: 12, Members: 5, Wave: 0.25, Work: 111}
	cmd := &cobra.Command{Use: "many", Short: "Play many gateways before many hosts in one process", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := fleetmodel.Run(o)
			if err != nil {
				return err
			}
			return report("-", cmd.OutOrStdout(), map[string]any{"score": r.Score(&o), "day": r})
		}}
	f := cmd.Flags()
	f.IntVar(&o.Gateways, "gateways", 80, "how many gateways")
	f.IntVar(&o.Groups, "groups", o.Groups, "groups of hosts")
	f.IntVar(&o.Members, "members", o.Members, "hosts of each group")
	f.IntVar(&o.Seconds, "for", 20, "simulated seconds")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all that is random")
	f.Float64Var(&o.Rate, "rate", 1250, "requests a second, all together")
	f.Float64Var(&o.TellEarn, "tell", 1280, "bytes to others that a request pays for")
	f.Float64Var(&o.OutagePart, "outage", 0, "part of the hosts that die")
	f.IntVar(&o.OutageAt, "outage-at", 6, "when, in seconds")
	f.IntVar(&o.OutageFor, "outage-for", 5, "for how long")
	f.Float64Var(&o.ReleasePart, "release", 0, "part of the gateways that are killed and started again")
	f.IntVar(&o.ReleaseAt, "release-at", 6, "when, in seconds")
	return cmd
}
