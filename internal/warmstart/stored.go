package warmstart

import (
	"fmt"

	"cloverrock/balance"
)

// NS is the namespace of the cached routing state.
const NS = "learned"

const (
	listKey     = "list"
	floorKey    = "floor"
	groupPrefix = "group/"
	hostPrefix  = "host/"
)

func groupKey(id int64) string { return fmt.Sprintf("%s%020d", groupPrefix, id) }
func hostKey(id string) string { return hostPrefix + id }

// Primary is the stored record of a group's primary. Times are in microseconds.
type Primary struct {
	Host string `msgpack:"h" json:"host"`
	Term int64  `msgpack:"t" json:"term"` // increases with each change of the primary
	At   int64  `msgpack:"a" json:"at"`   // time of the observation
	By   string `msgpack:"b" json:"by"`   // the gateway that wrote it
}

// Host is the stored record of a host. Times are in microseconds.
type Host struct {
	Group            int64   `msgpack:"g" json:"group"`
	Position         int64   `msgpack:"p" json:"position"` // a lower bound
	PositionAt       int64   `msgpack:"q" json:"position_at"`
	Primary          bool    `msgpack:"r" json:"primary"` // whether it was the primary when the position was observed
	Down             bool    `msgpack:"d" json:"down"`
	SlowStartUntil   int64   `msgpack:"c" json:"cold_until"` // end of the slow start
	ConcurrencyLimit float64 `msgpack:"l" json:"limit"`      // concurrent requests
	At               int64   `msgpack:"a" json:"at"`
	By               string  `msgpack:"b" json:"by"` // the gateway that wrote it
}

// StoredEndpoint is a balance.Endpoint whose tags hold the field names of the stored format, which must not change. The
// two types can be converted into each other.
type StoredEndpoint struct {
	Host      string                `msgpack:"Host"`
	Zone      int                   `msgpack:"Zone"`
	Group     int64                 `msgpack:"Group"`
	Kind      int                   `msgpack:"Kind"`
	State     balance.EndpointState `msgpack:"Phase"`
	Primary   bool                  `msgpack:"Primary"`
	Weight    float64               `msgpack:"Weight"`
	StartedAt int64                 `msgpack:"Born"`
}

// Endpoint is an entry of the stored list: an endpoint and its address.
type Endpoint struct {
	StoredEndpoint `msgpack:"e"`
	Address        string `msgpack:"a"`
}

// EndpointList is the stored list of hosts.
type EndpointList struct {
	Generation int64      `msgpack:"g"`
	Endpoints  []Endpoint `msgpack:"e"`
}

// SessionFloor is the stored lower bound of the log positions that sessions require.
type SessionFloor struct {
	Position int64 `msgpack:"p" json:"position"`
}
