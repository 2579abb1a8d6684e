// Package launcher stands in for the store in the gateway's program, which does not contain the store. When a command
// or a settings file needs the store, the process executes (execve) a larger program that contains it, with the same
// process id and arguments. A gateway that does not use the store thus needs no memory for it.
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

// Launcher is an app.Extension whose methods execute the larger program. They return only if this fails.
type Launcher struct{ program string }

// New returns a launcher of the named program, which must be in the same directory as the running program.
func New(program string) Launcher { return Launcher{program} }

// HandleCompletion executes the larger program if args, the arguments of the command line, request shell completion or
// help on the store, because only that program has all commands. Otherwise it returns nil.
func (l Launcher) HandleCompletion(args []string) error {
	if isCompletion(args) || isStoreHelp(args) {
		return l.exec()
	}
	return nil
}

func isCompletion(args []string) bool {
	return len(args) > 0 && (args[0] == "completion" || strings.HasPrefix(args[0], "__complete"))
}

func isStoreHelp(args []string) bool {
	return len(args) > 1 && args[0] == "help" && args[1] == "store"
}

// exec replaces the running program by the larger program. It returns only if this fails.
func (l Launcher) exec() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the directory of %s: %w", l.program, err)
	}
	path := filepath.Join(filepath.Dir(self), l.program)
	args := append([]string{l.program}, os.Args[1:]...)
	err = syscall.Exec(path, args, os.Environ())
	return fmt.Errorf("the command or the settings file needs the program %s, which is built together with the gateway: %w", path, err)
}

// Commands implements app.Extension.
func (l Launcher) Commands(func(string) string) []*cobra.Command {
	return []*cobra.Command{{
		Use:                "store",
		Short:              "Create, operate and use the replicated store",
		DisableFlagParsing: true,
		RunE:               func(*cobra.Command, []string) error { return l.exec() },
	}}
}

// Check implements app.Extension.
func (l Launcher) Check(string) error { return l.exec() }

// Open implements app.Extension.
func (l Launcher) Open(string, func(string) string, zerolog.Logger) (app.Component, error) {
	return nil, l.exec()
}

// ExitCode implements app.Extension.
func (Launcher) ExitCode(error) int { return app.ExitFailed }
