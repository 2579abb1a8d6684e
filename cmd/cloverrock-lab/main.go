// Command cloverrock-lab rehearses failures of the store and the gateway on this machine, on loopback addresses only.
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

// errFound says that an experiment ran and found what must not be.
var errFound = errors.New("the experiment found a fault")

func main() {
	root := &cobra.Command{Use: "cloverrock-lab", Short: "Rehearse failures on this machine", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(storeSim(), storeChaos(), restartGateway(), besideGateway(), linked(), fleetTable(), manyGateways(), tierCmd())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cloverrock-lab:", err)
		if errors.Is(err, errFound) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// report writes a result as one JSON object to a file, or to standard output for "-".
func report(path string, out io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	b = append(b, '\n')
	if path == "-" {
		_, err = out.Write(b)
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// rehearsal is the context of a run with real processes, bounded in time, and the program that they run: the one beside
// this, if none was named.
func rehearsal(bound time.Duration, program *string) (context.Context, context.CancelFunc, error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := context.WithTimeout(ctx, bound)
	end := func() { stop(); cancel() }
	if *program != "" {
		return ctx, end, nil
	}
	var err error
	if *program, err = chaos.Beside(); err != nil {
		end()
		return nil, nil, err
	}
	return ctx, end, nil
}
