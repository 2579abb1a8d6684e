// Package handover stands for the parts that the lean gateway does not hold: where one is asked for, the process
// becomes the larger program beside it, under the same id and with the same words. So the store costs nothing where it
// is off: with it in the one program, an idle gateway took 4.9 MB more.
package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/internal/app"
)

// Program is the name of the larger one.
type Program struct{ name string }

// To hands over to a program in the directory of this one.
func To(name string) Program { return Program{name} }

// Completes hands over where a shell asks for completions: only the larger program knows all commands.
func (p Program) Completes(args []string) error {
	if len(args) > 0 && (args[0] == "completion" || strings.HasPrefix(args[0], "__complete")) || len(args) > 1 && args[0] == "help" && args[1] == "store" {
		return p.become()
	}
	return nil
}

// become replaces the process. It returns only if it cannot.
func (p Program) become() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find %s: %w", p.name, err)
	}
	path := filepath.Join(filepath.Dir(self), p.name)
	err = syscall.Exec(path, append([]string{p.name}, os.Args[1:]...), os.Environ())
	return fmt.Errorf("this needs %s, which is built with the gateway: %w", path, err)
}

// Commands implements app.Extension.
func (p Program) Commands(func(string) string) []*cobra.Command {
	return []*cobra.Command{{Use: "store", Short: "Found, look after and use the replicated store", DisableFlagParsing: true,
		RunE: func(*cobra.Command, []string) error { return p.become() }}}
}

// Check implements app.Extension.
func (p Program) Check(string) error { return p.become() }

// Open implements app.Extension.
func (p Program) Open(string, func(string) string, zerolog.Logger) (app.Component, error) {
	return nil, p.become()
}

// ExitCode implements app.Extension.
func (Program) ExitCode(error) int { return app.ExitFailed }
