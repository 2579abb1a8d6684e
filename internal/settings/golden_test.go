package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/golden"
)

const everyKey = `{"store":{"name":"a","data":"data","listen":"127.0.0.1:1","advertise":"10.0.0.1:2","certificate":"a.pem","key":"a-key.pem","authority":"ca.pem",
"join":["127.0.0.1:3","127.0.0.1:4"],"routes":{"b":"127.0.0.1:5"},"tick_ms":60,"election_ticks":7,"snapshot_entries":800,"snapshot_bytes_per_second":90000,"start_wait_ms":100},
"fleet":{"listen":"127.0.0.1:6","join":["127.0.0.1:7"],"relay":"127.0.0.1:8",
"zones":{"regions":{"z1":"r"},"at_once":2,"delay_ms":110,"step_ms":120,"away_ms":1300,"pin":{"z2":"left"},"without":["pace"]}},"learned":{"write_ms":140,"believe_ms":15000}}`

const fewKeys = `{"store":{"name":"a","data":"/data","listen":"127.0.0.1:1","certificate":"/a.pem","key":"/a-key.pem","authority":"/ca.pem"},
"fleet":{"listen":"127.0.0.1:6","zones":{}},"learned":{}}`

// valueLines returns a line for each value of a settings file, with the key from which it was read.
func valueLines(t *testing.T, name, text string) (lines []string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	show := func(key string, value any) {
		lines = append(lines, fmt.Sprintf("%s:%s %s", name, key, strings.ReplaceAll(fmt.Sprint(value), dir, "DIR")))
	}
	st := s.Store
	f := s.Fleet
	z := s.Fleet.Zones
	for _, c := range []struct {
		key   string
		value any
	}{
		{"name", st.Name}, {"data", st.Data}, {"listen", st.Listen}, {"advertise", st.Advertise}, {"certificate", st.Certificate}, {"key", st.Key}, {"authority", st.Authority},
		{"join", st.Join}, {"routes", st.Routes}, {"tick_ms", st.TickMS}, {"election_ticks", st.ElectionTicks}, {"snapshot_entries", st.SnapshotEntries},
		{"snapshot_bytes_per_second", st.SnapshotRate}, {"start_wait_ms", int64(st.StartWait() / time.Millisecond)}, {"address", st.Address()},
	} {
		show("store."+c.key, c.value)
	}
	show("fleet.listen", f.Listen)
	show("fleet.join", f.Join)
	show("fleet.relay", f.Relay)
	for _, c := range []struct {
		key   string
		value any
	}{{"regions", z.Regions}, {"at_once", z.AtOnce}, {"delay_ms", z.DelayMS}, {"step_ms", z.StepMS}, {"away_ms", z.AwayMS}, {"pin", z.Pin}, {"without", z.Without}} {
		show("fleet.zones."+c.key, c.value)
	}
	show("learned.write_ms", s.WarmStart.WriteIntervalMS)
	show("learned.believe_ms", s.WarmStart.MaxAgeMS)
	return lines
}

// The value that is read from each key of a settings file, and the default of each key, must not change.
func TestEachKeyKeepsItsValue(t *testing.T) {
	golden.CheckLines(t, "settings.txt", slices.Concat(valueLines(t, "every", everyKey), valueLines(t, "few", fewKeys)))
}
