// Command cloverrock-lab rehearses failures of the store and the gateway on this machine, on loopback addresses only.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
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
