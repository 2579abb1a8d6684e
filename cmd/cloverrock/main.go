// Command cloverrock is a gateway between clients and groups of database hosts.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"cloverrock/internal/config"
)

const usage = `usage: cloverrock [command]

  serve     run the gateway in the foreground (the default)
  check     read and check the configuration, and say what is wrong with it
  version   print the version

The configuration is the JSON file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override it.
SIGHUP has serve read the file again and follow its discovery; SIGTERM and SIGINT end it in order.
`

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// run carries out a command and returns the exit code.
func run(args []string, getenv func(string) string, out, diag io.Writer) int {
	command := "serve"
	if len(args) > 0 {
		command, args = args[0], args[1:]
	}
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.SetOutput(diag)
	flags.Usage = func() { fmt.Fprint(diag, usage) }
	level := "info"
	if command == "serve" {
		flags.StringVar(&level, "log", level, "least `level` of log lines: debug, info, warn or error")
	}
	switch command {
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return 0
	case "serve", "check", "version":
	default:
		fmt.Fprintf(diag, "cloverrock: no command %q\n%s", command, usage)
		return 2
	}
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(diag, "cloverrock %s: takes no arguments\n", command)
		return 2
	}
	if command == "version" {
		fmt.Fprintln(out, "cloverrock", version())
		return 0
	}
	conf, err := config.Load(getenv)
	if err != nil {
		fmt.Fprintln(diag, "cloverrock:", err)
		return 1
	}
	if command == "check" {
		fmt.Fprintf(out, "configuration of %s is good: listen %s, discovery %s, %d classes\n", conf.Name, conf.Listen, conf.Discovery, len(conf.Classes))
		return 0
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		fmt.Fprintln(diag, "cloverrock serve: -log:", err)
		return 2
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(diag).Level(least).With().Timestamp().Str("gateway", conf.Name).Logger()
	signals := make(chan os.Signal, 8) // room, so that a SIGTERM behind some SIGHUPs is not dropped
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := newServer(conf, patience{silence, resting}, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return 1
	}
	go s.signals(signals, getenv)
	log.Info().Str("version", version()).Str("listen", s.loop.Address()).Msg("serving")
	s.loop.Run()
	log.Info().Msg("ended")
	return 0
}

// version is the module's, as the build has noted it.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
