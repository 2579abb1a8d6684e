package main

import (
	"github.com/spf13/cobra"

	"cloverrock/internal/lab/linkage"
)

func linkedCommand() *cobra.Command {
	return &cobra.Command{
		Use: "linked PROGRAM", Short: "Check that a program is linked dynamically against the C library",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return linkage.Check(args[0]) },
	}
}
