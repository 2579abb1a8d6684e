package storecmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/node"
)

// serveFlags are the flags of the command "serve".
type serveFlags struct {
	settings string
	logLevel string
	token    string
	noSync   bool
}

// serveCommand returns the command that runs an instance without a gateway, for example as the third member beside two
// gateways.
func (o *options) serveCommand() *cobra.Command {
	flags := &serveFlags{}
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an instance of the store without a gateway",
		Args:  app.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.serve(cmd) },
	}
	cmd.Flags().StringVar(&flags.settings, "settings", "", "the instance's settings")
	cmd.Flags().StringVar(&flags.logLevel, "log", "info", "minimum level of log lines")
	cmd.Flags().StringVar(&flags.token, "token", "", "join token, for a new instance with an empty directory")
	cmd.Flags().BoolVar(&flags.noSync, "rehearse-lost-syncs", false, "do not sync the log; only for fault-injection tests")
	_ = cmd.Flags().MarkHidden("rehearse-lost-syncs") // fails only for an undefined flag
	return cmd
}

// serve runs the instance until a signal or a failure ends it.
func (f *serveFlags) serve(cmd *cobra.Command) error {
	set, err := loadStore(f.settings)
	if err != nil {
		return err
	}
	log, flush, err := app.Logger(cmd.ErrOrStderr(), f.logLevel, set.Name)
	if err != nil {
		return err
	}
	defer flush()
	conf, err := set.NodeConfig()
	if err != nil {
		return err
	}
	conf.Log = log
	conf.NoSync = f.noSync
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	join := node.JoinOptions{Addresses: set.Join, Token: f.token, Config: set.NodeConfig}
	n, err := node.OpenOrJoin(cmd.Context(), conf, join)
	if err != nil {
		log.Error().Err(err).Msg("store: start failed")
		return err
	}
	log.Info().Str("version", app.Version()).Str("listen", n.Address()).Msg("store: serving")
	select {
	case <-signals:
		return n.Close()
	case <-n.Ended():
		return n.Err()
	}
}

func (o *options) joinCommand() *cobra.Command {
	var path, token string
	cmd := &cobra.Command{
		Use:   "join --settings FILE [--token TOKEN]",
		Short: "Join the store with an empty data directory, as a learner",
		Args:  app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			join := node.JoinOptions{Addresses: set.Join, Token: token, Config: set.NodeConfig}
			id, err := node.Join(cmd.Context(), join)
			if err != nil {
				return err
			}
			key := core.MemberKey(id)
			return o.show(cmd.OutOrStdout(), map[string]string{"id": key}, func(p *printer) {
				p.printf("%s joins with the id %s; once started, it becomes a voter when it has caught up\n", set.Name, key)
			})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "the instance's settings; its key join lists the members to call")
	cmd.Flags().StringVar(&token, "token", "", "join token; required if no member has the instance's name yet")
	return cmd
}
