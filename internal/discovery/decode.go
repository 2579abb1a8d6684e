package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"cloverrock/balance"
)

// defaultWeight is the weight of a host whose weight is missing in the list.
const defaultWeight = 1

// lifecycles maps the service's names of host states.
var lifecycles = map[string]balance.EndpointState{
	"SERVING":  balance.Ready,
	"DRAINING": balance.Draining,
	"DELETED":  balance.Removed,
}

// primaryRank is the rank of a group's primary; any other rank is that of a replica.
const primaryRank = "source"

// listDocument is the service's JSON form of a list or of the changes to one.
type listDocument struct {
	Generation int64              `json:"generation"`
	Reset      bool               `json:"reset"`
	Instances  []instanceDocument `json:"instances"`
}

type instanceDocument struct {
	InstanceID  string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	MachineType string   `json:"machineType"`
	Cell        int64    `json:"cell"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs float64  `json:"startedAtMs"`
	Rank        string   `json:"rank"`
}

// ListError reports a list that can't be used. Key is the path of the invalid key; it is empty if the text is not JSON.
// Err is the cause.
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

var errMissing = errors.New("missing")

func instanceError(i int, key string, err error) error {
	return &ListError{fmt.Sprintf("instances[%d].%s", i, key), err}
}

// decodeError converts errors of encoding/json to a *ListError. Other errors, such as those of the
// connection, are returned unchanged.
func decodeError(err error) error {
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return &ListError{wrongType.Field, fmt.Errorf("is a %s", wrongType.Value)}
	}
	if _, ok := errors.AsType[*json.SyntaxError](err); ok {
		return &ListError{Err: err}
	}
	return err
}

// Decode decodes a list from JSON. A list with any invalid part is rejected as a whole: the error is a *ListError.
func Decode(b []byte, names Names) (EndpointList, error) {
	var document listDocument
	if err := json.Unmarshal(b, &document); err != nil {
		return EndpointList{}, decodeError(err)
	}
	list := EndpointList{Generation: document.Generation, Complete: document.Reset, Addresses: map[string]string{}}
	for i, instance := range document.Instances {
		endpoint, err := instance.endpoint(i, names)
		if err != nil {
			return EndpointList{}, err
		}
		if instance.HostPort != "" {
			list.Addresses[endpoint.Host] = instance.HostPort
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// zoneIndex returns the index of a zone, or balance.UnknownZone if the settings do not name it.
func (n Names) zoneIndex(zone string) int {
	i := slices.Index(n.Zones, zone)
	if i < 0 {
		return balance.UnknownZone
	}
	return i
}

// endpoint converts the i-th instance of a list. An unknown machine type counts as the first one of names.
func (d *instanceDocument) endpoint(i int, names Names) (balance.Endpoint, error) {
	state, known := lifecycles[d.Lifecycle]
	if !known {
		return balance.Endpoint{}, instanceError(i, "lifecycle", fmt.Errorf("unknown state %q", d.Lifecycle))
	}
	if d.InstanceID == "" {
		return balance.Endpoint{}, instanceError(i, "instanceId", errMissing)
	}
	if d.HostPort == "" && state != balance.Removed {
		return balance.Endpoint{}, instanceError(i, "hostPort", errMissing)
	}
	endpoint := balance.Endpoint{
		Host:      d.InstanceID,
		Zone:      names.zoneIndex(d.Zone),
		Group:     d.Cell,
		Kind:      max(slices.Index(names.Kinds, d.MachineType), 0),
		State:     state,
		Primary:   d.Rank == primaryRank,
		Weight:    defaultWeight,
		StartedAt: int64(d.StartedAtMs * 1000),
	}
	if d.Weight != nil {
		endpoint.Weight = *d.Weight
	}
	return endpoint, nil
}
