// Package settings reads the operators' settings file, which turns on the parts that the platform's configuration does
// not know, and validates JSON against the schemas in deploy.
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

// Settings are the parts that are on.
type Settings struct {
	Fleet     *Fleet     `json:"fleet,omitempty"`
	Store     *Store     `json:"store,omitempty"`
	WarmStart *WarmStart `json:"learned,omitempty"`
}

// Store is an instance's part in the store. Relative paths are relative to the settings file.
type Store struct {
	Name            string            `json:"name"`
	Data            string            `json:"data"`   // directory
	Listen          string            `json:"listen"` // HOST:PORT
	Advertise       string            `json:"advertise,omitempty"`
	Certificate     string            `json:"certificate"` // file, as the next two
	Key             string            `json:"key"`
	Authority       string            `json:"authority"`
	Join            []string          `json:"join,omitempty"`   // members to ask by an instance without data
	Routes          map[string]string `json:"routes,omitempty"` // by name: where to dial a member instead of its address
	TickMS          int               `json:"tick_ms,omitempty"`
	ElectionTicks   int               `json:"election_ticks,omitempty"`
	SnapshotEntries uint64            `json:"snapshot_entries,omitempty"`          // entries between snapshots
	SnapshotRate    int               `json:"snapshot_bytes_per_second,omitempty"` // when sent to others
	StartWaitMS     *int              `json:"start_wait_ms,omitempty"`
}

// WarmStart is how routing state is kept in the store for a restart.
type WarmStart struct {
	WriteIntervalMS int64 `json:"write_ms,omitempty"`   // at least, between two writes
	MaxAgeMS        int64 `json:"believe_ms,omitempty"` // of what may change, to be relied on
}

// Fleet is how gateways decide together.
type Fleet struct {
	Listen string   `json:"listen"` // HOST:PORT
	Join   []string `json:"join,omitempty"`
	Relay  string   `json:"relay,omitempty"`
	Zones  *Zones   `json:"zones,omitempty"`
}

// Zones is how zones that fail are evacuated and returned to.
type Zones struct {
	Regions map[string]string `json:"regions,omitempty"` // by zone; a region is evacuated as a whole
	AtOnce  int               `json:"at_once,omitempty"` // zones that may be evacuated at a time
	DelayMS int               `json:"delay_ms,omitempty"`
	StepMS  int               `json:"step_ms,omitempty"` // least time of a step of the return; 0: as a host warms up
	AwayMS  int               `json:"away_ms,omitempty"` // least time of an evacuation
	Pin     map[string]string `json:"pin,omitempty"`     // by zone or region: "kept" or "left" whatever is observed
	Without []string          `json:"without,omitempty"` // for rehearsals only: safeguards that are off
}

// Error names the file and the key that is wrong.
type Error struct {
	File, Key string
	Err       error
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings: %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("settings: %s: %s: %v", e.File, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and validates a file, and fills in defaults. What is wrong in it gives an *Error.
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

// NodeConfig returns the configuration of the instance's node. It reads the certificate's files.
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

// Address is where others reach the instance.
func (s *Store) Address() string { return cmp.Or(s.Advertise, s.Listen) }

// StartWait is how long a gateway's start may wait for the local copy.
func (s *Store) StartWait() time.Duration {
	if s.StartWaitMS == nil {
		return defaultStartWait
	}
	return time.Duration(*s.StartWaitMS) * time.Millisecond
}
