// Package discovery follows the list of database hosts: it reads the list's form, and keeps a call to discovery open
// that tells its changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"cloverrock/balance"
)

// Names are the settings' lists of names; the decision module knows their indexes.
type Names struct{ Zones, Kinds []string }

// EndpointList is a list of hosts, or the changes since another.
type EndpointList struct {
	Generation int64
	Complete   bool
	Endpoints  []balance.Endpoint
	Addresses  map[string]string // by host
}

// Merge takes a list, or the changes of one, into this one. Hosts that are gone are dropped.
func (l *EndpointList) Merge(next EndpointList) {
	if next.Complete || l.Addresses == nil {
		l.Endpoints, l.Addresses = nil, map[string]string{}
	}
	l.Generation, l.Complete = next.Generation, true
	for _, e := range next.Endpoints {
		i := slices.IndexFunc(l.Endpoints, func(o balance.Endpoint) bool { return o.Host == e.Host })
		switch {
		case e.State == balance.Removed && i >= 0:
			l.Endpoints = slices.Delete(l.Endpoints, i, i+1)
			delete(l.Addresses, e.Host)
			continue
		case e.State == balance.Removed:
			continue
		case i >= 0:
			l.Endpoints[i] = e
		default:
			l.Endpoints = append(l.Endpoints, e)
		}
		if a := next.Addresses[e.Host]; a != "" {
			l.Addresses[e.Host] = a
		}
	}
}

// Clone returns a list that shares nothing with this one.
func (l *EndpointList) Clone() EndpointList {
	c := *l
	c.Endpoints, c.Addresses = slices.Clone(l.Endpoints), maps.Clone(l.Addresses)
	return c
}

// ListError is a list that is wrong. Key names the place, empty where the text is no JSON.
type ListError struct {
	Key string
	Err error
}

func (e *ListError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("list of hosts: %v", e.Err)
	}
	return fmt.Sprintf("list of hosts: %s: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Err }

// decoding says what encoding/json could not read. Errors of the connection pass as they are.
func decoding(err error) error {
	var syntax *json.SyntaxError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		return &ListError{wrong.Field, fmt.Errorf("is a %s", wrong.Value)}
	case errors.As(err, &syntax):
		return &ListError{Err: err}
	}
	return err
}

var errMissing = errors.New("missing")

func fault(i int, key string, err error) error {
	return &ListError{fmt.Sprintf("instances[%d].%s", i, key), err}
}

// Decode reads a list. One that is wrong in any part is turned down whole.
func Decode(b []byte, names Names) (EndpointList, error) {
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
		return EndpointList{}, decoding(err)
	}
	l := EndpointList{Generation: raw.Generation, Complete: raw.Reset, Addresses: map[string]string{}}
	for i, r := range raw.Instances {
		e := balance.Endpoint{
			Host: r.InstanceID, Zone: max(slices.Index(names.Zones, r.Zone), 0), Group: r.Cell,
			Kind: max(slices.Index(names.Kinds, r.MachineType), 0), Primary: r.Rank == "source", Weight: 1,
			StartedAt: int64(r.StartedAtMs * 1000),
		}
		if r.Weight != nil {
			e.Weight = *r.Weight
		}
		switch r.Lifecycle {
		case "SERVING":
			e.State = balance.Ready
		case "DRAINING":
			e.State = balance.Draining
		case "DELETED":
			e.State = balance.Removed
		default:
			return EndpointList{}, fault(i, "lifecycle", fmt.Errorf("unknown state %q", r.Lifecycle))
		}
		if e.Host == "" {
			return EndpointList{}, fault(i, "instanceId", errMissing)
		}
		if r.HostPort == "" && e.State != balance.Removed {
			return EndpointList{}, fault(i, "hostPort", errMissing)
		}
		if r.HostPort != "" {
			l.Addresses[e.Host] = r.HostPort
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	return l, nil
}
