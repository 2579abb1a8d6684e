// Package app is the gateway as a program: its parts put together, its command line, its signals and its graceful
// shutdown. A larger build adds to it through Extension.
package app

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/balance"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	"cloverrock/internal/gateway"
)

// Exit codes.
const (
	ExitFailed      = 1 // any failure without a code of its own
	ExitUsage       = 2 // a mistake on the command line
	ExitRejected    = 3 // the store rejects the command: not allowed, or changed meanwhile
	ExitUnavailable = 4 // no instance of the store answers
	ExitDamaged     = 5 // a file of the store is damaged
)

// UsageError reports a mistake on the command line.
type UsageError struct{ error }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.error }

// Usage returns a UsageError, with the format of fmt.Errorf.
func Usage(format string, a ...any) error { return UsageError{fmt.Errorf(format, a...)} }

// Extension is what a larger build adds to the gateway: commands, and the components that a settings file turns on.
type Extension interface {
	Commands(getenv func(string) string) []*cobra.Command
	// Check checks the settings file at a path.
	Check(path string) error
	// Open starts the component that the settings file at a path asks for.
	Open(path string, getenv func(string) string, log zerolog.Logger) (Component, error)
	// ExitCode returns the exit code for a command's error.
	ExitCode(error) int
}

// Component runs beside the gateway, which never waits for it.
type Component interface {
	// OverlayConfig puts what the component has stored over the configuration, before the start.
	OverlayConfig(*config.Config) *config.Config
	// Attach gives the component the gateway, once that has started.
	Attach(Gateway)
	// ReloadConfig reads the configuration again, with what the component has stored over it.
	ReloadConfig() (*config.Config, error)
	Close()
}

// Gateway is what a component may ask of a running gateway, from any goroutine.
type Gateway interface {
	// Reload applies a configuration and returns the keys that need a restart. err is that of reading the configuration;
	// if it is not nil nothing changes. ok is false if the gateway has ended.
	Reload(conf *config.Config, err error) (restart []string, ok bool)
	// Snapshot returns the router's state and the endpoint list; false if the gateway has ended.
	Snapshot() (balance.Snapshot, discovery.EndpointList, bool)
	// Restore gives the router the state of another, and an endpoint list, which is used if it is younger than the
	// gateway's; nil: none.
	Restore(balance.Snapshot, *discovery.EndpointList)
	// ObserveOutcomes has f called with the outcome of each attempt and health check, on the gateway's goroutine: f must
	// not block.
	ObserveOutcomes(f func(host string, class int, o gateway.Outcome))
	// SetZoneShares has the router use the shares of zones that a fleet has agreed on.
	SetZoneShares(balance.ZoneShares)
}

// Logger returns a logger that writes lines of a level and above as JSON. An unknown level is a UsageError.
func Logger(out io.Writer, level, name string) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, Usage("--log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(minLevel).With().Timestamp().Str("gateway", name).Logger(), nil
}

// Version returns the module's version as the build has recorded it.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
