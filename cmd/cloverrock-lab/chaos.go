package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/chaos"
)

func storeChaos() *cobra.Command {
	var o chaos.Options
	var path string
	var quiet bool
	cmd := &cobra.Command{Use: "store-chaos", Short: "Kill, cut and restart real instances of the store under load, and check what clients were told", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			ctx, stop := context.WithTimeout(ctx, o.For+2*time.Minute)
			defer stop()
			began := time.Now()
			if !quiet {
				o.Log = func(format string, a ...any) {
					fmt.Fprintf(os.Stderr, "%7.2f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, a...))
				}
			}
			res, err := chaos.Run(ctx, o)
			if err != nil {
				return err
			}
			if err := report(path, cmd.OutOrStdout(), res); err != nil {
				return err
			}
			if !res.Good() {
				return fmt.Errorf("%w: %v", errFound, res.What)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&o.Instances, "instances", 3, "instances of the store")
	f.DurationVar(&o.For, "for", 30*time.Second, "how long faults go on")
	f.Uint64Var(&o.Seed, "seed", 1, "decides the faults and the operations")
	f.BoolVar(&o.LoseSyncs, "break-fsync", false, "the log is not synced, and a loss of power drops it: the check must find it")
	f.StringVar(&o.Program, "program", "", "the gateway's program; beside this one if not given")
	f.BoolVar(&o.Keep, "keep", false, "keep the directory with the logs of the instances")
	f.BoolVar(&quiet, "quiet", false, "do not tell what happens")
	f.StringVar(&path, "json", "-", "where the result goes; - is standard output")
	return cmd
}
