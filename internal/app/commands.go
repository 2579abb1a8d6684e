// Package app is the gateway as a program: its parts put together, its command line, its signals and its end. What a
// larger build adds comes through Extension.
package app

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/balance"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	"cloverrock/internal/gateway"
)

// Exit codes.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRejected    = 3 // the store does not do it: not allowed, or changed meanwhile
	ExitUnavailable = 4 // no instance of the store answers
	ExitDamaged     = 5 // a file of the store is damaged
)

// UsageError is a mistake on the command line.
type UsageError struct{ error }

// Usage makes one.
func Usage(format string, a ...any) error { return UsageError{fmt.Errorf(format, a...)} }

// Extension is what a larger build adds to the gateway: commands, and the parts that a file of settings turns on.
type Extension interface {
	Commands(getenv func(string) string) []*cobra.Command
	Check(path string) error
	Open(path string, getenv func(string) string, log zerolog.Logger) (Component, error)
	ExitCode(error) int
}

// Component runs beside the gateway, which never waits for it.
type Component interface {
	OverlayConfig(*config.Config) *config.Config // puts what it holds over the configuration, before the start
	Attach(Gateway)                              // the gateway is there
	ReloadConfig() (*config.Config, error)       // reads the configuration again
	Close()
}

// Gateway is what a part may ask of a running gateway, from any goroutine.
type Gateway interface {
	// Reload goes over to a configuration and names the keys that need a restart.
	Reload(conf *config.Config, err error) (restart []string, ok bool)
	// Learned is what the gateway knows, and its list of hosts.
	Snapshot() (balance.Snapshot, discovery.EndpointList, bool)
	// Believe gives it what another has learned, and a list if that is younger than its own; nil: none.
	Restore(balance.Snapshot, *discovery.EndpointList)
	// Watch has f told how each attempt and probe ended, on the gateway's own goroutine: it may not wait.
	ObserveOutcomes(f func(host string, class int, o gateway.Outcome))
	// Follow has the gateway go by what a fleet agrees on.
	SetZoneShares(balance.ZoneShares)
}

// Main carries out a command and returns the exit code.
func Main(args []string, getenv func(string) string, out, diag io.Writer, ext Extension) int {
	root := commands(getenv, ext)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(diag)
	cmd, err := root.ExecuteC()
	if err == nil {
		return 0
	}
	fmt.Fprintf(diag, "%s: %v\n", cmd.CommandPath(), err)
	var usage UsageError
	if errors.As(err, &usage) {
		fmt.Fprint(diag, cmd.UsageString())
		return ExitUsage
	}
	return ext.ExitCode(err)
}

// commands is the whole command line.
func commands(getenv func(string) string, ext Extension) *cobra.Command {
	var level, path string
	serve := func(cmd *cobra.Command, _ []string) error {
		return serveGateway(cmd, getenv, level, path, ext)
	}
	root := &cobra.Command{Use: "cloverrock", Short: "A gateway between clients and groups of database hosts", SilenceErrors: true, SilenceUsage: true,
		Long: `cloverrock stands between clients and groups of database hosts. Without a command it serves.

The configuration is the JSON file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override it.
SIGHUP has serve read the file again and follow its discovery; SIGTERM and SIGINT end it in order.`,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return Usage("no command %q", args[0])
			}
			return nil
		}, RunE: serve}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	flags := func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&level, "log", "info", "least level of log lines: debug, info, warn or error")
		cmd.Flags().StringVar(&path, "settings", getenv("CLOVERROCK_SETTINGS"), "operators' file that turns on further parts (CLOVERROCK_SETTINGS)")
	}
	flags(root)
	server := &cobra.Command{Use: "serve", Short: "Run the gateway in the foreground (the default)", Args: NoArgs, RunE: serve}
	flags(server)
	check := &cobra.Command{Use: "check", Short: "Read and check the configuration, and say what is wrong with it", Args: NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			conf, err := config.Load(getenv)
			if err != nil {
				return err
			}
			if path != "" {
				if err := ext.Check(path); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "configuration of %s is good: listen %s, discovery %s, %d classes\n", conf.Name, conf.Listen, conf.Discovery, len(conf.Classes))
			return nil
		}}
	check.Flags().StringVar(&path, "settings", getenv("CLOVERROCK_SETTINGS"), "operators' file to check as well")
	root.AddCommand(server, check, &cobra.Command{Use: "version", Short: "Print the version", Args: NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "cloverrock", Version()) }})
	root.AddCommand(ext.Commands(getenv)...)
	return root
}

// NoArgs is for commands that take none.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Usage("takes no arguments")
	}
	return nil
}

// Logger writes log lines as JSON.
func Logger(out io.Writer, level, name string) (zerolog.Logger, error) {
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, Usage("--log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(least).With().Timestamp().Str("gateway", name).Logger(), nil
}

func serveGateway(cmd *cobra.Command, getenv func(string) string, level, path string, ext Extension) error {
	conf, err := config.Load(getenv)
	if err != nil {
		return err
	}
	log, err := Logger(cmd.ErrOrStderr(), level, conf.Name)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8) // room, so that a SIGTERM behind some SIGHUPs is not dropped
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	var part Component
	if path != "" {
		if part, err = ext.Open(path, getenv, log); err != nil {
			return err
		}
		defer part.Close()
		conf = part.OverlayConfig(conf)
	}
	s, err := newServer(conf, patience{silence, resting, listing}, part != nil, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return err
	}
	reread := func() (*config.Config, error) { return config.Reload(getenv) }
	if part != nil {
		part.Attach(s)
		reread = part.ReloadConfig
	}
	go s.signals(signals, reread)
	log.Info().Str("version", Version()).Str("listen", s.loop.Address()).Msg("serving")
	s.loop.Run()
	log.Info().Msg("ended")
	return nil
}

// Version is the module's, as the build has noted it.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
