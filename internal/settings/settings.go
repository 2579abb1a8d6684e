// Package settings reads the settings file of the operators, which configures the optional components of the gateway. It
// also validates JSON documents against the schemas of package deploy.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cloverrock/deploy"
	"cloverrock/internal/store/node"
	"cloverrock/internal/store/pki"
)

// Defaults.
const (
	defaultStartWait       = 300 * time.Millisecond
	defaultZonesAtOnce     = 1
	defaultZoneDelayMS     = 800
	defaultZoneAwayMS      = 5000
	defaultWriteIntervalMS = 500
	defaultMaxAgeMS        = 60000
)

// Settings is the content of a settings file. A component is off if its field is nil.
type Settings struct {
	Fleet     *Fleet     `json:"fleet,omitempty"`
	Store     *Store     `json:"store,omitempty"`
	WarmStart *WarmStart `json:"learned,omitempty"`
}

// Store configures an instance of the store. Load makes its paths relative to the settings file.
type Store struct {
	Name            string            `json:"name"`
	Data            string            `json:"data"`   // directory
	Listen          string            `json:"listen"` // HOST:PORT
	Advertise       string            `json:"advertise,omitempty"`
	Certificate     string            `json:"certificate"` // file, like the next two
	Key             string            `json:"key"`
	Authority       string            `json:"authority"`
	Join            []string          `json:"join,omitempty"`   // HOST:PORT of members through which an instance without data joins
	Routes          map[string]string `json:"routes,omitempty"` // by name: the HOST:PORT to dial instead of the member's address
	TickMS          int               `json:"tick_ms,omitempty"`
	ElectionTicks   int               `json:"election_ticks,omitempty"`
	SnapshotEntries uint64            `json:"snapshot_entries,omitempty"`          // entries between snapshots
	SnapshotRate    int               `json:"snapshot_bytes_per_second,omitempty"` // bytes per second for sending snapshots to other instances
	StartWaitMS     *int              `json:"start_wait_ms,omitempty"`             // see StartWait; nil: the default
}

// WarmStart configures how routing state is kept in the store so that a restarted gateway can use it.
type WarmStart struct {
	WriteIntervalMS int64 `json:"write_ms,omitempty"`   // minimum time between two writes
	MaxAgeMS        int64 `json:"believe_ms,omitempty"` // maximum age of a stored record that may have become wrong
}

// Fleet configures how gateways coordinate their decisions.
type Fleet struct {
	Listen string   `json:"listen"` // HOST:PORT
	Join   []string `json:"join,omitempty"`
	Relay  string   `json:"relay,omitempty"`
	Zones  *Zones   `json:"zones,omitempty"`
}

// Zones configures how failing zones are evacuated and returned to service.
type Zones struct {
	Regions map[string]string `json:"regions,omitempty"` // by zone; all zones of a region are evacuated together
	AtOnce  int               `json:"at_once,omitempty"` // maximum number of zones evacuated at a time
	DelayMS int               `json:"delay_ms,omitempty"`
	StepMS  int               `json:"step_ms,omitempty"` // minimum duration of one step of the return; 0: derived from the slow start of hosts
	AwayMS  int               `json:"away_ms,omitempty"` // minimum duration of an evacuation
	Pin     map[string]string `json:"pin,omitempty"`     // by zone or region: "kept" or "left", regardless of observations
	Without []string          `json:"without,omitempty"` // safeguards that are switched off; only for fault-injection tests
}

// Error is an error in a settings file.
type Error struct {
	File string
	Key  string // path of the invalid key, separated by dots; empty: unknown
	Err  error
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings: %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("settings: %s: %s: %v", e.File, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and validates a settings file, and fills in defaults. For an invalid file the error is an *Error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if key, err := Validate(deploy.Settings, text); err != nil {
		return nil, &Error{path, key, err}
	}
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, &Error{path, "", err}
	}
	if s.Store != nil {
		s.Store.resolvePaths(filepath.Dir(path))
	}
	if s.Fleet != nil && s.Fleet.Zones != nil {
		s.Fleet.Zones.setDefaults()
	}
	if s.WarmStart != nil {
		s.WarmStart.setDefaults()
	}
	return s, nil
}

func (s *Store) resolvePaths(dir string) {
	for _, path := range []*string{&s.Data, &s.Certificate, &s.Key, &s.Authority} {
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

func (z *Zones) setDefaults() {
	z.AtOnce = cmp.Or(z.AtOnce, defaultZonesAtOnce)
	z.DelayMS = cmp.Or(z.DelayMS, defaultZoneDelayMS)
	z.AwayMS = cmp.Or(z.AwayMS, defaultZoneAwayMS)
}

func (w *WarmStart) setDefaults() {
	w.WriteIntervalMS = cmp.Or(w.WriteIntervalMS, defaultWriteIntervalMS)
	w.MaxAgeMS = cmp.Or(w.MaxAgeMS, defaultMaxAgeMS)
}

// NodeConfig returns the configuration of the instance's node. Each call reads the certificate files.
func (s *Store) NodeConfig() (node.Config, error) {
	tls, err := pki.LoadTLS(pki.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority})
	if err != nil {
		return node.Config{}, err
	}
	return node.Config{
		Name:            s.Name,
		Data:            s.Data,
		Listen:          s.Listen,
		Advertise:       s.Advertise,
		TLS:             tls,
		Routes:          s.Routes,
		Tick:            time.Duration(s.TickMS) * time.Millisecond,
		ElectionTicks:   s.ElectionTicks,
		SnapshotEntries: s.SnapshotEntries,
		SnapshotRate:    s.SnapshotRate,
		Validate:        ValidateDocument,
	}, nil
}

// Address returns the HOST:PORT at which other instances reach this one.
func (s *Store) Address() string { return cmp.Or(s.Advertise, s.Listen) }

// StartWait returns how long the start of a gateway may wait until the store instance is open.
func (s *Store) StartWait() time.Duration {
	if s.StartWaitMS == nil {
		return defaultStartWait
	}
	return time.Duration(*s.StartWaitMS) * time.Millisecond
}
