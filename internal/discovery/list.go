// Package discovery follows the list of database hosts. It reads the list's form, and the HTTP/1.1 answer that
// carries its changes.
package discovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"cloverrock/balance"
)

// Names are the settings' lists of names; the decision module knows their indexes.
type Names struct{ Zones, Kinds []string }

// List is a list of hosts, or the changes since another.
type List struct {
	Generation int64
	Full       bool
	Entries    []balance.Entry
	Addresses  map[string]string // by host
}

// Decode reads a list. One that is wrong in any part is turned down whole.
func Decode(b []byte, names Names) (List, error) {
	var raw struct {
		Generation int64 `json:"generation"`
		Reset      bool  `json:"reset"`
		Instances  []struct {
			InstanceID  string   `json:"instanceId"`
			HostPort    string   `json:"hostPort"`
			Zone        string   `json:"zone"`
			MachineType string   `json:"machineType"`
			Cell        int64    `json:"cell"`
			Lifecycle   string   `json:"lifecycle"`
			Weight      *float64 `json:"weight"`
			StartedAtMs float64  `json:"startedAtMs"`
			Rank        string   `json:"rank"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return List{}, fmt.Errorf("list of hosts: %w", err)
	}
	l := List{Generation: raw.Generation, Full: raw.Reset, Addresses: map[string]string{}}
	for i, r := range raw.Instances {
		e := balance.Entry{
			Host: r.InstanceID, Zone: max(slices.Index(names.Zones, r.Zone), 0), Group: r.Cell,
			Kind: max(slices.Index(names.Kinds, r.MachineType), 0), Primary: r.Rank == "source", Weight: 1,
			Born: int64(r.StartedAtMs * 1000),
		}
		if r.Weight != nil {
			e.Weight = *r.Weight
		}
		switch r.Lifecycle {
		case "SERVING":
			e.Phase = balance.Ready
		case "DRAINING":
			e.Phase = balance.Draining
		case "DELETED":
			e.Phase = balance.Gone
		default:
			return List{}, fmt.Errorf("list of hosts: instances[%d].lifecycle: unknown state %q", i, r.Lifecycle)
		}
		if e.Host == "" {
			return List{}, fmt.Errorf("list of hosts: instances[%d].instanceId: missing", i)
		}
		if r.HostPort == "" && e.Phase != balance.Gone {
			return List{}, fmt.Errorf("list of hosts: instances[%d].hostPort: missing", i)
		}
		if r.HostPort != "" {
			l.Addresses[e.Host] = r.HostPort
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}
