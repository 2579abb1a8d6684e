package main

import (
	"os"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/logstats"
)

func logStatsCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "log-stats DIR", Aliases: []string{"fleet"},
		Short: "Add up the counts that gateways logged at debug level, by second",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			table, err := logstats.Read(os.DirFS(args[0]))
			if err != nil {
				return err
			}
			if asJSON {
				return writeReport("-", cmd.OutOrStdout(), table)
			}
			return table.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "write JSON, which also lists the hosts of each second")
	return cmd
}
