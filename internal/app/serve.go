package app

import (
	"github.com/spf13/cobra"

	"cloverrock/internal/config"
)

// serve runs the gateway until its graceful shutdown has ended. If a settings file is given, it also runs the component
// that the file enables.
func (c *commandLine) serve(cmd *cobra.Command, _ []string) error {
	signals := notifySignals()
	conf, err := config.Load(c.getenv)
	if err != nil {
		return err
	}
	log, flush, err := Logger(cmd.ErrOrStderr(), c.logLevel, conf.Name)
	if err != nil {
		return err
	}
	defer flush()
	var component Component
	if c.settingsPath != "" {
		component, err = c.ext.Open(c.settingsPath, c.getenv, log)
		if err != nil {
			return err
		}
		conf = component.OverlayConfig(conf)
	}
	t := timeouts{message: messageTimeout, idle: idleTimeout, firstList: firstListTimeout}
	s, err := newServer(conf, t, component != nil, log)
	if err != nil {
		log.Error().Err(err).Msg("app: start failed")
		if component != nil {
			component.Close()
		}
		return err
	}
	readConfig := func() (*config.Config, error) { return config.Reload(c.getenv) }
	if component != nil {
		component.Attach(s)
		readConfig = component.ReloadConfig
	}
	go s.drainOnSignal(signals.terminate)
	go s.reloadOnSignal(signals.reload, readConfig)
	log.Info().Str("version", Version()).Str("listen", s.loop.Address()).Msg("app: serving")
	s.loop.Run()
	if component != nil && !s.closeInTime(component) {
		log.Warn().Msg("app: component still closing, ended without it")
	}
	log.Info().Msg("app: ended")
	return nil
}
