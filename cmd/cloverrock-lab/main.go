// Command cloverrock-lab simulates the gateway and the store, and tests their real processes under faults, using only the
// loopback addresses of this machine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/lab/chaos"
)

// Exit codes.
const (
	exitFaultFound = 1 // the experiment ran and found a fault
	exitFailed     = 2 // the experiment could not be run
)

// errFaultFound is returned by an experiment that ran to its end and found a violated invariant.
var errFaultFound = errors.New("the experiment found a fault")

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cloverrock-lab:", err)
	if errors.Is(err, errFaultFound) {
		os.Exit(exitFaultFound)
	}
	os.Exit(exitFailed)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cloverrock-lab", Short: "Run simulations and tests with real processes on this machine",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(
		storeSimCommand(), storeChaosCommand(), storeCostCommand(), restartCommand(),
		modelCommand(), processesCommand(), soakCommand(), logStatsCommand(), linkedCommand(),
	)
	return root
}

// writeReport writes a result as one line of JSON to a file, or to out if the path is "-".
func writeReport(path string, out io.Writer, result any) error {
	text, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = out.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// addReportFlag adds the flag for the file that receives the result.
func addReportFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "json", "-", "file for the result, as JSON; - is standard output")
}

// addProgramFlag adds the flag for the path of the gateway's program.
func addProgramFlag(cmd *cobra.Command, program *string) {
	cmd.Flags().StringVar(program, "program", "", "path of the gateway's program (default: the one in the directory of this program)")
}

// logToStderr writes one line of an experiment's log to standard error.
func logToStderr(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// processContext returns the context of a run with real processes, as signalContext does. If *program is empty, it first
// sets *program to the path of the gateway's program in the directory of the running program.
func processContext(bound time.Duration, program *string) (context.Context, context.CancelFunc, error) {
	if *program == "" {
		var err error
		if *program, err = chaos.FindProgram(); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := signalContext(bound)
	return ctx, cancel, nil
}

// signalContext returns a context that is canceled after the bound or at SIGINT or SIGTERM.
func signalContext(bound time.Duration) (context.Context, context.CancelFunc) {
	signals, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, stopTimer := context.WithTimeout(signals, bound)
	return ctx, func() {
		stopTimer()
		stopSignals()
	}
}
