package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/tier"
)

func tierCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "tier", Short: "Play many real processes of the gateway with faults in them and between them", Args: cobra.NoArgs}
	cmd.AddCommand(tierSpread())
	return cmd
}

func tierSpread() *cobra.Command {
	o := tier.Options{Members: 5}
	var path string
	cmd := &cobra.Command{Use: "spread", Short: "Measure at the hosts how evenly the gateways' load falls", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, end, err := rehearsal(o.For+time.Minute, &o.Program)
			if err != nil {
				return err
			}
			defer end()
			o.Log = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
			res, err := tier.Run(ctx, o)
			if err != nil {
				return err
			}
			if err := report(path, cmd.OutOrStdout(), res); err != nil {
				return err
			}
			if faults := res.Found(); len(faults) > 0 {
				return fmt.Errorf("%w: %s", errFound, strings.Join(faults, "; "))
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&o.Gateways, "gateways", 50, "processes of the gateway")
	f.IntVar(&o.Hosts, "hosts", 60, "stand-in hosts")
	f.IntVar(&o.Members, "members", o.Members, "hosts of a group, one of them its primary")
	f.DurationVar(&o.For, "for", time.Minute, "how long requests come")
	f.Uint64Var(&o.Seed, "seed", 1, "decides the load and the faults")
	f.Float64Var(&o.Use, "use", 0.15, "part of what the hosts can do that is asked for")
	f.StringVar(&o.Plan, "faults", "none", "one of "+strings.Join(tier.Plans, ", "))
	f.StringVar(&o.Policy, "policy", "", "random: gateways tell one another nothing; before: --program is another version, and the result says so")
	f.StringVar(&o.Break, "break", "", "blind-herd: all go to the host told to be least loaded; subset-fixed: all know the same part of the hosts; abrupt: restarts give no time to end; each must be found")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}
