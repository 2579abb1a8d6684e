// Package discovery follows the endpoint list: the database hosts, their addresses and their states. It decodes the
// service's form of the list, and watches the list by one long HTTP call at a time, reconnecting with backoff.
package discovery

import (
	"maps"
	"slices"

	"cloverrock/balance"
)

// Names lists the names of zones and of kinds of hosts in the settings. Package balance identifies both by their indexes
// in these lists.
type Names struct{ Zones, Kinds []string }

// EndpointList is a list of endpoints, or the changes since an earlier generation of one.
type EndpointList struct {
	Generation int64 // the service's version of the list
	Complete   bool  // whether this is the complete list; otherwise only changes
	Endpoints  []balance.Endpoint
	Addresses  map[string]string // host:port by the host's id
}

// Merge applies a complete list, or the changes to one, to l. Afterwards l is complete, without removed hosts.
func (l *EndpointList) Merge(update EndpointList) {
	if update.Complete || l.Addresses == nil {
		l.Endpoints = nil
		l.Addresses = map[string]string{}
	}
	l.Generation = update.Generation
	l.Complete = true
	for _, endpoint := range update.Endpoints {
		if endpoint.State == balance.Removed {
			l.remove(endpoint.Host)
			continue
		}
		l.put(endpoint)
		if address := update.Addresses[endpoint.Host]; address != "" {
			l.Addresses[endpoint.Host] = address
		}
	}
}

func (l *EndpointList) index(host string) int {
	return slices.IndexFunc(l.Endpoints, func(e balance.Endpoint) bool { return e.Host == host })
}

func (l *EndpointList) remove(host string) {
	i := l.index(host)
	if i < 0 {
		return
	}
	l.Endpoints = slices.Delete(l.Endpoints, i, i+1)
	delete(l.Addresses, host)
}

func (l *EndpointList) put(endpoint balance.Endpoint) {
	if i := l.index(endpoint.Host); i >= 0 {
		l.Endpoints[i] = endpoint
		return
	}
	l.Endpoints = append(l.Endpoints, endpoint)
}

// Clone returns a list that shares no memory with this one.
func (l *EndpointList) Clone() EndpointList {
	c := *l
	c.Endpoints = slices.Clone(l.Endpoints)
	c.Addresses = maps.Clone(l.Addresses)
	return c
}
