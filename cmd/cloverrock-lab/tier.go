package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/processrig"
)

func tierCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "tier", Short: "Play many real processes of the gateway with faults in them and between them", Args: cobra.NoArgs}
	cmd.AddCommand(tierSpread(), tierZone())
	return cmd
}

// playTier plays once, reports, and fails with what must not be.
func playTier(cmd *cobra.Command, o processrig.Options, path string, found func(*processrig.Result) []string) error {
	ctx, end, err := rehearsal(o.For+time.Minute, &o.Program)
	if err != nil {
		return err
	}
	defer end()
	o.Log = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
	res, err := processrig.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := report(path, cmd.OutOrStdout(), res); err != nil {
		return err
	}
	if faults := found(res); len(faults) > 0 {
		return fmt.Errorf("%w: %s", errFound, strings.Join(faults, "; "))
	}
	return nil
}

func tierSpread() *cobra.Command {
	o := processrig.Options{Members: 5}
	var path string
	cmd := &cobra.Command{Use: "spread", Short: "Measure at the hosts how evenly the gateways' load falls", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return playTier(cmd, o, path, (*processrig.Result).Found)
		}}
	f := cmd.Flags()
	f.IntVar(&o.Gateways, "gateways", 50, "processes of the gateway")
	f.IntVar(&o.Hosts, "hosts", 60, "stand-in hosts")
	f.IntVar(&o.Members, "members", o.Members, "hosts of a group, one of them its primary")
	f.DurationVar(&o.For, "for", time.Minute, "how long requests come")
	f.Uint64Var(&o.Seed, "seed", 1, "decides the load and the faults")
	f.Float64Var(&o.Use, "use", 0.15, "part of what the hosts can do that is asked for")
	f.StringVar(&o.Plan, "faults", "none", "one of "+strings.Join(processrig.Plans, ", "))
	f.StringVar(&o.Policy, "policy", "", "random: gateways tell one another nothing; before: --program is another version, and the result says so")
	f.StringVar(&o.Break, "break", "", "blind-herd: all go to the host told to be least loaded; subset-fixed: all know the same part of the hosts; abrupt: restarts give no time to end; each must be found")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}

func tierZone() *cobra.Command {
	o := processrig.Options{Members: 6, Zoned: &processrig.Zoned{StepMS: 1000}}
	var path, policy string
	cmd := &cobra.Command{Use: "zone", Short: "Have a zone fail, and see the gateways leave it and return together", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch policy {
			case "":
			case "alone":
				o.Zoned.Alone = true
			case "off":
				o.Zoned.Alone, o.Policy = true, "random"
			default:
				return fmt.Errorf("policy %q: there are alone and off", policy)
			}
			return playTier(cmd, o, path, func(r *processrig.Result) []string { return r.FoundInZones(o.Zoned.Alone) })
		}}
	f := cmd.Flags()
	f.IntVar(&o.Gateways, "gateways", 60, "processes of the gateway")
	f.IntVar(&o.Hosts, "hosts", 48, "stand-in hosts")
	f.IntVar(&o.Members, "members", o.Members, "hosts of a group, one of them its primary")
	f.IntVar(&o.Zoned.Zones, "zones", 3, "zones, over which hosts and gateways are spread")
	f.DurationVar(&o.For, "for", time.Minute, "how long requests come")
	f.Uint64Var(&o.Seed, "seed", 1, "decides the load")
	f.Float64Var(&o.Use, "use", 0.2, "part of what the hosts can do that is asked for")
	f.StringVar(&o.Plan, "faults", "lost", "one of "+strings.Join(processrig.ZonePlans, ", "))
	f.StringVar(&policy, "policy", "", "alone: each gateway decides for itself; off: and they tell one another nothing")
	f.StringVar(&o.Zoned.Break, "break", "", "quorum, pace, capacity: what the gateways do without; it must be found")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}
