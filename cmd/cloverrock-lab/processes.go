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
		Short: "Run many processes of the gateway with faults in them and between them",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(spreadCommand(), zoneCommand())
	return cmd
}

// runProcesses makes one run and writes its result. It returns errFaultFound with the faults that check finds in the
// result, or another error if the run was not possible.
func runProcesses(
	cmd *cobra.Command, options processrig.Options, path string, check func(*processrig.Result) []string,
) error {
	ctx, cancel, err := processContext(options.Duration+time.Minute, &options.Program)
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

// addFleetFlags adds the flags that all experiments with a fleet of processes have.
func addFleetFlags(flags *pflag.FlagSet, options *processrig.Options, defaults fleetDefaults, plans []string) {
	flags.IntVar(&options.Gateways, "gateways", defaults.gateways, "number of processes of the gateway")
	flags.IntVar(&options.Hosts, "hosts", defaults.hosts, "number of emulated hosts")
	flags.IntVar(&options.Members, "members", defaults.members, "number of hosts in a group, including its primary")
	flags.DurationVar(&options.Duration, "for", time.Minute, "how long clients send requests")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load and the faults")
	flags.Float64Var(&options.Utilization, "use", defaults.use, "load as a part of the hosts' capacity")
	flags.StringVar(&options.Plan, "faults", defaults.plan, "plan of faults, one of "+strings.Join(plans, ", "))
}

func spreadCommand() *cobra.Command {
	var options processrig.Options
	var path string
	cmd := &cobra.Command{
		Use: "spread", Short: "Measure at the hosts how evenly the gateways spread the load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runProcesses(cmd, options, path, (*processrig.Result).FailedChecks)
		},
	}
	defaults := fleetDefaults{gateways: 50, hosts: 60, members: 5, use: 0.15, plan: "none"}
	addFleetFlags(cmd.Flags(), &options, defaults, processrig.Plans)
	cmd.Flags().StringVar(&options.Policy, "policy", "",
		"random: gateways send no gossip; before: --program is another version, which the result records")
	cmd.Flags().StringVar(&options.Defect, "break", "",
		"deliberate defect, which the checks must report: blind-herd: all gateways use the host reported as least loaded; "+
			"subset-fixed: all have the same part of the hosts; abrupt: restarts allow no graceful shutdown")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}

func zoneCommand() *cobra.Command {
	options := processrig.Options{Zoned: &processrig.Zoned{StepMS: 1000}}
	var path, policy string
	cmd := &cobra.Command{
		Use: "zone", Short: "Let a zone fail, and check that the gateways leave it and return to it together", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := applyZonePolicy(&options, policy); err != nil {
				return err
			}
			check := func(result *processrig.Result) []string { return result.FailedZoneChecks(options.Zoned.DecideAlone) }
			return runProcesses(cmd, options, path, check)
		},
	}
	defaults := fleetDefaults{gateways: 60, hosts: 48, members: 6, use: 0.2, plan: "lost"}
	addFleetFlags(cmd.Flags(), &options, defaults, processrig.ZonePlans)
	cmd.Flags().IntVar(&options.Zoned.Zones, "zones", 3, "number of zones over which hosts and gateways are spread")
	cmd.Flags().StringVar(&policy, "policy", "",
		"alone: each gateway decides for itself; off: as alone, and gateways send no gossip")
	cmd.Flags().StringVar(&options.Zoned.SkippedRule, "break", "",
		"deliberate defect, which the checks must report: the rule that the gateways skip, one of quorum, pace, capacity")
	addProgramFlag(cmd, &options.Program)
	addReportFlag(cmd, &path)
	return cmd
}

// applyZonePolicy sets the options for a value of the flag --policy of an experiment with zones.
func applyZonePolicy(options *processrig.Options, policy string) error {
	switch policy {
	case "":
	case "alone":
		options.Zoned.DecideAlone = true
	case "off":
		options.Zoned.DecideAlone = true
		options.Policy = "random"
	default:
		return fmt.Errorf("policy %q is unknown; expected alone or off", policy)
	}
	return nil
}
