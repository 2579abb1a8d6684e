// Package daemon is what runs beside a gateway in the same process: the store, what is kept in it for a restart, and
// the gateway's part in a fleet. The gateway starts, serves and ends without waiting for any of it.
package daemon

import (
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/config"
	"cloverrock/internal/fleet"
	"cloverrock/internal/settings"
	"cloverrock/internal/storecmd"
)

// Extension adds the store to the gateway's program.
type Extension struct{}

// Commands implements app.Extension.
func (Extension) Commands(getenv func(string) string) []*cobra.Command {
	return []*cobra.Command{storecmd.Command(getenv)}
}

// Check implements app.Extension.
func (Extension) Check(path string) error {
	_, err := settings.Load(path)
	return err
}

// ExitCode implements app.Extension.
func (Extension) ExitCode(err error) int { return storecmd.ExitCode(err) }

// Open implements app.Extension: it starts what the settings file turns on.
func (Extension) Open(path string, getenv func(string) string, log zerolog.Logger) (app.Component, error) {
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	var component app.Component = idle{getenv}
	if set.Store != nil {
		component = start(set, getenv, log)
	}
	if set.Fleet != nil {
		reload := func() (*settings.Settings, error) { return settings.Load(path) }
		component = fleet.Wrap(component, set.Fleet, reload, log)
	}
	return component, nil
}

// idle is the component of a file that turns nothing on.
type idle struct{ getenv func(string) string }

// OverlayConfig implements app.Component.
func (idle) OverlayConfig(conf *config.Config) *config.Config { return conf }

// Attach implements app.Component.
func (idle) Attach(app.Gateway) {}

// ReloadConfig implements app.Component.
func (i idle) ReloadConfig() (*config.Config, error) { return config.Reload(i.getenv) }

// Close implements app.Component.
func (idle) Close() {}
