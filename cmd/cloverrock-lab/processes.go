package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"cloverrock/internal/lab/processrig"
)

func processesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "processes", Aliases: []string{"tier"},
		Short: "Play many real processes of the gateway with faults in them and between them",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(spreadCommand(), zoneCommand())
	return cmd
}

// playProcesses makes one run and writes its result. The error is errFaultFound, with the names of the faults that the
// check finds in the result, or says why the run was not possible.
func playProcesses(
	cmd *cobra.Command, options processrig.Options, path string, check func(*processrig.Result) []string,
) error {
	ctx, cancel, err := processContext(options.For+time.Minute, &options.Program)
	if err != nil {
		return err
	}
	defer cancel()
	options.Log = logToStderr
	result, err := processrig.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := writeReport(path, cmd.OutOrStdout(), result); err != nil {
		return err
	}
	if faults := check(result); len(faults) > 0 {
		return fmt.Errorf("%w: %s", errFaultFound, strings.Join(faults, "; "))
	}
	return nil
}

// fleetDefaults are the defaults of the flags that describe a fleet.
type fleetDefaults struct {
	gateways, hosts, members int
	use                      float64 // part of the hosts' capacity
	plan                     string
}

// addFleetFlags adds the flags that the experiments with processes share.
func addFleetFlags(flags *pflag.FlagSet, options *processrig.Options, defaults fleetDefaults, plans []string) {
	flags.IntVar(&options.Gateways, "gateways", defaults.gateways, "processes of the gateway")
	flags.IntVar(&options.Hosts, "hosts", defaults.hosts, "emulated hosts")
	flags.IntVar(&options.Members, "members", defaults.members, "hosts of a group, one of them its primary")
	flags.DurationVar(&options.For, "for", time.Minute, "how long requests come")
	flags.Uint64Var(&options.Seed, "seed", 1, "decides the load and the faults")
	flags.Float64Var(&options.Use, "use", defaults.use, "part of the hosts' capacity that is asked for")
	flags.StringVar(&options.Plan, "faults", defaults.plan, "one of "+strings.Join(plans, ", "))
}

func spreadCommand() *cobra.Command {
	var options processrig.Options
	var path string
	cmd := &cobra.Command{
		Use: "spread", Short: "Measure at the hosts how evenly the gateways' load falls", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return playProcesses(cmd, options, path, (*processrig.Result).Faults)
		},
	}
	defaults := fleetDefaults{gateways: 50, hosts: 60, members: 5, use: 0.15, plan: "none"}
	addFleetFlags(cmd.Flags(), &options, defaults, processrig.Plans)
	cmd.Flags().StringVar(&options.Policy, "policy", "",
		"random: gateways send no gossip; before: --program is another version, which the result records")
	cmd.Flags().StringVar(&options.Break, "break", "",
		"blind-herd: all use the host reported as least loaded; subset-fixed: all have the same part of the hosts; "+
			"abrupt: restarts allow no graceful shutdown; the checks must find each")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}

func zoneCommand() *cobra.Command {
	options := processrig.Options{Zoned: &processrig.Zoned{StepMS: 1000}}
	var path, policy string
	cmd := &cobra.Command{
		Use: "zone", Short: "Have a zone fail, and see the gateways leave it and return together", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := applyZonePolicy(&options, policy); err != nil {
				return err
			}
			check := func(result *processrig.Result) []string { return result.ZoneFaults(options.Zoned.Alone) }
			return playProcesses(cmd, options, path, check)
		},
	}
	defaults := fleetDefaults{gateways: 60, hosts: 48, members: 6, use: 0.2, plan: "lost"}
	addFleetFlags(cmd.Flags(), &options, defaults, processrig.ZonePlans)
	cmd.Flags().IntVar(&options.Zoned.Zones, "zones", 3, "zones, over which hosts and gateways are spread")
	cmd.Flags().StringVar(&policy, "policy", "",
		"alone: each gateway decides for itself; off: and they send no gossip")
	cmd.Flags().StringVar(&options.Zoned.Break, "break", "",
		"quorum, pace, capacity: the rule that the gateways skip; the checks must find it")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}

// applyZonePolicy sets what the gateways of an experiment with zones share.
func applyZonePolicy(options *processrig.Options, policy string) error {
	switch policy {
	case "":
	case "alone":
		options.Zoned.Alone = true
	case "off":
		options.Zoned.Alone = true
		options.Policy = "random"
	default:
		return fmt.Errorf("policy %q: there are alone and off", policy)
	}
	return nil
}
