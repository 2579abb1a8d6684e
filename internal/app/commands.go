package app

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cloverrock/internal/config"
)

// settingsVariable is the environment variable with the path of the settings file; --settings overrides it.
const settingsVariable = "CLOVERROCK_SETTINGS"

const longHelp = `cloverrock is a gateway between PostgreSQL clients and groups of database hosts.
Without a command it runs serve.

The configuration is the JSON file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override it.
On SIGHUP, serve reads the file again and follows the endpoint list at the discovery address stated there. On SIGTERM and
SIGINT, it shuts down gracefully.`

// Main runs a command and returns the exit code. args are the arguments after the program's name.
func Main(args []string, getenv func(string) string, out, diagnostics io.Writer, ext Extension) int {
	line := &commandLine{getenv: getenv, ext: ext}
	root := line.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(diagnostics)
	cmd, err := root.ExecuteC()
	if err == nil {
		return 0
	}
	// An error of the write is ignored: there is no other place to report it.
	_, _ = fmt.Fprintf(diagnostics, "%s: %v\n", cmd.CommandPath(), err)
	if _, ok := errors.AsType[UsageError](err); ok {
		_, _ = io.WriteString(diagnostics, cmd.UsageString())
		return ExitUsage
	}
	return ext.ExitCode(err)
}

// commandLine holds what the commands share: the environment, the extension and the values of flags.
type commandLine struct {
	getenv       func(string) string
	ext          Extension
	logLevel     string
	settingsPath string
}

func (c *commandLine) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "cloverrock",
		Short:         "A gateway between clients and groups of database hosts",
		Long:          longHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return Usage("unknown command %q", args[0])
			}
			return nil
		},
		RunE: c.serve,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	c.addServeFlags(root)
	root.AddCommand(c.serveCommand(), c.checkCommand(), versionCommand())
	root.AddCommand(c.ext.Commands(c.getenv)...)
	return root
}

func (c *commandLine) addServeFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.logLevel, "log", "info", "minimum level of log lines: trace, debug, info, warn or error")
	c.addSettingsFlag(cmd, "settings file that enables optional components (CLOVERROCK_SETTINGS)")
}

func (c *commandLine) addSettingsFlag(cmd *cobra.Command, usage string) {
	cmd.Flags().StringVar(&c.settingsPath, "settings", c.getenv(settingsVariable), usage)
}

func (c *commandLine) serveCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the gateway in the foreground (the default)",
		Args:  NoArgs,
		RunE:  c.serve,
	}
	c.addServeFlags(cmd)
	return cmd
}

func (c *commandLine) checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and report what is wrong with it",
		Args:  NoArgs,
		RunE:  c.check,
	}
	c.addSettingsFlag(cmd, "settings file to check as well")
	return cmd
}

func (c *commandLine) check(cmd *cobra.Command, _ []string) error {
	conf, err := config.Load(c.getenv)
	if err != nil {
		return err
	}
	if c.settingsPath != "" {
		if err := c.ext.Check(c.settingsPath); err != nil {
			return err
		}
	}
	// An error of the write is ignored: the exit code states the result as well.
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "configuration of %s is valid: listen %s, discovery %s, %d classes\n",
		conf.Name, conf.Listen, conf.Discovery, len(conf.Classes))
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			// An error of the write is ignored: there is no other place to report it.
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "cloverrock", Version())
		},
	}
}

// NoArgs is the Args function of commands without arguments.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Usage("takes no arguments")
	}
	return nil
}
