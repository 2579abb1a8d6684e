// Package daemon runs the optional components beside a gateway in the same process: an instance of the replicated store,
// the routing state that is stored there for a warm start, and the gateway's membership in a fleet. The start of the
// gateway waits for the store only briefly (Store.StartWait), and requests never wait for it.
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

// Extension adds the store and the fleet to the gateway's program. It implements app.Extension.
type Extension struct{}

// Commands implements app.Extension.
func (Extension) Commands(getenv func(string) string) []*cobra.Command {
	return []*cobra.Command{storecmd.Command(getenv)}
}

// Check implements app.Extension: it validates the settings file.
func (Extension) Check(path string) error {
	_, err := settings.Load(path)
	return err
}

// ExitCode implements app.Extension.
func (Extension) ExitCode(err error) int { return storecmd.ExitCode(err) }

// Open implements app.Extension: it starts the components that the settings file configures.
func (Extension) Open(path string, getenv func(string) string, log zerolog.Logger) (app.Component, error) {
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	var component app.Component = noStore{getenv}
	if set.Store != nil {
		component = start(set, getenv, log)
	}
	if set.Fleet != nil {
		reload := func() (*settings.Settings, error) { return settings.Load(path) }
		component = fleet.Wrap(component, set.Fleet, reload, log)
	}
	return component, nil
}

// noStore is the component for a settings file without a store.
type noStore struct{ getenv func(string) string }

// OverlayConfig implements app.Component.
func (noStore) OverlayConfig(conf *config.Config) *config.Config { return conf }

// Attach implements app.Component.
func (noStore) Attach(app.Gateway) {}

// ReloadConfig implements app.Component.
func (i noStore) ReloadConfig() (*config.Config, error) { return config.Reload(i.getenv) }

// Close implements app.Component.
func (noStore) Close() {}
