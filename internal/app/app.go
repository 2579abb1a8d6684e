// Package app assembles the gateway's parts into a program: command line, start, signals, reload and graceful shutdown.
// A running gateway does all its work on the goroutine of one event loop. A larger build adds commands and an optional
// component by an Extension.
package app

import (
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/balance"
	"cloverrock/internal/asynclog"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	"cloverrock/internal/gateway"
)

// Exit codes.
const (
	ExitFailed      = 1 // any failure without a code of its own
	ExitUsage       = 2 // a mistake on the command line
	ExitRejected    = 3 // the store rejected the command: not allowed, or a condition did not hold
	ExitUnavailable = 4 // no instance of the store answered
	ExitDamaged     = 5 // a file of the store is damaged
)

// UsageError reports a mistake on the command line.
type UsageError struct{ error }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.error }

// Usage returns a UsageError, with the format of fmt.Errorf.
func Usage(format string, a ...any) error { return UsageError{fmt.Errorf(format, a...)} }

// Extension is what a larger build adds to the gateway: commands, and the component that a settings file enables.
type Extension interface {
	// Commands returns the commands to add to the root command.
	Commands(getenv func(string) string) []*cobra.Command
	// Check checks the settings file at a path.
	Check(path string) error
	// Open starts the component that the settings file at a path describes.
	Open(path string, getenv func(string) string, log zerolog.Logger) (Component, error)
	// ExitCode returns the exit code for a command's error.
	ExitCode(error) int
}

// Component is an optional part of the program that runs in the gateway's process. Requests never wait for it.
type Component interface {
	// OverlayConfig returns the configuration with the overrides that the component has stored. It is called before the
	// gateway starts.
	OverlayConfig(*config.Config) *config.Config
	// Attach passes the started gateway to the component.
	Attach(Gateway)
	// ReloadConfig reads the configuration again, with the overrides that the component has stored.
	ReloadConfig() (*config.Config, error)
	// Close stops the component. It is called after the gateway has ended, or has failed to start.
	Close()
}

// Gateway is the interface of a running gateway to a component. Its methods may be called from any goroutine, but Reload
// and Snapshot wait for the event loop and must not be called on its goroutine.
type Gateway interface {
	// Reload applies a configuration and returns the keys that need a restart. err is the error of reading the
	// configuration: if it is not nil, it is logged and nothing changes. ok is false if the gateway has ended.
	Reload(conf *config.Config, err error) (restart []string, ok bool)
	// Snapshot returns the router's state and the endpoint list; false if the gateway has ended.
	Snapshot() (balance.Snapshot, discovery.EndpointList, bool)
	// Restore loads the state of another router. It also loads endpoints if that list is newer than the gateway's; nil
	// means that there is no list. Restore returns before this is done.
	Restore(balance.Snapshot, *discovery.EndpointList)
	// ObserveOutcomes registers f to be called with the outcome of each attempt and health check, on the event loop's
	// goroutine: f must not block.
	ObserveOutcomes(f func(host string, class int, o gateway.Outcome))
	// SetZoneShares sets the zone shares that the fleet has agreed on.
	SetZoneShares(balance.ZoneShares)
}

// logFlushTimeout limits how long the end of the program waits until the last log lines are written.
const logFlushTimeout = 30 * time.Millisecond

// Logger returns a logger that writes lines of a level and above as JSON, each with the gateway's name. Logging never
// blocks, even if the reader of the log does not keep up. flush must be called after the last line; it takes at most
// logFlushTimeout. An unknown level is a UsageError.
func Logger(out io.Writer, level, name string) (log zerolog.Logger, flush func(), err error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, nil, Usage("--log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	writer := asynclog.New(out, name)
	flush = func() { writer.Close(logFlushTimeout) }
	return zerolog.New(writer).Level(minLevel).With().Timestamp().Str("gateway", name).Logger(), flush, nil
}

// Version returns the module's version as recorded by the build, or "unknown".
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
