package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/restart"
)

func restartGateway() *cobra.Command {
	var o restart.Options
	var path string
	cmd := &cobra.Command{Use: "restart", Short: "Kill a gateway under load and compare its return with the store and without it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, end, err := rehearsal(2*time.Minute, &o.Program)
			if err != nil {
				return err
			}
			defer end()
			o.Log = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
			res, err := restart.Run(ctx, o)
			if err != nil {
				return err
			}
			if err := report(path, cmd.OutOrStdout(), res); err != nil {
				return err
			}
			if res.With <= res.Without {
				return fmt.Errorf("%w: the store does not help: %.3f with it, %.3f without", errFound, res.With, res.Without)
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "decides the load and the faults")
	f.Float64Var(&o.Rate, "rate", 200, "requests a second")
	f.IntVar(&o.Replace, "replaced", 2, "hosts that were replaced since the list that the gateway comes back with")
	f.BoolVar(&o.Forget, "break-learned", false, "nothing is kept in the store: the check must see no gain")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}

func besideGateway() *cobra.Command {
	var o restart.Options
	var path string
	var rounds int
	var each time.Duration
	cmd := &cobra.Command{Use: "beside", Short: "Measure what the store costs the requests of the gateway that it runs beside", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, end, err := rehearsal(time.Duration(rounds)*2*(each+time.Minute), &o.Program)
			if err != nil {
				return err
			}
			defer end()
			res, err := restart.RunBeside(ctx, o, rounds, each)
			if err != nil {
				return err
			}
			return report(path, cmd.OutOrStdout(), res)
		}}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "decides the load")
	f.Float64Var(&o.Rate, "rate", 300, "requests a second")
	f.IntVar(&rounds, "rounds", 3, "rounds of each way, in turn")
	f.DurationVar(&each, "for", 5*time.Second, "how long each lasts")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}
